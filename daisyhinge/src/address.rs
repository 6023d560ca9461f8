//! Selects the entries that a caller should use for a service.

use std::hash::{BuildHasher, Hasher};

use foldhash::fast::FixedState;

use crate::prelude::*;
use crate::rendezvous::data_centre_distance;
use crate::vocabulary::answer::AddressAnswer;
use crate::vocabulary::environment::{AddressPolicy, CentreState};
use crate::vocabulary::view::{ControlView, EntryRecord, EntryState};

/// Seed of the hash that spreads callers over entries. All entries must use the same seed.
const CALLER_SEED: u64 = 0x6361_6c6c_6572_0001;

/// The cache time in an answer is shortened by up to 1/`KEEP_JITTER_DIVISOR`, depending on the
/// caller, so that callers do not all refresh at once.
const KEEP_JITTER_DIVISOR: u64 = 10;

/// [`data_centre_distance`] between data centres of the same region.
const SAME_REGION_DISTANCE: u8 = 1;

/// A caller's request for addresses, with the state of the entry that answers it.
#[derive(Clone, Copy, Debug)]
pub struct AddressRequest<'request> {
    /// The view in force at the answering entry, or the last one that was in force.
    pub view: &'request ControlView,
    /// Environment served by the answering entry.
    pub environment: &'request EnvironmentName,
    /// VM of the answering entry.
    pub vm: &'request VmName,
    /// Data centre of the answering entry. The caller is assumed to be in the same region.
    pub data_centre: &'request CentreName,
    /// Whether the answering entry may take requests: its lease is valid and it is not shutting
    /// down.
    pub takes_requests: bool,
    /// Key that distinguishes callers, such as a hash of the caller's address.
    pub caller_key: u64,
}

/// Suitability of an entry for a caller; lower ranks are preferred.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EntryRank {
    is_unreachable: bool,
    is_centre_out: bool,
    /// 0 or 1 in the caller's region, 2 or 3 in other regions; the even value if the data centre
    /// has keepers of the service's replicas.
    locality_rank: u8,
    /// Spreads callers over entries of equal suitability.
    hash: u64,
}

/// Selects entries for a caller, in order of preference: reachable entries, in data centres that
/// are in service, in the caller's region, in data centres with keepers of the service's replicas.
/// Callers are spread over entries of equal suitability. If more than one entry is returned, they
/// are in at least two data centres where possible.
///
/// `keepers` are the VMs that keep the service's replicas. `is_reachable` returns whether the
/// answering entry recently received a message from a VM. Leaving entries are never returned, nor
/// is the answering entry if it takes no requests.
pub fn choose_addresses(
    request: AddressRequest<'_>,
    keepers: &[VmName],
    is_reachable: impl Fn(&VmName) -> bool,
) -> AddressAnswer {
    let document = request.view.environments.get(request.environment);
    let policy = document.map_or_else(AddressPolicy::default, |document| {
        document.addresses.clone()
    });
    let keeper_centres = keeper_data_centres(request.view, keepers);
    let rank = |entry: &EntryRecord| {
        let centre = &entry.data_centre;
        let is_remote =
            data_centre_distance(document, request.data_centre, centre) > SAME_REGION_DISTANCE;
        let state = document.and_then(|document| document.find_centre(centre));
        EntryRank {
            is_unreachable: entry.vm != *request.vm && !is_reachable(&entry.vm),
            is_centre_out: state.is_some_and(|centre| centre.state == CentreState::Out),
            locality_rank: 2 * u8::from(is_remote) + u8::from(!keeper_centres.contains(&centre)),
            hash: hash_caller(&entry.vm, request.caller_key),
        }
    };
    let is_eligible = |entry: &&EntryRecord| {
        entry.state == EntryState::Live
            && entry.environment == *request.environment
            && (request.takes_requests || entry.vm != *request.vm)
    };
    let mut ranked: Vec<(EntryRank, &EntryRecord)> = request
        .view
        .entries
        .iter()
        .filter(is_eligible)
        .map(|entry| (rank(entry), entry))
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    diversify_centres(&mut ranked, policy.count as usize);
    AddressAnswer {
        addresses: ranked
            .iter()
            .map(|(_, entry)| entry.caller_address)
            .collect(),
        keep_ms: jitter_keep_time(policy.keep_ms, request.caller_key),
    }
}

/// Truncates the list to `count` entries. If they are all in one data centre, the last entry is
/// replaced by the best reachable entry in another data centre that is in service.
fn diversify_centres(ranked: &mut Vec<(EntryRank, &EntryRecord)>, count: usize) {
    if count > 1 && ranked.len() > count {
        let first = ranked[0].1.data_centre.clone();
        let in_other_centre =
            |candidate: &(EntryRank, &EntryRecord)| candidate.1.data_centre != first;
        if !ranked[..count].iter().any(in_other_centre) {
            let replacement = ranked[count..].iter().position(|candidate| {
                in_other_centre(candidate)
                    && !candidate.0.is_unreachable
                    && !candidate.0.is_centre_out
            });
            if let Some(replacement) = replacement {
                ranked.swap(count - 1, count + replacement);
            }
        }
    }
    ranked.truncate(count);
}

fn keeper_data_centres<'view>(
    view: &'view ControlView,
    keepers: &[VmName],
) -> Vec<&'view CentreName> {
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

fn jitter_keep_time(keep_ms: u64, caller_key: u64) -> u64 {
    let max_reduction = keep_ms / KEEP_JITTER_DIVISOR;
    keep_ms - hash_key(caller_key) % (max_reduction + 1)
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
