//! Partitions that the replicas kept here agree on.

use std::collections::HashMap;

use crate::prelude::*;
use crate::vocabulary::announcement::{HeldSnapshot, ReplicaAnnouncement};

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct PartitionKey {
    service: ServiceName,
    snapshot: SnapshotNumber,
    generation: u64,
}

impl PartitionKey {
    fn new(service: &ServiceName, held: &HeldSnapshot) -> Self {
        Self {
            service: service.clone(),
            snapshot: held.snapshot,
            generation: held.generation,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct PartitionRow {
    shards: u32,
    whole_weight: u64,
    holders: u32,
}

/// The partition of each snapshot as the first replica that announced it told it. It stays as
/// long as any replica here holds it; later announcements must agree.
#[derive(Clone, Debug, Default)]
pub struct PartitionBook {
    rows: HashMap<PartitionKey, PartitionRow>,
}

impl PartitionBook {
    /// Whether `next` agrees with every other replica, where `former` is what the same replica
    /// announced before. A replica that is the only holder may change its mind.
    pub fn agrees(&self, former: Option<&ReplicaAnnouncement>, next: &ReplicaAnnouncement) -> bool {
        next.snapshots.iter().all(|held| {
            let key = PartitionKey::new(&next.service, held);
            let own = former.is_some_and(|former| holds(former, &key));
            self.rows.get(&key).is_none_or(|row| {
                let agrees = row.shards == held.shards && row.whole_weight == held.whole_weight;
                agrees || (own && row.holders == 1)
            })
        })
    }

    /// Adds what a replica holds.
    pub fn add(&mut self, announcement: &ReplicaAnnouncement) {
        for held in announcement.snapshots.iter() {
            let key = PartitionKey::new(&announcement.service, held);
            let row = self.rows.entry(key).or_insert(PartitionRow {
                shards: held.shards,
                whole_weight: held.whole_weight,
                holders: 0,
            });
            row.holders += 1;
        }
    }

    /// Takes out what a replica held.
    pub fn remove(&mut self, announcement: &ReplicaAnnouncement) {
        for held in announcement.snapshots.iter() {
            let key = PartitionKey::new(&announcement.service, held);
            if let Some(row) = self.rows.get_mut(&key) {
                row.holders -= 1;
                if row.holders == 0 {
                    self.rows.remove(&key);
                }
            }
        }
    }

    /// Partitions known.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no partition is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

fn holds(announcement: &ReplicaAnnouncement, key: &PartitionKey) -> bool {
    announcement.service == key.service
        && announcement
            .snapshots
            .iter()
            .any(|held| held.snapshot == key.snapshot && held.generation == key.generation)
}
