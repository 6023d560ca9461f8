//! Which replicas an entry keeps, from when on, and under which power cap.

#[path = "keeper/support.rs"]
#[expect(dead_code, reason = "shared by several test files")]
mod support;

use std::sync::Arc;
use std::time::Duration;

use daisyhinge::keeper::crash::CrashVerdict;
use daisyhinge::keeper::history::{EntryIdentity, handover_span};
use daisyhinge::keeper::roster::{KeeperRoster, RosterAction, RosterEvent};
use daisyhinge::keeper::{KeeperAction, KeeperEvent};
use daisyhinge::lease::FreshnessLease;
use daisyhinge::prelude::*;
use daisyhinge::rendezvous::find_keeper;
use daisyhinge::vocabulary::announcement::{ReplicaAnnouncement, ReplicaLeave};
use daisyhinge::vocabulary::event::EventKind;
use daisyhinge::vocabulary::freshness::{LEASE_SPAN, RUN_TAIL};
use daisyhinge::vocabulary::replica::{CrashRecord, TableAsk, UseState};
use daisyhinge::vocabulary::view::{ControlView, DepartedEntry, EntryRecord, EntryState};
use support::*;

struct RosterBench {
    roster: KeeperRoster,
    lease: FreshnessLease,
    actions: Vec<RosterAction>,
}

impl RosterBench {
    fn new(vm: &str) -> Self {
        let identity = EntryIdentity {
            vm: vm.into(),
            incarnation: IncarnationNumber(1),
            environment: ENVIRONMENT.into(),
        };
        Self {
            roster: KeeperRoster::new(identity, 9, 3),
            lease: FreshnessLease::default(),
            actions: Vec::new(),
        }
    }

    fn step(&mut self, now: MonotonicTime, event: RosterEvent) {
        self.actions.clear();
        self.roster.step(now, event, &mut self.actions);
    }

    /// A proof of `view` that is fresh at `now`.
    fn prove(&mut self, now: MonotonicTime, view: &Arc<ControlView>) {
        self.step(now, RosterEvent::View(Arc::clone(view)));
        self.lease.renew(view.version, now, Duration::ZERO);
        let seen = self.actions.clone();
        self.step(now, RosterEvent::Lease(self.lease));
        self.actions.extend(seen);
    }

    fn announce(&mut self, now: MonotonicTime, announcement: ReplicaAnnouncement) -> ResultCode {
        self.step(now, RosterEvent::Announced(announcement));
        self.reply()
    }

    fn reply(&self) -> ResultCode {
        let mut replies = self.actions.iter().filter_map(|action| match action {
            RosterAction::Announced { code, .. } => Some(*code),
            _ => None,
        });
        replies.next().expect("a reply")
    }

    /// Asks, and returns the refusal, or `Ok` if it was sent or waits.
    fn ask(&mut self, now: MonotonicTime, replica: &str, number: u64) -> ResultCode {
        let ticket = ticket(number, now + ms(50));
        self.step(
            now,
            RosterEvent::Asked {
                replica: replica.into(),
                ticket,
            },
        );
        let mut codes = self.actions.iter().filter_map(|action| match action {
            RosterAction::Replica {
                action: KeeperAction::Refuse { refusal, .. },
                ..
            } => Some(refusal.code),
            _ => None,
        });
        codes.next().unwrap_or(ResultCode::Ok)
    }

    fn noted(&self, kind: EventKind) -> bool {
        self.actions
            .iter()
            .any(|action| matches!(action, RosterAction::Note(draft) if draft.kind == kind))
    }
}

fn gone(vm: &str, released: bool) -> DepartedEntry {
    DepartedEntry {
        vm: vm.into(),
        released,
    }
}

