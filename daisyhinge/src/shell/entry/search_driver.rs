//! Runs callers' requests: executes the actions of the search state machine.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, JoinSet};

use crate::digest::digest_request;
use crate::prelude::*;
use crate::search::plan::SearchPlan;
use crate::search::{RequestSearch, SearchAction, SearchEvent, SubPlan};
use crate::shell::entry::keeper::sub_requests::run_sub;
use crate::shell::entry::polling::{claim_request, end_claim};
use crate::shell::entry::search_metrics::count_event;
use crate::shell::entry::state::{EntryPhase, EntryState};
use crate::vocabulary::answer::{QueryAnswer, QueryRefusal};
use crate::vocabulary::claim::{ClaimRequest, ClaimResult, EndClaimRequest};
use crate::vocabulary::clock::duration_to_micros;
use crate::vocabulary::environment::ServiceEntry;
use crate::vocabulary::query::CallerQuery;
use crate::vocabulary::subrequest::{SubRefusal, SubReply, SubRequest};

/// Retry delay in milliseconds for callers of an entry without a valid freshness lease.
const LEASE_RETRY_MS: u64 = 1_000;

/// Answer to a caller's request, or its refusal.
pub type QueryResult = Result<QueryAnswer, QueryRefusal>;

/// Runs a caller's request. Dropping the future cancels the request if it is repeatable. Any other
/// request runs to its end, so that its outcome is available when the caller sends it again.
///
/// # Errors
///
/// A refusal with a result code that states whether anything ran.
pub async fn run_query(state: &Arc<EntryState>, query: CallerQuery) -> QueryResult {
    let refuse = |code| refuse_query(state, &query.request, code);
    if state.phase() == EntryPhase::Closed {
        return Err(refuse(ResultCode::ShuttingDown));
    }
    if !state.may_dispatch() {
        return Err(refuse(ResultCode::NoLease));
    }
    let Some(document) = state.document() else {
        return Err(refuse(ResultCode::NoLease));
    };
    let Some(service) = document.find_service(&query.service).cloned() else {
        return Err(refuse(ResultCode::UnknownService));
    };
    if !service.repeatable && !query.has_caller_id {
        return Err(refuse(ResultCode::MissingRequestId));
    }
    let guard = match state.admit_request(&service, query.deadline) {
        Ok(guard) => guard,
        Err(refusal) => {
            let retry_ms = Some(refusal.retry_ms);
            return Err(QueryRefusal {
                retry_ms,
                ..refuse(refusal.code)
            });
        }
    };
    let driver = SearchDriver::new(state, &query, &service);
    if service.repeatable {
        let mut result = None;
        driver.run(|finished| result = Some(finished)).await;
        drop(guard);
        return result.unwrap_or_else(|| Err(refuse_unknown(state, &query.request)));
    }
    let (sender, receiver) = oneshot::channel();
    let mut sender = Some(sender);
    tokio::spawn(async move {
        let finish = |finished| {
            if let Some(sender) = sender.take() {
                let _caller_may_be_gone = sender.send(finished);
            }
        };
        driver.run(finish).await;
        drop(guard);
    });
    receiver
        .await
        .unwrap_or_else(|_closed| Err(refuse_unknown(state, &query.request)))
}

fn refuse_unknown(state: &EntryState, request: &RequestId) -> QueryRefusal {
    let refusal = refuse_query(state, request, ResultCode::OutcomeUnknown);
    QueryRefusal {
        run: RunState::Unknown,
        ..refusal
    }
}

/// Builds the refusal of a request of which nothing ran.
pub fn refuse_query(state: &EntryState, request: &RequestId, code: ResultCode) -> QueryRefusal {
    let offers_others = matches!(code, ResultCode::NoLease | ResultCode::ShuttingDown);
    QueryRefusal {
        request: request.clone(),
        code,
        run: RunState::NotRun,
        retry_ms: match code {
            ResultCode::NoLease => Some(LEASE_RETRY_MS),
            ResultCode::ShuttingDown => Some(0),
            _ => None,
        },
        addresses: if offers_others {
            state.other_addresses()
        } else {
            Vec::new()
        },
    }
}

/// A search that is cancelled if it is dropped before it is done.
#[derive(Debug)]
struct SearchGuard {
    state: Arc<EntryState>,
    search: RequestSearch,
}

impl SearchGuard {
    fn step(&mut self, event: SearchEvent) -> Vec<SearchAction> {
        let mut actions = Vec::new();
        let mut routes = self.state.routes.lock();
        self.search
            .step(self.state.now(), event, &mut routes, &mut actions);
        actions
    }
}

impl Drop for SearchGuard {
    fn drop(&mut self) {
        if self.search.is_done() {
            return;
        }
        // The sub-requests in flight are aborted when the driver's `calls` are dropped.
        for action in self.step(SearchEvent::CallerGone) {
            if let SearchAction::RecordEvent(draft) = action {
                self.state.record_event(draft);
            }
        }
    }
}

/// Runs one request: passes replies to the search as events and executes its actions.
#[derive(Debug)]
struct SearchDriver {
    state: Arc<EntryState>,
    plan: SearchPlan,
    body: Bytes,
    age: Duration,
    calls: JoinSet<()>,
    abort_handles: HashMap<AttemptId, AbortHandle>,
    sender: mpsc::UnboundedSender<SearchEvent>,
    receiver: mpsc::UnboundedReceiver<SearchEvent>,
}

