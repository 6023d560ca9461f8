//! Ownership of replicas by an entry: handover, announcements and power cap.

#[path = "keeper/support.rs"]
#[expect(dead_code, reason = "shared by several test files")]
mod support;

use std::sync::Arc;
use std::time::Duration;

use daisyhinge::crash::PoisonStatus;
use daisyhinge::keeper::keeper_set::{KeeperSet, KeeperSetAction, KeeperSetEvent};
use daisyhinge::keeper::view_history::{EntryIdentity, ViewHistory, handover_duration};
use daisyhinge::keeper::{KeeperAction, KeeperEvent};
use daisyhinge::lease::FreshnessLease;
use daisyhinge::prelude::*;
use daisyhinge::rendezvous::find_keeper;
use daisyhinge::vocabulary::announcement::{ReplicaAnnouncement, ReplicaDeparture};
use daisyhinge::vocabulary::event::EventKind;
use daisyhinge::vocabulary::freshness::{DISPATCH_GRACE, LEASE_DURATION};
use daisyhinge::vocabulary::replica::{CrashRecord, ReplicaAvailability, TableRequest};
use daisyhinge::vocabulary::view::{ControlView, DepartedEntry, EntryRecord, EntryState};
use support::*;

struct KeeperSetHarness {
    keepers: KeeperSet,
    lease: FreshnessLease,
    actions: Vec<KeeperSetAction>,
}

impl KeeperSetHarness {
    fn new(vm: &str) -> Self {
        let identity = EntryIdentity {
            vm: vm.into(),
            incarnation: IncarnationNumber(1),
            environment: ENVIRONMENT.into(),
        };
        Self {
            keepers: KeeperSet::new(identity, 9, 3),
            lease: FreshnessLease::default(),
            actions: Vec::new(),
        }
    }

    fn step(&mut self, now: MonotonicTime, event: KeeperSetEvent) {
        self.actions.clear();
        self.keepers.step(now, event, &mut self.actions);
    }

    /// Delivers `view` with a proof of freshness as of `now`.
    fn prove(&mut self, now: MonotonicTime, view: &Arc<ControlView>) {
        self.step(now, KeeperSetEvent::View(Arc::clone(view)));
        self.lease.renew(view.version, now, Duration::ZERO);
        let view_actions = self.actions.clone();
        self.step(now, KeeperSetEvent::Lease(self.lease));
        self.actions.extend(view_actions);
    }

    fn announce(&mut self, now: MonotonicTime, announcement: ReplicaAnnouncement) -> ResultCode {
        self.step(now, KeeperSetEvent::Announced(announcement));
        self.reply()
    }

    fn reply(&self) -> ResultCode {
        let mut replies = self.actions.iter().filter_map(|action| match action {
            KeeperSetAction::Announced { code, .. } => Some(*code),
            _ => None,
        });
        replies.next().expect("a reply")
    }

    /// Requests a dispatch and returns the refusal code, or `Ok` if it was sent or queued.
    fn dispatch(&mut self, now: MonotonicTime, replica: &str, number: u64) -> ResultCode {
        let info = info(number, now + ms(50));
        self.step(
            now,
            KeeperSetEvent::Requested {
                replica: replica.into(),
                info,
            },
        );
        let mut codes = self.actions.iter().filter_map(|action| match action {
            KeeperSetAction::Replica {
                action: KeeperAction::Refuse { refusal, .. },
                ..
            } => Some(refusal.code),
            _ => None,
        });
        codes.next().unwrap_or(ResultCode::Ok)
    }

    fn recorded(&self, kind: EventKind) -> bool {
        self.actions.iter().any(
            |action| matches!(action, KeeperSetAction::RecordEvent(draft) if draft.kind == kind),
        )
    }
}

fn departed_entry(vm: &str, released: bool) -> DepartedEntry {
    DepartedEntry {
        vm: vm.into(),
        released,
        silent_ms: 0,
    }
}

