//! A small model of keepers, replicas and claims, with its own record of what ran where.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::search::SubPlan;
use daisyhinge::search::plan::SearchPlan;
use daisyhinge::search::route::RouteTable;
use daisyhinge::vocabulary::announcement::HeldSnapshot;
use daisyhinge::vocabulary::claim::ClaimOutcome;
use daisyhinge::vocabulary::query::AnswerPreference;
use daisyhinge::vocabulary::replica::{KeeperLoad, ReplicaRecord, TableDelta, UseState};
use daisyhinge::vocabulary::subrequest::{SubAnswer, SubRefusal, SubReply};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const SERVICE: &str = "label-desk";
pub const CENTRES: [&str; 3] = ["lagos-1", "abuja-1", "kano-1"];

/// A snapshot as the model cut it.
#[derive(Clone, Debug)]
pub struct ModelSnapshot {
    pub generation: u64,
    pub weights: Vec<u64>,
}

impl ModelSnapshot {
    pub fn shards(&self) -> u32 {
        u32::try_from(self.weights.len()).expect("few shards")
    }

    pub fn whole(&self) -> u64 {
        self.weights.iter().sum()
    }
}

#[derive(Clone, Debug)]
pub struct ModelReplica {
    pub name: ReplicaName,
    pub keeper: usize,
    pub alive: bool,
    pub held: Vec<HeldSnapshot>,
    pub running: u32,
    /// Smoothed service time as its keeper tells, in microseconds.
    pub service_us: u32,
    /// When the work of each dispatch ends, in order; used where slots are modelled.
    pub busy: Vec<(MonotonicTime, AttemptId)>,
}

/// Chances of faults, per thousand.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    pub straggler: u32,
    pub refused: u32,
    pub reset: u32,
    pub mismatch: u32,
    pub failed: u32,
}

/// What a test decides for one dispatch in place of the model.
#[derive(Clone, Copy, Debug)]
pub enum Scripted {
    /// It runs this many times as long as usual.
    Slow(u64),
    /// It ends so, after 300 µs; it ran unless the state says otherwise.
    Refuse(ResultCode, RunState),
}

type Script = Box<dyn FnMut(MonotonicTime, &SubPlan) -> Option<Scripted>>;

