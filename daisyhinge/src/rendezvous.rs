//! Chooses the one keeper of each replica.

use std::hash::{BuildHasher, Hasher};

use foldhash::fast::FixedState;

use crate::prelude::*;
use crate::vocabulary::environment::EnvironmentDocument;
use crate::vocabulary::view::{ControlView, EntryRecord, EntryState};

/// Seed of the hash; part of the protocol, since all entries must choose the same keeper.
const KEEPER_SEED: u64 = 0x6b65_6570_6572_0001;

/// Finds the entry that keeps `replica`, which runs in `centre`: the live entry of the data
/// centre with the highest hash, or of the same region, or of all, if a nearer one has none.
pub fn find_keeper<'view>(
    view: &'view ControlView,
    environment: &EnvironmentName,
    centre: &CentreName,
    replica: &ReplicaName,
) -> Option<&'view EntryRecord> {
    let document = view.environments.get(environment);
    // Nearly always there is one in the data centre itself; the rest need not be ranked then.
    let within = live_entries(view, environment).filter(|entry| entry.data_centre == *centre);
    let mut best = within.fold(None, |best, entry| prefer_rank(best, 2, entry, replica));
    if best.is_none() {
        let elsewhere = live_entries(view, environment);
        best = elsewhere.fold(None, |best, entry| {
            let nearness = 2 - centre_distance(document, &entry.data_centre, centre);
            prefer_rank(best, nearness, entry, replica)
        });
    }
    best.map(|rank| rank.entry)
}

/// Lists the entries that share the replicas of `centre` among them, in order of name: the live
/// ones of the data centre, or of the same region, or all, if none is nearer.
pub fn list_keepers<'view>(
    view: &'view ControlView,
    environment: &EnvironmentName,
    centre: &CentreName,
) -> Vec<&'view EntryRecord> {
    let document = view.environments.get(environment);
    let distance = |entry: &EntryRecord| centre_distance(document, &entry.data_centre, centre);
    let nearest = live_entries(view, environment).map(distance).min();
    let mut keepers: Vec<_> = live_entries(view, environment)
        .filter(|entry| Some(distance(entry)) == nearest)
        .collect();
    keepers.sort_by(|first, second| first.vm.cmp(&second.vm));
    keepers
}

struct KeeperRank<'view> {
    nearness: u8,
    hash: u64,
    entry: &'view EntryRecord,
}

/// The better of `best` and `entry`: nearer, then of the higher hash, then by name.
fn prefer_rank<'view>(
    best: Option<KeeperRank<'view>>,
    nearness: u8,
    entry: &'view EntryRecord,
    replica: &ReplicaName,
) -> Option<KeeperRank<'view>> {
    let hash = hash_pair(&entry.vm, replica);
    let better = |best: &KeeperRank<'_>| {
        (nearness, hash, &entry.vm) > (best.nearness, best.hash, &best.entry.vm)
    };
    if best.as_ref().is_none_or(better) {
        return Some(KeeperRank {
            nearness,
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

/// 0 within a data centre, 1 within a region, 2 beyond.
pub fn centre_distance(
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