#[test]
fn the_handover_is_shortened_by_the_silence_of_a_lost_keeper() {
    let (own, other) = (entry("a", 1), entry("b", 1));
    let replica = replica_owned_by("b", "a", &[own.clone(), other.clone()]);
    let handover_ends = |silent_ms: u64| {
        let identity = EntryIdentity {
            vm: "a".into(),
            incarnation: own.incarnation,
            environment: ENVIRONMENT.into(),
        };
        let mut history = ViewHistory::new(identity);
        let entries = [own.clone(), other.clone()];
        history.adopt(at(0), view(1, &entries, &[], None), true);
        history.adopt(at(10_000), view(2, &entries, &[], None), true);
        let lost = DepartedEntry {
            silent_ms,
            ..departed_entry("b", false)
        };
        history.adopt(at(20_000), view(3, &entries[..1], &[lost], None), true);
        history.handover_ends(&CENTRE.into(), &replica.as_str().into())
    };
    let full = at(20_000) + handover_duration();
    assert_eq!(handover_ends(0), full);
    // The silence counts less the maximum clock drift.
    assert_eq!(
        handover_ends(3_000),
        full.before(Duration::from_millis(3_000 - 6))
    );
    assert_eq!(handover_ends(60_000), at(20_000));
}

/// Returns a replica owned by `wanted` among `entries`, and by `other` without `wanted`.
fn replica_owned_by(wanted: &str, other: &str, entries: &[EntryRecord]) -> String {
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
        .expect("a replica with these keepers")
}

#[test]
fn a_new_keeper_waits_for_the_lease_of_the_former_one() {
    let both = [entry("a", 1), entry("b", 1)];
    let replica = replica_owned_by("a", "b", &both);
    let mut harness = KeeperSetHarness::new("b");
    let first = view(1, &both, &[], None);
    harness.prove(at(0), &first);
    assert_eq!(
        harness.announce(at(10_000), announce(&replica, 1)),
        ResultCode::NotKeeper
    );
    harness.prove(at(10_000), &first);
    let second = view(2, &both[1..], &[departed_entry("a", false)], None);
    harness.prove(at(10_100), &second);
    assert_eq!(
        harness.announce(at(10_200), announce(&replica, 2)),
        ResultCode::Ok
    );
    assert!(harness.recorded(EventKind::KeepWaiting));
    assert_eq!(
        harness.dispatch(at(10_300), &replica, 1),
        ResultCode::KeeperWaiting
    );
    let handover_ends = at(10_100) + handover_duration();
    harness.prove(handover_ends.before(ms(1)), &second);
    harness.announce(handover_ends.before(ms(1)), announce(&replica, 3));
    assert_eq!(
        harness.dispatch(handover_ends.before(ms(1)), &replica, 2),
        ResultCode::KeeperWaiting
    );
    harness.step(handover_ends, KeeperSetEvent::Tick);
    assert!(harness.recorded(EventKind::KeepStarted));
    assert_eq!(harness.dispatch(handover_ends, &replica, 3), ResultCode::Ok);
}

#[test]
fn a_new_keeper_starts_at_once_if_the_former_one_released_all() {
    let both = [entry("a", 1), entry("b", 1)];
    let replica = replica_owned_by("a", "b", &both);
    let mut harness = KeeperSetHarness::new("b");
    harness.prove(at(0), &view(1, &both, &[], None));
    harness.prove(at(10_000), &view(1, &both, &[], None));
    harness.prove(
        at(10_100),
        &view(2, &both[1..], &[departed_entry("a", true)], None),
    );
    assert_eq!(
        harness.announce(at(10_200), announce(&replica, 1)),
        ResultCode::Ok
    );
    assert_eq!(harness.dispatch(at(10_200), &replica, 1), ResultCode::Ok);
}

#[test]
fn a_new_keeper_starts_after_the_last_work_of_the_former_one() {
    // The former keeper's last proof of freshness was at 0, and its last work has the latest
    // permitted expiry.
    let lease_end = at(0) + LEASE_DURATION;
    let mut former = KeeperHarness::new(announce("r1", 1), at(0));
    former.warm_up(at(0));
    former.gate.lease_ends = lease_end;
    let now = lease_end.before(ms(100));
    former.announce(now, |_| {});
    assert_eq!(
        sent(&former.dispatch(now, info(1, lease_end + DISPATCH_GRACE))),
        [1]
    );
    let handover_ends = at(0) + handover_duration();
    former.step(handover_ends.before(ms(1)), KeeperEvent::Tick);
    let load = former.keeper.load();
    assert_eq!(
        load.running, 0,
        "work of the former keeper overlaps the next keeper's"
    );
}

