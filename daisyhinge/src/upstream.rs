//! Selects the control process that an entry follows: the nearest one that serves. A control
//! process serves if a quorum confirmed the state in its replies recently.
//!
//! Updates cross each link once for every entry that follows over it, so an entry that follows a
//! control process in another region adds cross-region traffic for each change. After a failover,
//! an entry therefore returns to the nearest control process after a delay.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::dispatch::fleet::{FleetLocation, Locality};
use crate::prelude::*;
use crate::vocabulary::registration::ControlLocation;

/// Maximum number of control processes taken from a received list.
const KNOWN_MAX: usize = 256;
/// Minimum time to follow a control process before a nearer one is tried.
const MIN_FOLLOW_TIME: Duration = Duration::from_millis(1_500);
/// Minimum time between attempts to follow the same nearer control process.
const NEARER_RETRY_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, Default)]
struct KnownControl {
    data_centre: Option<CentreName>,
    /// Number of failures since the control process was last seen serving.
    failures: u32,
    /// Time of the last attempt to move to this control process because it is nearer.
    last_tried: Option<MonotonicTime>,
}

/// Control processes known to an entry.
#[derive(Clone, Debug)]
pub struct ControlList {
    location: FleetLocation,
    seeds: Vec<SocketAddr>,
    /// Key of this entry that spreads entries over equally near control processes.
    spread_key: u64,
    known: BTreeMap<SocketAddr, KnownControl>,
    /// Control process that is followed, and the time since which it has been serving, if it is.
    followed: Option<(SocketAddr, Option<MonotonicTime>)>,
}

impl ControlList {
    /// Creates a list of `seeds`, whose data centres are still unknown.
    pub fn open(location: FleetLocation, seeds: Vec<SocketAddr>, spread_key: u64) -> Self {
        let unknown = |seed: &SocketAddr| (*seed, KnownControl::default());
        Self {
            known: seeds.iter().map(unknown).collect(),
            location,
            seeds,
            spread_key,
            followed: None,
        }
    }

    /// Returns the control process with the fewest failures, preferring nearer ones.
    pub fn next_address(&self) -> Option<SocketAddr> {
        let sort_key = |(address, known): &(&SocketAddr, &KnownControl)| {
            let spread_key = self.spread_key ^ u64::from(hash_address(address));
            (known.failures, self.rank(known), spread_key)
        };
        let best = self.known.iter().min_by_key(sort_key);
        best.map(|(address, _)| *address)
    }

    /// Records the control process that is now followed.
    pub fn set_followed(&mut self, address: SocketAddr) {
        self.followed = Some((address, None));
    }

    /// Records that the followed control process is serving.
    pub fn mark_serving(&mut self, now: MonotonicTime) {
        if let Some((address, since)) = &mut self.followed {
            since.get_or_insert(now);
            self.known.entry(*address).or_default().failures = 0;
        }
    }

    /// Records that a control process is no longer followed because it could not be reached, failed
    /// or had no quorum. Returns whether all known control processes have now failed; in that case,
    /// each may be tried once more.
    pub fn mark_failed(&mut self, address: SocketAddr) -> bool {
        self.followed = None;
        self.known.entry(address).or_default().failures += 1;
        let all_failed = self.known.values().all(|known| known.failures > 0);
        if all_failed {
            self.known
                .values_mut()
                .for_each(|known| known.failures -= 1);
        }
        all_failed
    }

    /// Updates the known control processes from a received list. Control processes that are no
    /// longer listed are removed, except for the seeds.
    pub fn update_known(&mut self, listed: &[ControlLocation]) {
        if listed.is_empty() {
            return;
        }
        let seeds = &self.seeds;
        let is_listed = |address| listed.iter().any(|location| location.address == address);
        self.known
            .retain(|address, _| is_listed(*address) || seeds.contains(address));
        for location in listed.iter().take(KNOWN_MAX) {
            let known = self.known.entry(location.address).or_default();
            if location.data_centre.is_some() {
                known.data_centre.clone_from(&location.data_centre);
            }
        }
    }

    /// Returns a control process that is nearer than the followed one and should be tried now.
    pub fn find_nearer(&mut self, now: MonotonicTime) -> Option<SocketAddr> {
        let (followed, since) = self.followed?;
        if now.since(since?) < MIN_FOLLOW_TIME {
            return None;
        }
        let current_rank = self
            .known
            .get(&followed)
            .map_or(u8::MAX, |known| self.rank(known));
        let spread_key = self.spread_key;
        let location = &self.location;
        let nearer = self.known.iter_mut().filter(|(_, known)| {
            let may_retry = known
                .last_tried
                .is_none_or(|last_tried| now.since(last_tried) >= NEARER_RETRY_INTERVAL);
            may_retry && rank_control(location, known) < current_rank
        });
        let sort_key = |(address, known): &(&SocketAddr, &mut KnownControl)| {
            let spread_key = spread_key ^ u64::from(hash_address(address));
            (rank_control(location, known), spread_key)
        };
        let (address, known) = nearer.min_by_key(sort_key)?;
        known.last_tried = Some(now);
        Some(*address)
    }

    fn rank(&self, known: &KnownControl) -> u8 {
        rank_control(&self.location, known)
    }
}

/// Ranks a control process by locality; nearer ones have a lower rank.
fn rank_control(location: &FleetLocation, known: &KnownControl) -> u8 {
    let locality = known
        .data_centre
        .as_ref()
        .map(|centre| location.locality_of(centre));
    match locality {
        Some(Locality::SameCentre) => 0,
        Some(Locality::SameRegion) => 1,
        Some(Locality::OtherRegion) => 2,
        None => 3,
    }
}

fn hash_address(address: &SocketAddr) -> u32 {
    match address {
        SocketAddr::V4(address) => u32::from(*address.ip()).wrapping_mul(0x9e37_79b9),
        SocketAddr::V6(address) => u32::from(address.port()),
    }
}
