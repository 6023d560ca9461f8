//! Published table of the replicas of this entry, with change tracking.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::vocabulary::replica::{ReplicaRecord, TableDelta, TableRequest};

/// Published records of the replicas of this entry, with a cursor for incremental reads.
#[derive(Clone, Debug)]
pub struct KeeperTable {
    table: u64,
    cursor: u64,
    records: BTreeMap<ReplicaName, VersionedRecord>,
    removed: Vec<RemovedReplica>,
}

#[derive(Clone, Debug)]
struct VersionedRecord {
    changed_at: u64,
    record: ReplicaRecord,
}

#[derive(Clone, Debug)]
struct RemovedReplica {
    changed_at: u64,
    replica: ReplicaName,
}

/// Maximum number of removed replicas on record. A reader whose cursor is older gets the complete
/// table.
const REMOVED_MAX: usize = 1_024;

impl KeeperTable {
    /// Creates an empty table. `table` is a random identity chosen at start and is never 0.
    pub fn new(table: u64) -> Self {
        Self {
            table: table.max(1),
            cursor: 0,
            records: BTreeMap::new(),
            removed: Vec::new(),
        }
    }

    /// Publishes a record if it differs from the published one. Of the load, only a change of the
    /// limit counts.
    pub fn publish(&mut self, record: ReplicaRecord) {
        let same = self.records.get(&record.replica).is_some_and(|versioned| {
            let load = versioned.record.load;
            let same_limit = load.limit == record.load.limit;
            same_limit
                && ReplicaRecord {
                    load,
                    ..record.clone()
                } == versioned.record
        });
        if same {
            return;
        }
        self.cursor += 1;
        let versioned = VersionedRecord {
            changed_at: self.cursor,
            record,
        };
        self.records
            .insert(versioned.record.replica.clone(), versioned);
    }

    /// Removes a replica from the table.
    pub fn remove(&mut self, replica: &ReplicaName) {
        if self.records.remove(replica).is_some() {
            self.cursor += 1;
            self.removed.push(RemovedReplica {
                changed_at: self.cursor,
                replica: replica.clone(),
            });
            if self.removed.len() > REMOVED_MAX {
                self.removed.drain(..REMOVED_MAX / 2);
            }
        }
    }

    /// Returns the changes since the reader's cursor, without crash records.
    pub fn delta(&self, request: TableRequest) -> TableDelta {
        let oldest_removed = self
            .removed
            .first()
            .map_or(0, |versioned| versioned.changed_at);
        let whole = request.table != self.table
            || (oldest_removed > 1 && request.cursor + 1 < oldest_removed);
        let since = if whole { 0 } else { request.cursor };
        TableDelta {
            table: self.table,
            cursor: self.cursor,
            whole,
            records: self
                .records
                .values()
                .filter(|versioned| versioned.changed_at > since)
                .map(|versioned| versioned.record.clone())
                .collect(),
            gone: self
                .removed
                .iter()
                .filter(|versioned| versioned.changed_at > since)
                .filter(|versioned| !self.records.contains_key(&versioned.replica))
                .map(|versioned| versioned.replica.clone())
                .collect(),
            crashes: Vec::new(),
        }
    }
}
