//! Model of keepers, replicas and claims, which records independently of the code under test which
//! attempts ran.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::search::SubPlan;
use daisyhinge::search::plan::SearchPlan;
use daisyhinge::search::route::RouteTable;
use daisyhinge::vocabulary::announcement::ReplicaSnapshot;
use daisyhinge::vocabulary::claim::ClaimOutcome;
use daisyhinge::vocabulary::query::AnswerPreference;
use daisyhinge::vocabulary::replica::{KeeperLoad, ReplicaAvailability, ReplicaRecord, TableDelta};
use daisyhinge::vocabulary::subrequest::{SubAnswer, SubRefusal, SubReply};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const SERVICE: &str = "label-desk";
pub const CENTRES: [&str; 3] = ["lagos-1", "abuja-1", "kano-1"];

/// Snapshot of the model, with the weight of each shard.
#[derive(Clone, Debug)]
pub struct ModelSnapshot {
    pub generation: u64,
    pub weights: Vec<u64>,
}

impl ModelSnapshot {
    pub fn shards(&self) -> u32 {
        u32::try_from(self.weights.len()).expect("the shard count fits into 32 bits")
    }

    pub fn total_weight(&self) -> u64 {
        self.weights.iter().sum()
    }
}

#[derive(Clone, Debug)]
pub struct ModelReplica {
    pub name: ReplicaName,
    pub keeper: usize,
    pub alive: bool,
    pub held_snapshots: Vec<ReplicaSnapshot>,
    pub running: u32,
    /// Smoothed service time reported by the keeper, in microseconds.
    pub service_us: u32,
    /// End times of the outstanding dispatches, in order; used only if slots are modelled.
    pub busy: Vec<(MonotonicTime, AttemptId)>,
}

/// Probabilities of injected faults, per thousand dispatches.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    pub straggler: u32,
    pub refused: u32,
    pub reset: u32,
    pub mismatch: u32,
    pub failed: u32,
}

/// Outcome of one dispatch that a test prescribes in place of the model.
#[derive(Clone, Copy, Debug)]
pub enum ScriptedOutcome {
    /// The service time is multiplied by this factor.
    Slow(u64),
    /// The dispatch is refused after 300 µs. It counts as run unless the state is `NotRun`.
    Refuse(ResultCode, RunState),
}

type Script = Box<dyn FnMut(MonotonicTime, &SubPlan) -> Option<ScriptedOutcome>>;

pub struct Fleet {
    pub script: Option<Script>,
    pub rng: ChaCha8Rng,
    pub snapshots: BTreeMap<u64, ModelSnapshot>,
    pub replicas: Vec<ModelReplica>,
    /// Time of the first announcement, by snapshot and shard.
    pub announced: HashMap<(u64, u32), MonotonicTime>,
    pub rates: FaultRates,
    pub service_us: u64,
    /// Slots per replica; if unset, dispatches never queue.
    pub slots: Option<usize>,
    /// Attempts that a backend server started to execute.
    pub ran: HashSet<AttemptId>,
    pub claims: HashMap<RequestId, (AttemptId, Option<ClaimOutcome>)>,
    cursor: u64,
}

impl Fleet {
    pub fn new(seed: u64, shards: u32, copies: usize) -> Self {
        let mut fleet = Self {
            script: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            snapshots: BTreeMap::new(),
            replicas: Vec::new(),
            announced: HashMap::new(),
            rates: FaultRates::default(),
            service_us: 6_000,
            slots: None,
            ran: HashSet::new(),
            claims: HashMap::new(),
            cursor: 0,
        };
        fleet.add_snapshot(1, 1, shards);
        for shard in 0..shards {
            for copy in 0..copies {
                let name = format!("r{shard}-{copy}");
                fleet.replicas.push(ModelReplica {
                    name: name.as_str().into(),
                    keeper: copy % CENTRES.len(),
                    alive: true,
                    held_snapshots: vec![fleet.held_snapshot(1, shard)],
                    running: 0,
                    service_us: 6_000,
                    busy: Vec::new(),
                });
            }
        }
        fleet
    }

    pub fn add_snapshot(&mut self, number: u64, generation: u64, shards: u32) {
        let weights = (0..shards).map(|_| self.rng.random_range(1..100)).collect();
        let snapshot = ModelSnapshot {
            generation,
            weights,
        };
        self.snapshots.insert(number, snapshot);
    }

