//! Polls control for freshness proofs and entries for their replica tables, and makes claims.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;

use crate::keeper::keeper_set::KeeperSetEvent;
use crate::prelude::*;
use crate::shell::entry::control_pool::CONTROL_TIMEOUT;
use crate::shell::entry::keeper::{step_keepers, table_delta};
use crate::shell::entry::state::EntryState;
use crate::vocabulary::claim::{ClaimReply, ClaimRequest, EndClaimRequest};
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::freshness::{FreshnessProof, FreshnessRequest};
use crate::vocabulary::view::{EntryRecord, EntryState as MemberState};

/// Interval between requests for a freshness proof.
const FRESHNESS_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before the next control VM is tried after a failure.
const FRESHNESS_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval between requests for the tables of entries.
const TABLE_INTERVAL: Duration = Duration::from_millis(100);

/// Passes over the list of control VMs before a claim fails as unavailable.
const CLAIM_ROUNDS: usize = 2;

/// Requests freshness proofs until the process stops.
pub async fn poll_control(state: Arc<EntryState>) {
    let mut lease_was_valid = false;
    loop {
        let renewed = request_freshness(&state).await;
        let has_lease = state.may_dispatch();
        if has_lease != lease_was_valid {
            lease_was_valid = has_lease;
            let kind = if has_lease {
                EventKind::LeaseGained
            } else {
                EventKind::LeaseLost
            };
            state.record_event(EventDraft::new(kind).with_version(state.lease().version()));
        }
        tokio::time::sleep(if renewed {
            FRESHNESS_INTERVAL
        } else {
            FRESHNESS_RETRY_DELAY
        })
        .await;
    }
}

async fn request_freshness(state: &Arc<EntryState>) -> bool {
    let request = FreshnessRequest {
        entry: state.record(),
        holds: state.view().version,
        released: state.is_released(),
    };
    // Read before the request is sent: a later time would extend the lease beyond what the proof
    // shows.
    let sent_at = state.now();
    let proof = match state.control.link(&state.settings.control).await {
        Some(link) => link
            .fresh(control_context(), request)
            .await
            .ok()
            .and_then(Result::ok),
        None => None,
    };
    let Some(proof) = proof else {
        state.control.advance();
        return false;
    };
    apply_proof(state, proof, sent_at);
    true
}

fn apply_proof(state: &Arc<EntryState>, proof: FreshnessProof, sent_at: MonotonicTime) {
    let version = proof.version;
    if let Some(view) = proof
        .view
        .filter(|view| view.version > state.view().version)
    {
        state.adopt_view(Arc::clone(&view));
        {
            let (environment, own_centre) = (
                state.settings.environment.clone(),
                state.settings.data_centre.clone(),
            );
            let mut routes = state.routes.lock();
            routes.adopt_view(Arc::clone(&view), environment, own_centre);
        };
        step_keepers(state, KeeperSetEvent::View(view));
    }
    // A proof applies only to the version of the adopted view.
    if state.view().version == version {
        state.renew_lease(version, sent_at, Duration::from_micros(proof.age_us));
        step_keepers(state, KeeperSetEvent::Lease(state.lease()));
    }
    if is_listed_as_leaving(state) && state.keepers.lock().keeper_set().is_released() {
        state.set_released();
    }
}

/// Returns whether the current view lists this entry as leaving. Only then can no further replica
/// be assigned to it.
fn is_listed_as_leaving(state: &EntryState) -> bool {
    let own_record = state.record();
    own_record.state == MemberState::Leaving && state.view().entries.contains(&own_record)
}

/// Claims a request that must not run more than once.
pub async fn claim_request(state: &EntryState, request: ClaimRequest) -> ClaimReply {
    for _ in 0..state.settings.control.len() * CLAIM_ROUNDS {
        if let Some(link) = state.control.link(&state.settings.control).await {
            match link.claim(control_context(), request.clone()).await {
                Ok(ClaimReply::Refused(ResultCode::NotLeader | ResultCode::NoQuorum)) | Err(_) => {}
                Ok(reply) => return reply,
            }
        }
        state.control.advance();
    }
    ClaimReply::Refused(ResultCode::ClaimUnavailable)
}

/// Records the outcome of a claimed request. Returns `true` once the record is committed.
pub async fn end_claim(state: &EntryState, end: EndClaimRequest) -> bool {
    for _ in 0..state.settings.control.len() * CLAIM_ROUNDS {
        if let Some(link) = state.control.link(&state.settings.control).await
            && link
                .end_claim(control_context(), end.clone())
                .await
                .unwrap_or(false)
        {
            return true;
        }
        state.control.advance();
    }
    false
}

fn control_context() -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + CONTROL_TIMEOUT;
    context
}

/// Polls all entries, this one included, for changes in their tables of replicas and applies them
/// to the routes. Runs until the process stops.
pub async fn poll_tables(state: Arc<EntryState>) {
    loop {
        let view = state.view();
        remove_departed(&state, &view.entries);
        join_all(view.entries.iter().map(|entry| poll_table(&state, entry))).await;
        tokio::time::sleep(TABLE_INTERVAL).await;
    }
}

async fn poll_table(state: &Arc<EntryState>, entry: &EntryRecord) {
    let request = state.routes.lock().table_request(&entry.vm);
    let delta = if entry.vm == state.settings.vm {
        Some(table_delta(state, request))
    } else {
        state.peers.table(entry.peer_address, request).await
    };
    let Some(delta) = delta else { return };
    state.record_contact(&entry.vm);
    if entry.vm != state.settings.vm {
        // Passed on even if there are no crash records: an empty list shows that earlier records
        // were withdrawn.
        let event = KeeperSetEvent::Crashes {
            keeper: entry.vm.clone(),
            table: delta.table,
            records: delta.crashes.clone(),
        };
        step_keepers(state, event);
    }
    let mut routes = state.routes.lock();
    routes.advance(state.now());
    routes.apply_delta(&entry.vm, delta);
}

fn remove_departed(state: &EntryState, entries: &[EntryRecord]) {
    state.retain_contacts(|vm| entries.iter().any(|entry| entry.vm == *vm));
    let mut routes = state.routes.lock();
    for keeper in routes.keepers() {
        if !entries.iter().any(|entry| entry.vm == keeper) {
            routes.drop_keeper(&keeper);
        }
    }
}