#[test]
fn a_release_by_an_earlier_start_does_not_shorten_the_handover() {
    let both = [entry("a", 5), entry("b", 1)];
    let replica = replica_owned_by("a", "b", &both);
    let earlier = [departed_entry("a", true)];
    let mut harness = KeeperSetHarness::new("b");
    harness.prove(at(0), &view(1, &both, &earlier, None));
    harness.prove(at(10_000), &view(1, &both, &earlier, None));
    let mut leaving = both.clone();
    leaving[0].state = EntryState::Leaving;
    harness.prove(at(10_100), &view(2, &leaving, &earlier, None));
    assert_eq!(
        harness.announce(at(10_200), announce(&replica, 1)),
        ResultCode::Ok
    );
    assert_eq!(
        harness.dispatch(at(10_200), &replica, 1),
        ResultCode::KeeperWaiting
    );
    // Once the current start is no longer listed, the release applies to it.
    harness.prove(at(10_300), &view(3, &both[1..], &earlier, None));
    assert_eq!(harness.dispatch(at(10_300), &replica, 2), ResultCode::Ok);
}

#[test]
fn a_keeper_that_never_started_does_not_hide_the_one_before_it() {
    let all = [entry("a", 1), entry("b", 1), entry("c", 1)];
    // The keeper of the chosen replica is entry `a`, then `b` once `a` departs, then `c`, the entry
    // under test, once `b` departs as well.
    let mut names = (0..1_000).map(|number| format!("r{number}"));
    let is_keeper = |entries: &[EntryRecord], vm: &str, replica: &str| {
        let view = view(1, entries, &[], None);
        find_keeper(&view, &ENVIRONMENT.into(), &CENTRE.into(), &replica.into())
            .is_some_and(|entry| entry.vm == vm.into())
    };
    let replica = names
        .find(|name| is_keeper(&all, "a", name) && is_keeper(&all[1..], "b", name))
        .expect("a replica with these keepers");
    let mut harness = KeeperSetHarness::new("c");
    harness.prove(at(0), &view(1, &all, &[], None));
    harness.prove(at(10_000), &view(1, &all, &[], None));
    harness.prove(
        at(10_100),
        &view(2, &all[1..], &[departed_entry("a", false)], None),
    );
    let departed = [departed_entry("a", false), departed_entry("b", true)];
    harness.prove(at(10_300), &view(3, &all[2..], &departed, None));
    harness.announce(at(10_400), announce(&replica, 1));
    assert_eq!(
        harness.dispatch(at(10_400), &replica, 1),
        ResultCode::KeeperWaiting
    );
}

#[test]
fn a_first_view_an_expired_lease_and_a_missed_departure_require_a_handover() {
    let both = [entry("a", 1), entry("b", 1)];
    let replica = replica_owned_by("a", "b", &both);
    let first = view(1, &both, &[], None);
    let mut harness = KeeperSetHarness::new("a");
    harness.prove(at(0), &first);
    harness.announce(at(10), announce(&replica, 1));
    assert_eq!(
        harness.dispatch(at(20), &replica, 1),
        ResultCode::KeeperWaiting
    );

    let start = |lease_until: u64| {
        let mut harness = KeeperSetHarness::new("a");
        harness.prove(at(0), &first);
        harness.prove(at(lease_until), &first);
        harness
    };
    let next = view(3, &both, &[], None);
    let mut harness = start(10_000);
    harness.prove(at(11_000), &next);
    harness.announce(at(11_000), announce(&replica, 1));
    assert_eq!(
        harness.dispatch(at(11_000), &replica, 1),
        ResultCode::Ok,
        "no handover is needed"
    );

    let mut harness = start(10_000);
    harness.prove(at(15_000), &next);
    harness.announce(at(15_000), announce(&replica, 1));
    assert_eq!(
        harness.dispatch(at(15_000), &replica, 1),
        ResultCode::KeeperWaiting
    );

    for departed in [departed_entry("c", false), departed_entry("a", false)] {
        let mut harness = start(10_000);
        harness.prove(at(11_000), &view(3, &both, &[departed], None));
        harness.announce(at(11_000), announce(&replica, 1));
        assert_eq!(
            harness.dispatch(at(11_000), &replica, 1),
            ResultCode::KeeperWaiting
        );
    }
}