    pub fn held_snapshot(&self, number: u64, shard: u32) -> ReplicaSnapshot {
        let snapshot = &self.snapshots[&number];
        let shards = snapshot.shards();
        ReplicaSnapshot {
            snapshot: SnapshotNumber(number),
            generation: snapshot.generation,
            shard: ShardNumber(shard % shards),
            shards,
            weight: snapshot.weights[(shard % shards) as usize],
            whole_weight: snapshot.total_weight(),
        }
    }

    /// Publishes the complete table of every keeper.
    pub fn publish(&mut self, now: MonotonicTime, routes: &mut RouteTable) {
        self.cursor += 1;
        for (keeper, centre) in CENTRES.iter().enumerate() {
            let owned = self
                .replicas
                .iter()
                .filter(|replica| replica.keeper == keeper);
            let records: Vec<_> = owned
                .filter(|replica| replica.alive)
                .map(|replica| Self::record(replica, centre))
                .collect();
            let delta = TableDelta {
                table: 1,
                cursor: self.cursor,
                whole: true,
                records,
                gone: Vec::new(),
                crashes: Vec::new(),
            };
            routes.apply_delta(&keeper_name(keeper), delta);
        }
        for replica in self.replicas.iter().filter(|replica| replica.alive) {
            for announced in &replica.held_snapshots {
                let first = self
                    .announced
                    .entry((announced.snapshot.0, announced.shard.0));
                first.or_insert(now);
            }
        }
    }

    fn record(replica: &ModelReplica, centre: &str) -> ReplicaRecord {
        ReplicaRecord {
            replica: replica.name.clone(),
            service: SERVICE.into(),
            data_centre: centre.into(),
            incarnation: IncarnationNumber(1),
            state: ReplicaAvailability::Warm,
            slots: 2,
            snapshots: Arc::from(replica.held_snapshots.clone()),
            load: Self::load(replica),
        }
    }

    fn load(replica: &ModelReplica) -> KeeperLoad {
        KeeperLoad {
            running: replica.running,
            queued: 0,
            limit: 2,
            service_us: replica.service_us,
        }
    }

    /// Determines the reply to a dispatch and the time until it arrives.
    pub fn run(&mut self, now: MonotonicTime, sub: &SubPlan) -> (Duration, SubReply) {
        let index = self
            .replicas
            .iter()
            .position(|replica| replica.name == sub.replica);
        let replica = self.replicas[index.expect("dispatches go to known replicas")].clone();
        let load = Self::load(&replica);
        let refuse = |code, run, retry_ms| {
            Err(SubRefusal {
                code,
                run,
                retry_ms,
                load,
            })
        };
        let refusal_delay = Duration::from_micros(300);
        let scripted = self.script.as_mut().and_then(|script| script(now, sub));
        if let Some(ScriptedOutcome::Refuse(code, run)) = scripted {
            if run != RunState::NotRun {
                self.ran.insert(sub.attempt);
            }
            return (refusal_delay, refuse(code, run, 0));
        }
        if !replica.alive {
            return (
                refusal_delay,
                refuse(ResultCode::ConnectFailed, RunState::NotRun, 0),
            );
        }
        let is_requested = |candidate: &&ReplicaSnapshot| {
            candidate.snapshot == sub.snapshot && candidate.shard == sub.shard
        };
        let Some(found) = replica.held_snapshots.iter().find(is_requested) else {
            return (
                refusal_delay,
                refuse(ResultCode::SnapshotNotHeld, RunState::NotRun, 0),
            );
        };
        if self.chance(self.rates.refused) {
            const CODES: [ResultCode; 5] = [
                ResultCode::SlotsBusy,
                ResultCode::ReplicaDraining,
                ResultCode::NoLease,
                ResultCode::KeeperWaiting,
                ResultCode::ServerShed,
            ];
            let code = *CODES
                .choose(&mut self.rng)
                .expect("the list of codes is not empty");
            return (refusal_delay, refuse(code, RunState::NotRun, 3));
        }
        if let Some(slots) = self.slots {
            return self.run_in_slot(now, sub, index.expect("the replica is known"), slots);
        }
        self.ran.insert(sub.attempt);
        let slowdown = match scripted {
            Some(ScriptedOutcome::Slow(factor)) => factor,
            _ => 1,
        };
        let duration = self.draw_service_time()
            * u32::try_from(slowdown).expect("the factor fits into 32 bits");
        let sample = u32::try_from(duration.as_micros()).expect("the duration fits into 32 bits");
        let known = &mut self.replicas[index.expect("the replica is known")].service_us;
        *known = *known - *known / 8 + sample / 8;
        let left = sub.expires.since(now);
        if duration > left {
            return (
                left,
                refuse(ResultCode::SubRequestExpired, RunState::Unknown, 0),
            );
        }
        if self.chance(self.rates.reset) {
            return (
                refusal_delay,
                refuse(ResultCode::ConnectionReset, RunState::Unknown, 0),
            );
        }
        if self.chance(self.rates.failed) {
            return (duration, refuse(ResultCode::ServerFailed, RunState::Ran, 0));
        }
        let wrong = u64::from(self.chance(self.rates.mismatch));
        let snapshot = SnapshotNumber(found.snapshot.0 + wrong);
        let answer = SubAnswer {
            shard: found.shard,
            snapshot,
            body: part_body(snapshot, found.shard).into(),
            load,
        };
        (duration, Ok(answer))
    }

