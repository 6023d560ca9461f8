//! What happens in a run, and who sends it to whom.

use bytes::Bytes;
use daisyhinge::control::core::{CoreReply, CoreRequest};
use daisyhinge::keeper::sub_request::{DispatchOutcome, SubRequestInfo};
use daisyhinge::prelude::*;
use daisyhinge::search::SubPlan;
use daisyhinge::vocabulary::announcement::{ReplicaAnnouncement, ReplicaDeparture};
use daisyhinge::vocabulary::change::ChangeRequest;
use daisyhinge::vocabulary::replica::{TableDelta, TableRequest};
use daisyhinge::vocabulary::subrequest::{SubReply, SubRequest};

/// Where a message comes from or goes to, for cuts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Place {
    Control(usize),
    Entry(usize),
    Server(usize),
}

/// A start of an entry, by its place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryStart {
    pub index: usize,
    pub start: u64,
}

/// Why control was asked.
#[derive(Clone, Copy, Debug)]
pub enum CallKind {
    Fresh,
    Claim { search: u64 },
    EndClaim { search: u64, returned: bool },
}

/// An ask of an entry to control that is under way.
#[derive(Clone, Debug)]
pub struct ControlCall {
    pub kind: CallKind,
    pub ask: CoreRequest,
    pub asked: MonotonicTime,
    pub tries_left: u32,
}

/// Who waits for a reply of control.
#[derive(Clone, Debug)]
pub enum Asker {
    Entry {
        to: EntryStart,
        call: u64,
        from: usize,
    },
    Operator(ChangeRequest),
}

/// A sub-request on its way to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct SentRun {
    pub server: usize,
    pub info: SubRequestInfo,
    pub by: EntryStart,
    pub left: u64,
    pub sent: u64,
    pub knew_cold: bool,
    /// The keeper knew that the request had crashed a server.
    pub knew_crash: bool,
}

/// A dispatch as its root entry decided it.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch {
    pub submission: u64,
    pub at: u64,
    /// The root knew that the request had crashed a server.
    pub knew: bool,
}

/// What happens next.
#[derive(Clone, Debug)]
pub enum Item {
    // At entries.
    Renew,
    Tick,
    Tables,
    CallTimeout(u64),
    ControlReply {
        call: u64,
        reply: CoreReply,
    },
    AskTable {
        from: EntryStart,
        ask: TableRequest,
    },
    Table {
        from: usize,
        delta: TableDelta,
    },
    Announced(ReplicaAnnouncement),
    Left {
        leave: ReplicaDeparture,
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
    Sub {
        from: EntryStart,
        search: u64,
        ask: SubRequest,
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
        place: usize,
        ask: CoreRequest,
        asker: Asker,
    },
    // At backend servers.
    Arrive(SentRun),
    Stop {
        server: usize,
        attempt: AttemptId,
        answers: bool,
    },
    CancelArrive {
        by: EntryStart,
        server: usize,
        attempt: AttemptId,
    },
    Announce(usize),
    Restart(usize),
    TurnReady {
        server: usize,
        incarnation: IncarnationNumber,
    },
    Hold {
        server: usize,
        snapshot: u64,
    },
    // Elsewhere.
    Ask,
    Resend(u64),
    Operate,
    Fault,
    Heal(Place, Place),
    Revive(usize),
    StartControl(usize),
    Check,
}
