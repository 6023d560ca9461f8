//! One target of a request: a service of which one replica is to answer.

use super::message::{AttemptAccount, AttemptEnd, TargetAccount};
use crate::dispatch::fleet::ReplicaIndex;
use crate::prelude::*;

/// Whether a target may still answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum TargetPhase {
    /// It may.
    #[default]
    Open,
    /// It has.
    Answered(u64),
    /// It will not.
    Missing,
}

/// An attempt under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningAttempt {
    pub attempt: u64,
    pub replica: ReplicaIndex,
    pub sent: MonotonicTime,
}

/// One target.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetState {
    pub phase: TargetPhase,
    /// Attempts under way.
    pub running: Vec<RunningAttempt>,
    /// Replicas that are not to be asked again.
    pub tried: Vec<ReplicaIndex>,
    /// Attempts that were handed out.
    pub sent: u32,
    /// Attempts that may have run.
    pub runs: u32,
    /// Attempts that a replica refused.
    pub refusals: u32,
    /// Attempts that found no connection.
    pub unreached: u32,
    /// Whether an attempt may have arrived at a replica.
    pub arrived: bool,
    /// Attempt that a replica failed with an answer of its own.
    pub failure: Option<u64>,
    /// Why there is no answer.
    pub reason: Option<ResultCode>,
    /// When another replica is asked.
    pub hedge_at: MonotonicTime,
    /// When there is something to do.
    pub due: Option<MonotonicTime>,
    /// When the budget first did not allow another attempt.
    pub denied: Option<MonotonicTime>,
    /// All attempts, in order.
    pub accounts: Vec<AttemptAccount>,
}

impl TargetState {
    pub(super) fn answer(&self) -> Option<u64> {
        match self.phase {
            TargetPhase::Answered(attempt) => Some(attempt),
            TargetPhase::Open | TargetPhase::Missing => None,
        }
    }

    pub(super) fn note_sent(&mut self, account: AttemptAccount, hedge_at: MonotonicTime) {
        self.running.push(RunningAttempt {
            attempt: account.attempt,
            replica: account.replica,
            sent: account.sent,
        });
        self.accounts.push(account);
        self.tried.push(account.replica);
        self.sent += 1;
        // Until it is known otherwise, it arrives and runs.
        self.runs += 1;
        self.arrived = true;
        self.hedge_at = hedge_at;
    }

    /// Takes an attempt out of those under way.
    pub(super) fn take_running(&mut self, attempt: u64) -> Option<RunningAttempt> {
        let place = self.running.iter().position(|ran| ran.attempt == attempt)?;
        Some(self.running.swap_remove(place))
    }

    /// What became of it, for the log.
    pub(super) fn account(&self, service: &ServiceName) -> TargetAccount {
        TargetAccount {
            service: service.clone(),
            answered: self.answer().is_some(),
            reason: self.reason,
            denied: self.denied,
            attempts: self.accounts.clone(),
        }
    }

    pub(super) fn note_end(&mut self, now: MonotonicTime, attempt: u64, end: AttemptEnd) {
        let accounts = &mut self.accounts;
        if let Some(account) = accounts.iter_mut().find(|one| one.attempt == attempt) {
            account.end = Some((end, now));
        }
        match end {
            AttemptEnd::Answered => self.phase = TargetPhase::Answered(attempt),
            AttemptEnd::Failed => {
                self.failure = Some(attempt);
                self.reason = Some(ResultCode::ServerFailed);
            }
            AttemptEnd::NotRun => {
                self.runs -= 1;
                self.refusals += 1;
                self.reason = Some(ResultCode::ServerShed);
            }
            AttemptEnd::NotSent | AttemptEnd::Withdrawn | AttemptEnd::PeerBusy => {
                self.runs -= 1;
                self.unreached += 1;
                self.arrived = self.runs + self.refusals > 0;
                self.reason = Some(ResultCode::ConnectFailed);
            }
            AttemptEnd::WrongServer => {
                self.runs -= 1;
                self.unreached += 1;
                self.arrived = self.runs + self.refusals > 0;
                self.reason = Some(ResultCode::AnswerMismatch);
            }
            AttemptEnd::Lost => self.reason = Some(ResultCode::ConnectionReset),
        }
    }

    /// Gives the target up, unless an attempt is under way.
    pub(super) fn close_unless(&mut self, waiting: bool, reason: ResultCode) {
        if !waiting {
            self.phase = TargetPhase::Missing;
            self.reason.get_or_insert(reason);
        }
    }
}
