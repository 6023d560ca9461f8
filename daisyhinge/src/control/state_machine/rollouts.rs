//! Orders and steps of rollouts.

use crate::prelude::*;
use crate::vocabulary::feature::FeatureLevel;
use crate::vocabulary::rollout::{RolloutOrder, RolloutPhase, RolloutRecord, RolloutStep};
use crate::vocabulary::site::SiteState;

/// Share of a service's requests that the target version receives first, in thousandths. It is half
/// of the share that a bad version may receive by default.
const FIRST_SHARE: u16 = 50;
/// Time after the end of a rollout for which an order of the same target counts as a repeat, in
/// milliseconds. An operator that lost the reply resends the order.
const REPEAT_MS: u64 = 60_000;
/// Maximum number of records; the record that ended first is dropped.
const RECORDS_MAX: usize = 4_096;

/// Applies an order. Returns whether it started a rollout; a repeated order does not. A rollout to the
/// version that is already running is completed at once.
///
/// `serving` is what the registry of the process that received the order knows: the target if that
/// is running, otherwise the version of most replicas other than the target. The former rollout takes
/// precedence as to what is running, since it binds the entries.
///
/// # Errors
/// [`ResultCode::RolloutConflict`] if a rollout to another version is in progress, and the errors
/// of [`check_level`].
pub(super) fn apply_order(
    state: &mut SiteState,
    clock_ms: u64,
    order: &RolloutOrder,
    serving: Option<&VersionName>,
) -> Result<bool, ResultCode> {
    check_level(state)?;
    let former = state.rollouts.get(&order.service);
    if let Some(former) = former {
        let same_target = former.order.target == order.target;
        match former.is_in_progress() {
            true if same_target => return Ok(false),
            true => return Err(ResultCode::RolloutConflict),
            false if same_target && clock_ms < former.advanced_ms + REPEAT_MS => return Ok(false),
            false => {}
        }
    }
    let bound = former.and_then(serving_version);
    let is_running = bound.or(serving) == Some(&order.target);
    let phase = if is_running {
        RolloutPhase::Completed
    } else {
        RolloutPhase::InProgress(FIRST_SHARE)
    };
    let candidates = if is_running {
        // The other replicas may be of a version that was rolled back, which must get nothing.
        [former.and_then(|former| former.stable.as_ref()), None]
    } else {
        [bound, serving]
    };
    let is_other = |version: &&&VersionName| **version != &order.target;
    let stable = candidates.iter().flatten().find(is_other).copied().cloned();
    let record = RolloutRecord {
        number: state.revision + 1,
        order: order.clone(),
        stable,
        ordered_ms: clock_ms,
        advanced_ms: clock_ms,
        phase,
        reason: None,
    };
    state.rollouts.insert(order.service.clone(), record);
    drop_oldest(state);
    Ok(true)
}

/// Applies a step. Returns whether it changed the rollout. A step for a rollout that is not in
/// progress has no effect, so that a former leader cannot change what its successor recorded.
pub(super) fn apply_step(state: &mut SiteState, clock_ms: u64, step: &RolloutStep) -> bool {
    let Some(record) = state.rollouts.get_mut(&step.service) else {
        return false;
    };
    let applies = record.number == step.number && record.is_in_progress();
    if !applies || record.phase == step.phase {
        return false;
    }
    record.phase = step.phase;
    record.reason = step.reason;
    record.advanced_ms = clock_ms;
    true
}

/// Checks that all members support rollouts.
fn check_level(state: &SiteState) -> Result<(), ResultCode> {
    if state.feature_level < FeatureLevel::ROLLOUTS {
        return Err(ResultCode::FeatureLevelTooLow);
    }
    Ok(())
}

/// Returns the version that serves the requests after a rollout.
fn serving_version(record: &RolloutRecord) -> Option<&VersionName> {
    match record.phase {
        RolloutPhase::Completed => Some(&record.order.target),
        RolloutPhase::InProgress(_) | RolloutPhase::RolledBack => record.stable.as_ref(),
    }
}

fn drop_oldest(state: &mut SiteState) {
    if state.rollouts.len() <= RECORDS_MAX {
        return;
    }
    let ended = state
        .rollouts
        .values()
        .filter(|record| !record.is_in_progress());
    let oldest = ended.min_by_key(|record| record.advanced_ms);
    if let Some(service) = oldest.map(|record| record.order.service.clone()) {
        state.rollouts.remove(&service);
    }
}