/// A replica that `wanted` keeps among `entries`, and `other` without it.
fn replica_kept_by(wanted: &str, other: &str, entries: &[EntryRecord]) -> String {
    let rest: Vec<_> = entries
        .iter()
        .filter(|entry| entry.vm != wanted.into())
        .cloned()
        .collect();
    let keeper = |entries: &[EntryRecord], replica: &str| {
        let view = view(1, entries, &[], None);
        let keeper = find_keeper(&view, &ENVIRONMENT.into(), &CENTRE.into(), &replica.into());
        keeper.expect("a keeper").vm.clone()
    };
    let mut names = (0..1_000).map(|number| format!("r{number}"));
    names
        .find(|name| keeper(entries, name) == wanted.into() && keeper(&rest, name) == other.into())
        .expect("such a replica")
}

#[test]
fn a_new_keeper_waits_for_the_lease_of_the_former_one() {
    let both = [entry("a", 1), entry("b", 1)];
    let replica = replica_kept_by("a", "b", &both);
    let mut bench = RosterBench::new("b");
    let first = view(1, &both, &[], None);
    bench.prove(at(0), &first);
    assert_eq!(
        bench.announce(at(10_000), announce(&replica, 1)),
        ResultCode::NotKeeper
    );
    bench.prove(at(10_000), &first);
    let second = view(2, &both[1..], &[gone("a", false)], None);
    bench.prove(at(10_100), &second);
    assert_eq!(
        bench.announce(at(10_200), announce(&replica, 2)),
        ResultCode::Ok
    );
    assert!(bench.noted(EventKind::KeepWaiting));
    assert_eq!(
        bench.ask(at(10_300), &replica, 1),
        ResultCode::KeeperWaiting
    );
    let opens = at(10_100) + handover_span();
    bench.prove(opens.before(ms(1)), &second);
    bench.announce(opens.before(ms(1)), announce(&replica, 3));
    assert_eq!(
        bench.ask(opens.before(ms(1)), &replica, 2),
        ResultCode::KeeperWaiting
    );
    bench.step(opens, RosterEvent::Tick);
    assert!(bench.noted(EventKind::KeepStarted));
    assert_eq!(bench.ask(opens, &replica, 3), ResultCode::Ok);
}

#[test]
fn a_new_keeper_starts_at_once_if_the_former_one_released_all() {
    let both = [entry("a", 1), entry("b", 1)];
    let replica = replica_kept_by("a", "b", &both);
    let mut bench = RosterBench::new("b");
    bench.prove(at(0), &view(1, &both, &[], None));
    bench.prove(at(10_000), &view(1, &both, &[], None));
    bench.prove(at(10_100), &view(2, &both[1..], &[gone("a", true)], None));
    assert_eq!(
        bench.announce(at(10_200), announce(&replica, 1)),
        ResultCode::Ok
    );
    assert_eq!(bench.ask(at(10_200), &replica, 1), ResultCode::Ok);
}

#[test]
fn a_new_keeper_begins_after_the_last_work_of_the_former_one() {
    // The former keeper's last proof was at 0, and its last work expires as late as it may.
    let ends = at(0) + LEASE_SPAN;
    let mut former = KeeperBench::new(announce("r1", 1), at(0));
    former.warm_up(at(0));
    former.gate.lease_ends = ends;
    let now = ends.before(ms(100));
    former.announce(now, |_| {});
    assert_eq!(sent(&former.ask(now, ticket(1, ends + RUN_TAIL))), [1]);
    let opens = at(0) + handover_span();
    former.step(opens.before(ms(1)), KeeperEvent::Tick);
    let load = former.keeper.load();
    assert_eq!(load.running, 0, "the next keeper's work would meet it");
}

#[test]
fn the_release_of_an_earlier_start_is_not_that_of_the_present_one() {
    let both = [entry("a", 5), entry("b", 1)];
    let replica = replica_kept_by("a", "b", &both);
    let earlier = [gone("a", true)];
    let mut bench = RosterBench::new("b");
    bench.prove(at(0), &view(1, &both, &earlier, None));
    bench.prove(at(10_000), &view(1, &both, &earlier, None));
    let mut leaving = both.clone();
    leaving[0].state = EntryState::Leaving;
    bench.prove(at(10_100), &view(2, &leaving, &earlier, None));
    assert_eq!(
        bench.announce(at(10_200), announce(&replica, 1)),
        ResultCode::Ok
    );
    assert_eq!(
        bench.ask(at(10_200), &replica, 1),
        ResultCode::KeeperWaiting
    );
    // Once it left too, the release is its own.
    bench.prove(at(10_300), &view(3, &both[1..], &earlier, None));
    assert_eq!(bench.ask(at(10_300), &replica, 2), ResultCode::Ok);
}

