//! Slots of one backend server, each occupied while the server may be working on a sub-request.

use std::time::Duration;

use crate::keeper::sub_request::{DispatchOutcome, SubRequestInfo};
use crate::prelude::*;
use crate::vocabulary::freshness::CLOCK_DRIFT_PPM;

/// Maximum transit time of a sub-request to the backend server, from the time at which its
/// remaining time was computed until the server has read it. Covers one TCP retransmission (200
/// ms), the longest latency between regions and some scheduling delay at either end.
pub const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(250);

/// Time for which an abandoned run is recorded; the announcement of a new incarnation arrives at
/// most this long after a crash.
pub const ABANDONED_RETENTION: Duration = Duration::from_secs(5);

/// Maximum number of abandoned runs recorded for one backend server.
pub const ABANDONED_MAX: usize = 16;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CancelState {
    /// No cancel requested.
    Idle,
    /// Requested; sent once a connection is free.
    Pending,
    /// In progress, on a connection of its own.
    Sent,
    /// Answered, or failed, without confirmation that the work stopped.
    Unconfirmed,
}

#[derive(Clone, Debug)]
struct OccupiedSlot {
    info: SubRequestInfo,
    sent: MonotonicTime,
    frees_at: MonotonicTime,
    cancel: CancelState,
    /// Whether the shell still has a connection open for the dispatch.
    connected: bool,
    /// Whether nothing else may run beside the sub-request.
    isolated: bool,
    /// Whether a crash was already attributed to the run.
    attributed: bool,
}

/// State of a slot at the end of its dispatch, from which the keeper attributes crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedSlot {
    /// Sub-request that occupied the slot.
    pub info: SubRequestInfo,
    /// Time at which the sub-request was dispatched.
    pub sent: MonotonicTime,
    /// Whether the sub-request ran in isolation.
    pub isolated: bool,
    /// Whether a crash was already attributed to the run.
    pub attributed: bool,
}

/// A run to which a crash may be attributed.
#[derive(Clone, Copy, Debug)]
struct SuspectRun {
    digest: RequestDigest,
    isolated: bool,
}

impl SuspectRun {
    fn new(info: &SubRequestInfo, isolated: bool) -> Self {
        Self {
            digest: info.digest,
            isolated,
        }
    }
}

/// Runs to which a crash is attributed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttributedRuns {
    /// Digests of the requests, sorted and without duplicates.
    pub digests: Vec<RequestDigest>,
    /// Whether the requests were suspects that ran in isolation.
    pub probe: bool,
}

/// A run whose slot was freed at its expiry without an answer.
#[derive(Clone, Copy, Debug)]
struct AbandonedRun {
    run: SuspectRun,
    retained_until: MonotonicTime,
}

/// Occupied slots of one backend server.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    slots: Vec<OccupiedSlot>,
    abandoned: Vec<AbandonedRun>,
}

