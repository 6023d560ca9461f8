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
    /// Whether anything of it may have been written.
    pub written: bool,
    /// Whether another attempt was sent in its place; it is not written any more.
    pub overtaken: bool,
}

impl RunningAttempt {
    /// Whether nothing of it was written yet, though it may be.
    fn is_connecting(&self) -> bool {
        !self.written && !self.overtaken
    }
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
            written: true,
            overtaken: false,
        });
        self.accounts.push(account);
        self.tried.push(account.replica);
        self.sent += 1;
        // Until it is known otherwise, it arrives and runs.
        self.runs += 1;
        self.arrived = true;
        self.hedge_at = hedge_at;
    }

    /// Whether an attempt is under way that may still bring an answer.
    pub(super) fn is_waiting(&self) -> bool {
        self.running.iter().any(|ran| !ran.overtaken)
    }

    /// Attempts that may have run, without those of which nothing was written yet.
    pub(super) fn runs_written(&self) -> u32 {
        let connecting = self.running.iter().filter(|ran| ran.is_connecting());
        let connecting = u32::try_from(connecting.count()).unwrap_or(u32::MAX);
        self.runs.saturating_sub(connecting)
    }

    /// Keeps attempts of which nothing was written from being written. Returns them.
    pub(super) fn overtake_connecting(&mut self) -> Vec<u64> {
        let mut overtaken = Vec::new();
        for ran in self.running.iter_mut().filter(|ran| ran.is_connecting()) {
            ran.overtaken = true;
            overtaken.push(ran.attempt);
            self.runs -= 1;
        }
        self.arrived = self.runs + self.refusals > 0;
        overtaken
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

    pub(super) fn note_end(&mut self, now: MonotonicTime, ran: RunningAttempt, end: AttemptEnd) {
        let attempt = ran.attempt;
        let accounts = &mut self.accounts;
        if let Some(account) = accounts.iter_mut().find(|one| one.attempt == attempt) {
            account.end = Some((end, now));
        }
        if ran.overtaken {
            self.unreached += 1;
            return;
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
