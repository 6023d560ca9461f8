//! Events of the timeline.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Kind of an event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A caller's request arrived.
    RequestArrived,
    /// A caller's request was answered completely or partially. The value is the coverage in parts
    /// per million.
    RequestAnswered,
    /// A caller's request was refused.
    RequestRefused,
    /// A request was pinned to a snapshot. The value is the snapshot number.
    SnapshotPinned,
    /// A shard is missing from an answer. The value is the shard number.
    ShardMissing,
    /// A sub-request was dispatched. The value is the shard number.
    SubDispatched,
    /// A second attempt was sent because the first was slow. The value is the shard number.
    SubHedged,
    /// Another replica was tried after a failure. The value is the shard number.
    SubRetried,
    /// A hedge or retry was suppressed because the budget for extra work was exhausted.
    BudgetSpent,
    /// A sub-request was cancelled. The value is the shard number.
    SubCancelled,
    /// A sub-request failed for the reason given by the code.
    SubFailed,
    /// A replica announced itself for the first time or with changed values.
    ReplicaAnnounced,
    /// A replica's announcements expired.
    ReplicaLapsed,
    /// A replica left or is draining.
    ReplicaLeft,
    /// This entry became the keeper of a replica.
    KeepStarted,
    /// This entry is waiting for the lease of a replica's former keeper to end.
    KeepWaiting,
    /// This entry is no longer the keeper of a replica.
    KeepReleased,
    /// A replica became cold.
    ColdStarted,
    /// The concurrency limit of a cold replica was raised. The value is the new limit.
    ColdRaised,
    /// The concurrency limit of a cold replica was lowered. The value is the new limit.
    ColdCut,
    /// A replica finished warming up.
    ColdEnded,
    /// A backend server crashed while it ran a request.
    CrashRecorded,
    /// A request is no longer run because it crashed backend servers.
    RequestPoisoned,
    /// The freshness lease became valid.
    LeaseGained,
    /// The freshness lease expired.
    LeaseLost,
    /// A newer view was adopted.
    ViewAdopted,
    /// An entry became a member.
    EntryJoined,
    /// An entry left the membership voluntarily.
    EntryLeft,
    /// An entry was removed after a period without contact.
    EntryLost,
    /// This control VM became leader. The value is the term.
    LeaderElected,
    /// This control VM is no longer leader. The value is the term.
    LeaderLost,
    /// An operator's change was committed.
    ChangeCommitted,
    /// An operator's change was refused for the reason given by the code.
    ChangeRefused,
    /// An attempt won the claim of its request.
    ClaimWon,
    /// An attempt did not win the claim of its request.
    ClaimLost,
    /// The process started to shut down.
    ShutdownStarted,
    /// The process finished shutting down.
    ShutdownEnded,
    /// The power cap of a data centre was reached.
    PowerCapped,
    /// A sub-request was refused because the queue of its replica was full. The value is the length
    /// of the queue.
    QueueFull,
}

/// An event without timestamp and VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EventDraft {
    /// Kind of the event, which determines the meaning of `value`.
    pub kind: EventKind,
    /// Identifier of the caller's request, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The replica concerned, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replica: Option<ReplicaName>,
    /// The data centre concerned, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<CentreName>,
    /// Version in force, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<VersionNumber>,
    /// Reason for the event, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub code: Option<ResultCode>,
    /// Number whose meaning depends on the kind; 0 if unused.
    #[serde(default)]
    pub value: u64,
}

impl EventDraft {
    /// Creates an event with only its kind set.
    pub fn new(kind: EventKind) -> Self {
        Self {
            kind,
            request: None,
            replica: None,
            data_centre: None,
            version: None,
            code: None,
            value: 0,
        }
    }

    /// Sets the identifier of the caller's request.
    pub fn with_request(mut self, request: &RequestId) -> Self {
        self.request = Some(request.clone());
        self
    }

    /// Sets the replica concerned.
    pub fn with_replica(mut self, replica: &ReplicaName) -> Self {
        self.replica = Some(replica.clone());
        self
    }

    /// Sets the data centre concerned.
    pub fn with_centre(mut self, centre: &CentreName) -> Self {
        self.data_centre = Some(centre.clone());
        self
    }

    /// Sets the version in force.
    pub fn with_version(mut self, version: VersionNumber) -> Self {
        self.version = Some(version);
        self
    }

    /// Sets the code that gives the reason.
    pub fn with_code(mut self, code: ResultCode) -> Self {
        self.code = Some(code);
        self
    }

    /// Sets the value, whose meaning depends on the kind.
    pub fn with_value(mut self, value: u64) -> Self {
        self.value = value;
        self
    }
}

/// Timestamp of a hybrid logical clock: the wall clock, never behind any timestamp seen, with a
/// counter for equal readings.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct HybridTimestamp {
    /// Microseconds since 1970.
    pub wall_us: u64,
    /// Counter for events with equal `wall_us`.
    pub count: u32,
}

/// A timestamped event of the timeline.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EventRecord {
    /// Time of the event by the hybrid logical clock of its process; orders events of different
    /// VMs.
    pub stamp: HybridTimestamp,
    /// VM of the process that recorded the event.
    pub vm: VmName,
    /// Kind and details of the event.
    #[serde(flatten)]
    pub event: EventDraft,
}
