//! State of one target of a request: a service from which one replica must answer.

use super::message::{AttemptEnd, AttemptRecord, TargetRecord};
use crate::dispatch::fleet::{Fleet, ReplicaIndex};
use crate::prelude::*;

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum TargetPhase {
    /// No replica of the service has answered yet, and attempts may still be sent.
    #[default]
    Open,
    /// The attempt with this number was answered.
    Answered(u64),
    /// No further attempts are sent, and none was answered.
    Missing,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningAttempt {
    pub attempt: u64,
    pub replica: ReplicaIndex,
    pub sent: MonotonicTime,
    /// Whether any byte of the attempt may have been written.
    pub written: bool,
    /// Crashes of the request on record when the attempt was sent.
    pub crashes_before: u32,
    /// Whether another attempt replaces this one, which is never written then.
    pub superseded: bool,
}

impl RunningAttempt {
    /// Whether the attempt is still connecting: nothing is written yet, but it may be.
    fn is_unwritten(&self) -> bool {
        !self.written && !self.superseded
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct TargetState {
    pub phase: TargetPhase,
    pub running: Vec<RunningAttempt>,
    /// Replicas already tried, excluded from further attempts.
    pub tried: Vec<ReplicaIndex>,
    /// Whether capacity was reserved for the target when its request was admitted.
    pub admitted: bool,
    /// Number of attempts started.
    pub sent: u32,
    /// Number of attempts that may have run.
    pub runs: u32,
    /// Number of attempts that a replica refused.
    pub refusals: u32,
    /// Number of attempts that did not reach their replica.
    pub undelivered: u32,
    /// Whether the connection of a superseded attempt was made after all. Its replica may be tried
    /// again.
    pub connected_late: bool,
    /// Whether an attempt may have arrived at a replica.
    pub arrived: bool,
    /// Attempt that a replica answered with an error of its own.
    pub failure: Option<u64>,
    /// Reason for a missing answer; that of the latest failed attempt.
    pub reason: Option<ResultCode>,
    /// End of the first pause, if all replicas have requested pauses.
    pub back_at: Option<MonotonicTime>,
    /// Time at which a hedge is sent if no attempt has been answered.
    pub hedge_at: MonotonicTime,
    /// Time at which the target must be advanced next.
    pub due: Option<MonotonicTime>,
    /// Time at which the retry budget first denied another attempt.
    pub denied: Option<MonotonicTime>,
    /// Records of all attempts, in order.
    pub attempt_records: Vec<AttemptRecord>,
}

impl TargetState {
    pub(super) fn answer(&self) -> Option<u64> {
        match self.phase {
            TargetPhase::Answered(attempt) => Some(attempt),
            TargetPhase::Open | TargetPhase::Missing => None,
        }
    }

    pub(super) fn record_sent(
        &mut self,
        attempt_record: AttemptRecord,
        hedge_at: MonotonicTime,
        crashes_before: u32,
    ) {
        self.running.push(RunningAttempt {
            attempt: attempt_record.attempt,
            replica: attempt_record.replica,
            sent: attempt_record.sent,
            written: true,
            crashes_before,
            superseded: false,
        });
        self.attempt_records.push(attempt_record);
        self.tried.push(attempt_record.replica);
        self.sent += 1;
        // Unless an event says otherwise, an attempt is assumed to arrive and run.
        self.runs += 1;
        self.arrived = true;
        self.hedge_at = hedge_at;
    }

    /// Whether an attempt is in flight that may still be answered.
    pub(super) fn is_waiting(&self) -> bool {
        self.running.iter().any(|pending| !pending.superseded)
    }

    /// Whether an attempt is still connecting, so that the next one replaces it.
    pub(super) fn is_connecting(&self) -> bool {
        self.running.iter().any(RunningAttempt::is_unwritten)
    }

    /// Returns the number of attempts that may have run, without those not written yet.
    pub(super) fn runs_written(&self) -> u32 {
        let connecting = self.running.iter().filter(|pending| pending.is_unwritten());
        let connecting = u32::try_from(connecting.count()).unwrap_or(u32::MAX);
        self.runs.saturating_sub(connecting)
    }

    /// Returns whether an attempt at `candidate` may replace those that are still connecting. Slow
    /// connects may be due to this process. A second replacement, or one by a replica that fails,
    /// would then end at the worst replica.
    pub(super) fn may_supersede(
        &self,
        now: MonotonicTime,
        fleet: &Fleet,
        candidate: ReplicaIndex,
    ) -> bool {
        let mut connecting = self.running.iter().filter(|pending| pending.is_unwritten());
        if connecting.clone().next().is_none() {
            return true;
        }
        let is_failing = |index| {
            let known = fleet.replica(index);
            known.is_some_and(|replica| replica.is_failing(now))
        };
        let has_superseded =
            self.connected_late || self.running.iter().any(|pending| pending.superseded);
        !has_superseded && (!is_failing(candidate) || connecting.any(|one| is_failing(one.replica)))
    }

    /// Marks the attempts that are still connecting as superseded, and returns their numbers.
    pub(super) fn supersede_connecting(&mut self) -> Vec<u64> {
        let mut superseded = Vec::new();
        for pending in self
            .running
            .iter_mut()
            .filter(|pending| pending.is_unwritten())
        {
            pending.superseded = true;
            superseded.push(pending.attempt);
            self.runs -= 1;
        }
        self.arrived = self.runs + self.refusals > 0;
        superseded
    }

    pub(super) fn remove_running(&mut self, attempt: u64) -> Option<RunningAttempt> {
        let index = self
            .running
            .iter()
            .position(|pending| pending.attempt == attempt)?;
        Some(self.running.swap_remove(index))
    }

    /// Returns the record of the target, for the log.
    pub(super) fn to_record(&self, service: &ServiceName) -> TargetRecord {
        TargetRecord {
            service: service.clone(),
            answered: self.answer().is_some(),
            reason: self.reason,
            denied: self.denied,
            attempts: self.attempt_records.clone(),
        }
    }

    pub(super) fn record_end(
        &mut self,
        now: MonotonicTime,
        pending: RunningAttempt,
        end: AttemptEnd,
    ) {
        let attempt = pending.attempt;
        let attempt_records = &mut self.attempt_records;
        if let Some(attempt_record) = attempt_records
            .iter_mut()
            .find(|recorded| recorded.attempt == attempt)
        {
            attempt_record.end = Some((end, now));
        }
        if pending.superseded {
            self.undelivered += 1;
            if end == AttemptEnd::Withdrawn {
                self.connected_late = true;
                self.tried.retain(|tried| *tried != pending.replica);
            }
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
                self.undelivered += 1;
                self.arrived = self.runs + self.refusals > 0;
                self.reason = Some(ResultCode::ConnectFailed);
            }
            AttemptEnd::WrongServer => {
                self.runs -= 1;
                self.undelivered += 1;
                self.arrived = self.runs + self.refusals > 0;
                self.reason = Some(ResultCode::AnswerMismatch);
            }
            AttemptEnd::Lost | AttemptEnd::Reset => self.reason = Some(ResultCode::ConnectionReset),
        }
    }

    /// Gives the target up, unless an attempt is still in flight.
    pub(super) fn close_unless_waiting(&mut self, waiting: bool, reason: ResultCode) {
        if !waiting {
            self.phase = TargetPhase::Missing;
            self.reason.get_or_insert(reason);
        }
    }
}
