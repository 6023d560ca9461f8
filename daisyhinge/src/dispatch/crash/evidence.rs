//! What the end of an attempt says about crashes.

use super::CrashEvent;
use crate::dispatch::Dispatcher;
use crate::dispatch::fleet::ReplicaIndex;
use crate::dispatch::request::AttemptEnd;
use crate::prelude::*;

/// An attempt that has ended, as evidence for or against crashes.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt {
    pub replica: ReplicaIndex,
    pub sent: MonotonicTime,
    pub end: AttemptEnd,
    /// Crashes of the request on record when the attempt was sent.
    pub crashes_before: u32,
    /// Whether a replica has answered the request already, so that it crashes none.
    pub answered_before: bool,
}

impl Dispatcher {
    /// Reviews the crash records, and takes what changed in them.
    pub fn review_crashes(&mut self, now: MonotonicTime) -> Vec<CrashEvent> {
        self.crashes.review(now, &self.fleet);
        self.crashes.take_events()
    }

    /// Updates the crash records after an attempt of the request `digest`.
    pub(in crate::dispatch) fn record_crash_evidence(
        &mut self,
        now: MonotonicTime,
        digest: RequestDigest,
        ended: EndedAttempt,
    ) {
        let replica = self.fleet.replica(ended.replica);
        let record = replica.map(|replica| &replica.record);
        let crashes = &mut self.crashes;
        match (ended.end, record) {
            (AttemptEnd::Reset, record) if !ended.answered_before => {
                crashes.record_reset(now, digest, record, ended.crashes_before);
            }
            (AttemptEnd::Answered | AttemptEnd::Failed, record) => {
                let name = record.map(|record| &record.name);
                crashes.record_answer(now, digest, name, ended.sent);
            }
            (AttemptEnd::NotRun, Some(record)) => {
                crashes.record_alive(now, &record.name, ended.sent);
            }
            (AttemptEnd::WrongServer, Some(record)) => crashes.record_replaced(now, &record.name),
            _ => {}
        }
    }
}
