//! Registry of partitions, on which all replicas of this entry must agree.

use std::collections::HashMap;

use crate::prelude::*;
use crate::vocabulary::announcement::{ReplicaAnnouncement, ReplicaSnapshot};

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct PartitionKey {
    service: ServiceName,
    snapshot: SnapshotNumber,
    generation: u64,
}

impl PartitionKey {
    fn new(service: &ServiceName, held: &ReplicaSnapshot) -> Self {
        Self {
            service: service.clone(),
            snapshot: held.snapshot,
            generation: held.generation,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownPartition {
    shards: u32,
    whole_weight: u64,
    holders: u32,
}

/// Partition of each snapshot as announced first. It stays registered while any replica of this
/// entry holds the snapshot; later announcements must agree with it.
#[derive(Clone, Debug, Default)]
pub struct PartitionRegistry {
    partitions: HashMap<PartitionKey, KnownPartition>,
}

impl PartitionRegistry {
    /// Returns whether `next` agrees with the registered partitions, where `former` is the previous
    /// announcement of the same replica. The only replica that holds a snapshot may change its
    /// partition.
    pub fn agrees(&self, former: Option<&ReplicaAnnouncement>, next: &ReplicaAnnouncement) -> bool {
        next.snapshots.iter().all(|held| {
            let key = PartitionKey::new(&next.service, held);
            let own = former.is_some_and(|former| holds(former, &key));
            self.partitions.get(&key).is_none_or(|partition| {
                let agrees =
                    partition.shards == held.shards && partition.whole_weight == held.whole_weight;
                agrees || (own && partition.holders == 1)
            })
        })
    }

    /// Adds the snapshots of a replica.
    pub fn add(&mut self, announcement: &ReplicaAnnouncement) {
        for held in announcement.snapshots.iter() {
            let key = PartitionKey::new(&announcement.service, held);
            let partition = self.partitions.entry(key).or_insert(KnownPartition {
                shards: held.shards,
                whole_weight: held.whole_weight,
                holders: 0,
            });
            partition.holders += 1;
        }
    }

    /// Removes the snapshots of a replica.
    pub fn remove(&mut self, announcement: &ReplicaAnnouncement) {
        for held in announcement.snapshots.iter() {
            let key = PartitionKey::new(&announcement.service, held);
            if let Some(partition) = self.partitions.get_mut(&key) {
                partition.holders -= 1;
                if partition.holders == 0 {
                    self.partitions.remove(&key);
                }
            }
        }
    }

    /// Returns the number of partitions.
    pub fn len(&self) -> usize {
        self.partitions.len()
    }

    /// Returns whether there are no partitions.
    pub fn is_empty(&self) -> bool {
        self.partitions.is_empty()
    }
}

fn holds(announcement: &ReplicaAnnouncement, key: &PartitionKey) -> bool {
    announcement.service == key.service
        && announcement
            .snapshots
            .iter()
            .any(|held| held.snapshot == key.snapshot && held.generation == key.generation)
}
