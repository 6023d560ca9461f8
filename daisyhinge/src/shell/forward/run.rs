//! Drives one request: executes the actions of its state machine and reports events back to it.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use super::admission::AdmissionWaiter;
use super::attempt::{AttemptReport, run_attempt};
use super::connection::ReplicaAnswer;
use super::gate::WritePermit;
use super::outgoing::OutgoingRequest;
use super::state::ForwardState;
use crate::dispatch::request::{
    AdmissionRecord, AttemptEnd, Decision, RequestAction, RequestEvent, RequestMachine,
    RequestPlan, TargetRecord,
};
use crate::metric::forward::AttemptLabels;
use crate::prelude::*;

/// Maximum time for which attempts continue in the background after their request was answered.
const BACKGROUND_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(120);

/// Time between two checks whether the entry has begun to stop. The last answers of a stop are due
/// seconds later.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// `Retry-After` of a request whose entry lost contact with control while the request waited.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_secs(1);

pub(super) struct RequestOutcome {
    pub decision: Decision,
    /// What admission control did with the request.
    pub admission: AdmissionRecord,
    /// Complete answers with the number of their attempt.
    pub answers: Vec<(u64, ReplicaAnswer)>,
    /// Numbers of the attempts whose answers were accepted, one for each answered target.
    pub accepted_attempts: Vec<u64>,
    /// Time for which the answer was scheduled, if it was not complete before.
    pub scheduled_at: Option<MonotonicTime>,
    /// Number of attempts sent for the request.
    pub sent: u32,
    pub targets: usize,
    /// Services from which no answer was received.
    pub missing: Vec<ServiceName>,
    /// Targets that are missing an answer or took more than one attempt.
    pub target_records: Vec<TargetRecord>,
}

/// Notifies the state machine if the request is dropped before it has finished, because its caller
/// disconnected.
struct MachineGuard<'state> {
    state: &'state ForwardState,
    machine: RequestMachine,
    waiter: AdmissionWaiter<'state>,
    finished: bool,
}

impl MachineGuard<'_> {
    fn step(&mut self, event: RequestEvent, actions: &mut Vec<RequestAction>) {
        let now = self.state.clock.now();
        let mut dispatcher = self.state.dispatcher.lock();
        self.machine.step(now, event, &mut dispatcher, actions);
        let crash_events = dispatcher.crashes.take_events();
        let wakeups = dispatcher.admission.take_wakeups();
        drop(dispatcher);
        self.waiter.update(self.machine.ticket());
        self.state.admission_waiters.wake(&wakeups);
        self.state.log_crashes(&crash_events);
    }
}

impl Drop for MachineGuard<'_> {
    fn drop(&mut self) {
        if !self.finished {
            // The attempts that the state machine would cancel are dropped together with this
            // guard.
            self.step(RequestEvent::Abandoned, &mut Vec::new());
        }
    }
}

/// Lets superfluous attempts continue for a short time: closing a connection costs the replica
/// about as much as the answer does, and the next request would have to open a new connection.
async fn finish_in_background<F: Future<Output = AttemptReport>>(mut running: FuturesUnordered<F>) {
    let rest = async { while running.next().await.is_some() {} };
    // Attempts that exceed the timeout are dropped. That closes their connections and cancels the
    // work at the replicas.
    drop(tokio::time::timeout(BACKGROUND_ATTEMPT_TIMEOUT, rest).await);
}

