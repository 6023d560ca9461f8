//! All replicas that this entry keeps, and what changed in them.

use std::collections::HashMap;

use crate::prelude::*;
use crate::vocabulary::replica::{ReplicaRecord, TableAsk, TableDelta};

/// The published records of the replicas kept here, with a cursor for those who follow.
#[derive(Clone, Debug)]
pub struct KeeperTable {
    table: u64,
    cursor: u64,
    records: HashMap<ReplicaName, RecordRow>,
    gone: Vec<GoneRow>,
}

#[derive(Clone, Debug)]
struct RecordRow {
    changed: u64,
    record: ReplicaRecord,
}

#[derive(Clone, Debug)]
struct GoneRow {
    changed: u64,
    replica: ReplicaName,
}

/// Removed replicas remembered for followers; one that is further behind gets the whole table.
const GONE_MAX: usize = 1_024;

impl KeeperTable {
    /// An empty table; `table` is drawn at start and is never 0.
    pub fn new(table: u64) -> Self {
        Self {
            table: table.max(1),
            cursor: 0,
            records: HashMap::new(),
            gone: Vec::new(),
        }
    }

    /// Publishes a record if it differs in more than its load; of the load, only the limit counts.
    pub fn publish(&mut self, record: ReplicaRecord) {
        let same = self.records.get(&record.replica).is_some_and(|row| {
            let load = row.record.load;
            let same_limit = load.limit == record.load.limit;
            same_limit
                && ReplicaRecord {
                    load,
                    ..record.clone()
                } == row.record
        });
        if same {
            return;
        }
        self.cursor += 1;
        let row = RecordRow {
            changed: self.cursor,
            record,
        };
        self.records.insert(row.record.replica.clone(), row);
    }

    /// Takes a replica out of the table.
    pub fn remove(&mut self, replica: &ReplicaName) {
        if self.records.remove(replica).is_some() {
            self.cursor += 1;
            self.gone.push(GoneRow {
                changed: self.cursor,
                replica: replica.clone(),
            });
            if self.gone.len() > GONE_MAX {
                self.gone.drain(..GONE_MAX / 2);
            }
        }
    }

    /// What changed since the asker's cursor, without crash records.
    pub fn delta(&self, ask: TableAsk) -> TableDelta {
        let oldest_gone = self.gone.first().map_or(0, |row| row.changed);
        let whole = ask.table != self.table || (oldest_gone > 1 && ask.cursor + 1 < oldest_gone);
        let since = if whole { 0 } else { ask.cursor };
        TableDelta {
            table: self.table,
            cursor: self.cursor,
            whole,
            records: self
                .records
                .values()
                .filter(|row| row.changed > since)
                .map(|row| row.record.clone())
                .collect(),
            gone: self
                .gone
                .iter()
                .filter(|row| row.changed > since)
                .filter(|row| !self.records.contains_key(&row.replica))
                .map(|row| row.replica.clone())
                .collect(),
            crashes: Vec::new(),
        }
    }
}
