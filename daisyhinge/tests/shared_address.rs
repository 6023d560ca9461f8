//! Registry: heartbeats that name the address or the name of a replica of another service.

#[expect(dead_code, reason = "shared with other tests of the registry")]
#[path = "support/registry_records.rs"]
mod registry_records;

use daisyhinge::registry::{HeartbeatOutcome, ServerRegistry};
use daisyhinge::vocabulary::registration::{ReplicaPhase, ReplicaRecord};
use registry_records::{HEARTBEAT_INTERVAL, at, phase_of, record_of};

/// Service of the replica that runs.
const LABELS: &str = "labels";
/// Service that no configuration names.
const AGENT: &str = "metrics-agent";

/// Returns a heartbeat from the only address of this test.
fn heartbeat(name: &str, service: &str, born_ms: u64, sequence: u64) -> ReplicaRecord {
    ReplicaRecord {
        service: service.into(),
        ..registry_records::heartbeat(name, 1, born_ms, sequence, ReplicaPhase::Ready)
    }
}

fn open(epoch: u64) -> ServerRegistry {
    ServerRegistry::open(epoch, HEARTBEAT_INTERVAL)
}

fn sync(from: &ServerRegistry, to: &mut ServerRegistry) {
    for record in from.replicas_after(at(0), 0) {
        to.merge_replica(at(0), &record);
    }
}

/// Guards against a replica that is taken for gone although it goes on sending heartbeats.
#[test]
fn heartbeat_of_another_service_does_not_retire_the_replica_at_its_address() {
    let (mut first, mut second) = (open(1), open(2));
    first.record_heartbeat(at(0), heartbeat("r", LABELS, 100, 5));
    sync(&first, &mut second);
    second.record_heartbeat(at(10), heartbeat("agent", AGENT, 900, 1));
    sync(&second, &mut first);
    for registry in [&first, &second] {
        assert_eq!(phase_of(registry, "r"), Some(ReplicaPhase::Ready));
    }
    let next = first.record_heartbeat(at(1_200), heartbeat("r", LABELS, 100, 6));
    assert_eq!(next, HeartbeatOutcome::Confirmed);
}

/// Guards against a replica that cannot register since another writer named its address first.
#[test]
fn replica_registers_at_an_address_that_another_service_named_with_a_later_start() {
    let (mut first, mut second) = (open(1), open(2));
    first.record_heartbeat(at(0), heartbeat("agent", AGENT, u64::MAX, 1));
    let outcome = first.record_heartbeat(at(10), heartbeat("r", LABELS, 100, 1));
    assert_eq!(outcome, HeartbeatOutcome::Changed);
    second.record_heartbeat(at(0), heartbeat("agent-2", AGENT, u64::MAX, 1));
    sync(&first, &mut second);
    assert!(record_of(&second, "r").is_some());
}

/// Guards against another writer that takes the name of a replica in use.
#[test]
fn heartbeat_of_another_service_does_not_replace_a_replica_in_use() {
    for (born_ms, sequence) in [(100, u64::MAX), (900, 1)] {
        let (mut first, mut second) = (open(1), open(2));
        first.record_heartbeat(at(0), heartbeat("r", LABELS, 100, 5));
        sync(&first, &mut second);
        for registry in [&mut second, &mut first] {
            let outcome =
                registry.record_heartbeat(at(10), heartbeat("r", AGENT, born_ms, sequence));
            assert_eq!(outcome, HeartbeatOutcome::Contradicts);
            let record = record_of(registry, "r").expect("a record");
            assert_eq!(record.service.as_str(), LABELS);
        }
        let next = first.record_heartbeat(at(1_200), heartbeat("r", LABELS, 100, 6));
        assert_eq!(next, HeartbeatOutcome::Confirmed);
    }
}

/// Guards against a name that stays taken once its replica has fallen silent.
#[test]
fn silent_replica_is_replaced_under_its_name_by_one_of_another_service() {
    let mut registry = open(1);
    registry.record_heartbeat(at(0), heartbeat("r", LABELS, 100, 5));
    registry.expire(at(4_900));
    let outcome = registry.record_heartbeat(at(5_000), heartbeat("r", "sweeps", 900, 1));
    assert_eq!(outcome, HeartbeatOutcome::Changed);
    let record = record_of(&registry, "r").expect("a record");
    assert_eq!(record.service.as_str(), "sweeps");
}
