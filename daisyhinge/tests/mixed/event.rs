//! Events of a run, with their senders and receivers.

use bytes::Bytes;
use daisyhinge::control::core::{CoreReply, CoreRequest};
use daisyhinge::keeper::sub_request::{DispatchOutcome, SubRequestInfo};
use daisyhinge::prelude::*;
use daisyhinge::search::SubPlan;
use daisyhinge::vocabulary::announcement::{ReplicaAnnouncement, ReplicaDeparture};
use daisyhinge::vocabulary::change::ChangeRequest;
use daisyhinge::vocabulary::replica::{TableDelta, TableRequest};
use daisyhinge::vocabulary::subrequest::{SubReply, SubRequest};

/// Sender or receiver of a message, for network partitions.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Endpoint {
    Control(usize),
    Entry(usize),
    Server(usize),
}

/// One start of an entry. Events for an earlier start are dropped once the entry restarts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryStart {
    /// Index of the entry.
    pub index: usize,
    /// Value of `Entry::start` at the time of the start.
    pub start: u64,
}

/// Purpose of a call to control.
#[derive(Clone, Copy, Debug)]
pub enum CallKind {
    Fresh,
    Claim {
        search: u64,
    },
    /// `returned` means that the request did not run, so it may be claimed again.
    EndClaim {
        search: u64,
        returned: bool,
    },
}

/// A call from an entry to control that is in flight.
#[derive(Clone, Debug)]
pub struct ControlCall {
    pub kind: CallKind,
    pub request: CoreRequest,
    pub sent_at: MonotonicTime,
    pub attempts_left: u32,
}

/// Sender of a request to control, which waits for the reply.
#[derive(Clone, Debug)]
pub enum Requester {
    Entry {
        to: EntryStart,
        call: u64,
        from: usize,
    },
    Operator(ChangeRequest),
}

/// A sub-request that its keeper sent to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct SentRun {
    pub server: usize,
    pub info: SubRequestInfo,
    pub keeper: EntryStart,
    /// Time from sending to expiry, in microseconds.
    pub remaining: u64,
    pub sent_at: u64,
    pub keeper_knew_cold: bool,
    /// Whether the keeper knew that the request had crashed a server.
    pub keeper_knew_crash: bool,
}

/// A dispatch that a root entry decided.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch {
    pub submission: u64,
    pub at: u64,
    /// Whether the root knew that the request had crashed a server.
    pub root_knew_crash: bool,
}

/// An event of the simulation's queue.
#[derive(Clone, Debug)]
pub enum SimEvent {
    // At entries.
    Renew,
    Tick,
    Tables,
    CallTimeout(u64),
    ControlReply {
        call: u64,
        reply: CoreReply,
    },
    TableRequested {
        from: EntryStart,
        request: TableRequest,
    },
    Table {
        from: usize,
        delta: TableDelta,
    },
    Announced(ReplicaAnnouncement),
    Left {
        departure: ReplicaDeparture,
        server: usize,
    },
    Query {
        submission: u64,
    },
    Wake(u64),
    CallKeeper {
        search: u64,
        sub: SubPlan,
    },
    SubTimeout {
        search: u64,
        attempt: AttemptId,
    },
    SubRequested {
        from: EntryStart,
        search: u64,
        request: SubRequest,
    },
    SubReplied {
        search: u64,
        attempt: AttemptId,
        reply: SubReply,
    },
    Dropped {
        replica: ReplicaName,
        attempt: AttemptId,
    },
    Write(AttemptId),
    Expired(AttemptId),
    Ended {
        attempt: AttemptId,
        end: DispatchOutcome,
        body: Option<Bytes>,
    },
    CancelEnded {
        replica: ReplicaName,
        attempt: AttemptId,
        stopped: bool,
    },
    // At control.
    Control {
        node: usize,
        request: CoreRequest,
        requester: Requester,
    },
    // At backend servers.
    Arrive(SentRun),
    Stop {
        server: usize,
        attempt: AttemptId,
        answers: bool,
    },
    CancelArrive {
        keeper: EntryStart,
        server: usize,
        attempt: AttemptId,
    },
    Announce(usize),
    Restart(usize),
    MarkReady {
        server: usize,
        incarnation: IncarnationNumber,
    },
    LoadSnapshot {
        server: usize,
        snapshot: u64,
    },
    // At callers and operators, and in the simulation itself.
    SendQuery,
    Resend(u64),
    OperatorStep,
    InjectFault,
    Heal(Endpoint, Endpoint),
    StartEntry(usize),
    StartControl(usize),
    Check,
}
