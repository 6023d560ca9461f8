//! The last look between the decision to send a sub-request and its first byte.

#[path = "keeper/support.rs"]
#[expect(dead_code, reason = "shared by several test files")]
mod support;

use std::sync::Arc;
use std::time::Duration;

use daisyhinge::keeper::KeeperAction;
use daisyhinge::keeper::history::EntryIdentity;
use daisyhinge::keeper::roster::{KeeperRoster, RosterAction, RosterEvent};
use daisyhinge::lease::FreshnessLease;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::announcement::ServerState;
use daisyhinge::vocabulary::replica::CrashRecord;
use support::*;

const START_MS: u64 = 20_000;

/// An entry that sent `count` sub-requests to a warm replica of two slots a moment ago.
fn roster_with_sent(count: u64) -> KeeperRoster {
    let identity = EntryIdentity {
        vm: "a".into(),
        incarnation: IncarnationNumber(1),
        environment: ENVIRONMENT.into(),
    };
    let mut roster = KeeperRoster::new(identity, 9, 3);
    let only = view(1, &[entry("a", 1)], &[], None);
    let mut lease = FreshnessLease::default();
    let mut actions = Vec::new();
    let mut sequence = 0;
    for now in (0..=START_MS).step_by(500) {
        roster.step(at(now), RosterEvent::View(Arc::clone(&only)), &mut actions);
        lease.renew(only.version, at(now), Duration::ZERO);
        roster.step(at(now), RosterEvent::Lease(lease), &mut actions);
        sequence += 1;
        let event = RosterEvent::Announced(announce("r1", sequence));
        roster.step(at(now), event, &mut actions);
    }
    actions.clear();
    for number in 1..=count {
        let event = RosterEvent::Asked {
            replica: "r1".into(),
            ticket: ticket(number, at(START_MS + 900)),
        };
        roster.step(at(START_MS), event, &mut actions);
    }
    let sends = actions.iter().filter(|action| {
        matches!(
            action,
            RosterAction::Replica {
                action: KeeperAction::Send(_),
                ..
            }
        )
    });
    assert_eq!(sends.count() as u64, count);
    roster
}

fn look(roster: &KeeperRoster, number: u64) -> Option<ResultCode> {
    look_at(roster, at(START_MS + 10), "r1", number)
}

fn look_at(
    roster: &KeeperRoster,
    now: MonotonicTime,
    replica: &str,
    number: u64,
) -> Option<ResultCode> {
    let expires = now + Duration::from_millis(100);
    roster.last_look(now, &replica.into(), &ticket(number, expires))
}

#[test]
fn what_was_decided_goes_out_if_nothing_changed() {
    let roster = roster_with_sent(2);
    assert_eq!(look(&roster, 1), None);
    let now = at(START_MS + 60_000);
    let reason = look_at(&roster, now, "r1", 1);
    assert_eq!(reason, Some(ResultCode::NoLease));
    let reason = look_at(&roster, at(START_MS), "r2", 1);
    assert_eq!(reason, Some(ResultCode::NotKeeper));
}

#[test]
fn a_request_that_turned_out_to_crash_servers_stays() {
    let mut roster = roster_with_sent(2);
    // Servers lost at once convict nobody; a probe that crashed another one does.
    for (keeper, crashes, stopped) in [
        ("b", 1, None),
        ("c", 1, None),
        ("d", 2, Some(ResultCode::RequestPoisoned)),
    ] {
        let event = RosterEvent::Crashes {
            keeper: keeper.into(),
            table: 1,
            records: vec![CrashRecord {
                digest: RequestDigest(1),
                crashes,
                age_ms: 1,
            }],
        };
        roster.step(at(START_MS + 5), event, &mut Vec::new());
        assert_eq!(look(&roster, 1), stopped);
    }
    assert_eq!(look(&roster, 2), None);
}

#[test]
fn a_server_that_turned_cold_gets_no_more_than_it_bears() {
    let mut roster = roster_with_sent(2);
    let mut cold = announce("r1", 1);
    cold.incarnation = IncarnationNumber(2);
    cold.state = ServerState::Cold;
    cold.cold_allowance = 1;
    let event = RosterEvent::Announced(cold);
    roster.step(at(START_MS + 5), event, &mut Vec::new());
    assert_eq!(look(&roster, 1), Some(ResultCode::ServerCold));
}
