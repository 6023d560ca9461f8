//! Which entries a caller is told to use for a service.

use std::hash::{BuildHasher, Hasher};

use foldhash::fast::FixedState;

use crate::prelude::*;
use crate::rendezvous::centre_distance;
use crate::vocabulary::answer::AddressAnswer;
use crate::vocabulary::environment::{AddressPolicy, CentreState};
use crate::vocabulary::view::{ControlView, EntryRecord, EntryState};

/// Seed of the hash that spreads callers; all entries must use the same.
const CALLER_SEED: u64 = 0x6361_6c6c_6572_0001;

/// Keeping times are shortened by up to this part, so that callers do not all ask at once.
const KEEP_SPREAD_DIVISOR: u64 = 10;

/// Distance of data centres in the same region.
const REGION_DISTANCE: u8 = 1;

/// A caller's question and what the asked entry knows of itself.
#[derive(Clone, Copy, Debug)]
pub struct AddressAsk<'ask> {
    /// The view in force at the asked entry, or the last one that was.
    pub view: &'ask ControlView,
    /// Environment that the asked entry serves.
    pub environment: &'ask EnvironmentName,
    /// The asked entry.
    pub vm: &'ask VmName,
    /// Data centre of the asked entry; the caller is taken to be in its region.
    pub data_centre: &'ask CentreName,
    /// Whether the asked entry may take requests: its lease holds and it does not shut down.
    pub takes_requests: bool,
    /// What tells callers apart, such as a hash of the caller's address.
    pub caller_key: u64,
}

/// How well an entry suits a caller; smaller is better.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EntryRank {
    is_unreachable: bool,
    is_centre_out: bool,
    /// 0 and 1 in the caller's region, 2 and 3 beyond; the even ones where replicas are kept.
    place: u8,
    /// Spreads callers over entries that suit equally.
    hash: u64,
}

/// Chooses entries for a caller, best first: reachable ones, in data centres that take work, in
/// the caller's region, in data centres where replicas of the service are kept. Callers are
/// spread over those that suit equally. If more than one is named, they are not all in one data
/// centre unless there is no other.
///
/// `keepers` are the VMs that keep the service's replicas; `is_reachable` says whether the asked
/// entry has lately heard of another. Leaving entries are never named, nor is the asked one
/// itself if it takes no requests.
pub fn choose_addresses(
    ask: AddressAsk<'_>,
    keepers: &[VmName],
    is_reachable: impl Fn(&VmName) -> bool,
) -> AddressAnswer {
    let document = ask.view.environments.get(ask.environment);
    let policy = document.map_or_else(AddressPolicy::default, |document| {
        document.addresses.clone()
    });
    let keeper_centres = find_centres(ask.view, keepers);
    let rank = |entry: &EntryRecord| {
        let centre = &entry.data_centre;
        let is_far = centre_distance(document, ask.data_centre, centre) > REGION_DISTANCE;
        let state = document.and_then(|document| document.find_centre(centre));
        EntryRank {
            is_unreachable: entry.vm != *ask.vm && !is_reachable(&entry.vm),
            is_centre_out: state.is_some_and(|centre| centre.state == CentreState::Out),
            place: 2 * u8::from(is_far) + u8::from(!keeper_centres.contains(&centre)),
            hash: hash_caller(&entry.vm, ask.caller_key),
        }
    };
    let is_named = |entry: &&EntryRecord| {
        entry.state == EntryState::Live
            && entry.environment == *ask.environment
            && (ask.takes_requests || entry.vm != *ask.vm)
    };
    let mut ranked: Vec<(EntryRank, &EntryRecord)> = ask
        .view
        .entries
        .iter()
        .filter(is_named)
        .map(|entry| (rank(entry), entry))
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    spread_centres(&mut ranked, policy.count as usize);
    AddressAnswer {
        addresses: ranked
            .iter()
            .map(|(_, entry)| entry.caller_address)
            .collect(),
        keep_ms: spread_keeping(policy.keep_ms, ask.caller_key),
    }
}

/// Keeps the first `count`; if they are all in one data centre, the last gives way to the best
/// reachable one elsewhere.
fn spread_centres(ranked: &mut Vec<(EntryRank, &EntryRecord)>, count: usize) {
    if count > 1 && ranked.len() > count {
        let first = ranked[0].1.data_centre.clone();
        let elsewhere = |row: &(EntryRank, &EntryRecord)| row.1.data_centre != first;
        if !ranked[..count].iter().any(elsewhere) {
            let other = ranked[count..]
                .iter()
                .position(|row| elsewhere(row) && !row.0.is_unreachable && !row.0.is_centre_out);
            if let Some(other) = other {
                ranked.swap(count - 1, count + other);
            }
        }
    }
    ranked.truncate(count);
}

fn find_centres<'view>(view: &'view ControlView, keepers: &[VmName]) -> Vec<&'view CentreName> {
    let is_keeper = |entry: &&EntryRecord| keepers.contains(&entry.vm);
    let mut centres: Vec<_> = view
        .entries
        .iter()
        .filter(is_keeper)
        .map(|entry| &entry.data_centre)
        .collect();
    centres.sort_unstable();
    centres.dedup();
    centres
}

fn spread_keeping(keep_ms: u64, caller_key: u64) -> u64 {
    let most = keep_ms / KEEP_SPREAD_DIVISOR;
    keep_ms - hash_key(caller_key) % (most + 1)
}

fn hash_caller(vm: &VmName, caller_key: u64) -> u64 {
    let mut hasher = FixedState::with_seed(CALLER_SEED).build_hasher();
    hasher.write(vm.as_str().as_bytes());
    hasher.write_u64(caller_key);
    hasher.finish()
}

fn hash_key(key: u64) -> u64 {
    let mut hasher = FixedState::with_seed(CALLER_SEED).build_hasher();
    hasher.write_u64(key);
    hasher.finish()
}
