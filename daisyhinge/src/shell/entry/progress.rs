//! State of an entry as reported to operators.

use serde::Serialize;

use crate::prelude::*;
use crate::shell::entry::state::{EntryPhase, EntryState};
use crate::vocabulary::clock::duration_to_millis;

/// State of an entry, served as JSON by `GET /v1/progress`.
#[derive(Clone, Debug, Serialize)]
pub struct EntryProgress {
    /// Name of the VM that the entry runs on.
    pub vm: VmName,
    /// `serving`, `leaving` or `closed`.
    pub phase: &'static str,
    /// Version of the control view that the entry last adopted.
    pub version: VersionNumber,
    /// Remaining time of the lease in milliseconds; 0 if it expired.
    pub lease_ms: u64,
    /// Number of running requests from callers.
    pub running: u32,
    /// Number of replicas assigned to this entry.
    pub kept: usize,
    /// Number of replicas in the route table, including those of other entries.
    pub known: usize,
}

/// Reads the state of an entry.
pub fn read_progress(state: &EntryState) -> EntryProgress {
    let kept = state.keepers.lock().keeper_set().len();
    let known = state.routes.lock().replica_count();
    EntryProgress {
        vm: state.settings.vm.clone(),
        phase: match state.phase() {
            EntryPhase::Serving => "serving",
            EntryPhase::Leaving => "leaving",
            EntryPhase::Closed => "closed",
        },
        version: state.view().version,
        lease_ms: duration_to_millis(state.lease().expires_at().since(state.now())),
        running: state.running_count(),
        kept,
        known,
    }
}
