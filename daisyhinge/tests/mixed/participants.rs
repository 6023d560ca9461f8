//! Participants of a run: entries with their state machines, backend servers, snapshots and
//! requests.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use daisyhinge::keeper::keeper_set::KeeperSet;
use daisyhinge::keeper::sub_request::SubRequestInfo;
use daisyhinge::lease::FreshnessLease;
use daisyhinge::prelude::*;
use daisyhinge::search::plan::SearchPlan;
use daisyhinge::search::route::RouteTable;
use daisyhinge::search::{RequestSearch, SubPlan};
use daisyhinge::vocabulary::announcement::{ReplicaAnnouncement, ReplicaSnapshot};
use daisyhinge::vocabulary::query::AnswerPreference;
use daisyhinge::vocabulary::subrequest::SubRequest;
use daisyhinge::vocabulary::view::ControlView;

use crate::event::{ControlCall, EntryStart, SentRun};

/// A sub-request that waits at its keeper or was sent.
#[derive(Clone, Debug)]
pub struct Waiter {
    pub from: EntryStart,
    pub search: u64,
    pub request: SubRequest,
    pub info: SubRequestInfo,
    pub sending: bool,
}

/// A request that a root entry runs.
pub struct RunningSearch {
    pub machine: RequestSearch,
    pub plan: SearchPlan,
    /// Dispatches in flight, with the keeper of each replica.
    pub in_flight: HashMap<AttemptId, SubPlan>,
}

/// An entry: its state machines and the model's state around them.
pub struct Entry {
    pub vm: VmName,
    pub centre: CentreName,
    /// Number of starts so far, used as the incarnation.
    pub start: u64,
    pub alive: bool,
    pub frozen_until: u64,
    /// Offset of the entry's clock from simulated time, in microseconds.
    pub offset: u64,
    pub drift_ppm: i64,
    pub keeper_set: KeeperSet,
    pub routes: RouteTable,
    pub lease: FreshnessLease,
    pub view: Arc<ControlView>,
    pub leaving: bool,
    pub released: bool,
    pub leaving_since: u64,
    /// Control VM to call next, modulo their number.
    pub control: usize,
    pub calls: HashMap<u64, ControlCall>,
    pub searches: BTreeMap<u64, RunningSearch>,
    pub waiters: HashMap<AttemptId, Waiter>,
    pub sequence: u64,
    pub origin: u64,
    pub cold_servers: HashMap<usize, IncarnationNumber>,
}

impl Entry {
    pub fn local_time(&self, now: u64) -> MonotonicTime {
        let drift = i128::from(now) * i128::from(self.drift_ppm) / 1_000_000;
        let local_time = i128::from(now) + drift + i128::from(self.offset);
        MonotonicTime(u64::try_from(local_time).expect("time is positive"))
    }
}

/// A sub-request that a backend server is running.
#[derive(Clone, Copy, Debug)]
pub struct RunningSubRequest {
    pub run: SentRun,
}

pub struct Server {
    pub announcement: ReplicaAnnouncement,
    pub up: bool,
    pub draining: bool,
    /// Number of sub-requests that the server can run now, whatever it announces.
    pub capacity: u32,
    pub working: Vec<RunningSubRequest>,
    /// Time at which an entry accepted the server's departure.
    pub leave_accepted: Option<u64>,
}

/// A snapshot of the search index: its generation and the weight of each shard.
#[derive(Clone, Debug)]
pub struct ModelSnapshot {
    pub generation: u64,
    pub weights: Vec<u64>,
}

impl ModelSnapshot {
    pub fn replica_snapshot(&self, number: u64, server: usize) -> ReplicaSnapshot {
        let shard = server % self.weights.len();
        ReplicaSnapshot {
            snapshot: SnapshotNumber(number),
            generation: self.generation,
            shard: ShardNumber(u32::try_from(shard).expect("fits in u32")),
            shards: u32::try_from(self.weights.len()).expect("fits in u32"),
            weight: self.weights[shard],
            whole_weight: self.weights.iter().sum(),
        }
    }
}

/// Outcome of a request as reported to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    Pending,
    /// An answer, or a refusal that does not exclude a run.
    Final,
    /// A refusal which states that the request did not run.
    NotRun,
}

/// A request as a caller sent it to one entry.
#[derive(Clone, Debug)]
pub struct Submission {
    pub request: RequestId,
    pub service: ServiceName,
    pub digest: RequestDigest,
    pub minimum_ppm: u32,
    pub preference: AnswerPreference,
    pub timeout: u64,
    pub to: EntryStart,
    pub arrived: bool,
    pub outcome: CallerOutcome,
    /// Whether a backend server started to run it.
    pub ran: bool,
    pub resends_left: u32,
}

/// A change that control accepted, and the time of acceptance.
#[derive(Clone, Debug)]
pub struct AcceptedChange {
    pub at: u64,
    pub version: VersionNumber,
    pub taken_out: Option<CentreName>,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct PoisonRecord {
    /// Time at which an entry first learned that a connection to a backend server was reset while
    /// the request was outstanding on it.
    pub known_since: Option<u64>,
    pub crashes_known: u64,
    pub crashes_forgotten: u64,
    pub crashes: u64,
}
