//! Registry: precedence between heartbeats and departures, and merging between control processes.

#[path = "support/registry_records.rs"]
mod registry_records;

use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::registry::{HeartbeatOutcome, ServerRegistry};
use daisyhinge::vocabulary::quota::{CustomerUsage, UsageReport, UsageRequest};
use daisyhinge::vocabulary::registration::{CrashReport, EntryPhase, ReplicaPhase};
use daisyhinge::vocabulary::replica::CrashRecord;
use proptest::prelude::*;
use registry_records::{HEARTBEAT_INTERVAL, at, heartbeat, phase_of, presence};

#[test]
fn late_heartbeat_is_ignored() {
    let mut registry = ServerRegistry::open(1, HEARTBEAT_INTERVAL);
    registry.record_heartbeat(at(0), heartbeat("r", 1, 100, 5, ReplicaPhase::Draining));
    let outcome = registry.record_heartbeat(at(1), heartbeat("r", 1, 100, 4, ReplicaPhase::Ready));
    assert_eq!(outcome, HeartbeatOutcome::Stale);
    assert_eq!(phase_of(&registry, "r"), Some(ReplicaPhase::Draining));
}

#[test]
fn earlier_incarnation_stays_left_at_its_successors_address() {
    let mut registry = ServerRegistry::open(1, HEARTBEAT_INTERVAL);
    registry.record_heartbeat(at(0), heartbeat("old", 1, 100, 5, ReplicaPhase::Ready));
    registry.record_heartbeat(at(10), heartbeat("new", 1, 200, 1, ReplicaPhase::Ready));
    assert_eq!(phase_of(&registry, "old"), Some(ReplicaPhase::Left));
    let outcome =
        registry.record_heartbeat(at(20), heartbeat("old", 1, 100, 6, ReplicaPhase::Ready));
    assert_eq!(outcome, HeartbeatOutcome::Stale);
    let other = heartbeat("older", 1, 50, 9, ReplicaPhase::Ready);
    assert_eq!(
        registry.record_heartbeat(at(30), other),
        HeartbeatOutcome::Stale
    );
    assert_eq!(phase_of(&registry, "new"), Some(ReplicaPhase::Ready));
}

#[test]
fn restarted_replica_replaces_its_record() {
    let mut registry = ServerRegistry::open(1, HEARTBEAT_INTERVAL);
    registry.record_heartbeat(at(0), heartbeat("r", 1, 100, 50, ReplicaPhase::Draining));
    let restarted = heartbeat("r", 1, 300, 1, ReplicaPhase::Ready);
    assert_eq!(
        registry.record_heartbeat(at(5), restarted),
        HeartbeatOutcome::Changed
    );
    assert_eq!(phase_of(&registry, "r"), Some(ReplicaPhase::Ready));
}

#[test]
fn departure_outlasts_heartbeats_of_the_same_start() {
    let mut registry = ServerRegistry::open(1, HEARTBEAT_INTERVAL);
    registry.record_heartbeat(at(0), heartbeat("r", 1, 100, 5, ReplicaPhase::Ready));
    registry.record_departure(at(1), &"r".into());
    let late = heartbeat("r", 1, 100, 6, ReplicaPhase::Ready);
    assert_eq!(
        registry.record_heartbeat(at(2), late),
        HeartbeatOutcome::Stale
    );
    // A departure without a known start takes precedence over records from other processes.
    registry.record_departure(at(3), &"s".into());
    assert!(!registry.merge_replica(at(4), &heartbeat("s", 2, 100, 7, ReplicaPhase::Ready)));
    assert_eq!(phase_of(&registry, "s"), Some(ReplicaPhase::Left));
}

/// The process that restarted knows nothing of the replica when it acknowledges the departure.
#[test]
fn departure_told_to_a_restarted_process_is_not_lost() {
    let mut first = ServerRegistry::open(1, HEARTBEAT_INTERVAL);
    first.record_heartbeat(at(0), heartbeat("r", 1, 100, 9, ReplicaPhase::Ready));
    let mut restarted = ServerRegistry::open(2, HEARTBEAT_INTERVAL);
    restarted.record_departure(at(500), &"r".into());
    for record in first.replicas_after(at(700), 0) {
        restarted.merge_replica(at(700), &record);
    }
    for record in restarted.replicas_after(at(700), 0) {
        first.merge_replica(at(700), &record);
    }
    assert_eq!(phase_of(&first, "r"), Some(ReplicaPhase::Left));
    assert_eq!(phase_of(&restarted, "r"), Some(ReplicaPhase::Left));
    let late = heartbeat("r", 1, 100, 10, ReplicaPhase::Ready);
    for registry in [&mut first, &mut restarted] {
        let outcome = registry.record_heartbeat(at(900), late.clone());
        assert_eq!(outcome, HeartbeatOutcome::Stale);
    }
}

