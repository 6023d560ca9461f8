//! The views of the last few seconds: who may still act on an older one, and until when.

use std::sync::Arc;
use std::time::Duration;

use crate::keeper::slots::TRANSIT_ALLOWANCE;
use crate::prelude::*;
use crate::rendezvous::{find_keeper, list_keepers};
use crate::vocabulary::freshness::{DRIFT_PPM, LEASE_WAIT_SPAN};
use crate::vocabulary::view::{ControlView, EntryRecord, EntryState};

/// Views remembered at most. A change of keeper in one that is forgotten is waited out whole.
const STEPS_MAX: usize = 64;

/// How long a new keeper waits after the view that named it: until the former one's lease has
/// certainly ended, and what it sent before has expired at the backend server.
pub fn handover_span() -> Duration {
    LEASE_WAIT_SPAN + TRANSIT_ALLOWANCE
}

/// The entry that looks at the views.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryIdentity {
    /// Its VM.
    pub vm: VmName,
    /// Its incarnation.
    pub incarnation: IncarnationNumber,
    /// Environment that it serves.
    pub environment: EnvironmentName,
}

impl EntryIdentity {
    /// Whether `entry` is this one, not an earlier start under the same name.
    pub fn is(&self, entry: &EntryRecord) -> bool {
        entry.vm == self.vm && entry.incarnation == self.incarnation
    }
}

#[derive(Clone, Debug)]
struct ViewStep {
    adopted: MonotonicTime,
    view: Arc<ControlView>,
    /// What was between this view and the one before is not known: everyone waits.
    doubtful: bool,
}

/// Views in the order of their adoption, the one in force last.
#[derive(Clone, Debug)]
pub struct ViewHistory {
    identity: EntryIdentity,
    steps: Vec<ViewStep>,
}

impl ViewHistory {
    /// No view yet.
    pub fn new(identity: EntryIdentity) -> Self {
        Self {
            identity,
            steps: Vec::new(),
        }
    }

    /// The view in force.
    pub fn view(&self) -> Option<&Arc<ControlView>> {
        self.steps.last().map(|step| &step.view)
    }

    /// This entry.
    pub fn identity(&self) -> &EntryIdentity {
        &self.identity
    }

    /// Adopts a view unless it is older than the one in force. `lease_held` tells whether the
    /// lease on the view before has held without a gap until now.
    pub fn adopt(&mut self, now: MonotonicTime, view: Arc<ControlView>, lease_held: bool) -> bool {
        if self
            .view()
            .is_some_and(|former| former.version >= view.version)
        {
            return false;
        }
        let doubtful = self
            .view()
            .is_none_or(|former| !lease_held || self.may_have_missed(former, &view));
        self.steps.push(ViewStep {
            adopted: now,
            view,
            doubtful,
        });
        self.prune(now);
        true
    }

    /// Whether this entry keeps `replica` in the view in force.
    pub fn keeps(&self, centre: &CentreName, replica: &ReplicaName) -> bool {
        self.view().is_some_and(|view| {
            find_keeper(view, &self.identity.environment, centre, replica)
                .is_some_and(|entry| self.identity.is(entry))
        })
    }

    /// When every former keeper of `replica` has certainly stopped.
    ///
    /// Each change of its keeper is waited out after the view that brought it, whoever the keepers
    /// were: one that was named and never began hides the one before it. A former keeper that
    /// released all it kept is not waited for, and for one that was lost the time counts for
    /// which control had given it no proof.
    pub fn opens(&self, centre: &CentreName, replica: &ReplicaName) -> MonotonicTime {
        let environment = &self.identity.environment;
        let mut opens = MonotonicTime::default();
        let mut former: Option<&EntryRecord> = None;
        for (index, step) in self.steps.iter().enumerate() {
            let keeper = find_keeper(&step.view, environment, centre, replica);
            let changed = former.is_some_and(|former| {
                !keeper.is_some_and(|keeper| same_entry(keeper, former))
                    && !self.released_since(index, former)
            });
            if step.doubtful {
                opens = opens.max(step.adopted + handover_span());
            } else if changed {
                let silent = former.map_or(Duration::ZERO, |former| silent_before(step, former));
                opens = opens.max(step.adopted + handover_span().saturating_sub(silent));
            }
            former = keeper;
        }
        opens
    }

