//! Property test with arbitrary events in any order, including events that cannot occur in
//! practice: a request finishes exactly once, and each claim allows one dispatch.
//! `DAISYHINGE_CASES` sets the number of cases.

use std::collections::HashSet;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::search::route::RouteTable;
use daisyhinge::search::{RequestSearch, SearchAction, SearchEvent};
use daisyhinge::vocabulary::claim::{ClaimReply, ClaimResult};
use daisyhinge::vocabulary::replica::KeeperLoad;
use daisyhinge::vocabulary::subrequest::{SubAnswer, SubRefusal};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::fleet::{Fleet, plan};

const SHARDS: u32 = 3;

/// Strategy for a delay in microseconds and the event that follows it.
fn any_event() -> impl Strategy<Value = (u64, SearchEvent)> {
    let codes = prop::sample::select(vec![
        ResultCode::SlotsBusy,
        ResultCode::ConnectionReset,
        ResultCode::SnapshotNotHeld,
        ResultCode::ServerFailed,
        ResultCode::RequestPoisoned,
        ResultCode::KeeperUnreachable,
    ]);
    let runs = prop::sample::select(vec![RunState::NotRun, RunState::Unknown, RunState::Ran]);
    let attempt = (1..12_u64).prop_map(|sequence| AttemptId {
        origin: 7,
        sequence,
    });
    let answered = (attempt.clone(), 0..SHARDS, 1..3_u64).prop_map(|(attempt, shard, number)| {
        let answer = SubAnswer {
            shard: ShardNumber(shard),
            snapshot: SnapshotNumber(number),
            body: "{}".into(),
            load: KeeperLoad::default(),
        };
        let reply = Ok(answer);
        SearchEvent::SubEnded { attempt, reply }
    });
    let refused = (attempt, codes, runs).prop_map(|(attempt, code, run)| {
        let refusal = SubRefusal {
            code,
            run,
            retry_ms: 3,
            load: KeeperLoad::default(),
        };
        let reply = Err(refusal);
        SearchEvent::SubEnded { attempt, reply }
    });
    let event = prop_oneof![
        2 => Just(SearchEvent::Start),
        4 => answered,
        4 => refused,
        2 => Just(SearchEvent::Claimed(ClaimReply::Won)),
        1 => Just(SearchEvent::Claimed(ClaimReply::Lost(None))),
        1 => Just(SearchEvent::Claimed(ClaimReply::Refused(ResultCode::ClaimUnavailable))),
        1 => Just(SearchEvent::ClaimReturned),
        2 => Just(SearchEvent::Tick),
        1 => Just(SearchEvent::CallerGone),
    ];
    (0..20_000_u64, event)
}

proptest! {
    #![proptest_config(Config {
        cases: std::env::var("DAISYHINGE_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(256),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    })]

    #[test]
    fn any_order_of_events_finishes_a_request_exactly_once(
        repeatable in any::<bool>(),
        events in prop::collection::vec(any_event(), 1..60),
    ) {
        let mut now = MonotonicTime(1_000_000);
        let mut routes = RouteTable::seeded(1);
        Fleet::new(1, SHARDS, 3).publish(now, &mut routes);
        let mut plan = plan(0, now, Duration::from_millis(150));
        plan.repeatable = repeatable;
        plan.shard = (!repeatable).then_some(ShardNumber(0));
        let deadline = plan.deadline;
        let mut search = RequestSearch::new(plan).with_claim_returns();
        let (mut finished, mut claimed, mut sent) = (0, HashSet::new(), HashSet::new());
        let last = [(0, SearchEvent::Start), (200_000, SearchEvent::Tick), (0, SearchEvent::Tick)];
        for (micros, event) in events.into_iter().chain(last) {
            now = now + Duration::from_micros(micros);
            let mut actions = Vec::new();
            search.step(now, event, &mut routes, &mut actions);
            for action in actions {
                match action {
                    SearchAction::Finish(_) => finished += 1,
                    SearchAction::Claim(attempt) => prop_assert!(claimed.insert(attempt)),
                    SearchAction::Dispatch(sub) => {
                        prop_assert!(now < deadline && finished == 0);
                        prop_assert!(sent.insert(sub.attempt));
                        prop_assert!(repeatable || claimed.contains(&sub.attempt));
                    }
                    SearchAction::EndClaim { attempt, end: ClaimResult::Answered(_) } => {
                        prop_assert!(sent.contains(&attempt));
                    }
                    _ => {}
                }
            }
        }
        prop_assert_eq!(finished, 1);
        prop_assert!(search.is_done());
        prop_assert_eq!(routes.in_flight(), 0);
        prop_assert!(repeatable || sent.len() <= claimed.len());
    }
}
