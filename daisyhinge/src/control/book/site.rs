//! Changes of a deployment's state.

use std::sync::Arc;

use crate::vocabulary::site::{SiteChange, SiteDone, SiteState};

/// Applies a change. One that alters nothing is accepted and leaves the revision as it is.
///
/// # Panics
/// If a version would fall, which is a fault of the program.
pub(super) fn apply_change(state: &mut Arc<SiteState>, change: &SiteChange) -> SiteDone {
    let before = state.version();
    if let Some(mut next) = find_next(state, change) {
        next.revision += 1;
        *state = Arc::new(next);
    }
    assert!(state.version() >= before, "a configuration's version fell");
    SiteDone {
        revision: state.revision,
        version: state.version(),
    }
}

/// The state after a change; none if it alters nothing.
fn find_next(state: &SiteState, change: &SiteChange) -> Option<SiteState> {
    let mut next = state.clone();
    let altered = match change {
        SiteChange::Apply(document) => {
            let newer = document.version > state.version() || state.document.is_none();
            if newer {
                next.document = Some(document.clone());
            }
            newer
        }
        SiteChange::Evacuate(centre) => next.evacuated.insert(centre.clone()),
        SiteChange::Return(centre) => next.evacuated.remove(centre),
    };
    altered.then_some(next)
}
