//! Events of the time line.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// What happened.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A caller's request came in.
    RequestArrived,
    /// A caller's request was answered, whole or partially; the value is its coverage in ppm.
    RequestAnswered,
    /// A caller's request was refused.
    RequestRefused,
    /// A request was pinned to a snapshot; the value is the snapshot.
    SnapshotPinned,
    /// A shard is missing from an answer; the value is the shard.
    ShardMissing,
    /// A sub-request was dispatched; the value is the shard.
    SubDispatched,
    /// A second attempt was sent since the first was slow; the value is the shard.
    SubHedged,
    /// Another replica was tried after a failure; the value is the shard.
    SubRetried,
    /// A hedge or retry was not sent since the budget of extra work was spent.
    BudgetSpent,
    /// A sub-request was cancelled.
    SubCancelled,
    /// A sub-request failed; the code says why.
    SubFailed,
    /// A replica announced itself for the first time or anew.
    ReplicaAnnounced,
    /// A replica's announcements lapsed.
    ReplicaLapsed,
    /// A replica left or drains.
    ReplicaLeft,
    /// This entry began to keep a replica.
    KeepStarted,
    /// This entry waits until a former keeper's lease has ended.
    KeepWaiting,
    /// This entry no longer keeps a replica.
    KeepReleased,
    /// A replica turned cold.
    ColdStarted,
    /// A cold replica may run more; the value is the new limit.
    ColdRaised,
    /// A cold replica may run less; the value is the new limit.
    ColdCut,
    /// A replica is warm.
    ColdEnded,
    /// A backend server crashed while it ran a request.
    CrashRecorded,
    /// A request is not run any more since it crashed backend servers.
    RequestPoisoned,
    /// The freshness lease holds.
    LeaseGained,
    /// The freshness lease ran out.
    LeaseLost,
    /// A newer view was adopted.
    ViewAdopted,
    /// An entry became a member.
    EntryJoined,
    /// An entry left on its own.
    EntryLeft,
    /// An entry was removed since it was not heard of.
    EntryLost,
    /// This control VM became leader; the value is the term.
    LeaderElected,
    /// This control VM no longer leads; the value is the term.
    LeaderLost,
    /// A change was committed.
    ChangeCommitted,
    /// A change was refused.
    ChangeRefused,
    /// A claim was won.
    ClaimWon,
    /// A claim was lost.
    ClaimLost,
    /// Shutdown began.
    ShutdownStarted,
    /// Shutdown ended.
    ShutdownEnded,
    /// The power cap of a data centre was reached.
    PowerCapped,
    /// A queue was full.
    QueueFull,
}

/// An event before it is stamped.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EventDraft {
    /// What happened.
    pub kind: EventKind,
    /// The caller's request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The replica.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replica: Option<ReplicaName>,
    /// The data centre.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<CentreName>,
    /// The version in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<VersionNumber>,
    /// Why it happened.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub code: Option<ResultCode>,
    /// A number whose meaning the kind gives; 0 if none.
    #[serde(default)]
    pub value: u64,
}

impl EventDraft {
    /// An event with nothing but its kind.
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

    /// Adds the caller's request.
    pub fn with_request(mut self, request: &RequestId) -> Self {
        self.request = Some(request.clone());
        self
    }

    /// Adds the replica.
    pub fn with_replica(mut self, replica: &ReplicaName) -> Self {
        self.replica = Some(replica.clone());
        self
    }

    /// Adds the data centre.
    pub fn with_centre(mut self, centre: &CentreName) -> Self {
        self.data_centre = Some(centre.clone());
        self
    }

    /// Adds the version.
    pub fn with_version(mut self, version: VersionNumber) -> Self {
        self.version = Some(version);
        self
    }

    /// Adds the reason.
    pub fn with_code(mut self, code: ResultCode) -> Self {
        self.code = Some(code);
        self
    }

    /// Adds the number.
    pub fn with_value(mut self, value: u64) -> Self {
        self.value = value;
        self
    }
}

/// Hybrid time: wall clock, never behind any stamp seen, and a counter for equal readings.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct HybridStamp {
    /// Microseconds since 1970.
    pub wall_us: u64,
    /// Counts events of equal `wall_us`.
    pub count: u32,
}

/// An event of the time line.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EventRecord {
    /// When it happened.
    pub stamp: HybridStamp,
    /// VM that it happened on.
    pub vm: VmName,
    /// What happened.
    #[serde(flatten)]
    pub event: EventDraft,
}
