//! Which control process an entry follows: the nearest one that serves.
//!
//! What an entry is told crosses each link once for every entry that follows over it, so an entry
//! that follows another region pays for each change there. It therefore goes back to the nearest
//! control process some time after it had to leave it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::dispatch::fleet::{FleetPlace, Nearness};
use crate::prelude::*;
use crate::vocabulary::registration::ControlPlace;

/// Control processes that are remembered.
const KNOWN_MAX: usize = 256;
/// Time for which a control process is followed before a nearer one is tried.
const STAY_SPAN: Duration = Duration::from_millis(1_500);
/// Time between two tries of a nearer control process.
const NEARER_SPAN: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, Default)]
struct KnownControl {
    data_centre: Option<CentreName>,
    /// How often it was left since it last served.
    left: u32,
    /// When it was last tried as a nearer one.
    tried: Option<MonotonicTime>,
}

/// The control processes that an entry knows.
#[derive(Clone, Debug)]
pub struct ControlList {
    place: FleetPlace,
    seeds: Vec<SocketAddr>,
    /// Spreads entries over control processes that are as near.
    spread: u64,
    known: BTreeMap<SocketAddr, KnownControl>,
    /// The one that is followed, and since when it has served.
    followed: Option<(SocketAddr, Option<MonotonicTime>)>,
}

impl ControlList {
    /// A list of `seeds`, whose data centres are not known yet.
    pub fn open(place: FleetPlace, seeds: Vec<SocketAddr>, spread: u64) -> Self {
        let unknown = |seed: &SocketAddr| (*seed, KnownControl::default());
        Self {
            known: seeds.iter().map(unknown).collect(),
            place,
            seeds,
            spread,
            followed: None,
        }
    }

    /// The control process that was left least often, and of these the nearest.
    pub fn next_address(&self) -> Option<SocketAddr> {
        let order = |(address, known): &(&SocketAddr, &KnownControl)| {
            let spread = self.spread ^ u64::from(hash_address(address));
            (known.left, self.rank(known), spread)
        };
        let best = self.known.iter().min_by_key(order);
        best.map(|(address, _)| *address)
    }

    /// Notes which one is followed from now on.
    pub fn note_followed(&mut self, address: SocketAddr) {
        self.followed = Some((address, None));
    }

    /// Notes that the one that is followed serves.
    pub fn note_served(&mut self, now: MonotonicTime) {
        if let Some((address, since)) = &mut self.followed {
            since.get_or_insert(now);
            self.known.entry(*address).or_default().left = 0;
        }
    }

    /// Notes that one was left since it did not serve. Says whether none is left to be tried, in
    /// which case each may be tried once more.
    pub fn note_left(&mut self, address: SocketAddr) -> bool {
        self.followed = None;
        self.known.entry(address).or_default().left += 1;
        let all_left = self.known.values().all(|known| known.left > 0);
        if all_left {
            self.known.values_mut().for_each(|known| known.left -= 1);
        }
        all_left
    }

    /// Takes the control processes that are told of. Those that are not told of any more are
    /// forgotten, but for the seeds.
    pub fn take_listed(&mut self, listed: &[ControlPlace]) {
        if listed.is_empty() {
            return;
        }
        let seeds = &self.seeds;
        let is_listed = |address| listed.iter().any(|place| place.address == address);
        self.known
            .retain(|address, _| is_listed(*address) || seeds.contains(address));
        for place in listed.iter().take(KNOWN_MAX) {
            let known = self.known.entry(place.address).or_default();
            if place.data_centre.is_some() {
                known.data_centre.clone_from(&place.data_centre);
            }
        }
    }

    /// A control process that is nearer than the one that is followed and is to be tried now.
    pub fn find_nearer(&mut self, now: MonotonicTime) -> Option<SocketAddr> {
        let (followed, since) = self.followed?;
        if now.since(since?) < STAY_SPAN {
            return None;
        }
        let held = self
            .known
            .get(&followed)
            .map_or(u8::MAX, |known| self.rank(known));
        let spread = self.spread;
        let place = &self.place;
        let nearer = self.known.iter_mut().filter(|(_, known)| {
            let rested = known
                .tried
                .is_none_or(|tried| now.since(tried) >= NEARER_SPAN);
            rested && rank_control(place, known) < held
        });
        let order = |(address, known): &(&SocketAddr, &mut KnownControl)| {
            let spread = spread ^ u64::from(hash_address(address));
            (rank_control(place, known), spread)
        };
        let (address, known) = nearer.min_by_key(order)?;
        known.tried = Some(now);
        Some(*address)
    }

    fn rank(&self, known: &KnownControl) -> u8 {
        rank_control(&self.place, known)
    }
}

/// The nearer, the lower.
fn rank_control(place: &FleetPlace, known: &KnownControl) -> u8 {
    let nearness = known
        .data_centre
        .as_ref()
        .map(|centre| place.nearness_of(centre));
    match nearness {
        Some(Nearness::SameCentre) => 0,
        Some(Nearness::SameRegion) => 1,
        Some(Nearness::OtherRegion) => 2,
        None => 3,
    }
}

fn hash_address(address: &SocketAddr) -> u32 {
    match address {
        SocketAddr::V4(address) => u32::from(*address.ip()).wrapping_mul(0x9e37_79b9),
        SocketAddr::V6(address) => u32::from(address.port()),
    }
}
