//! Benchmarks of the root's decisions for each sub-request: replica choice, dispatch, reply and
//! merge.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use criterion::{BatchSize, Criterion, Throughput, criterion_group, criterion_main};
use daisyhinge::prelude::*;
use daisyhinge::search::plan::SearchPlan;
use daisyhinge::search::route::RouteTable;
use daisyhinge::search::{RequestSearch, SearchAction, SearchEvent};
use daisyhinge::vocabulary::announcement::ReplicaSnapshot;
use daisyhinge::vocabulary::query::AnswerPreference;
use daisyhinge::vocabulary::replica::{KeeperLoad, ReplicaAvailability, ReplicaRecord, TableDelta};
use daisyhinge::vocabulary::subrequest::SubAnswer;

const REPLICAS: u32 = 3;
const SERVICE: &str = "label-desk";
const START: MonotonicTime = MonotonicTime(1_000_000);

fn make_routes(shards: u32) -> RouteTable {
    let mut routes = RouteTable::seeded(1);
    let records = (0..shards * REPLICAS).map(|index| ReplicaRecord {
        replica: format!("r{index}").into(),
        service: SERVICE.into(),
        data_centre: ["lagos-1", "abuja-1", "kano-1"][(index % REPLICAS) as usize].into(),
        incarnation: IncarnationNumber(1),
        state: ReplicaAvailability::Warm,
        slots: 2,
        snapshots: Arc::from([ReplicaSnapshot {
            snapshot: SnapshotNumber(1),
            generation: 1,
            shard: ShardNumber(index / REPLICAS),
            shards,
            weight: 10,
            whole_weight: u64::from(shards) * 10,
        }]),
        load: load(),
    });
    let delta = TableDelta {
        table: 1,
        cursor: 1,
        whole: true,
        records: records.collect(),
        gone: Vec::new(),
        crashes: Vec::new(),
    };
    routes.apply_delta(&"entry-0".into(), delta);
    routes
}

fn load() -> KeeperLoad {
    KeeperLoad {
        running: 1,
        queued: 0,
        limit: 2,
        service_us: 6_000,
    }
}

fn make_plan() -> SearchPlan {
    SearchPlan {
        request: "q".into(),
        digest: RequestDigest(1),
        service: SERVICE.into(),
        shard: None,
        arrived: START,
        deadline: START + Duration::from_secs(1),
        minimum_ppm: 1_000_000,
        preference: AnswerPreference::Coverage,
        repeatable: true,
        extra_work_ppm: 50_000,
        origin: 1,
        sequence_base: 0,
    }
}

/// Runs a request to its end; every shard answers after 6 ms.
fn run_request(routes: &mut RouteTable, actions: &mut Vec<SearchAction>) -> RequestSearch {
    actions.clear();
    let mut search = RequestSearch::new(make_plan());
    search.step(START, SearchEvent::Start, routes, actions);
    let sent: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            SearchAction::Dispatch(sub) => Some((sub.attempt, sub.shard, sub.snapshot)),
            _ => None,
        })
        .collect();
    actions.clear();
    for (attempt, shard, snapshot) in sent {
        let reply = Ok(SubAnswer {
            shard,
            snapshot,
            body: Bytes::from_static(b"{}"),
            load: load(),
        });
        let event = SearchEvent::SubEnded { attempt, reply };
        search.step(START + Duration::from_millis(6), event, routes, actions);
    }
    assert!(search.is_done());
    search
}

fn bench_requests(criterion: &mut Criterion) {
    for shards in [1, 10, 200] {
        let mut routes = make_routes(shards);
        let mut actions = Vec::new();
        let search = run_request(&mut routes, &mut actions);
        println!("shards={shards} memory_bytes={}", search.memory_bytes());
        let mut group = criterion.benchmark_group("request");
        group.throughput(Throughput::Elements(shards.into()));
        group.bench_function(format!("{shards}_shards"), |bencher| {
            bencher.iter(|| run_request(&mut routes, &mut actions));
        });
        group.finish();
    }
}

fn bench_delta(criterion: &mut Criterion) {
    let routes = make_routes(200);
    let delta = TableDelta {
        table: 1,
        cursor: 2,
        whole: false,
        records: Vec::new(),
        gone: vec!["r5".into()],
        crashes: Vec::new(),
    };
    criterion.bench_function("delta_of_one_in_600_replicas", |bencher| {
        bencher.iter_batched(
            || (routes.clone(), delta.clone()),
            |(mut routes, delta)| {
                routes.apply_delta(&"entry-0".into(), delta);
                routes
            },
            BatchSize::LargeInput,
        );
    });
}

criterion_group!(benches, bench_requests, bench_delta);
criterion_main!(benches);