    /// Queues a dispatch for a slot, or refuses it at once if it would finish after its deadline.
    fn run_in_slot(
        &mut self,
        now: MonotonicTime,
        sub: &SubPlan,
        index: usize,
        slots: usize,
    ) -> (Duration, SubReply) {
        let duration = self.draw_service_time();
        let service_us = self.replicas[index].service_us;
        let busy = &mut self.replicas[index].busy;
        busy.retain(|(until, _)| *until > now);
        let count = busy.len();
        let start = if count < slots {
            now
        } else {
            busy[count - slots].0
        };
        let load = |busy: usize| KeeperLoad {
            running: u32::try_from(busy.min(slots)).expect("the count fits into 32 bits"),
            queued: u32::try_from(busy.saturating_sub(slots)).expect("the count fits into 32 bits"),
            limit: u32::try_from(slots).expect("the count fits into 32 bits"),
            service_us,
        };
        if start + duration > sub.expires {
            let refusal = SubRefusal {
                code: ResultCode::SlotsBusy,
                run: RunState::NotRun,
                retry_ms: 5,
                load: load(count),
            };
            return (Duration::from_micros(300), Err(refusal));
        }
        let end = start + duration;
        busy.push((end, sub.attempt));
        busy.sort_unstable();
        self.ran.insert(sub.attempt);
        let answer = SubAnswer {
            shard: sub.shard,
            snapshot: sub.snapshot,
            body: part_body(sub.snapshot, sub.shard).into(),
            load: load(count),
        };
        (end.since(now), Ok(answer))
    }

    /// Removes a cancelled dispatch that is still queued; one in a slot runs to its end.
    pub fn cancel(&mut self, attempt: AttemptId) {
        let slots = self.slots.unwrap_or_default();
        for replica in &mut self.replicas {
            let index = replica
                .busy
                .iter()
                .position(|dispatch| dispatch.1 == attempt);
            if let Some(index) = index.filter(|index| *index >= slots) {
                replica.busy.remove(index);
            }
        }
    }

    fn draw_service_time(&mut self) -> Duration {
        let base_us = self
            .rng
            .random_range(self.service_us..self.service_us * 3 / 2);
        let factor = if self.chance(self.rates.straggler) {
            20
        } else {
            1
        };
        Duration::from_micros(base_us * factor)
    }

    pub fn chance(&mut self, per_thousand: u32) -> bool {
        self.rng.random_range(0..1_000) < per_thousand
    }
}

pub fn part_body(snapshot: SnapshotNumber, shard: ShardNumber) -> String {
    format!("{snapshot}/{shard}")
}

pub fn keeper_name(index: usize) -> VmName {
    format!("entry-{index}").into()
}

pub fn plan(number: u64, now: MonotonicTime, allowed: Duration) -> SearchPlan {
    SearchPlan {
        request: format!("q{number}").into(),
        digest: RequestDigest(number),
        service: SERVICE.into(),
        shard: None,
        arrived: now,
        deadline: now + allowed,
        minimum_ppm: 1_000_000,
        preference: AnswerPreference::Coverage,
        repeatable: true,
        extra_work_ppm: 50_000,
        origin: 7,
        sequence_base: number << 20,
    }
}