#[test]
fn a_reassigned_replica_is_closed_at_once_and_released_when_idle() {
    let both = [entry("a", 1), entry("b", 1)];
    let replica = replica_owned_by("a", "b", &both);
    let mut harness = KeeperSetHarness::new("a");
    harness.prove(at(0), &view(1, &both, &[], None));
    harness.prove(at(9_900), &view(1, &both, &[], None));
    harness.announce(at(10_000), announce(&replica, 1));
    assert_eq!(harness.dispatch(at(10_000), &replica, 1), ResultCode::Ok);
    let mut leaving = both.clone();
    leaving[0].state = EntryState::Leaving;
    harness.prove(at(10_010), &view(2, &leaving, &[], None));
    assert_eq!(
        harness.dispatch(at(10_011), &replica, 2),
        ResultCode::NotKeeper
    );
    assert!(!harness.keepers.is_released());
    let table_request = TableRequest {
        table: 9,
        cursor: 0,
    };
    let delta = harness.keepers.delta(at(10_011), table_request);
    assert_eq!(delta.records[0].state, ReplicaAvailability::Closed);
    harness.step(at(10_400), KeeperSetEvent::Tick);
    assert!(harness.recorded(EventKind::KeepReleased));
    assert!(harness.keepers.is_released() && harness.keepers.is_empty());
    let delta = harness.keepers.delta(
        at(10_400),
        TableRequest {
            cursor: delta.cursor,
            ..table_request
        },
    );
    assert_eq!(delta.gone, [replica.as_str().into()]);
}

#[test]
fn stale_surplus_and_contradictory_announcements_are_refused() {
    let mut harness = KeeperSetHarness::new("a");
    harness.prove(at(0), &view(1, &[entry("a", 1)], &[], None));
    assert_eq!(harness.announce(at(1), announce("r1", 5)), ResultCode::Ok);
    for sequence in [4, 5] {
        let code = harness.announce(at(2), announce("r1", sequence));
        assert_eq!(code, ResultCode::AnnouncementStale);
    }
    let mut old = announce("r1", 99);
    old.incarnation = IncarnationNumber(0);
    assert_eq!(harness.announce(at(2), old), ResultCode::AnnouncementStale);
    let mut next = announce("r1", 6);
    next.service = "menu-sync".into();
    assert_eq!(
        harness.announce(at(2), next),
        ResultCode::AnnouncementContradicts
    );
    let mut contradictory = announce("r2", 1);
    contradictory.snapshots = contradictory
        .snapshots
        .iter()
        .map(|snapshot| {
            let mut snapshot = *snapshot;
            snapshot.whole_weight += 1;
            snapshot
        })
        .collect();
    assert_eq!(
        harness.announce(at(2), contradictory),
        ResultCode::AnnouncementContradicts
    );
    let mut unknown_centre = announce("r2", 1);
    unknown_centre.data_centre = "nowhere".into();
    assert_eq!(
        harness.announce(at(2), unknown_centre),
        ResultCode::UnknownCentre
    );
    assert_eq!(harness.announce(at(3), announce("r2", 1)), ResultCode::Ok);
    assert_eq!(harness.announce(at(3), announce("r3", 1)), ResultCode::Ok);
    assert_eq!(
        harness.announce(at(3), announce("r4", 1)),
        ResultCode::TooManyReplicas
    );
    let leave = |incarnation| {
        KeeperSetEvent::Left(ReplicaDeparture {
            replica: "r1".into(),
            incarnation: IncarnationNumber(incarnation),
        })
    };
    harness.step(at(4), leave(0));
    assert_eq!(harness.reply(), ResultCode::AnnouncementStale);
    harness.step(at(4), leave(1));
    assert_eq!(harness.reply(), ResultCode::Ok);
}

#[test]
fn a_replica_that_left_stays_on_record_after_its_announcement_expired() {
    let mut harness = KeeperSetHarness::new("a");
    let single_entry_view = view(1, &[entry("a", 1)], &[], None);
    harness.prove(at(0), &single_entry_view);
    harness.prove(at(9_900), &single_entry_view);
    harness.announce(at(10_000), announce("r1", 1));
    let leave = ReplicaDeparture {
        replica: "r1".into(),
        incarnation: IncarnationNumber(1),
    };
    harness.step(at(10_100), KeeperSetEvent::Left(leave));
    harness.prove(at(19_900), &single_entry_view);
    // An announcement from before the replica left, with a long delay.
    assert_eq!(
        harness.announce(at(20_000), announce("r1", 2)),
        ResultCode::Ok
    );
    assert_eq!(
        harness.dispatch(at(20_000), "r1", 1),
        ResultCode::ReplicaDraining
    );
}