#[test]
fn one_that_was_named_and_never_began_does_not_hide_the_one_before() {
    let all = [entry("a", 1), entry("b", 1), entry("c", 1)];
    // Kept by a; without a by b; without a and b by c.
    let mut names = (0..1_000).map(|number| format!("r{number}"));
    let keeps = |entries: &[EntryRecord], vm: &str, replica: &str| {
        let view = view(1, entries, &[], None);
        find_keeper(&view, &ENVIRONMENT.into(), &CENTRE.into(), &replica.into())
            .is_some_and(|entry| entry.vm == vm.into())
    };
    let replica = names
        .find(|name| keeps(&all, "a", name) && keeps(&all[1..], "b", name))
        .expect("such a replica");
    let mut bench = RosterBench::new("c");
    bench.prove(at(0), &view(1, &all, &[], None));
    bench.prove(at(10_000), &view(1, &all, &[], None));
    bench.prove(at(10_100), &view(2, &all[1..], &[gone("a", false)], None));
    let departed = [gone("a", false), gone("b", true)];
    bench.prove(at(10_300), &view(3, &all[2..], &departed, None));
    bench.announce(at(10_400), announce(&replica, 1));
    assert_eq!(
        bench.ask(at(10_400), &replica, 1),
        ResultCode::KeeperWaiting
    );
}

#[test]
fn a_first_view_a_lapsed_lease_and_a_missed_departure_are_waited_out() {
    let both = [entry("a", 1), entry("b", 1)];
    let replica = replica_kept_by("a", "b", &both);
    let first = view(1, &both, &[], None);
    let mut bench = RosterBench::new("a");
    bench.prove(at(0), &first);
    bench.announce(at(10), announce(&replica, 1));
    assert_eq!(bench.ask(at(20), &replica, 1), ResultCode::KeeperWaiting);

    let start = |lease_until: u64| {
        let mut bench = RosterBench::new("a");
        bench.prove(at(0), &first);
        bench.prove(at(lease_until), &first);
        bench
    };
    let next = view(3, &both, &[], None);
    let mut bench = start(10_000);
    bench.prove(at(11_000), &next);
    bench.announce(at(11_000), announce(&replica, 1));
    assert_eq!(
        bench.ask(at(11_000), &replica, 1),
        ResultCode::Ok,
        "nothing to wait for"
    );

    let mut bench = start(10_000);
    bench.prove(at(15_000), &next);
    bench.announce(at(15_000), announce(&replica, 1));
    assert_eq!(
        bench.ask(at(15_000), &replica, 1),
        ResultCode::KeeperWaiting
    );

    for departed in [gone("c", false), gone("a", false)] {
        let mut bench = start(10_000);
        bench.prove(at(11_000), &view(3, &both, &[departed], None));
        bench.announce(at(11_000), announce(&replica, 1));
        assert_eq!(
            bench.ask(at(11_000), &replica, 1),
            ResultCode::KeeperWaiting
        );
    }
}

#[test]
fn a_lost_replica_is_closed_at_once_and_released_when_nothing_runs() {
    let both = [entry("a", 1), entry("b", 1)];
    let replica = replica_kept_by("a", "b", &both);
    let mut bench = RosterBench::new("a");
    bench.prove(at(0), &view(1, &both, &[], None));
    bench.prove(at(9_900), &view(1, &both, &[], None));
    bench.announce(at(10_000), announce(&replica, 1));
    assert_eq!(bench.ask(at(10_000), &replica, 1), ResultCode::Ok);
    let mut leaving = both.clone();
    leaving[0].state = EntryState::Leaving;
    bench.prove(at(10_010), &view(2, &leaving, &[], None));
    assert_eq!(bench.ask(at(10_011), &replica, 2), ResultCode::NotKeeper);
    assert!(!bench.roster.is_released());
    let ask = TableAsk {
        table: 9,
        cursor: 0,
    };
    let delta = bench.roster.delta(at(10_011), ask);
    assert_eq!(delta.records[0].state, UseState::Closed);
    bench.step(at(10_400), RosterEvent::Tick);
    assert!(bench.noted(EventKind::KeepReleased));
    assert!(bench.roster.is_released() && bench.roster.is_empty());
    let delta = bench.roster.delta(
        at(10_400),
        TableAsk {
            cursor: delta.cursor,
            ..ask
        },
    );
    assert_eq!(delta.gone, [replica.as_str().into()]);
}

