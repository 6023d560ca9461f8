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
    fn new(service: &ServiceName, announced: &ReplicaSnapshot) -> Self {
        Self {
            service: service.clone(),
            snapshot: announced.snapshot,
            generation: announced.generation,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownPartition {
    shards: u32,
    whole_weight: u64,
    holders: u32,
}

/// Partition of each snapshot, as first announced. A partition stays registered while any replica
/// of this entry holds the snapshot; later announcements must agree with it.
#[derive(Clone, Debug, Default)]
pub struct PartitionRegistry {
    partitions: HashMap<PartitionKey, KnownPartition>,
}

impl PartitionRegistry {
    /// Returns whether `next` agrees with the registered partitions, where `former` is the previous
    /// announcement of the same replica. The only replica that holds a snapshot may change its
    /// partition.
    pub fn agrees(&self, former: Option<&ReplicaAnnouncement>, next: &ReplicaAnnouncement) -> bool {
        next.snapshots.iter().all(|announced| {
            let key = PartitionKey::new(&next.service, announced);
            let own = former.is_some_and(|former| contains_partition(former, &key));
            self.partitions.get(&key).is_none_or(|partition| {
                let agrees = partition.shards == announced.shards
                    && partition.whole_weight == announced.whole_weight;
                agrees || (own && partition.holders == 1)
            })
        })
    }

    /// Adds the snapshots of a replica.
    pub fn add(&mut self, announcement: &ReplicaAnnouncement) {
        for announced in announcement.snapshots.iter() {
            let key = PartitionKey::new(&announcement.service, announced);
            let partition = self.partitions.entry(key).or_insert(KnownPartition {
                shards: announced.shards,
                whole_weight: announced.whole_weight,
                holders: 0,
            });
            partition.holders += 1;
        }
    }

    /// Removes the snapshots of a replica.
    pub fn remove(&mut self, announcement: &ReplicaAnnouncement) {
        for announced in announcement.snapshots.iter() {
            let key = PartitionKey::new(&announcement.service, announced);
            if let Some(partition) = self.partitions.get_mut(&key) {
                partition.holders -= 1;
                if partition.holders == 0 {
                    self.partitions.remove(&key);
                }
            }
        }
    }

    /// Returns the number of registered partitions.
    pub fn len(&self) -> usize {
        self.partitions.len()
    }

    /// Returns whether no partition is registered.
    pub fn is_empty(&self) -> bool {
        self.partitions.is_empty()
    }
}

fn contains_partition(announcement: &ReplicaAnnouncement, key: &PartitionKey) -> bool {
    announcement.service == key.service
        && announcement.snapshots.iter().any(|announced| {
            announced.snapshot == key.snapshot && announced.generation == key.generation
        })
}
