//! Heartbeats and entries for tests of the registry, and what it says of them.

use std::net::SocketAddr;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge::registry::ServerRegistry;
use daisyhinge::vocabulary::feature::FeatureLevel;
use daisyhinge::vocabulary::registration::{
    EntryPhase, EntryPresence, ReplicaPhase, ReplicaRecord,
};

pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

pub fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(1_000_000_000 + ms * 1_000)
}

/// Returns a heartbeat of a replica of the service `labels`.
pub fn heartbeat(
    name: &str,
    port: u16,
    born_ms: u64,
    sequence: u64,
    phase: ReplicaPhase,
) -> ReplicaRecord {
    ReplicaRecord {
        name: name.into(),
        service: "labels".into(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        data_centre: "a".into(),
        version: "v1".into(),
        slots: 2,
        phase,
        born_ms: Some(born_ms),
        sequence,
        cold_left_ms: 0,
        holder: 0,
    }
}

/// Returns the record of a replica.
pub fn record_of(registry: &ServerRegistry, name: &str) -> Option<ReplicaRecord> {
    let mut records = registry.replicas_after(at(0), 0).into_iter();
    records.find(|record| record.name.as_str() == name)
}

/// Returns the phase of a replica.
pub fn phase_of(registry: &ServerRegistry, name: &str) -> Option<ReplicaPhase> {
    record_of(registry, name).map(|record| record.phase)
}

/// Returns an entry in the data centre of the replicas.
pub fn presence(vm: &str, phase: EntryPhase) -> EntryPresence {
    EntryPresence {
        vm: vm.into(),
        incarnation: 7,
        address: SocketAddr::from(([10, 0, 0, 9], 80)),
        data_centre: "a".into(),
        phase,
        stamp: 0,
        holder: 0,
        feature_level: FeatureLevel::BASE,
    }
}
