//! Follows control's freshness and other entries' tables.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;

use crate::keeper::keeper_set::KeeperSetEvent;
use crate::prelude::*;
use crate::shell::entry::control_pool::CONTROL_TIMEOUT;
use crate::shell::entry::keeping::{step_roster, table_delta};
use crate::shell::entry::state::EntryState;
use crate::vocabulary::claim::{ClaimReply, ClaimRequest, EndClaimRequest};
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::freshness::{FreshnessProof, FreshnessRequest};
use crate::vocabulary::view::{EntryRecord, EntryState as MemberState};

/// How often a proof of freshness is asked for.
const FRESH_PERIOD: Duration = Duration::from_millis(500);

/// How soon another control VM is asked after a failure.
const FRESH_RETRY: Duration = Duration::from_millis(50);

/// How often other entries' tables are asked for.
const TABLE_PERIOD: Duration = Duration::from_millis(100);

/// Rounds over all control VMs for a claim before it is given up as unavailable.
const CLAIM_ROUNDS: usize = 2;

/// Asks for proofs of freshness until the process stops.
pub async fn follow_control(state: Arc<EntryState>) {
    let mut held = false;
    loop {
        let renewed = ask_freshness(&state).await;
        let holds = state.may_dispatch();
        if holds != held {
            held = holds;
            let kind = if holds {
                EventKind::LeaseGained
            } else {
                EventKind::LeaseLost
            };
            state.note(EventDraft::new(kind).with_version(state.lease().version()));
        }
        tokio::time::sleep(if renewed { FRESH_PERIOD } else { FRESH_RETRY }).await;
    }
}

async fn ask_freshness(state: &Arc<EntryState>) -> bool {
    let ask = FreshnessRequest {
        entry: state.record(),
        holds: state.view().version,
        released: state.is_released(),
    };
    // Taken before the question leaves: the proof is at least as old as this.
    let asked = state.now();
    let proof = match state.control.link(&state.settings.control).await {
        Some(link) => link
            .fresh(control_context(), ask)
            .await
            .ok()
            .and_then(Result::ok),
        None => None,
    };
    let Some(proof) = proof else {
        state.control.advance();
        return false;
    };
    take_proof(state, proof, asked);
    true
}

fn take_proof(state: &Arc<EntryState>, proof: FreshnessProof, asked: MonotonicTime) {
    let version = proof.version;
    if let Some(view) = proof
        .view
        .filter(|view| view.version > state.view().version)
    {
        state.adopt_view(Arc::clone(&view));
        {
            let (environment, home) = (
                state.settings.environment.clone(),
                state.settings.data_centre.clone(),
            );
            let mut routes = state.routes.lock();
            routes.adopt_view(Arc::clone(&view), environment, home);
        };
        step_roster(state, KeeperSetEvent::View(view));
    }
    // A proof is only of use for the view that is held.
    if state.view().version == version {
        state.renew_lease(version, asked, Duration::from_micros(proof.age_us));
        step_roster(state, KeeperSetEvent::Lease(state.lease()));
    }
    if is_listed_leaving(state) && state.keeping.lock().keeper_set().is_released() {
        state.set_released();
    }
}

/// Whether the view in force says that this entry leaves: only then can it get no replica more.
fn is_listed_leaving(state: &EntryState) -> bool {
    let own = state.record();
    own.state == MemberState::Leaving && state.view().entries.contains(&own)
}

/// Claims a request that may not be repeated.
pub async fn claim_request(state: &EntryState, ask: ClaimRequest) -> ClaimReply {
    for _ in 0..state.settings.control.len() * CLAIM_ROUNDS {
        if let Some(link) = state.control.link(&state.settings.control).await {
            match link.claim(control_context(), ask.clone()).await {
                Ok(ClaimReply::Refused(ResultCode::NotLeader | ResultCode::NoQuorum)) | Err(_) => {}
                Ok(reply) => return reply,
            }
        }
        state.control.advance();
    }
    ClaimReply::Refused(ResultCode::ClaimUnavailable)
}

/// Records how a claimed request ended. `true` once it is committed.
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

/// Asks other entries what changed in their tables until the process stops.
pub async fn follow_tables(state: Arc<EntryState>) {
    loop {
        let view = state.view();
        forget_departed(&state, &view.entries);
        join_all(view.entries.iter().map(|entry| follow_table(&state, entry))).await;
        tokio::time::sleep(TABLE_PERIOD).await;
    }
}

async fn follow_table(state: &Arc<EntryState>, entry: &EntryRecord) {
    let ask = state.routes.lock().table_request(&entry.vm);
    let delta = if entry.vm == state.settings.vm {
        Some(table_delta(state, ask))
    } else {
        state.peers.table(entry.peer_address, ask).await
    };
    let Some(delta) = delta else { return };
    state.note_heard(&entry.vm);
    if entry.vm != state.settings.vm {
        // An empty list too: it tells that a record was withdrawn.
        let event = KeeperSetEvent::Crashes {
            keeper: entry.vm.clone(),
            table: delta.table,
            records: delta.crashes.clone(),
        };
        step_roster(state, event);
    }
    let mut routes = state.routes.lock();
    routes.advance(state.now());
    routes.apply_delta(&entry.vm, delta);
}

fn forget_departed(state: &EntryState, entries: &[EntryRecord]) {
    state.retain_heard(|vm| entries.iter().any(|entry| entry.vm == *vm));
    let mut routes = state.routes.lock();
    for keeper in routes.keepers() {
        if !entries.iter().any(|entry| entry.vm == keeper) {
            routes.drop_keeper(&keeper);
        }
    }
}
