//! Announcements, sub-requests, views and a harness for the keeper's tests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use daisyhinge::keeper::gate::KeeperGate;
use daisyhinge::keeper::sub_request::SubRequestInfo;
use daisyhinge::keeper::{KeeperAction, KeeperEvent, ReplicaKeeper};
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::announcement::{ReplicaAnnouncement, ReplicaSnapshot, ServerState};
use daisyhinge::vocabulary::environment::{
    CentreEntry, CentreState, EnvironmentDocument, RegionEntry,
};
use daisyhinge::vocabulary::view::{ControlView, DepartedEntry, EntryRecord, EntryState};

pub const CENTRE: &str = "lagos-1";
pub const ENVIRONMENT: &str = "production";

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn at(time_ms: u64) -> MonotonicTime {
    MonotonicTime(time_ms * 1_000)
}

pub fn replica_snapshot(snapshot: u64, shard: u32) -> ReplicaSnapshot {
    ReplicaSnapshot {
        snapshot: SnapshotNumber(snapshot),
        generation: 1,
        shard: ShardNumber(shard),
        shards: 4,
        weight: 10,
        whole_weight: 40,
    }
}

/// Announcement of a ready replica of shard 0 with 2 slots and 25 connections.
pub fn announce(replica: &str, sequence: u64) -> ReplicaAnnouncement {
    ReplicaAnnouncement {
        replica: replica.into(),
        service: "label-desk".into(),
        data_centre: CENTRE.into(),
        address: "127.0.0.1:9000".parse().expect("an address"),
        slots: 2,
        connections: 25,
        state: ServerState::Ready,
        incarnation: IncarnationNumber(1),
        sequence,
        cold_allowance: 0,
        snapshots: Arc::from([replica_snapshot(7, 0)]),
    }
}

pub fn info(number: u64, expires: MonotonicTime) -> SubRequestInfo {
    SubRequestInfo {
        attempt: AttemptId {
            origin: 1,
            sequence: number,
        },
        digest: RequestDigest(number),
        snapshot: SnapshotNumber(7),
        shard: ShardNumber(0),
        expires,
        repeatable: true,
        hedge: false,
        suspect: false,
    }
}

pub fn open_gate() -> KeeperGate {
    KeeperGate {
        lease_ends: at(1_000_000_000),
        handover_ends: at(0),
        centre_in_service: true,
        is_keeper: true,
    }
}

/// Test harness: the keeper of one replica with its gate. Repeats the announcement on request.
pub struct KeeperHarness {
    pub keeper: ReplicaKeeper,
    pub gate: KeeperGate,
    sequence: u64,
}

impl KeeperHarness {
    pub fn new(announcement: ReplicaAnnouncement, now: MonotonicTime) -> Self {
        Self {
            sequence: announcement.sequence,
            keeper: ReplicaKeeper::new(announcement, now),
            gate: open_gate(),
        }
    }

    pub fn step(&mut self, now: MonotonicTime, event: KeeperEvent) -> Vec<KeeperAction> {
        let mut actions = Vec::new();
        self.keeper.step(now, event, &self.gate, &mut actions);
        actions
    }

    pub fn dispatch(&mut self, now: MonotonicTime, info: SubRequestInfo) -> Vec<KeeperAction> {
        self.step(now, KeeperEvent::Requested(info))
    }

    /// Repeats the last announcement, modified by `change`.
    pub fn announce(
        &mut self,
        now: MonotonicTime,
        change: impl FnOnce(&mut ReplicaAnnouncement),
    ) -> Vec<KeeperAction> {
        self.sequence += 1;
        let mut next = self.keeper.announcement().clone();
        next.sequence = self.sequence;
        change(&mut next);
        self.step(now, KeeperEvent::Announced(next))
    }

    /// Advances time with announcements, but without work, until the replica is warm.
    pub fn warm_up(&mut self, now: MonotonicTime) -> MonotonicTime {
        let mut now = now;
        for _ in 0..100 {
            if self.keeper.load().limit == self.keeper.announcement().slots {
                break;
            }
            now = now + ms(500);
            self.announce(now, |_| {});
        }
        now
    }
}

pub fn sent(actions: &[KeeperAction]) -> Vec<u64> {
    let sends = actions.iter().filter_map(|action| match action {
        KeeperAction::Send(attempt) => Some(attempt.sequence),
        _ => None,
    });
    sends.collect()
}

pub fn cancelled(actions: &[KeeperAction]) -> Vec<u64> {
    let cancels = actions.iter().filter_map(|action| match action {
        KeeperAction::SendCancel(attempt) => Some(attempt.sequence),
        _ => None,
    });
    cancels.collect()
}

pub fn refused(actions: &[KeeperAction]) -> Vec<ResultCode> {
    let refusals = actions.iter().filter_map(|action| match action {
        KeeperAction::Refuse { refusal, .. } => {
            assert_eq!(refusal.run, RunState::NotRun);
            Some(refusal.code)
        }
        _ => None,
    });
    refusals.collect()
}

pub fn entry(vm: &str, incarnation: u64) -> EntryRecord {
    EntryRecord {
        vm: vm.into(),
        environment: ENVIRONMENT.into(),
        data_centre: CENTRE.into(),
        incarnation: IncarnationNumber(incarnation),
        caller_address: "127.0.0.1:1".parse().expect("an address"),
        peer_address: "127.0.0.1:2".parse().expect("an address"),
        state: EntryState::Live,
    }
}

pub fn view(
    version: u64,
    entries: &[EntryRecord],
    departed: &[DepartedEntry],
    power_cap: Option<u32>,
) -> Arc<ControlView> {
    let document = EnvironmentDocument {
        regions: vec![RegionEntry {
            name: "lagos".into(),
            data_centres: vec![CentreEntry {
                name: CENTRE.into(),
                state: CentreState::In,
                power_cap,
            }],
        }],
        ..EnvironmentDocument::default()
    };
    Arc::new(ControlView {
        version: VersionNumber(version),
        environments: BTreeMap::from([(ENVIRONMENT.into(), Arc::new(document))]),
        entries: entries.to_vec(),
        departed: departed.to_vec(),
    })
}
