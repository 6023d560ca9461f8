//! The parts of a run: entries with their machines, backend servers, snapshots and requests.

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

use crate::item::{ControlCall, EntryStart, SentRun};

/// A sub-request that waits at its keeper, or was sent.
#[derive(Clone, Debug)]
pub struct Waiter {
    pub from: EntryStart,
    pub search: u64,
    pub ask: SubRequest,
    pub info: SubRequestInfo,
    pub sending: bool,
}

/// A request that runs at an entry.
pub struct RunningSearch {
    pub machine: RequestSearch,
    pub plan: SearchPlan,
    /// Dispatches under way, with who keeps the replica.
    pub out: HashMap<AttemptId, SubPlan>,
}

/// One entry: its machines and the fakes around them.
pub struct Entry {
    pub vm: VmName,
    pub centre: CentreName,
    pub start: u64,
    pub alive: bool,
    pub frozen: u64,
    pub offset: u64,
    pub drift_ppm: i64,
    pub keeper_set: KeeperSet,
    pub routes: RouteTable,
    pub lease: FreshnessLease,
    pub view: Arc<ControlView>,
    pub leaving: bool,
    pub released: bool,
    pub left_at: u64,
    pub control: usize,
    pub calls: HashMap<u64, ControlCall>,
    pub searches: BTreeMap<u64, RunningSearch>,
    pub waiters: HashMap<AttemptId, Waiter>,
    pub sequence: u64,
    pub origin: u64,
    pub knows_cold: HashMap<usize, IncarnationNumber>,
}

impl Entry {
    pub fn local(&self, now: u64) -> MonotonicTime {
        let drift = i128::from(now) * i128::from(self.drift_ppm) / 1_000_000;
        let local = i128::from(now) + drift + i128::from(self.offset);
        MonotonicTime(u64::try_from(local).expect("a positive time"))
    }
}

/// Work that a backend server really does.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub run: SentRun,
}

pub struct Server {
    pub announcement: ReplicaAnnouncement,
    pub up: bool,
    pub left: bool,
    /// What it really bears now.
    pub bears: u32,
    pub working: Vec<Work>,
    /// When an entry accepted its leave.
    pub leave_accepted: Option<u64>,
}

/// A snapshot of the search index as the model cut it.
#[derive(Clone, Debug)]
pub struct ModelSnapshot {
    pub generation: u64,
    pub weights: Vec<u64>,
}

impl ModelSnapshot {
    pub fn held(&self, number: u64, server: usize) -> ReplicaSnapshot {
        let shard = server % self.weights.len();
        ReplicaSnapshot {
            snapshot: SnapshotNumber(number),
            generation: self.generation,
            shard: ShardNumber(u32::try_from(shard).expect("a few")),
            shards: u32::try_from(self.weights.len()).expect("a few"),
            weight: self.weights[shard],
            whole_weight: self.weights.iter().sum(),
        }
    }
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerNews {
    Nothing,
    /// An answer, or a refusal that leaves open whether something ran.
    Final,
    /// A refusal that says that nothing ran.
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
    pub span: u64,
    pub to: EntryStart,
    pub arrived: bool,
    pub told: CallerNews,
    /// A backend server began to work for it.
    pub ran: bool,
    pub resends_left: u32,
}

/// When what was accepted.
#[derive(Clone, Debug)]
pub struct AcceptedChange {
    pub at: u64,
    pub version: VersionNumber,
    pub taken_out: Option<CentreName>,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct PoisonRecord {
    /// When an entry first learned that a server was reset under it.
    pub known: Option<u64>,
    pub crashes_known: u64,
    pub crashes_forgotten: u64,
    pub crashes: u64,
}
