//! History of recent views: determines which entries may still act on an older view, and until
//! when.

use std::sync::Arc;
use std::time::Duration;

use crate::keeper::slots::TRANSIT_ALLOWANCE;
use crate::prelude::*;
use crate::rendezvous::{find_keeper, list_keepers};
use crate::vocabulary::freshness::{CLOCK_DRIFT_PPM, LEASE_EXPIRY_WAIT};
use crate::vocabulary::view::{ControlView, EntryRecord, EntryState};

/// Maximum number of views in the history. For a change of keeper in a view dropped from it, the
/// new keeper waits for the full handover.
const VIEWS_MAX: usize = 64;

/// Returns the wait of a new keeper after the view that named it: until the former keeper's lease
/// has definitely ended and the work sent before has expired at the backend server.
pub fn handover_duration() -> Duration {
    LEASE_EXPIRY_WAIT + TRANSIT_ALLOWANCE
}

/// Identity of the entry that evaluates the views.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryIdentity {
    /// VM on which the entry runs; identifies the entry in a view.
    pub vm: VmName,
    /// Incarnation of this start, which distinguishes it from earlier entries on the same VM.
    pub incarnation: IncarnationNumber,
    /// Environment that the entry serves.
    pub environment: EnvironmentName,
}

impl EntryIdentity {
    /// Returns whether `entry` is this start of the entry, not an earlier one under the same name.
    pub fn matches(&self, entry: &EntryRecord) -> bool {
        entry.vm == self.vm && entry.incarnation == self.incarnation
    }
}

#[derive(Clone, Debug)]
struct ViewAdoption {
    adopted_at: MonotonicTime,
    view: Arc<ControlView>,
    /// Whether a change of keeper may have been missed before this view, so that every keeper
    /// waits.
    uncertain: bool,
}

/// Views in order of adoption; the last one is in force.
#[derive(Clone, Debug)]
pub struct ViewHistory {
    identity: EntryIdentity,
    adoptions: Vec<ViewAdoption>,
}

impl ViewHistory {
    /// Creates a history without views.
    pub fn new(identity: EntryIdentity) -> Self {
        Self {
            identity,
            adoptions: Vec::new(),
        }
    }

    /// Returns the view in force.
    pub fn view(&self) -> Option<&Arc<ControlView>> {
        self.adoptions.last().map(|adoption| &adoption.view)
    }

    /// Returns the identity of this entry.
    pub fn identity(&self) -> &EntryIdentity {
        &self.identity
    }

    /// Adopts `view` unless it is older than the one in force, and returns whether it did.
    /// `lease_held` states whether the lease on the previous view was held without a gap until now.
    pub fn adopt(&mut self, now: MonotonicTime, view: Arc<ControlView>, lease_held: bool) -> bool {
        if self
            .view()
            .is_some_and(|former| former.version >= view.version)
        {
            return false;
        }
        let uncertain = self
            .view()
            .is_none_or(|former| !lease_held || self.may_have_missed_keeper(former, &view));
        self.adoptions.push(ViewAdoption {
            adopted_at: now,
            view,
            uncertain,
        });
        self.prune(now);
        true
    }

    /// Returns whether this entry is the keeper of `replica` in the view in force.
    pub fn is_keeper_of(&self, centre: &CentreName, replica: &ReplicaName) -> bool {
        self.view().is_some_and(|view| {
            find_keeper(view, &self.identity.environment, centre, replica)
                .is_some_and(|entry| self.identity.matches(entry))
        })
    }

    /// Returns the time at which every former keeper of `replica` has definitely stopped.
    ///
    /// Each change of keeper is followed by a full handover after the view that made it, whichever
    /// entries are involved: a keeper that was named and never started must not hide the one before
    /// it. No wait is needed for a former keeper that released all its replicas. For a lost one,
    /// the time for which control had given it no proof of freshness counts towards the wait.
    pub fn handover_ends(&self, centre: &CentreName, replica: &ReplicaName) -> MonotonicTime {
        let environment = &self.identity.environment;
        let mut handover_ends = MonotonicTime::default();
        let mut former: Option<&EntryRecord> = None;
        for (index, adoption) in self.adoptions.iter().enumerate() {
            let keeper = find_keeper(&adoption.view, environment, centre, replica);
            let changed = former.is_some_and(|former| {
                !keeper.is_some_and(|keeper| same_entry(keeper, former))
                    && !self.released_since(index, former)
            });
            if adoption.uncertain {
                handover_ends = handover_ends.max(adoption.adopted_at + handover_duration());
            } else if changed {
                let silence =
                    former.map_or(Duration::ZERO, |former| silence_before(adoption, former));
                handover_ends = handover_ends
                    .max(adoption.adopted_at + handover_duration().saturating_sub(silence));
            }
            former = keeper;
        }
        handover_ends
    }