/// Runs a request until it has finished. Dropping the future abandons the request.
pub(super) async fn run_request(
    state: &Arc<ForwardState>,
    plan: RequestPlan,
    request: Arc<OutgoingRequest>,
) -> RequestOutcome {
    let names = state.dispatcher.lock().pick_targets(&plan.route);
    let machine = RequestMachine::open(plan, names);
    let mut guard = MachineGuard {
        state,
        machine,
        waiter: AdmissionWaiter::open(&state.admission_waiters),
        finished: false,
    };
    let mut running = FuturesUnordered::new();
    let mut answers = Vec::new();
    let mut actions = Vec::new();
    let mut event = RequestEvent::Due;
    // Permits of attempts that may not have written their request yet.
    let mut permits: Vec<(u64, Arc<WritePermit>)> = Vec::new();
    loop {
        permits.retain(|(attempt, permit)| {
            guard.machine.set_written(*attempt, permit.is_acquired());
            !permit.is_acquired()
        });
        if !guard.machine.may_have_run()
            && let Err(code) = state.check_access(request.access.as_ref())
        {
            // Dropping the guard abandons the attempts that have not been written.
            return build_refusal(&guard.machine, code);
        }
        if let Some(answer_by) = state.answer_by() {
            guard.machine.end_by(answer_by);
        }
        guard.step(event, &mut actions);
        for action in actions.drain(..) {
            match action {
                RequestAction::Send {
                    attempt,
                    replica,
                    repeats,
                    ..
                } => {
                    state.counters.repeats.inc_by(u64::from(repeats));
                    let (state, request) = (Arc::clone(state), Arc::clone(&request));
                    let permit = Arc::<WritePermit>::default();
                    permits.push((attempt, Arc::clone(&permit)));
                    running.push(run_attempt(state, request, attempt, replica, permit));
                }
                RequestAction::Supersede { attempt } => revoke_permit(&permits, attempt),
                // An attempt ends with the request or continues in the background after it.
                RequestAction::Cancel { .. } => {}
                RequestAction::Finish(decision) => {
                    guard.finished = true;
                    // Attempts that are still connecting must not write their request any more.
                    for (_, permit) in &permits {
                        permit.revoke();
                    }
                    if matches!(decision, Decision::Answer { .. }) && !running.is_empty() {
                        tokio::spawn(finish_in_background(running));
                    }
                    return build_outcome(&guard.machine, decision, answers);
                }
            }
        }
        let check_at = state.clock.now() + STOP_CHECK_INTERVAL;
        let due = state.clock.instant(guard.machine.next_due().min(check_at));
        event = tokio::select! {
            Some(report) = running.next(), if !running.is_empty() => {
                record_report(state, report, &mut answers)
            }
            () = guard.waiter.woken() => RequestEvent::Due,
            () = tokio::time::sleep_until(due.into()) => RequestEvent::Due,
        };
    }
}

fn revoke_permit(permits: &[(u64, Arc<WritePermit>)], attempt: u64) {
    for (_, permit) in permits.iter().filter(|(number, _)| *number == attempt) {
        permit.revoke();
    }
}

fn record_report(
    state: &ForwardState,
    report: AttemptReport,
    answers: &mut Vec<(u64, ReplicaAnswer)>,
) -> RequestEvent {
    let labels = AttemptLabels {
        end: end_label(report.end).to_owned(),
    };
    state.counters.attempts.get_or_create(&labels).inc();
    if let Some(answer) = report.answer {
        answers.push((report.attempt, answer));
    }
    RequestEvent::Ended {
        attempt: report.attempt,
        end: report.end,
    }
}

/// Builds the outcome of a request that may no longer be sent and has not run.
fn build_refusal(machine: &RequestMachine, code: ResultCode) -> RequestOutcome {
    let decision = Decision::Refused {
        code,
        retry_after: REFUSAL_RETRY_AFTER,
    };
    build_outcome(machine, decision, Vec::new())
}

fn build_outcome(
    machine: &RequestMachine,
    decision: Decision,
    answers: Vec<(u64, ReplicaAnswer)>,
) -> RequestOutcome {
    let targets = machine.target_count();
    RequestOutcome {
        decision,
        admission: machine.admission_record(),
        answers,
        accepted_attempts: (0..targets)
            .filter_map(|target| machine.answer_of(target))
            .collect(),
        scheduled_at: machine.scheduled_at(),
        sent: machine.sent(),
        targets,
        missing: machine.missing().cloned().collect(),
        target_records: machine.list_target_records(),
    }
}

pub(super) fn end_label(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Answered => "answered",
        AttemptEnd::Failed => "failed",
        AttemptEnd::NotRun => "not_run",
        AttemptEnd::NotSent => "not_sent",
        AttemptEnd::Withdrawn => "withdrawn",
        AttemptEnd::WrongServer => "wrong_server",
        AttemptEnd::Lost => "lost",
        AttemptEnd::Reset => "reset",
        AttemptEnd::PeerBusy => "peer_busy",
    }
}