impl SlotTable {
    /// Returns the number of occupied slots.
    pub fn occupied(&self) -> u32 {
        u32::try_from(self.slots.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of connections in use by sub-requests and cancels.
    pub fn connections(&self) -> u32 {
        let used = self
            .slots
            .iter()
            .map(|slot| u32::from(slot.connected) + u32::from(slot.cancel == CancelState::Sent));
        used.sum()
    }

    /// Returns whether an isolated sub-request runs.
    pub fn has_isolated(&self) -> bool {
        self.slots.iter().any(|slot| slot.isolated)
    }

    /// Returns whether `attempt` runs in isolation because its request was a suspect at dispatch.
    pub fn ran_isolated(&self, attempt: AttemptId) -> bool {
        let mut slots = self.slots.iter();
        slots.any(|slot| slot.isolated && slot.info.attempt == attempt)
    }

    /// Returns whether no sub-request has an open connection.
    pub fn has_no_connection(&self) -> bool {
        !self.slots.iter().any(|slot| slot.connected)
    }

    /// Returns whether `attempt` occupies a slot.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.slots.iter().any(|slot| slot.info.attempt == attempt)
    }

    /// Occupies a slot.
    ///
    /// # Panics
    ///
    /// Panics if the attempt was sent before, or if an isolated run would share the server. Either
    /// is a bug in this program.
    pub fn occupy(&mut self, now: MonotonicTime, info: SubRequestInfo, isolated: bool) {
        assert!(!self.contains(info.attempt), "attempt dispatched twice");
        assert!(
            !isolated || self.slots.is_empty(),
            "isolated sub-request dispatched beside others"
        );
        self.slots.push(OccupiedSlot {
            info,
            sent: now,
            frees_at: latest_end_at_server(now, now, info.expires),
            cancel: CancelState::Idle,
            connected: true,
            isolated,
            attributed: false,
        });
    }

    /// Records that the last byte of a sub-request was written at `now`. The time that passed since
    /// its remaining time was computed is added to the time for which the slot stays occupied.
    pub fn mark_written(&mut self, now: MonotonicTime, attempt: AttemptId) {
        if let Some(slot) = self.find_mut(attempt) {
            slot.frees_at =
                slot.frees_at
                    .max(latest_end_at_server(slot.sent, now, slot.info.expires));
        }
    }

    /// Records the outcome of a dispatch. Frees the slot only if the backend server has definitely
    /// stopped.
    pub fn end(&mut self, attempt: AttemptId, end: DispatchOutcome) -> Option<EndedSlot> {
        let index = self
            .slots
            .iter()
            .position(|slot| slot.info.attempt == attempt)?;
        let slot = &mut self.slots[index];
        if !slot.connected {
            return None;
        }
        slot.connected = false;
        let ended = EndedSlot {
            info: slot.info,
            sent: slot.sent,
            isolated: slot.isolated,
            attributed: slot.attributed,
        };
        if end.frees_slot() {
            self.slots.swap_remove(index);
        } else if slot.cancel == CancelState::Idle {
            slot.cancel = CancelState::Pending;
        }
        Some(ended)
    }

    /// Requests a cancel of `attempt`. Returns whether it occupies a slot.
    pub fn request_cancel(&mut self, attempt: AttemptId) -> bool {
        let Some(slot) = self.find_mut(attempt) else {
            return false;
        };
        if slot.cancel == CancelState::Idle {
            slot.cancel = CancelState::Pending;
        }
        true
    }

    /// Requests every unconfirmed cancel again, because a new process answers after a restart.
    pub fn retry_unconfirmed_cancels(&mut self) {
        for slot in &mut self.slots {
            if slot.cancel == CancelState::Unconfirmed {
                slot.cancel = CancelState::Pending;
            }
        }
    }

    /// Starts one requested cancel if a connection is free for it.
    pub fn start_cancel(&mut self, connections: u32) -> Option<AttemptId> {
        if self.connections() >= connections {
            return None;
        }
        let slot = self
            .slots
            .iter_mut()
            .find(|slot| slot.cancel == CancelState::Pending)?;
        slot.cancel = CancelState::Sent;
        Some(slot.info.attempt)
    }

    /// Records the reply to a cancel; frees the slot if the work has definitely stopped.
    pub fn end_cancel(&mut self, attempt: AttemptId, stopped: bool) {
        if stopped {
            self.slots.retain(|slot| slot.info.attempt != attempt);
        } else if let Some(slot) = self.find_mut(attempt) {
            slot.cancel = CancelState::Unconfirmed;
        }
    }

    /// Frees the slots whose expiry has definitely passed at the backend server.
    pub fn free_expired(&mut self, now: MonotonicTime) {
        if self.slots.iter().any(|slot| now >= slot.frees_at) {
            self.record_abandoned(now);
            self.slots.retain(|slot| now < slot.frees_at);
        }
    }

    /// Returns the time at which the next slot expires.
    pub fn next_free(&self) -> Option<MonotonicTime> {
        self.slots.iter().map(|slot| slot.frees_at).min()
    }

    /// Attributes a crash to every run in progress and to `ended`, unless a crash was attributed to
    /// it before.
    ///
    /// `ended` is `None` after a restart. Then recently abandoned runs are included: their
    /// connections were closed already, so the crash reset none of them. If isolated runs are among
    /// them, the crash is attributed to those only.
    pub fn attribute_to_runs(
        &mut self,
        now: MonotonicTime,
        ended: Option<EndedSlot>,
    ) -> AttributedRuns {
        let mut suspects: Vec<SuspectRun> = Vec::new();
        for slot in self.slots.iter_mut().filter(|slot| !slot.attributed) {
            slot.attributed = true;
            suspects.push(SuspectRun::new(&slot.info, slot.isolated));
        }
        let ended_run = ended.filter(|slot| !slot.attributed);
        suspects.extend(ended_run.map(|slot| SuspectRun::new(&slot.info, slot.isolated)));
        if ended.is_none() {
            let abandoned = self
                .abandoned
                .drain(..)
                .filter(|entry| now < entry.retained_until);
            suspects.extend(abandoned.map(|entry| entry.run));
        }
        let probe = suspects.iter().any(|run| run.isolated);
        suspects.retain(|run| run.isolated || !probe);
        let mut digests: Vec<_> = suspects.iter().map(|run| run.digest).collect();
        digests.sort_unstable();
        digests.dedup();
        AttributedRuns { digests, probe }
    }

    fn record_abandoned(&mut self, now: MonotonicTime) {
        let freed = self
            .slots
            .iter()
            .filter(|slot| now >= slot.frees_at && !slot.attributed);
        let abandoned = freed.map(|slot| AbandonedRun {
            run: SuspectRun::new(&slot.info, slot.isolated),
            retained_until: slot.frees_at + ABANDONED_RETENTION,
        });
        self.abandoned.extend(abandoned);
        self.abandoned.retain(|entry| now < entry.retained_until);
        let surplus = self.abandoned.len().saturating_sub(ABANDONED_MAX);
        self.abandoned.drain(..surplus);
    }

    fn find_mut(&mut self, attempt: AttemptId) -> Option<&mut OccupiedSlot> {
        self.slots
            .iter_mut()
            .find(|slot| slot.info.attempt == attempt)
    }
}

/// Returns the time at which a backend server has definitely stopped work that expires at `expires`
/// by the local clock, if its remaining time was computed at or after `computed` and written at
/// `written`.
fn latest_end_at_server(
    computed: MonotonicTime,
    written: MonotonicTime,
    expires: MonotonicTime,
) -> MonotonicTime {
    let remaining = expires.since(computed);
    expires
        + written.since(computed)
        + TRANSIT_ALLOWANCE
        + remaining * CLOCK_DRIFT_PPM * 2 / 1_000_000
}