    /// Returns the number of sub-requests that this entry may run at a time in `centre` under its
    /// power cap, or `None` without a cap.
    ///
    /// The cap is divided evenly among the entries that are keepers in the data centre; the
    /// remainder is distributed one each, in order of name. The smallest share in all views that
    /// some entry may still act on applies, so that shares of different views never add up to more
    /// than the cap.
    pub fn power_share(&self, now: MonotonicTime, centre: &CentreName) -> Option<u32> {
        let shares = self
            .adoptions
            .iter()
            .enumerate()
            .filter_map(|(index, adoption)| {
                let superseded = self.adoptions.get(index + 1).map(|next| next.adopted_at);
                let counts = superseded.is_none_or(|at| now < at + handover_duration());
                counts.then(|| {
                    share_in_view(&adoption.view, &self.identity, centre).unwrap_or(u32::MAX)
                })
            });
        let share = shares.min().unwrap_or(u32::MAX);
        (share < u32::MAX).then_some(share)
    }

    /// Returns the time at which the next handover ends.
    pub fn next_wake(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let handover_times = self
            .adoptions
            .iter()
            .map(|adoption| adoption.adopted_at + handover_duration());
        handover_times.filter(|end| *end > now).min()
    }

    /// Returns whether a view since the one at `index` lists `former` as departed with all its
    /// replicas released. While its VM is listed as an entry, a released departure belongs to an
    /// earlier start.
    fn released_since(&self, index: usize, former: &EntryRecord) -> bool {
        let adoptions = &self.adoptions[index..];
        let lists_departure = |view: &ControlView, released: bool| {
            view.departed.iter().any(|departed_entry| {
                departed_entry.vm == former.vm && departed_entry.released == released
            })
        };
        let lists_entry =
            |view: &ControlView| view.entries.iter().any(|entry| entry.vm == former.vm);
        adoptions
            .iter()
            .any(|adoption| lists_departure(&adoption.view, true) && !lists_entry(&adoption.view))
            && !adoptions
                .iter()
                .any(|adoption| lists_departure(&adoption.view, false))
    }

    /// Returns whether a view between `former` and `next` may have named another keeper.
    fn may_have_missed_keeper(&self, former: &ControlView, next: &ControlView) -> bool {
        if next.version.0 == former.version.0 + 1 {
            return false;
        }
        let was_live = |vm: &VmName| {
            former
                .entries
                .iter()
                .any(|entry| entry.vm == *vm && entry.state == EntryState::Live)
        };
        let known = |vm: &VmName| former.entries.iter().any(|entry| entry.vm == *vm);
        let missed_departure = next.departed.iter().any(|departed_entry| {
            departed_entry.vm == self.identity.vm
                || (!departed_entry.released && !was_live(&departed_entry.vm))
        });
        let missed_leave = next
            .entries
            .iter()
            .any(|entry| entry.state == EntryState::Leaving && !known(&entry.vm));
        missed_departure || missed_leave || !self.same_layout(former, next)
    }

    /// Returns whether both views have the same regions and data centres, which determine the
    /// keepers of data centres without entries.
    fn same_layout(&self, former: &ControlView, next: &ControlView) -> bool {
        let layout = |view: &ControlView| -> Vec<(RegionName, CentreName)> {
            let document = view.environments.get(&self.identity.environment);
            let regions = document.map(|document| document.regions.as_slice());
            let pairs = regions.unwrap_or_default().iter().flat_map(|region| {
                let centres = region.data_centres.iter();
                centres.map(|centre| (region.name.clone(), centre.name.clone()))
            });
            pairs.collect()
        };
        layout(former) == layout(next)
    }

    fn prune(&mut self, now: MonotonicTime) {
        let expired = |adoption: &ViewAdoption| adoption.adopted_at + handover_duration() <= now;
        while self.adoptions.len() > 1 && expired(&self.adoptions[1]) {
            self.adoptions.remove(0);
        }
        if self.adoptions.len() > VIEWS_MAX {
            self.adoptions.remove(0);
            self.adoptions[0].uncertain = true;
        }
    }
}

/// Returns the time for which `former`, which the view lists as departed, had received no proof of
/// freshness, less the maximum clock drift.
fn silence_before(adoption: &ViewAdoption, former: &EntryRecord) -> Duration {
    let view = &adoption.view;
    if view.entries.iter().any(|entry| entry.vm == former.vm) {
        return Duration::ZERO;
    }
    let departed_entry = view
        .departed
        .iter()
        .find(|departed_entry| departed_entry.vm == former.vm);
    let silence =
        Duration::from_millis(departed_entry.map_or(0, |departed_entry| departed_entry.silent_ms));
    silence.saturating_sub(silence * CLOCK_DRIFT_PPM * 2 / 1_000_000)
}

fn same_entry(first: &EntryRecord, second: &EntryRecord) -> bool {
    first.vm == second.vm && first.incarnation == second.incarnation
}

/// Returns the share of `identity` in the power cap in one view; `None` where the data centre has
/// no cap.
pub fn share_in_view(
    view: &ControlView,
    identity: &EntryIdentity,
    centre: &CentreName,
) -> Option<u32> {
    let document = view.environments.get(&identity.environment)?;
    let cap = document.find_centre(centre)?.power_cap?;
    let keepers = list_keepers(view, &identity.environment, centre);
    let Some(rank) = keepers.iter().position(|entry| identity.matches(entry)) else {
        return Some(0);
    };
    let count = u32::try_from(keepers.len()).unwrap_or(u32::MAX);
    let extra = u32::try_from(rank).is_ok_and(|rank| rank < cap % count);
    Some(cap / count + u32::from(extra))
}
