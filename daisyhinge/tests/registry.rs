//! The registry: which of a server's words stands, and what control processes tell one another.

use std::net::SocketAddr;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::registry::{BeatOutcome, ServerRegistry};
use daisyhinge::vocabulary::registration::{
    EntryPhase, EntryPresence, ReplicaPhase, ReplicaRecord,
};
use proptest::prelude::*;

const BEAT_SPAN: Duration = Duration::from_millis(1_200);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(1_000_000_000 + ms * 1_000)
}

fn beat(name: &str, port: u16, born_ms: u64, sequence: u64, phase: ReplicaPhase) -> ReplicaRecord {
    ReplicaRecord {
        name: name.into(),
        service: "labels".into(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        data_centre: "a".into(),
        slots: 2,
        phase,
        born_ms: Some(born_ms),
        sequence,
        cold_left_ms: 0,
        holder: 0,
    }
}

fn phase_of(registry: &ServerRegistry, name: &str) -> Option<ReplicaPhase> {
    let records = registry.replicas_after(at(0), 0);
    let found = records.into_iter().find(|one| one.name.as_str() == name);
    found.map(|record| record.phase)
}

#[test]
fn a_late_heartbeat_changes_nothing() {
    let mut registry = ServerRegistry::open(1, BEAT_SPAN);
    registry.take_beat(at(0), beat("r", 1, 100, 5, ReplicaPhase::Draining));
    let outcome = registry.take_beat(at(1), beat("r", 1, 100, 4, ReplicaPhase::Ready));
    assert_eq!(outcome, BeatOutcome::Stale);
    assert_eq!(phase_of(&registry, "r"), Some(ReplicaPhase::Draining));
}

#[test]
fn an_earlier_incarnation_does_not_return_at_an_address_of_its_successor() {
    let mut registry = ServerRegistry::open(1, BEAT_SPAN);
    registry.take_beat(at(0), beat("old", 1, 100, 5, ReplicaPhase::Ready));
    registry.take_beat(at(10), beat("new", 1, 200, 1, ReplicaPhase::Ready));
    assert_eq!(phase_of(&registry, "old"), Some(ReplicaPhase::Left));
    let outcome = registry.take_beat(at(20), beat("old", 1, 100, 6, ReplicaPhase::Ready));
    assert_eq!(outcome, BeatOutcome::Stale);
    let other = beat("older", 1, 50, 9, ReplicaPhase::Ready);
    assert_eq!(registry.take_beat(at(30), other), BeatOutcome::Stale);
    assert_eq!(phase_of(&registry, "new"), Some(ReplicaPhase::Ready));
}

#[test]
fn a_replica_that_starts_again_under_its_name_begins_anew() {
    let mut registry = ServerRegistry::open(1, BEAT_SPAN);
    registry.take_beat(at(0), beat("r", 1, 100, 50, ReplicaPhase::Draining));
    let again = beat("r", 1, 300, 1, ReplicaPhase::Ready);
    assert_eq!(registry.take_beat(at(5), again), BeatOutcome::Changed);
    assert_eq!(phase_of(&registry, "r"), Some(ReplicaPhase::Ready));
}

#[test]
fn a_departure_outlasts_heartbeats_of_the_same_start() {
    let mut registry = ServerRegistry::open(1, BEAT_SPAN);
    registry.take_beat(at(0), beat("r", 1, 100, 5, ReplicaPhase::Ready));
    registry.take_departure(at(1), &"r".into());
    let late = beat("r", 1, 100, 6, ReplicaPhase::Ready);
    assert_eq!(registry.take_beat(at(2), late), BeatOutcome::Stale);
    // A departure of which the start is not known holds against what another process tells.
    registry.take_departure(at(3), &"s".into());
    assert!(!registry.merge_replica(at(4), &beat("s", 2, 100, 7, ReplicaPhase::Ready)));
    assert_eq!(phase_of(&registry, "s"), Some(ReplicaPhase::Left));
}

#[test]
fn silence_shows_and_a_heartbeat_ends_it() {
    let mut registry = ServerRegistry::open(1, BEAT_SPAN);
    registry.take_beat(at(0), beat("r", 1, 100, 5, ReplicaPhase::Ready));
    registry.expire(at(4_700));
    assert_eq!(phase_of(&registry, "r"), Some(ReplicaPhase::Ready));
    registry.expire(at(4_900));
    assert_eq!(phase_of(&registry, "r"), Some(ReplicaPhase::Silent));
    registry.take_beat(at(5_000), beat("r", 1, 100, 6, ReplicaPhase::Ready));
    assert_eq!(phase_of(&registry, "r"), Some(ReplicaPhase::Ready));
}

#[test]
fn what_a_lost_control_process_held_falls_silent() {
    let mut first = ServerRegistry::open(1, BEAT_SPAN);
    let mut second = ServerRegistry::open(2, BEAT_SPAN);
    first.take_beat(at(0), beat("r", 1, 100, 5, ReplicaPhase::Ready));
    let told = first.replicas_after(at(1), 0);
    second.note_holder(at(1), 1);
    second.merge_replica(at(1), &told[0]);
    second.note_holder(at(6_000), 1);
    second.expire(at(9_000));
    assert_eq!(phase_of(&second, "r"), Some(ReplicaPhase::Ready));
    second.expire(at(10_100));
    assert_eq!(phase_of(&second, "r"), Some(ReplicaPhase::Silent));
}

fn presence(vm: &str, phase: EntryPhase) -> EntryPresence {
    EntryPresence {
        vm: vm.into(),
        incarnation: 7,
        address: SocketAddr::from(([10, 0, 0, 9], 80)),
        data_centre: "a".into(),
        phase,
        stamp: 0,
        holder: 0,
    }
}

#[test]
fn an_entry_that_moves_to_another_control_process_stays_listed() {
    let mut first = ServerRegistry::open(1, BEAT_SPAN);
    let mut second = ServerRegistry::open(2, BEAT_SPAN);
    first.take_entry(at(0), presence("e", EntryPhase::Serving));
    for told in first.entries_after(0) {
        second.merge_entry(at(1), told);
    }
    second.take_entry(at(10), presence("e", EntryPhase::Serving));
    for told in second.entries_after(0) {
        first.merge_entry(at(11), told);
    }
    first.note_holder(at(3_900), 2);
    first.expire(at(4_000));
    assert_eq!(first.serving_entries().count(), 1);
    second.take_entry(at(20), presence("e", EntryPhase::Leaving));
    for told in second.entries_after(0) {
        first.merge_entry(at(21), told);
    }
    assert_eq!(first.serving_entries().count(), 0);
}

#[derive(Clone, Debug)]
enum Word {
    Beat {
        to: usize,
        born: u64,
        sequence: u64,
        draining: bool,
    },
    Leave {
        to: usize,
    },
    Tell {
        from: usize,
        to: usize,
    },
}

fn words() -> impl Strategy<Value = Vec<Word>> {
    let word = prop_oneof![
        4 => (0..3_usize, 1..4_u64, 1..9_u64, any::<bool>()).prop_map(
            |(to, born, sequence, draining)| Word::Beat { to, born, sequence, draining }
        ),
        1 => (0..3_usize).prop_map(|to| Word::Leave { to }),
        3 => (0..3_usize, 0..3_usize).prop_map(|(from, to)| Word::Tell { from, to }),
    ];
    prop::collection::vec(word, 1..40)
}

fn tell(registries: &mut [ServerRegistry], from: usize, to: usize) {
    for record in registries[from].replicas_after(at(0), 0) {
        registries[to].merge_replica(at(0), &record);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::with_cases(400)
    })]

    /// In whatever order words come in and are told on, registries that have told each other
    /// all agree, and no record ever goes back to an earlier start.
    #[test]
    fn registries_that_tell_each_other_agree(words in words()) {
        let mut registries: Vec<_> =
            (1..=3).map(|epoch| ServerRegistry::open(epoch, BEAT_SPAN)).collect();
        let mut newest = [0; 3];
        for word in words {
            match word {
                Word::Beat { to, born, sequence, draining } => {
                    let phase = if draining { ReplicaPhase::Draining } else { ReplicaPhase::Ready };
                    registries[to].take_beat(at(0), beat("r", 1, born, sequence, phase));
                }
                Word::Leave { to } => {
                    registries[to].take_departure(at(0), &"r".into());
                }
                Word::Tell { from, to } => tell(&mut registries, from, to),
            }
            for (registry, newest) in registries.iter().zip(&mut newest) {
                let born = registry.replicas_after(at(0), 0).first().and_then(|one| one.born_ms);
                prop_assert!(born.unwrap_or(*newest) >= *newest, "went back to an earlier start");
                *newest = born.unwrap_or(*newest);
            }
        }
        for _ in 0..3 {
            for from in 0..3 {
                for to in 0..3 {
                    tell(&mut registries, from, to);
                }
            }
        }
        let known: Vec<_> = registries
            .iter()
            .map(|registry| {
                let records = registry.replicas_after(at(0), 0);
                let record = records.first();
                record.filter(|one| one.born_ms.is_some()).map(|one| (one.born_ms, one.phase))
            })
            .collect();
        let sure: Vec<_> = known.iter().flatten().collect();
        prop_assert!(sure.windows(2).all(|pair| pair[0] == pair[1]), "{known:?}");
    }
}
