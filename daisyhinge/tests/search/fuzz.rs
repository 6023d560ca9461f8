//! Stateful property test of the route table against a reference map. `DAISYHINGE_CASES` sets the
//! number of cases.

use std::collections::{BTreeMap, BTreeSet};

use daisyhinge::search::route::RouteTable;
use daisyhinge::vocabulary::replica::{ReplicaAvailability, ReplicaRecord};
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::fleet::SERVICE;
use crate::routes::{delta, dispatched, held_snapshot, record};

/// Operation on the route table under test.
#[derive(Clone, Debug)]
enum TableChange {
    Publish {
        keeper: usize,
        replica: u32,
        snapshots: Vec<u64>,
        closed: bool,
    },
    Retract {
        keeper: usize,
        replica: u32,
    },
    Whole {
        keeper: usize,
        replicas: BTreeSet<u32>,
    },
    Drop {
        keeper: usize,
    },
}

const FUZZ_SHARDS: u32 = 4;
const FUZZ_KEEPERS: usize = 3;

/// Published records by keeper and replica: the snapshots held and whether the replica is closed.
type Published = BTreeMap<(usize, u32), (Vec<u64>, bool)>;

struct PublishedMap;

impl ReferenceStateMachine for PublishedMap {
    type State = Published;
    type Transition = TableChange;

    fn init_state() -> BoxedStrategy<Published> {
        Just(Published::new()).boxed()
    }

    fn transitions(_: &Published) -> BoxedStrategy<TableChange> {
        let (keeper, replica) = (0..FUZZ_KEEPERS, 0..FUZZ_SHARDS * 2);
        let snapshot_numbers = prop::collection::btree_set(1..4_u64, 1..3);
        prop_oneof![
            6 => (keeper.clone(), replica.clone(), snapshot_numbers, prop::bool::weighted(0.2)).prop_map(
                |(keeper, replica, numbers, closed)| TableChange::Publish {
                    keeper,
                    replica,
                    snapshots: numbers.into_iter().rev().collect(),
                    closed,
                }
            ),
            2 => (keeper.clone(), replica.clone())
                .prop_map(|(keeper, replica)| TableChange::Retract { keeper, replica }),
            1 => (keeper.clone(), prop::collection::btree_set(replica, 0..4))
                .prop_map(|(keeper, replicas)| TableChange::Whole { keeper, replicas }),
            1 => keeper.prop_map(|keeper| TableChange::Drop { keeper }),
        ]
        .boxed()
    }

    fn apply(mut state: Published, transition: &TableChange) -> Published {
        match transition {
            TableChange::Publish {
                keeper,
                replica,
                snapshots,
                closed,
            } => {
                state.insert((*keeper, *replica), (snapshots.clone(), *closed));
            }
            TableChange::Retract { keeper, replica } => {
                state.remove(&(*keeper, *replica));
            }
            TableChange::Whole { keeper, replicas } => {
                state.retain(|key, _| key.0 != *keeper);
                let records = replicas
                    .iter()
                    .map(|replica| ((*keeper, *replica), (vec![1], false)));
                state.extend(records);
            }
            TableChange::Drop { keeper } => state.retain(|key, _| key.0 != *keeper),
        }
        state
    }
}

fn fuzz_record(replica: u32, snapshots: &[u64], closed: bool) -> ReplicaRecord {
    let shard = replica % FUZZ_SHARDS;
    let snapshots: Vec<_> = snapshots
        .iter()
        .map(|number| held_snapshot(*number, shard, FUZZ_SHARDS))
        .collect();
    let mut record = record(&format!("r{replica}"), 0, &snapshots);
    if closed {
        record.state = ReplicaAvailability::Closed;
    }
    record
}

/// Route table under test, and for each fuzzed keeper the cursor of its last delivered table reply.
struct FuzzedTable {
    routes: RouteTable,
    cursors: [u64; FUZZ_KEEPERS],
}

impl StateMachineTest for FuzzedTable {
    type SystemUnderTest = Self;
    type Reference = PublishedMap;

    fn init_test(_: &Published) -> Self {
        Self {
            routes: RouteTable::seeded(3),
            cursors: [0; FUZZ_KEEPERS],
        }
    }

    fn apply(mut state: Self, ref_state: &Published, transition: TableChange) -> Self {
        let _ = ref_state;
        let (keeper, whole, records, removed) = match transition {
            TableChange::Publish {
                keeper,
                replica,
                snapshots,
                closed,
            } => (
                keeper,
                false,
                vec![fuzz_record(replica, &snapshots, closed)],
                Vec::new(),
            ),
            TableChange::Retract { keeper, replica } => {
                (keeper, false, Vec::new(), vec![format!("r{replica}")])
            }
            TableChange::Whole { keeper, replicas } => {
                let records = replicas
                    .iter()
                    .map(|replica| fuzz_record(*replica, &[1], false));
                (keeper, true, records.collect(), Vec::new())
            }
            TableChange::Drop { keeper } => {
                state.routes.drop_keeper(&format!("entry-{keeper}").into());
                return state;
            }
        };
        state.cursors[keeper] += 1;
        let removed_names: Vec<&str> = removed.iter().map(String::as_str).collect();
        let delta = delta(state.cursors[keeper], whole, records, &removed_names);
        state
            .routes
            .apply_delta(&format!("entry-{keeper}").into(), delta);
        state
    }

    /// Checks that the pinned snapshot has as many usable shards as the best one under any choice
    /// among keepers, and that dispatches go only to keepers that publish the replica as usable.
    fn check_invariants(state: &Self, ref_state: &Published) {
        let published = ref_state;
        let replicas: BTreeSet<u32> = published.keys().map(|key| key.1).collect();
        assert_eq!(state.routes.replica_count(), replicas.len());
        let mut routes = state.routes.clone();
        for shard in 0..FUZZ_SHARDS {
            for (replica, keeper) in dispatched(&mut routes, shard, true) {
                let replica: u32 = replica[1..].parse().expect("a replica number");
                let keeper: usize = keeper["entry-".len()..].parse().expect("a number");
                let (numbers, closed) = &published[&(keeper, replica)];
                assert!(!closed && replica % FUZZ_SHARDS == shard && !numbers.is_empty());
            }
        }
        let pinned = state.routes.pin_snapshot(&SERVICE.into(), 1_000_000, 0);
        let usable = |number: u64, shard: u32, under_every_keeper: bool| {
            replicas
                .iter()
                .filter(|replica| **replica % FUZZ_SHARDS == shard)
                .any(|replica| {
                    let mut records = published.iter().filter(|(key, _)| key.1 == *replica);
                    let is_usable = |entry: (&(usize, u32), &(Vec<u64>, bool))| {
                        !entry.1.1 && entry.1.0.contains(&number)
                    };
                    if under_every_keeper {
                        records.all(is_usable)
                    } else {
                        records.any(is_usable)
                    }
                })
        };
        let count = |number, under_every_keeper| {
            (0..FUZZ_SHARDS)
                .filter(|shard| usable(number, *shard, under_every_keeper))
                .count()
        };
        let best = (1..4).map(|number| count(number, true)).max().unwrap_or(0);
        match pinned {
            Some(pinned) => assert!(count(pinned.snapshot.0, false) >= best.max(1)),
            None => assert_eq!(best, 0),
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: std::env::var("DAISYHINGE_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(64),
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..Config::default()
    })]

    #[test]
    fn the_route_table_matches_a_reference_map(sequential 1..60 => FuzzedTable);
}
