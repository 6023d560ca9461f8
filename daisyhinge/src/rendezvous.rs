//! Selects the keeper of each replica by rendezvous hashing.

use std::hash::{BuildHasher, Hasher};

use foldhash::fast::FixedState;

use crate::prelude::*;
use crate::vocabulary::environment::EnvironmentDocument;
use crate::vocabulary::view::{ControlView, EntryRecord, EntryState};

/// Seed of the hash. Part of the protocol: all entries must select the same keeper.
const KEEPER_SEED: u64 = 0x6b65_6570_6572_0001;

/// Returns the keeper of `replica`, which runs in `centre`: the live entry with the highest hash in
/// the same data centre, else in the same region, else anywhere.
pub fn find_keeper<'view>(
    view: &'view ControlView,
    environment: &EnvironmentName,
    centre: &CentreName,
    replica: &ReplicaName,
) -> Option<&'view EntryRecord> {
    let document = view.environments.get(environment);
    // The data centre almost always has a live entry, so entries elsewhere need not be ranked.
    let local_entries =
        live_entries(view, environment).filter(|entry| entry.data_centre == *centre);
    let mut best = local_entries.fold(None, |best, entry| better_rank(best, 2, entry, replica));
    if best.is_none() {
        let all_entries = live_entries(view, environment);
        best = all_entries.fold(None, |best, entry| {
            let locality = 2 - data_centre_distance(document, &entry.data_centre, centre);
            better_rank(best, locality, entry, replica)
        });
    }
    best.map(|rank| rank.entry)
}

/// Returns the entries that share the replicas of `centre`, sorted by name: the live entries in the
/// same data centre, else in the same region, else all.
pub fn list_keepers<'view>(
    view: &'view ControlView,
    environment: &EnvironmentName,
    centre: &CentreName,
) -> Vec<&'view EntryRecord> {
    let document = view.environments.get(environment);
    let distance = |entry: &EntryRecord| data_centre_distance(document, &entry.data_centre, centre);
    let nearest = live_entries(view, environment).map(distance).min();
    let mut keepers: Vec<_> = live_entries(view, environment)
        .filter(|entry| Some(distance(entry)) == nearest)
        .collect();
    keepers.sort_by(|first, second| first.vm.cmp(&second.vm));
    keepers
}

struct KeeperRank<'view> {
    locality: u8,
    hash: u64,
    entry: &'view EntryRecord,
}

/// Returns the better of `best` and `entry` by locality, then hash, then name.
fn better_rank<'view>(
    best: Option<KeeperRank<'view>>,
    locality: u8,
    entry: &'view EntryRecord,
    replica: &ReplicaName,
) -> Option<KeeperRank<'view>> {
    let hash = hash_pair(&entry.vm, replica);
    let is_better = |best: &KeeperRank<'_>| {
        (locality, hash, &entry.vm) > (best.locality, best.hash, &best.entry.vm)
    };
    if best.as_ref().is_none_or(is_better) {
        return Some(KeeperRank {
            locality,
            hash,
            entry,
        });
    }
    best
}

fn live_entries<'view>(
    view: &'view ControlView,
    environment: &EnvironmentName,
) -> impl Iterator<Item = &'view EntryRecord> {
    view.entries
        .iter()
        .filter(move |entry| entry.state == EntryState::Live && entry.environment == *environment)
}

/// Returns the distance between two data centres: 0 for the same one, 1 within a region, 2 across
/// regions.
pub fn data_centre_distance(
    document: Option<&std::sync::Arc<EnvironmentDocument>>,
    from: &CentreName,
    to: &CentreName,
) -> u8 {
    if from == to {
        return 0;
    }
    let same_region = document
        .and_then(|document| document.find_region(from))
        .is_some_and(|region| region.data_centres.iter().any(|centre| centre.name == *to));
    if same_region { 1 } else { 2 }
}

fn hash_pair(vm: &VmName, replica: &ReplicaName) -> u64 {
    let mut hasher = FixedState::with_seed(KEEPER_SEED).build_hasher();
    hasher.write(vm.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(replica.as_str().as_bytes());
    hasher.finish()
}
