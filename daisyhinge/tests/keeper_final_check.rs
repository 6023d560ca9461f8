//! Final check between the admission of a sub-request and its first byte.

#[path = "keeper/support.rs"]
#[expect(dead_code, reason = "shared by several test files")]
mod support;

use std::sync::Arc;
use std::time::Duration;

use daisyhinge::keeper::KeeperAction;
use daisyhinge::keeper::keeper_set::{KeeperSet, KeeperSetAction, KeeperSetEvent};
use daisyhinge::keeper::view_history::EntryIdentity;
use daisyhinge::lease::FreshnessLease;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::announcement::ServerState;
use daisyhinge::vocabulary::replica::CrashRecord;
use support::*;

const START_MS: u64 = 20_000;

/// Returns the keeper set of an entry that has just admitted `count` sub-requests to a warm replica
/// with two slots.
fn keepers_with_sent(count: u64) -> KeeperSet {
    let identity = EntryIdentity {
        vm: "a".into(),
        incarnation: IncarnationNumber(1),
        environment: ENVIRONMENT.into(),
    };
    let mut keepers = KeeperSet::new(identity, 9, 3);
    let single_entry_view = view(1, &[entry("a", 1)], &[], None);
    let mut lease = FreshnessLease::default();
    let mut actions = Vec::new();
    let mut sequence = 0;
    for now in (0..=START_MS).step_by(500) {
        keepers.step(
            at(now),
            KeeperSetEvent::View(Arc::clone(&single_entry_view)),
            &mut actions,
        );
        lease.renew(single_entry_view.version, at(now), Duration::ZERO);
        keepers.step(at(now), KeeperSetEvent::Lease(lease), &mut actions);
        sequence += 1;
        let event = KeeperSetEvent::Announced(announce("r1", sequence));
        keepers.step(at(now), event, &mut actions);
    }
    actions.clear();
    for number in 1..=count {
        let event = KeeperSetEvent::Requested {
            replica: "r1".into(),
            info: info(number, at(START_MS + 900)),
        };
        keepers.step(at(START_MS), event, &mut actions);
    }
    let sends = actions.iter().filter(|action| {
        matches!(
            action,
            KeeperSetAction::Replica {
                action: KeeperAction::Send(_),
                ..
            }
        )
    });
    assert_eq!(sends.count() as u64, count);
    keepers
}

fn check(keepers: &KeeperSet, number: u64) -> Option<ResultCode> {
    check_at(keepers, at(START_MS + 10), "r1", number)
}

fn check_at(
    keepers: &KeeperSet,
    now: MonotonicTime,
    replica: &str,
    number: u64,
) -> Option<ResultCode> {
    let expires = now + Duration::from_millis(100);
    keepers.final_check(now, &replica.into(), &info(number, expires))
}

#[test]
fn the_final_check_passes_if_nothing_changed() {
    let keepers = keepers_with_sent(2);
    assert_eq!(check(&keepers, 1), None);
    let now = at(START_MS + 60_000);
    let reason = check_at(&keepers, now, "r1", 1);
    assert_eq!(reason, Some(ResultCode::NoLease));
    let reason = check_at(&keepers, at(START_MS), "r2", 1);
    assert_eq!(reason, Some(ResultCode::NotKeeper));
}

#[test]
fn the_final_check_refuses_a_request_poisoned_after_admission() {
    let mut keepers = keepers_with_sent(2);
    // Simultaneous crashes do not poison a request; the crash of a probe does.
    for (keeper, crashes, expected) in [
        ("b", 1, None),
        ("c", 1, None),
        ("d", 2, Some(ResultCode::RequestPoisoned)),
    ] {
        let event = KeeperSetEvent::Crashes {
            keeper: keeper.into(),
            table: 1,
            records: vec![CrashRecord {
                digest: RequestDigest(1),
                crashes,
                age_ms: 1,
            }],
        };
        keepers.step(at(START_MS + 5), event, &mut Vec::new());
        assert_eq!(check(&keepers, 1), expected);
    }
    assert_eq!(check(&keepers, 2), None);
}

#[test]
fn the_final_check_enforces_the_limit_of_a_server_that_turned_cold() {
    let mut keepers = keepers_with_sent(2);
    let mut cold = announce("r1", 1);
    cold.incarnation = IncarnationNumber(2);
    cold.state = ServerState::Cold;
    cold.cold_allowance = 1;
    let event = KeeperSetEvent::Announced(cold);
    keepers.step(at(START_MS + 5), event, &mut Vec::new());
    assert_eq!(check(&keepers, 1), Some(ResultCode::ServerCold));
}