pub struct Fleet {
    pub script: Option<Script>,
    pub rng: ChaCha8Rng,
    pub snapshots: BTreeMap<u64, ModelSnapshot>,
    pub replicas: Vec<ModelReplica>,
    /// When each shard of each snapshot first announced itself.
    pub announced: HashMap<(u64, u32), MonotonicTime>,
    pub rates: FaultRates,
    pub service_us: u64,
    /// Slots of a replica; dispatches do not wait for one another if unset.
    pub slots: Option<usize>,
    /// Dispatches that a backend server began to work on.
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
        fleet.cut_snapshot(1, 1, shards);
        for shard in 0..shards {
            for copy in 0..copies {
                let name = format!("r{shard}-{copy}");
                fleet.replicas.push(ModelReplica {
                    name: name.as_str().into(),
                    keeper: copy % CENTRES.len(),
                    alive: true,
                    held: vec![fleet.held(1, shard)],
                    running: 0,
                    service_us: 6_000,
                    busy: Vec::new(),
                });
            }
        }
        fleet
    }

    pub fn cut_snapshot(&mut self, number: u64, generation: u64, shards: u32) {
        let weights = (0..shards).map(|_| self.rng.random_range(1..100)).collect();
        let snapshot = ModelSnapshot {
            generation,
            weights,
        };
        self.snapshots.insert(number, snapshot);
    }

    pub fn held(&self, number: u64, shard: u32) -> HeldSnapshot {
        let cut = &self.snapshots[&number];
        let shards = cut.shards();
        HeldSnapshot {
            snapshot: SnapshotNumber(number),
            generation: cut.generation,
            shard: ShardNumber(shard % shards),
            shards,
            weight: cut.weights[(shard % shards) as usize],
            whole_weight: cut.whole(),
        }
    }

    /// Publishes every keeper's whole table.
    pub fn publish(&mut self, now: MonotonicTime, routes: &mut RouteTable) {
        self.cursor += 1;
        for (keeper, centre) in CENTRES.iter().enumerate() {
            let kept = self
                .replicas
                .iter()
                .filter(|replica| replica.keeper == keeper);
            let records: Vec<_> = kept
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
            for held in &replica.held {
                let first = self.announced.entry((held.snapshot.0, held.shard.0));
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
            state: UseState::Warm,
            slots: 2,
            snapshots: Arc::from(replica.held.clone()),
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

    /// Decides what becomes of a dispatch: the reply and how long it takes.
    pub fn run(&mut self, now: MonotonicTime, sub: &SubPlan) -> (Duration, SubReply) {
        let place = self
            .replicas
            .iter()
            .position(|replica| replica.name == sub.replica);
        let replica = self.replicas[place.expect("dispatches go to known replicas")].clone();
        let load = Self::load(&replica);
        let refuse = |code, run, retry_ms| {
            Err(SubRefusal {
                code,
                run,
                retry_ms,
                load,
            })
        };
        let short = Duration::from_micros(300);
        let scripted = self.script.as_mut().and_then(|script| script(now, sub));
        if let Some(Scripted::Refuse(code, run)) = scripted {
            if run != RunState::NotRun {
                self.ran.insert(sub.attempt);
            }
            return (short, refuse(code, run, 0));
        }
        if !replica.alive {
            return (
                short,
                refuse(ResultCode::ConnectFailed, RunState::NotRun, 0),
            );
        }
        let holds = |held: &&HeldSnapshot| held.snapshot == sub.snapshot && held.shard == sub.shard;
        let Some(held) = replica.held.iter().find(holds) else {
            return (
                short,
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
            let code = *CODES.choose(&mut self.rng).expect("there are codes");
            return (short, refuse(code, RunState::NotRun, 3));
        }
        if let Some(slots) = self.slots {
            return self.run_in_slot(now, sub, place.expect("found above"), slots);
        }
        self.ran.insert(sub.attempt);
        let slower = match scripted {
            Some(Scripted::Slow(factor)) => factor,
            _ => 1,
        };
        let span = self.draw_span() * u32::try_from(slower).expect("a small factor");
        let sample = u32::try_from(span.as_micros()).expect("a short time");
        let known = &mut self.replicas[place.expect("found above")].service_us;
        *known = *known - *known / 8 + sample / 8;
        let left = sub.expires.since(now);
        if span > left {
            return (
                left,
                refuse(ResultCode::SubRequestExpired, RunState::Unknown, 0),
            );
        }
        if self.chance(self.rates.reset) {
            return (
                short,
                refuse(ResultCode::ConnectionReset, RunState::Unknown, 0),
            );
        }
        if self.chance(self.rates.failed) {
            return (span, refuse(ResultCode::ServerFailed, RunState::Ran, 0));
        }
        let wrong = u64::from(self.chance(self.rates.mismatch));
        let snapshot = SnapshotNumber(held.snapshot.0 + wrong);
        let answer = SubAnswer {
            shard: held.shard,
            snapshot,
            body: part_body(snapshot, held.shard).into(),
            load,
        };
        (span, Ok(answer))
    }

    /// Runs a dispatch after those before it, or refuses at once what would end too late.
    fn run_in_slot(
        &mut self,
        now: MonotonicTime,
        sub: &SubPlan,
        place: usize,
        slots: usize,
    ) -> (Duration, SubReply) {
        let span = self.draw_span();
        let service_us = self.replicas[place].service_us;
        let busy = &mut self.replicas[place].busy;
        busy.retain(|(until, _)| *until > now);
        let count = busy.len();
        let start = if count < slots {
            now
        } else {
            busy[count - slots].0
        };
        let load = |busy: usize| KeeperLoad {
            running: u32::try_from(busy.min(slots)).expect("few"),
            queued: u32::try_from(busy.saturating_sub(slots)).expect("few"),
            limit: u32::try_from(slots).expect("few"),
            service_us,
        };
        if start + span > sub.expires {
            let refusal = SubRefusal {
                code: ResultCode::SlotsBusy,
                run: RunState::NotRun,
                retry_ms: 5,
                load: load(count),
            };
            return (Duration::from_micros(300), Err(refusal));
        }
        let end = start + span;
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

    /// Work that waits and is cancelled is not done.
    pub fn cancel(&mut self, attempt: AttemptId) {
        let slots = self.slots.unwrap_or_default();
        for replica in &mut self.replicas {
            let place = replica.busy.iter().position(|row| row.1 == attempt);
            if let Some(place) = place.filter(|place| *place >= slots) {
                replica.busy.remove(place);
            }
        }
    }

    fn draw_span(&mut self) -> Duration {
        let even = self
            .rng
            .random_range(self.service_us..self.service_us * 3 / 2);
        let factor = if self.chance(self.rates.straggler) {
            20
        } else {
            1
        };
        Duration::from_micros(even * factor)
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