impl SearchDriver {
    fn new(state: &Arc<EntryState>, query: &CallerQuery, service: &ServiceEntry) -> Self {
        let now = state.now();
        let timeout = query
            .deadline
            .unwrap_or(Duration::from_millis(service.deadline_ms));
        let (sender, receiver) = mpsc::unbounded_channel();
        let plan = SearchPlan {
            request: query.request.clone(),
            digest: digest_request(&[query.service.as_str()], &query.body),
            service: query.service.clone(),
            shard: query.shard,
            arrived: now,
            deadline: now + timeout,
            minimum_ppm: query.minimum_ppm.unwrap_or(service.minimum_coverage_ppm),
            preference: query.preference.unwrap_or(service.preference),
            repeatable: service.repeatable,
            extra_work_ppm: service.extra_work_ppm,
            origin: state.origin,
            sequence_base: state.next_sequence_base(),
        };
        Self {
            state: Arc::clone(state),
            plan,
            body: query.body.clone(),
            age: query.age,
            calls: JoinSet::new(),
            abort_handles: HashMap::new(),
            sender,
            receiver,
        }
    }

    /// Runs the request to its end. Calls `finish` once with the result.
    async fn run(mut self, mut finish: impl FnMut(QueryResult)) {
        let search = RequestSearch::new(self.plan.clone()).with_claim_returns();
        let mut guard = SearchGuard {
            state: Arc::clone(&self.state),
            search,
        };
        let mut event = SearchEvent::Start;
        loop {
            if let Some(result) = self.execute(guard.step(event)) {
                finish(result);
            }
            if guard.search.is_done() {
                return;
            }
            event = self.next_event(&guard.search).await;
        }
    }

    async fn next_event(&mut self, search: &RequestSearch) -> SearchEvent {
        let wake = search.next_wake().unwrap_or(self.plan.deadline);
        let wake = tokio::time::Instant::from_std(self.state.clock.instant(wake));
        tokio::select! {
            event = self.receiver.recv() => event.unwrap_or(SearchEvent::Tick),
            () = tokio::time::sleep_until(wake) => SearchEvent::Tick,
        }
    }

    fn execute(&mut self, actions: Vec<SearchAction>) -> Option<QueryResult> {
        let mut result = None;
        for action in actions {
            match action {
                SearchAction::Claim(attempt) => self.spawn_claim(attempt),
                SearchAction::EndClaim { attempt, end } => self.spawn_end_claim(attempt, end),
                SearchAction::Dispatch(sub) => self.spawn_sub(sub),
                SearchAction::Cancel(attempt) => {
                    if let Some(handle) = self.abort_handles.remove(&attempt) {
                        handle.abort();
                    }
                }
                SearchAction::Finish(finished) => result = Some(finished),
                SearchAction::RecordEvent(draft) => {
                    count_event(&self.state, &self.plan.service, &draft);
                    self.state.record_event(draft);
                }
            }
        }
        result
    }

    fn spawn_claim(&mut self, attempt: AttemptId) {
        let claim = ClaimRequest {
            service: self.plan.service.clone(),
            request: self.plan.request.clone(),
            digest: self.plan.digest,
            attempt,
            age_ms: u64::try_from(self.age.as_millis()).unwrap_or(u64::MAX),
        };
        let state = Arc::clone(&self.state);
        let sender = self.sender.clone();
        self.calls.spawn(async move {
            let reply = claim_request(&state, claim).await;
            let _search_may_be_over = sender.send(SearchEvent::Claimed(reply));
        });
    }

    /// Records the end of a claim in a detached task: the caller does not wait for it, and it may
    /// outlive the request.
    fn spawn_end_claim(&self, attempt: AttemptId, end: ClaimResult) {
        let returned = end == ClaimResult::NotRun;
        let end = EndClaimRequest {
            service: self.plan.service.clone(),
            request: self.plan.request.clone(),
            attempt,
            end,
        };
        let state = Arc::clone(&self.state);
        let sender = self.sender.clone();
        let guard = state.track_claim_end();
        tokio::spawn(async move {
            if end_claim(&state, end).await && returned {
                let _search_may_be_over = sender.send(SearchEvent::ClaimReturned);
            }
            drop(guard);
        });
    }

    fn spawn_sub(&mut self, sub: SubPlan) {
        let attempt = sub.attempt;
        let sub_request = self.build_sub_request(&sub);
        let state = Arc::clone(&self.state);
        let sender = self.sender.clone();
        let handle = self.calls.spawn(async move {
            let reply = call_keeper(&state, &sub.keeper, sub_request).await;
            let _search_may_be_over = sender.send(SearchEvent::SubEnded { attempt, reply });
        });
        self.abort_handles.insert(attempt, handle);
    }

    fn build_sub_request(&self, sub: &SubPlan) -> SubRequest {
        SubRequest {
            attempt: sub.attempt,
            request: self.plan.request.clone(),
            digest: self.plan.digest,
            service: self.plan.service.clone(),
            replica: sub.replica.clone(),
            shard: sub.shard,
            snapshot: sub.snapshot,
            version: self.state.lease().version(),
            expires_us: duration_to_micros(sub.expires.since(self.state.now())),
            repeatable: self.plan.repeatable,
            hedge: sub.hedge,
            suspect: sub.suspect,
            body: self.body.clone(),
        }
    }
}

async fn call_keeper(
    state: &Arc<EntryState>,
    keeper: &VmName,
    sub_request: SubRequest,
) -> SubReply {
    // Final check before dispatch: a process that was frozen since the decision must not send work
    // that has become outdated.
    if !state.may_dispatch() {
        return Err(SubRefusal::not_run(ResultCode::NoLease));
    }
    if *keeper == state.settings.vm {
        return run_sub(state, sub_request).await;
    }
    let view = state.view();
    match view.entries.iter().find(|entry| entry.vm == *keeper) {
        Some(entry) => state.peers.run(entry.peer_address, sub_request).await,
        None => Err(SubRefusal::not_run(ResultCode::KeeperUnreachable)),
    }
}
