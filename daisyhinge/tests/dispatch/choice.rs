//! The choice among replicas.

use daisyhinge::dispatch::Dispatcher;
use daisyhinge::dispatch::fleet::{AttemptFinish, Choice, ChooseAsk, ReplicaIndex};
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::registration::{EntryPhase, EntryPresence, ReplicaPhase};

use crate::support::{at, dispatcher, dispatcher_at, record, shard_name};

fn choose(dispatcher: &Dispatcher, now: MonotonicTime, tried: &[ReplicaIndex]) -> Choice {
    choose_in(dispatcher, now, tried, &[])
}

fn choose_in(
    dispatcher: &Dispatcher,
    now: MonotonicTime,
    tried: &[ReplicaIndex],
    allowed_regions: &[RegionName],
) -> Choice {
    let service = shard_name(0);
    let ask = ChooseAsk {
        service: &service,
        tried,
        allowed_regions,
    };
    dispatcher.fleet.choose(now, &ask)
}

fn centre_of(dispatcher: &Dispatcher, choice: Choice) -> String {
    let Choice::Replica(index) = choice else {
        return format!("{choice:?}");
    };
    let replica = dispatcher.fleet.replica(index).expect("a replica");
    replica.record.data_centre.to_string()
}

fn run(dispatcher: &mut Dispatcher, begun: u64, ended: u64, finish: AttemptFinish) -> String {
    let choice = choose(dispatcher, at(begun), &[]);
    let Choice::Replica(index) = choice else {
        return format!("{choice:?}");
    };
    let centre = centre_of(dispatcher, choice);
    let attempt = dispatcher.next_attempt();
    dispatcher.fleet.begin(at(begun), index, attempt);
    dispatcher.fleet.finish(at(ended), index, attempt, finish);
    centre
}

#[test]
fn the_own_data_centre_goes_first() {
    let dispatcher = dispatcher(1);
    assert_eq!(centre_of(&dispatcher, choose(&dispatcher, at(1), &[])), "a");
}

#[test]
fn a_replica_whose_oldest_request_is_overdue_is_passed_over_at_once() {
    let mut dispatcher = dispatcher(1);
    let Choice::Replica(near) = choose(&dispatcher, at(1), &[]) else {
        panic!("a replica");
    };
    dispatcher.fleet.begin(at(1), near, 1);
    assert_eq!(
        centre_of(&dispatcher, choose(&dispatcher, at(10), &[])),
        "a"
    );
    assert_ne!(
        centre_of(&dispatcher, choose(&dispatcher, at(40), &[])),
        "a"
    );
}

#[test]
fn one_pause_does_not_drive_requests_to_another_region() {
    let mut dispatcher = dispatcher(1);
    for turn in 0..20 {
        run(
            &mut dispatcher,
            turn * 10,
            turn * 10 + 8,
            AttemptFinish::Answered,
        );
    }
    let paused = run(&mut dispatcher, 300, 450, AttemptFinish::Cancelled);
    assert_eq!(paused, "a");
    assert_eq!(
        centre_of(&dispatcher, choose(&dispatcher, at(451), &[])),
        "a"
    );
}

#[test]
fn a_replica_that_stays_slow_is_left_and_tried_again_later() {
    let mut dispatcher = dispatcher(1);
    let mut near = 0;
    for turn in 0..12 {
        near += u32::from(
            run(
                &mut dispatcher,
                turn * 100,
                turn * 100 + 90,
                AttemptFinish::Answered,
            ) == "a",
        );
    }
    assert!(near < 12, "it is never left");
    assert_eq!(
        centre_of(&dispatcher, choose(&dispatcher, at(30_000), &[])),
        "a"
    );
}

#[test]
fn one_with_an_open_connection_goes_before_one_as_far() {
    let mut dispatcher = dispatcher(1);
    let Choice::Replica(near) = choose(&dispatcher, at(1), &[]) else {
        panic!("a replica");
    };
    for centre in ["b", "c"] {
        let all = dispatcher.fleet.replicas();
        let there = all.filter(|(_, replica)| replica.record.data_centre.as_str() == centre);
        let (index, _) = there.last().expect("a replica");
        dispatcher
            .fleet
            .note_all_idle(|replica| usize::from(replica == index));
        assert_eq!(
            centre_of(&dispatcher, choose(&dispatcher, at(1), &[near])),
            centre
        );
    }
}

/// 76 entries of three regions.
fn many_entries() -> Vec<EntryPresence> {
    (0..76_u8)
        .map(|number| EntryPresence {
            vm: format!("entry-{number}").into(),
            incarnation: 1,
            address: ([10, 0, 0, number], 80).into(),
            data_centre: ["a", "b", "c"][usize::from(number) % 3].into(),
            phase: EntryPhase::Serving,
            stamp: 1,
            holder: 1,
        })
        .collect()
}