#[test]
fn announcements_that_are_late_too_many_or_at_odds_are_refused() {
    let mut bench = RosterBench::new("a");
    bench.prove(at(0), &view(1, &[entry("a", 1)], &[], None));
    assert_eq!(bench.announce(at(1), announce("r1", 5)), ResultCode::Ok);
    for sequence in [4, 5] {
        let code = bench.announce(at(2), announce("r1", sequence));
        assert_eq!(code, ResultCode::AnnouncementStale);
    }
    let mut old = announce("r1", 99);
    old.incarnation = IncarnationNumber(0);
    assert_eq!(bench.announce(at(2), old), ResultCode::AnnouncementStale);
    let mut next = announce("r1", 6);
    next.service = "menu-sync".into();
    assert_eq!(
        bench.announce(at(2), next),
        ResultCode::AnnouncementContradicts
    );
    let mut odd = announce("r2", 1);
    odd.snapshots = odd
        .snapshots
        .iter()
        .map(|held| {
            let mut held = *held;
            held.whole_weight += 1;
            held
        })
        .collect();
    assert_eq!(
        bench.announce(at(2), odd),
        ResultCode::AnnouncementContradicts
    );
    let mut far = announce("r2", 1);
    far.data_centre = "nowhere".into();
    assert_eq!(bench.announce(at(2), far), ResultCode::UnknownCentre);
    assert_eq!(bench.announce(at(3), announce("r2", 1)), ResultCode::Ok);
    assert_eq!(bench.announce(at(3), announce("r3", 1)), ResultCode::Ok);
    assert_eq!(
        bench.announce(at(3), announce("r4", 1)),
        ResultCode::TooManyReplicas
    );
    let leave = |incarnation| {
        RosterEvent::Left(ReplicaLeave {
            replica: "r1".into(),
            incarnation: IncarnationNumber(incarnation),
        })
    };
    bench.step(at(4), leave(0));
    assert_eq!(bench.reply(), ResultCode::AnnouncementStale);
    bench.step(at(4), leave(1));
    assert_eq!(bench.reply(), ResultCode::Ok);
}

#[test]
fn a_replica_that_left_stays_known_after_it_lapsed() {
    let mut bench = RosterBench::new("a");
    let only = view(1, &[entry("a", 1)], &[], None);
    bench.prove(at(0), &only);
    bench.prove(at(9_900), &only);
    bench.announce(at(10_000), announce("r1", 1));
    let leave = ReplicaLeave {
        replica: "r1".into(),
        incarnation: IncarnationNumber(1),
    };
    bench.step(at(10_100), RosterEvent::Left(leave));
    bench.prove(at(19_900), &only);
    // Announced before it left, and very late.
    assert_eq!(
        bench.announce(at(20_000), announce("r1", 2)),
        ResultCode::Ok
    );
    assert_eq!(bench.ask(at(20_000), "r1", 1), ResultCode::ReplicaDraining);
}