#[test]
fn next_incarnation_registers_after_a_departure_of_an_unknown_replica() {
    let mut registry = ServerRegistry::open(2, HEARTBEAT_INTERVAL);
    registry.record_departure(at(500), &"r".into());
    let started = heartbeat("r", 1, 200, 1, ReplicaPhase::Ready);
    assert_eq!(
        registry.record_heartbeat(at(900), started),
        HeartbeatOutcome::Changed
    );
}

#[test]
fn heartbeat_ends_silence() {
    let mut registry = ServerRegistry::open(1, HEARTBEAT_INTERVAL);
    registry.record_heartbeat(at(0), heartbeat("r", 1, 100, 5, ReplicaPhase::Ready));
    registry.expire(at(4_700));
    assert_eq!(phase_of(&registry, "r"), Some(ReplicaPhase::Ready));
    registry.expire(at(4_900));
    assert_eq!(phase_of(&registry, "r"), Some(ReplicaPhase::Silent));
    registry.record_heartbeat(at(5_000), heartbeat("r", 1, 100, 6, ReplicaPhase::Ready));
    assert_eq!(phase_of(&registry, "r"), Some(ReplicaPhase::Ready));
}

#[test]
fn records_of_a_lost_control_process_become_silent() {
    let mut first = ServerRegistry::open(1, HEARTBEAT_INTERVAL);
    let mut second = ServerRegistry::open(2, HEARTBEAT_INTERVAL);
    first.record_heartbeat(at(0), heartbeat("r", 1, 100, 5, ReplicaPhase::Ready));
    let records_sent = first.replicas_after(at(1), 0);
    second.record_contact(at(1), 1);
    second.merge_replica(at(1), &records_sent[0]);
    second.record_contact(at(6_000), 1);
    second.expire(at(9_000));
    assert_eq!(phase_of(&second, "r"), Some(ReplicaPhase::Ready));
    second.expire(at(10_100));
    assert_eq!(phase_of(&second, "r"), Some(ReplicaPhase::Silent));
}

#[test]
fn entry_stays_listed_when_it_changes_control_process() {
    let mut first = ServerRegistry::open(1, HEARTBEAT_INTERVAL);
    let mut second = ServerRegistry::open(2, HEARTBEAT_INTERVAL);
    first.record_entry(at(0), presence("e", EntryPhase::Serving));
    for entry in first.entries_after(0) {
        second.merge_entry(at(1), entry);
    }
    second.record_entry(at(10), presence("e", EntryPhase::Serving));
    for entry in second.entries_after(0) {
        first.merge_entry(at(11), entry);
    }
    first.record_contact(at(3_900), 2);
    first.expire(at(4_000));
    assert_eq!(first.serving_entries().count(), 1);
    second.record_entry(at(20), presence("e", EntryPhase::Leaving));
    for entry in second.entries_after(0) {
        first.merge_entry(at(21), entry);
    }
    assert_eq!(first.serving_entries().count(), 0);
}

#[derive(Clone, Debug)]
enum Message {
    Heartbeat {
        to: usize,
        born: u64,
        sequence: u64,
        draining: bool,
    },
    Departure {
        to: usize,
    },
    Sync {
        from: usize,
        to: usize,
    },
}

fn messages() -> impl Strategy<Value = Vec<Message>> {
    let message = prop_oneof![
        4 => (0..3_usize, 1..4_u64, 1..9_u64, any::<bool>()).prop_map(
            |(to, born, sequence, draining)| Message::Heartbeat { to, born, sequence, draining }
        ),
        1 => (0..3_usize).prop_map(|to| Message::Departure { to }),
        3 => (0..3_usize, 0..3_usize).prop_map(|(from, to)| Message::Sync { from, to }),
    ];
    prop::collection::vec(message, 1..40)
}