/// An entry that callers are no longer sent to drops its links, and must not count on them.
#[test]
fn an_entry_that_is_no_longer_active_counts_on_no_link() {
    let entries = many_entries();
    let mut changed = 0;
    for entry in &entries {
        let mut dispatcher = dispatcher_at(&entry.vm, &entry.data_centre, 70);
        dispatcher.fleet.take_entries(vec![entry.clone()]);
        let regions = ["north", "south", "east"].map(RegionName::from);
        dispatcher.fleet.take_linked(regions.into());
        let linked = |dispatcher: &Dispatcher| {
            let mut replicas = dispatcher.fleet.replicas();
            replicas.any(|(_, replica)| replica.is_linked())
        };
        assert!(linked(&dispatcher), "it is active alone");
        dispatcher.fleet.take_entries(entries.clone());
        let is_active = !dispatcher.fleet.list_relays().is_empty();
        assert_eq!(linked(&dispatcher), is_active);
        changed += u32::from(!is_active);
    }
    assert!(changed > 40, "{changed}");
}

/// 76 entries, of which 21 are active: all of their open connections take less than half of
/// what a replica accepts, so that as many find room while those of a former process linger.
#[test]
fn open_connections_leave_room_for_as_many() {
    let mut kept = 0;
    let entries = many_entries();
    for entry in &entries {
        let mut dispatcher = dispatcher_at(&entry.vm, &entry.data_centre, 70);
        dispatcher.fleet.take_entries(entries.clone());
        let there = dispatcher.fleet.replicas();
        let (_, replica) = there
            .filter(|(_, replica)| replica.record.data_centre.as_str() == "a")
            .last()
            .expect("a replica");
        assert!(replica.connections_kept <= replica.connections_max);
        kept += replica.connections_kept;
    }
    assert!((20..=35).contains(&kept), "{kept}");
}

#[test]
fn a_replica_that_sheds_gets_less() {
    let mut dispatcher = dispatcher(1);
    let mut near = 0;
    for turn in 0..20 {
        near += u32::from(run(&mut dispatcher, turn, turn, AttemptFinish::Shed) == "a");
    }
    assert!(near < 16, "{near} of 20 went to it");
}

#[test]
fn one_that_cannot_be_reached_is_left_alone_for_a_short_time() {
    let mut dispatcher = dispatcher(1);
    assert_eq!(run(&mut dispatcher, 1, 2, AttemptFinish::Unreachable), "a");
    assert_ne!(
        centre_of(&dispatcher, choose(&dispatcher, at(100), &[])),
        "a"
    );
    assert_eq!(
        centre_of(&dispatcher, choose(&dispatcher, at(200), &[])),
        "a"
    );
}

#[test]
fn a_draining_or_evacuated_replica_is_never_chosen() {
    let mut dispatcher = dispatcher(1);
    let mut draining = record("shard-0-a", "shard-0", "a", 1_001);
    draining.phase = ReplicaPhase::Draining;
    draining.sequence = 2;
    dispatcher.fleet.take_replica(at(1), draining);
    dispatcher.fleet.take_evacuated(["b".into()].into());
    assert_eq!(centre_of(&dispatcher, choose(&dispatcher, at(2), &[])), "c");
    dispatcher
        .fleet
        .take_evacuated(["b".into(), "c".into()].into());
    assert_eq!(choose(&dispatcher, at(2), &[]), Choice::Absent);
}

#[test]
fn allowed_regions_bind() {
    let dispatcher = dispatcher(1);
    let allowed: Vec<RegionName> = vec!["east".into()];
    assert_eq!(
        centre_of(&dispatcher, choose_in(&dispatcher, at(1), &[], &allowed)),
        "c"
    );
}

#[test]
fn a_server_that_is_another_one_is_forgotten_until_it_is_told_again() {
    let mut dispatcher = dispatcher(1);
    assert_eq!(run(&mut dispatcher, 1, 2, AttemptFinish::WrongServer), "a");
    assert_ne!(
        centre_of(&dispatcher, choose(&dispatcher, at(5_000), &[])),
        "a"
    );
}

#[test]
fn a_cold_replica_with_a_stated_rate_gets_no_more() {
    let mut dispatcher = Dispatcher::open(crate::support::place(), crate::support::LIMITS);
    let mut services = crate::support::config(&[shard_name(0)], Vec::new());
    services.services[0].cold_per_second = Some(10.0);
    dispatcher.take_config(&services);
    let mut cold = record("shard-0-a", "shard-0", "a", 1_001);
    cold.cold_left_ms = 3_000;
    dispatcher.fleet.take_replica(at(0), cold);
    let mut sent = 0;
    for ms in 0..1_000 {
        if let Choice::Replica(index) = choose(&dispatcher, at(ms), &[]) {
            dispatcher.fleet.begin(at(ms), index, ms);
            dispatcher
                .fleet
                .finish(at(ms), index, ms, AttemptFinish::Answered);
            sent += 1;
        }
    }
    assert_eq!(sent, 10);
}