#[test]
fn a_poisoned_request_is_refused_and_a_suspect_runs_isolated_without_hedges() {
    let mut harness = KeeperSetHarness::new("a");
    let single_entry_view = view(1, &[entry("a", 1)], &[], None);
    harness.prove(at(0), &single_entry_view);
    harness.prove(at(9_900), &single_entry_view);
    harness.announce(at(10_000), announce("r1", 1));
    let crash_records = |keeper: &str, digest, crashes| KeeperSetEvent::Crashes {
        keeper: keeper.into(),
        table: 1,
        records: vec![CrashRecord {
            digest: RequestDigest(digest),
            crashes,
            age_ms: 10,
        }],
    };
    harness.step(at(10_000), crash_records("b", 1, 1));
    assert_eq!(harness.dispatch(at(10_000), "r1", 2), ResultCode::Ok);
    assert_eq!(harness.dispatch(at(10_000), "r1", 1), ResultCode::Ok);
    assert_eq!(harness.keepers.load(&"r1".into()).queued, 1);
    let mut hedge = info(1, at(10_900));
    hedge.hedge = true;
    hedge.attempt.sequence = 3;
    let event = KeeperSetEvent::Requested {
        replica: "r1".into(),
        info: hedge,
    };
    harness.step(at(10_000), event);
    assert!(matches!(
        harness.actions[..],
        [KeeperSetAction::Replica {
            action: KeeperAction::Refuse { .. },
            ..
        }]
    ));
    // A simultaneous crash at another keeper does not poison the request; the crash of a probe
    // does.
    harness.step(at(10_010), crash_records("c", 1, 1));
    let poison_status = harness
        .keepers
        .crashes()
        .poison_status(at(10_010), RequestDigest(1));
    assert_eq!(poison_status, PoisonStatus::Suspect);
    harness.step(at(10_020), crash_records("c", 1, 2));
    let mut again = info(1, at(10_900));
    again.attempt.sequence = 4;
    harness.step(
        at(10_020),
        KeeperSetEvent::Requested {
            replica: "r1".into(),
            info: again,
        },
    );
    assert!(harness.actions.iter().any(|action| matches!(action,
        KeeperSetAction::Replica { action: KeeperAction::Refuse { refusal, .. }, .. }
            if refusal.code == ResultCode::RequestPoisoned && refusal.run == RunState::NotRun)));
}

#[test]
fn the_power_cap_is_divided_exactly_and_a_larger_share_applies_after_the_handover() {
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
                daisyhinge::keeper::view_history::share_in_view(&view, &identity, &CENTRE.into())
                    .expect("a cap")
            });
            assert_eq!(shares.sum::<u32>(), cap, "{count} entries");
        }
    }
    let mut harness = KeeperSetHarness::new("vm-0");
    harness.prove(at(0), &view(1, &all[..2], &[], Some(2)));
    harness.prove(at(9_900), &view(1, &all[..2], &[], Some(2)));
    let replica = replica_owned_by("vm-0", "vm-1", &all[..2]);
    harness.announce(at(10_000), announce(&replica, 1));
    let larger_share_view = view(2, &all[..1], &[departed_entry("vm-1", true)], Some(2));
    harness.prove(at(10_000), &larger_share_view);
    let other = ["r5000", "r5001"];
    harness.announce(at(10_000), announce(other[0], 1));
    assert_eq!(harness.dispatch(at(10_000), &replica, 1), ResultCode::Ok);
    assert_eq!(
        harness.dispatch(at(10_000), other[0], 2),
        ResultCode::PowerCapReached
    );
    let raised = at(10_000) + handover_duration();
    harness.prove(raised, &larger_share_view);
    harness.announce(raised, announce(&replica, 2));
    harness.announce(raised, announce(other[0], 2));
    assert_eq!(harness.dispatch(raised, &replica, 3), ResultCode::Ok);
    assert_eq!(harness.dispatch(raised, other[0], 4), ResultCode::Ok);
    // A reduced cap applies at once.
    harness.prove(raised, &view(3, &all[..1], &[], Some(1)));
    harness.step(raised + ms(400), KeeperSetEvent::Tick);
    assert_eq!(
        harness.dispatch(raised + ms(400), &replica, 5),
        ResultCode::Ok
    );
    assert_eq!(
        harness.dispatch(raised + ms(400), other[0], 6),
        ResultCode::PowerCapReached
    );
}