fn sync(registries: &mut [ServerRegistry], from: usize, to: usize) {
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

    /// Registries that have exchanged their records agree, regardless of the order in which
    /// messages arrive and are forwarded, and no record is ever replaced by that of an earlier
    /// incarnation.
    #[test]
    fn registries_converge_after_sync(messages in messages()) {
        let mut registries: Vec<_> =
            (1..=3).map(|epoch| ServerRegistry::open(epoch, HEARTBEAT_INTERVAL)).collect();
        let mut newest = [0; 3];
        for message in messages {
            match message {
                Message::Heartbeat { to, born, sequence, draining } => {
                    let phase = if draining { ReplicaPhase::Draining } else { ReplicaPhase::Ready };
                    registries[to].record_heartbeat(at(0), heartbeat("r", 1, born, sequence, phase));
                }
                Message::Departure { to } => {
                    registries[to].record_departure(at(0), &"r".into());
                }
                Message::Sync { from, to } => sync(&mut registries, from, to),
            }
            for (registry, newest) in registries.iter().zip(&mut newest) {
                let born = registry.replicas_after(at(0), 0).first().and_then(|replica| replica.born_ms);
                prop_assert!(born.unwrap_or(*newest) >= *newest, "the record of an earlier incarnation was restored");
                *newest = born.unwrap_or(*newest);
            }
        }
        for _ in 0..3 {
            for from in 0..3 {
                for to in 0..3 {
                    sync(&mut registries, from, to);
                }
            }
        }
        let known: Vec<_> = registries
            .iter()
            .map(|registry| {
                let records = registry.replicas_after(at(0), 0);
                let record = records.first();
                record.filter(|replica| replica.born_ms.is_some()).map(|replica| (replica.born_ms, replica.phase))
            })
            .collect();
        let with_start: Vec<_> = known.iter().flatten().collect();
        prop_assert!(with_start.windows(2).all(|pair| pair[0] == pair[1]), "{known:?}");
    }
}

fn crash_report(incarnation: u64, revision: u64, crashes: &[u32]) -> CrashReport {
    let records = crashes
        .iter()
        .zip(1..)
        .map(|(crashes, digest)| CrashRecord {
            digest: RequestDigest(digest),
            crashes: *crashes,
            age_ms: 100,
        });
    CrashReport {
        vm: "entry-1".into(),
        incarnation,
        revision,
        records: records.collect(),
    }
}

#[test]
fn later_crash_report_replaces_the_former_one_in_any_order() {
    let mut registry = ServerRegistry::open(1, HEARTBEAT_INTERVAL);
    assert!(registry.record_crashes(at(0), crash_report(1, 2, &[2])));
    let mark = registry.mark();
    assert!(!registry.record_crashes(at(1), crash_report(1, 1, &[1])));
    assert!(!registry.record_crashes(at(1), crash_report(1, 2, &[2])));
    assert!(registry.crashes_after(at(1), mark).is_empty());
    assert!(registry.record_crashes(at(2), crash_report(1, 3, &[])));
    let reports = registry.crashes_after(at(2), mark);
    assert_eq!(reports, [crash_report(1, 3, &[])]);
}

/// An entry that starts later has no other source.
#[test]
fn crash_reports_outlive_their_entries_until_they_expire() {
    let mut registry = ServerRegistry::open(1, HEARTBEAT_INTERVAL);
    registry.record_crashes(at(0), crash_report(1, 1, &[2]));
    registry.record_crashes(at(0), crash_report(2, 1, &[]));
    registry.expire(at(599_800));
    let reports = registry.crashes_after(at(599_800), 0);
    assert_eq!(reports.len(), 2);
    assert_eq!(reports[0].records[0].age_ms, 599_900);
    registry.expire(at(599_901));
    assert_eq!(registry.crashes_after(at(599_901), 0).len(), 1);
}

fn usage(vm: &str, incarnation: u64, admitted: u64, offered: u64) -> UsageReport {
    UsageReport {
        vm: vm.into(),
        incarnation,
        customers: vec![CustomerUsage {
            customer: "north".into(),
            admitted,
            offered,
            recent: 0,
        }],
    }
}

/// Guards against late, repeated or crossed reports being counted twice or taken back.
#[test]
fn use_of_quotas_is_counted_once_whatever_order_reports_arrive_in() {
    let mut registry = ServerRegistry::open(1, Duration::from_secs(1));
    let now = MonotonicTime(0);
    assert!(registry.record_usage(now, usage("entry-1", 7, 10, 12)));
    assert!(registry.record_usage(now, usage("entry-2", 8, 5, 5)));
    assert!(!registry.record_usage(now, usage("entry-1", 7, 4, 4)));
    assert!(!registry.record_usage(now, usage("entry-1", 7, 10, 12)));
    // A restarted process counts from 0; what its predecessor had admitted stays.
    assert!(registry.record_usage(now, usage("entry-1", 9, 1, 1)));
    let request = UsageRequest {
        report: Some(usage("entry-2", 8, 5, 5)),
        ..UsageRequest::default()
    };
    let others = registry
        .usage_of_others(now, &"entry-2".into(), &request)
        .others;
    assert_eq!(others[0].admitted, 11);
    assert_eq!(others[0].offered, 13);
    let mark = registry.usage_mark();
    assert_eq!(registry.usage_after(now, 0).reports.len(), 3);
    assert!(registry.usage_after(now, mark).reports.is_empty());
}
