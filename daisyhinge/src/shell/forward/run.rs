//! Drives one request: what the machine wants is done, and what comes of it is told to the
//! machine.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use super::attempt::{AttemptReport, run_attempt};
use super::connection::WholeAnswer;
use super::gate::AttemptGate;
use super::outgoing::OutgoingRequest;
use super::state::ForwardState;
use crate::dispatch::request::{
    AttemptEnd, Decision, RequestAction, RequestEvent, RequestMachine, RequestPlan, TargetRecord,
};
use crate::metric::forward::AttemptLabels;
use crate::prelude::*;

/// How long attempts run on after their request was answered.
const RUN_OUT_SPAN: Duration = Duration::from_millis(120);

/// What a request came to.
pub(super) struct RequestOutcome {
    pub verdict: Decision,
    /// Whole answers, with the number of their attempt.
    pub answers: Vec<(u64, WholeAnswer)>,
    /// Attempts whose answers stand, one a target that has one.
    pub standing: Vec<u64>,
    /// Attempts that were sent.
    pub sent: u32,
    /// Targets in all.
    pub targets: usize,
    /// Services without an answer.
    pub missing: Vec<ServiceName>,
    /// Targets that did not go as they should.
    pub accounts: Vec<TargetRecord>,
}

/// Tells the machine when its caller goes away before the request is over.
struct MachineGuard<'state> {
    state: &'state ForwardState,
    machine: RequestMachine,
    over: bool,
}

impl MachineGuard<'_> {
    fn step(&mut self, event: RequestEvent, actions: &mut Vec<RequestAction>) {
        let now = self.state.clock.now();
        let mut dispatcher = self.state.dispatcher.lock();
        self.machine.step(now, event, &mut dispatcher, actions);
    }
}

impl Drop for MachineGuard<'_> {
    fn drop(&mut self) {
        if !self.over {
            // What it wants cancelled is dropped along with it.
            self.step(RequestEvent::Abandoned, &mut Vec::new());
        }
    }
}

/// Lets attempts that nobody waits for any more run for a short while: closing a connection costs
/// its replica about as much as the answer, and the next request a connection.
async fn run_out<F: Future<Output = AttemptReport>>(mut running: FuturesUnordered<F>) {
    let rest = async { while running.next().await.is_some() {} };
    // Past the time the connections are closed, which ends the work at the replicas.
    drop(tokio::time::timeout(RUN_OUT_SPAN, rest).await);
}

/// Runs a request to its end. Dropping the future abandons it.
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
        over: false,
    };
    let mut running = FuturesUnordered::new();
    let mut answers = Vec::new();
    let mut actions = Vec::new();
    let mut event = RequestEvent::Due;
    // Of attempts that may not be written yet.
    let mut gates: Vec<(u64, Arc<AttemptGate>)> = Vec::new();
    loop {
        gates.retain(|(attempt, gate)| {
            guard.machine.set_written(*attempt, gate.is_passed());
            !gate.is_passed()
        });
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
                    let gate = Arc::<AttemptGate>::default();
                    gates.push((attempt, Arc::clone(&gate)));
                    running.push(run_attempt(state, request, attempt, replica, gate));
                }
                RequestAction::Supersede { attempt } => close_gate(&gates, attempt),
                // An attempt ends with the request, or runs out after it.
                RequestAction::Cancel { .. } => {}
                RequestAction::Finish(verdict) => {
                    guard.over = true;
                    // What is still connecting is not written any more.
                    for (_, gate) in &gates {
                        gate.close();
                    }
                    if matches!(verdict, Decision::Answer { .. }) && !running.is_empty() {
                        tokio::spawn(run_out(running));
                    }
                    return close_request(&guard.machine, verdict, answers);
                }
            }
        }
        let due = state.clock.instant(guard.machine.next_due());
        event = tokio::select! {
            Some(report) = running.next(), if !running.is_empty() => {
                note_report(state, report, &mut answers)
            }
            () = tokio::time::sleep_until(due.into()) => RequestEvent::Due,
        };
    }
}

fn close_gate(gates: &[(u64, Arc<AttemptGate>)], attempt: u64) {
    for (_, gate) in gates.iter().filter(|(number, _)| *number == attempt) {
        gate.close();
    }
}

fn note_report(
    state: &ForwardState,
    report: AttemptReport,
    answers: &mut Vec<(u64, WholeAnswer)>,
) -> RequestEvent {
    let labels = AttemptLabels {
        end: name_end(report.end).to_owned(),
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

fn close_request(
    machine: &RequestMachine,
    verdict: Decision,
    answers: Vec<(u64, WholeAnswer)>,
) -> RequestOutcome {
    let targets = machine.target_count();
    RequestOutcome {
        verdict,
        answers,
        standing: (0..targets)
            .filter_map(|target| machine.answer_of(target))
            .collect(),
        sent: machine.sent(),
        targets,
        missing: machine.missing().cloned().collect(),
        accounts: machine.list_target_records(),
    }
}

pub(super) fn name_end(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Answered => "answered",
        AttemptEnd::Failed => "failed",
        AttemptEnd::NotRun => "not_run",
        AttemptEnd::NotSent => "not_sent",
        AttemptEnd::Withdrawn => "withdrawn",
        AttemptEnd::WrongServer => "wrong_server",
        AttemptEnd::Lost => "lost",
        AttemptEnd::PeerBusy => "peer_busy",
    }
}
