//! What a replica states about itself beside an answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ChoiceQuery, Fleet, FleetReplica, RateChange, RateNotice, ReplicaIndex, RequestRate};
use crate::prelude::*;
use crate::vocabulary::registration::ReplicaPhase;

/// Maximum pause that a replica can request.
const PAUSE_MAX: Duration = Duration::from_hours(1);

/// Statements of a replica in the headers of one answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaNotice {
    /// The replica is leaving and must not receive new requests.
    pub leaving: bool,
    /// Time from the answer on during which this entry must not send to the replica.
    pub pause: Option<Duration>,
    /// Rate of requests that the replica takes from all entries together.
    pub rate: RateNotice,
}

impl ReplicaNotice {
    /// Returns whether the answer stated nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the end of the requested pause, at most [`PAUSE_MAX`] after `now`.
    pub(super) fn paused_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.pause.map(|pause| now + pause.min(PAUSE_MAX))
    }
}

/// Numbers of replicas by what their own answers stated.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NoticeCounts {
    /// Replicas that leave.
    pub leaving: usize,
    /// Replicas that have asked this entry to pause.
    pub paused: usize,
    /// Replicas that take a limited rate.
    pub limited: usize,
}

impl FleetReplica {
    /// Whether the replica takes new requests, as far as announced and stated in its answers.
    pub fn is_offered(&self) -> bool {
        let phase = self.record.phase;
        !self.leaving && matches!(phase, ReplicaPhase::Ready | ReplicaPhase::Silent)
    }

    /// Whether the replica said in an answer that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the replica has asked this entry to pause.
    pub fn is_paused(&self, now: MonotonicTime) -> bool {
        now < self.paused_until
    }

    fn pause_end(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.is_paused(now).then_some(self.paused_until)
    }

    /// Returns when this entry may send the next request, as far as the replica has stated, if that
    /// is not now: after the pause that it asked for, and within the rate that it takes.
    pub fn blocked_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.pause_end(now).max(self.limiter.blocked_until(now))
    }

    /// Returns the rate of requests that the replica takes from all entries together, if it has
    /// stated one.
    pub fn stated_rate(&self) -> Option<RequestRate> {
        self.limiter.rate()
    }

    pub(super) fn record_notice(
        &mut self,
        now: MonotonicTime,
        notice: ReplicaNotice,
    ) -> Option<RateChange> {
        self.leaving |= notice.leaving;
        if self.leaving {
            self.connections_kept = 0;
        }
        if let Some(until) = notice.paused_until(now) {
            self.paused_until = self.paused_until.max(until);
        }
        self.limiter.record(now, notice.rate)
    }
}

impl Fleet {
    /// Returns when the first replica of a service can be used again, if replicas have requested
    /// pauses or lower rates and no other one can be used.
    pub fn find_pause_end(
        &self,
        now: MonotonicTime,
        query: &ChoiceQuery<'_>,
    ) -> Option<MonotonicTime> {
        let members = &self.services.get(query.service)?.members;
        let members = members
            .iter()
            .filter(|index| self.allows_version(now, **index));
        let members = members.filter_map(|index| self.replicas.get(index));
        let mut permitted =
            members.filter(|replica| self.is_permitted(replica, query.allowed_regions));
        permitted.try_fold(None, |earliest: Option<MonotonicTime>, replica| {
            let blocked_until = replica.blocked_until(now);
            let is_usable = blocked_until.is_none() && !replica.is_backed_off(now);
            (!is_usable).then(|| earliest.into_iter().chain(blocked_until).min())
        })?
    }

    /// Records what a replica stated in an answer, and returns the change of the rate that it takes.
    /// `born_ms` identifies the incarnation that answered, which may have been replaced in the
    /// meantime.
    pub fn record_notice(
        &mut self,
        now: MonotonicTime,
        index: ReplicaIndex,
        name: &ReplicaName,
        born_ms: Option<u64>,
        notice: ReplicaNotice,
    ) -> Option<RateChange> {
        if notice.leaving {
            self.departed.insert(name, born_ms);
        }
        let replica = self.replicas.get_mut(&index)?;
        replica.record_notice(now, notice)
    }

    /// Returns what the named replica has stated and still holds.
    pub fn stated_notice(&self, now: MonotonicTime, name: &ReplicaName) -> ReplicaNotice {
        let index = self.names.get(name);
        let known = index.and_then(|index| self.replicas.get(index));
        known.map_or(ReplicaNotice::default(), |replica| ReplicaNotice {
            leaving: replica.leaving,
            pause: replica.pause_end(now).map(|end| end.since(now)),
            rate: replica
                .stated_rate()
                .map_or(RateNotice::Unstated, RateNotice::Limited),
        })
    }

    /// Counts the replicas by what their own answers stated.
    pub fn count_notices(&self, now: MonotonicTime) -> NoticeCounts {
        let replicas = || self.replicas.values();
        let leaving = replicas().filter(|replica| replica.is_leaving());
        let paused = replicas().filter(|replica| replica.is_paused(now));
        let limited = replicas().filter(|replica| replica.stated_rate().is_some());
        NoticeCounts {
            leaving: leaving.count(),
            paused: paused.count(),
            limited: limited.count(),
        }
    }
}