    /// Sub-requests that this entry may run at a time in `centre` under its power cap.
    ///
    /// The cap is divided evenly among the entries that keep the data centre's replicas, what is
    /// left over by one each in order of name. The smallest share of all views that some entry
    /// may still act on holds, so that shares of different views never add up to more.
    pub fn power_share(&self, now: MonotonicTime, centre: &CentreName) -> Option<u32> {
        let shares = self.steps.iter().enumerate().filter_map(|(index, step)| {
            let superseded = self.steps.get(index + 1).map(|next| next.adopted);
            let counts = superseded.is_none_or(|at| now < at + handover_span());
            counts.then(|| share_in_view(&step.view, &self.identity, centre).unwrap_or(u32::MAX))
        });
        let share = shares.min().unwrap_or(u32::MAX);
        (share < u32::MAX).then_some(share)
    }

    /// When waiting that began with a view ends next.
    pub fn next_wake(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let ends = self.steps.iter().map(|step| step.adopted + handover_span());
        ends.filter(|end| *end > now).min()
    }

    /// Whether a view since the one at `index` says that `former` left and released all. As long
    /// as its VM is listed, a released departure is that of an earlier start.
    fn released_since(&self, index: usize, former: &EntryRecord) -> bool {
        let steps = &self.steps[index..];
        let lists = |view: &ControlView, released: bool| {
            view.departed
                .iter()
                .any(|gone| gone.vm == former.vm && gone.released == released)
        };
        let listed = |view: &ControlView| view.entries.iter().any(|entry| entry.vm == former.vm);
        steps
            .iter()
            .any(|step| lists(&step.view, true) && !listed(&step.view))
            && !steps.iter().any(|step| lists(&step.view, false))
    }

    /// Whether between `former` and `next` there may have been a view with another keeper.
    fn may_have_missed(&self, former: &ControlView, next: &ControlView) -> bool {
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
        let left = next
            .departed
            .iter()
            .any(|gone| gone.vm == self.identity.vm || (!gone.released && !was_live(&gone.vm)));
        let leaves = next
            .entries
            .iter()
            .any(|entry| entry.state == EntryState::Leaving && !known(&entry.vm));
        left || leaves || !self.same_layout(former, next)
    }

    /// Whether both views have the same regions, by which entries elsewhere are chosen.
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
        let over = |step: &ViewStep| step.adopted + handover_span() <= now;
        while self.steps.len() > 1 && over(&self.steps[1]) {
            self.steps.remove(0);
        }
        if self.steps.len() > STEPS_MAX {
            self.steps.remove(0);
            self.steps[0].doubtful = true;
        }
    }
}

/// For how long `former`, which the view lists as departed, had got no proof, less what clocks may
/// differ by.
fn silent_before(step: &ViewStep, former: &EntryRecord) -> Duration {
    let view = &step.view;
    if view.entries.iter().any(|entry| entry.vm == former.vm) {
        return Duration::ZERO;
    }
    let gone = view.departed.iter().find(|gone| gone.vm == former.vm);
    let silent = Duration::from_millis(gone.map_or(0, |gone| gone.silent_ms));
    silent.saturating_sub(silent * DRIFT_PPM * 2 / 1_000_000)
}

fn same_entry(first: &EntryRecord, second: &EntryRecord) -> bool {
    first.vm == second.vm && first.incarnation == second.incarnation
}

/// The share of `identity` in one view; unset where the data centre has no cap.
pub fn share_in_view(
    view: &ControlView,
    identity: &EntryIdentity,
    centre: &CentreName,
) -> Option<u32> {
    let document = view.environments.get(&identity.environment)?;
    let cap = document.find_centre(centre)?.power_cap?;
    let keepers = list_keepers(view, &identity.environment, centre);
    let Some(place) = keepers.iter().position(|entry| identity.is(entry)) else {
        return Some(0);
    };
    let count = u32::try_from(keepers.len()).unwrap_or(u32::MAX);
    let extra = u32::try_from(place).is_ok_and(|place| place < cap % count);
    Some(cap / count + u32::from(extra))
}
