//! What an entry tells operators of its own state.

use serde::Serialize;

use crate::prelude::*;
use crate::shell::entry::state::{EntryPhase, EntryState};
use crate::vocabulary::clock::duration_to_millis;

/// State of an entry at one moment.
#[derive(Clone, Debug, Serialize)]
pub struct EntryProgress {
    /// Its VM.
    pub vm: VmName,
    /// `serving`, `leaving` or `closed`.
    pub phase: &'static str,
    /// Version in force here.
    pub version: VersionNumber,
    /// Time that the lease still holds, in milliseconds; 0 if it ran out.
    pub lease_ms: u64,
    /// Requests of callers that run here.
    pub running: u32,
    /// Replicas kept here.
    pub kept: usize,
    /// Replicas known.
    pub known: usize,
}

/// Reads the state of an entry.
pub fn read_progress(state: &EntryState) -> EntryProgress {
    let kept = state.keeping.lock().keeper_set().len();
    let known = state.routes.lock().replica_count();
    EntryProgress {
        vm: state.settings.vm.clone(),
        phase: match state.phase() {
            EntryPhase::Serving => "serving",
            EntryPhase::Leaving => "leaving",
            EntryPhase::Closed => "closed",
        },
        version: state.view().version,
        lease_ms: duration_to_millis(state.lease().ends().since(state.now())),
        running: state.running_count(),
        kept,
        known,
    }
}
