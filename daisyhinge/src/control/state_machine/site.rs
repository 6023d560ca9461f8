//! Changes of the site's state.

use std::sync::Arc;

use super::rollouts::{apply_order, apply_step};
use crate::prelude::*;
use crate::vocabulary::site::{CommittedSiteChange, SiteChange, SiteState};

/// Applies a change. A change without effect is accepted and leaves the revision unchanged.
///
/// # Errors
/// The refusal of an order; the state is then unchanged.
///
/// # Panics
/// If the version would decrease, which is a bug in the program.
pub(super) fn apply_change(
    state: &mut Arc<SiteState>,
    clock_ms: u64,
    change: &SiteChange,
) -> Result<CommittedSiteChange, ResultCode> {
    let before = state.version();
    if let Some(mut next) = next_state(state, clock_ms, change)? {
        next.revision += 1;
        *state = Arc::new(next);
    }
    assert!(
        state.version() >= before,
        "the version of the configuration decreased"
    );
    Ok(CommittedSiteChange {
        revision: state.revision,
        version: state.version(),
    })
}

/// Returns the state after a change, or `None` if the change has no effect.
fn next_state(
    state: &SiteState,
    clock_ms: u64,
    change: &SiteChange,
) -> Result<Option<SiteState>, ResultCode> {
    let mut next = state.clone();
    let changed = match change {
        SiteChange::Apply(document) => {
            let newer = document.version > state.version() || state.document.is_none();
            if newer {
                next.document = Some(document.clone());
            }
            newer
        }
        SiteChange::Evacuate(centre) => next.evacuated.insert(centre.clone()),
        SiteChange::Return(centre) => next.evacuated.remove(centre),
        SiteChange::RaiseLevel(level) => {
            let higher = *level > state.feature_level;
            next.feature_level = next.feature_level.max(*level);
            higher
        }
        SiteChange::Order { order, stable } => {
            apply_order(&mut next, clock_ms, order, stable.as_ref())?
        }
        SiteChange::Advance(step) => apply_step(&mut next, clock_ms, step),
    };
    Ok(changed.then_some(next))
}