#[test]
fn a_poisoned_request_is_refused_and_a_suspect_runs_alone_and_is_not_hedged() {
    let mut bench = RosterBench::new("a");
    let only = view(1, &[entry("a", 1)], &[], None);
    bench.prove(at(0), &only);
    bench.prove(at(9_900), &only);
    bench.announce(at(10_000), announce("r1", 1));
    let told = |keeper: &str, digest, crashes| RosterEvent::Crashes {
        keeper: keeper.into(),
        table: 1,
        records: vec![CrashRecord {
            digest: RequestDigest(digest),
            crashes,
            age_ms: 10,
        }],
    };
    bench.step(at(10_000), told("b", 1, 1));
    assert_eq!(bench.ask(at(10_000), "r1", 2), ResultCode::Ok);
    assert_eq!(bench.ask(at(10_000), "r1", 1), ResultCode::Ok);
    assert_eq!(bench.roster.load(&"r1".into()).queued, 1);
    let mut hedge = ticket(1, at(10_900));
    hedge.hedge = true;
    hedge.attempt.sequence = 3;
    let event = RosterEvent::Asked {
        replica: "r1".into(),
        ticket: hedge,
    };
    bench.step(at(10_000), event);
    assert!(matches!(
        bench.actions[..],
        [RosterAction::Replica {
            action: KeeperAction::Refuse { .. },
            ..
        }]
    ));
    // A server that another keeper lost at the same time convicts nobody; a probe's crash does.
    bench.step(at(10_010), told("c", 1, 1));
    let verdict = bench.roster.crashes().verdict(at(10_010), RequestDigest(1));
    assert_eq!(verdict, CrashVerdict::Suspect);
    bench.step(at(10_020), told("c", 1, 2));
    let mut again = ticket(1, at(10_900));
    again.attempt.sequence = 4;
    bench.step(
        at(10_020),
        RosterEvent::Asked {
            replica: "r1".into(),
            ticket: again,
        },
    );
    assert!(bench.actions.iter().any(|action| matches!(action,
        RosterAction::Replica { action: KeeperAction::Refuse { refusal, .. }, .. }
            if refusal.code == ResultCode::RequestPoisoned && refusal.run == RunState::NotRun)));
}

#[test]
fn the_power_cap_is_divided_exactly_and_a_larger_share_is_waited_for() {
    let all: Vec<_> = (0..8)
        .map(|number| entry(&format!("vm-{number}"), 1))
        .collect();
    for count in 1..=8 {
        for cap in 0..20 {
            let view = view(1, &all[..count], &[], Some(cap));
            let shares = all[..count].iter().map(|entry| {
                let identity = EntryIdentity {
                    vm: entry.vm.clone(),
                    incarnation: entry.incarnation,
                    environment: ENVIRONMENT.into(),
                };
                daisyhinge::keeper::history::share_in_view(&view, &identity, &CENTRE.into())
                    .expect("a cap")
            });
            assert_eq!(shares.sum::<u32>(), cap, "{count} entries");
        }
    }
    let mut bench = RosterBench::new("vm-0");
    bench.prove(at(0), &view(1, &all[..2], &[], Some(2)));
    bench.prove(at(9_900), &view(1, &all[..2], &[], Some(2)));
    let replica = replica_kept_by("vm-0", "vm-1", &all[..2]);
    bench.announce(at(10_000), announce(&replica, 1));
    let more = view(2, &all[..1], &[gone("vm-1", true)], Some(2));
    bench.prove(at(10_000), &more);
    let other = ["r5000", "r5001"];
    bench.announce(at(10_000), announce(other[0], 1));
    assert_eq!(bench.ask(at(10_000), &replica, 1), ResultCode::Ok);
    assert_eq!(
        bench.ask(at(10_000), other[0], 2),
        ResultCode::PowerCapReached
    );
    let raised = at(10_000) + handover_span();
    bench.prove(raised, &more);
    bench.announce(raised, announce(&replica, 2));
    bench.announce(raised, announce(other[0], 2));
    assert_eq!(bench.ask(raised, &replica, 3), ResultCode::Ok);
    assert_eq!(bench.ask(raised, other[0], 4), ResultCode::Ok);
    // A cut holds at once.
    bench.prove(raised, &view(3, &all[..1], &[], Some(1)));
    bench.step(raised + ms(400), RosterEvent::Tick);
    assert_eq!(bench.ask(raised + ms(400), &replica, 5), ResultCode::Ok);
    assert_eq!(
        bench.ask(raised + ms(400), other[0], 6),
        ResultCode::PowerCapReached
    );
}
