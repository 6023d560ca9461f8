//! Seeded schedules of simulated control VMs, whose results are compared with a plain map: crashes
//! at any byte of a write, partitions, frozen VMs, lost, duplicated and reordered messages, lost
//! disks and membership changes.
//!
//! `DAISYHINGE_SCHEDULES` sets the number of schedules, `DAISYHINGE_SEED` the first seed.

#[path = "control_schedules/cluster.rs"]
#[expect(dead_code, reason = "the mixed run reads the replies")]
mod cluster;
#[path = "control_schedules/disk.rs"]
mod disk;
#[path = "control_schedules/oracle.rs"]
mod oracle;

use std::collections::BTreeMap;
use std::sync::Arc;

use cluster::{SimCluster, VMS, address_of};
use daisyhinge::control::core::CoreRequest;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::change::{ChangeKind, ChangeRequest};
use daisyhinge::vocabulary::claim::{ClaimRequest, ClaimResult, EndClaimRequest};
use daisyhinge::vocabulary::environment::{AddressPolicy, EnvironmentDocument};
use daisyhinge::vocabulary::freshness::FreshnessRequest;
use daisyhinge::vocabulary::view::{EntryRecord, EntryState};
use rand::RngExt;

/// Number of schedules in CI.
const SCHEDULES: u64 = 60;
/// Number of steps with faults.
const STEPS: u32 = 1_500;
/// Time after the loss of a disk during which no voter is removed, in microseconds.
const REMOVE_PAUSE_US: u64 = 1_500_000;
/// Maximum number of steps until the cluster recovers after the faults end.
const RECOVERY_STEPS: u32 = 4_000;

fn read_number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |text| text.parse().expect("a number"))
}

#[test]
fn schedules_agree_with_a_plain_map() {
    let first = read_number("DAISYHINGE_SEED", 1);
    let count = read_number("DAISYHINGE_SCHEDULES", SCHEDULES);
    let mut accepted = 0;
    let mut won = 0;
    let mut counts = BTreeMap::<&str, u64>::new();
    for seed in first..first + count {
        let run = std::panic::catch_unwind(|| run_schedule(seed));
        let cluster = run.unwrap_or_else(|_| panic!("schedule {seed} failed"));
        accepted += cluster.oracle.accepted_count();
        won += cluster.oracle.won_count();
        for (kind, times) in cluster.counts {
            *counts.entry(kind).or_default() += times;
        }
    }
    println!("schedules={count} accepted={accepted} claims_won={won} {counts:?}");
    assert!(
        accepted as u64 > count,
        "too few changes were accepted for a meaningful run"
    );
    assert!(
        won as u64 > count,
        "too few claims were won for a meaningful run"
    );
}

fn run_schedule(seed: u64) -> SimCluster {
    let mut cluster = SimCluster::new(seed);
    for _ in 0..STEPS {
        cluster.advance();
        if cluster.rng.random_bool(0.3) {
            send_random_request(&mut cluster);
        }
        if cluster.rng.random_bool(0.02) {
            inject_random_fault(&mut cluster);
        }
    }
    settle(&mut cluster);
    cluster
}

fn send_random_request(cluster: &mut SimCluster) {
    let node = match cluster.leader() {
        Some(leader) if cluster.rng.random_bool(0.8) => leader,
        _ => cluster.rng.random_range(0..VMS),
    };
    let request = match cluster.rng.random_range(0..20) {
        0..8 => make_change(cluster),
        8..11 => CoreRequest::View,
        11..13 => make_freshness_request(cluster),
        13..17 => make_claim(cluster),
        17..19 => make_claim_end(cluster),
        _ => make_member_change(cluster),
    };
    cluster.send_request(node, request);
}

/// Makes a change. Few identifiers and bases are used, so that many changes are resent or conflict.
fn make_change(cluster: &mut SimCluster) -> CoreRequest {
    let environment =
        EnvironmentName::from(["trial", "production"][cluster.rng.random_range(0..2)]);
    let base = cluster.versions.get(&environment).copied().unwrap_or(0);
    let number = cluster.rng.random_range(1..4);
    // An identifier always belongs to the same change, except for one in twenty.
    let content = if cluster.rng.random_bool(0.05) {
        9
    } else {
        number
    };
    let document = EnvironmentDocument {
        addresses: AddressPolicy {
            keep_ms: 1,
            count: content,
        },
        ..EnvironmentDocument::default()
    };
    let request = ChangeRequest {
        change: ChangeId::from(format!("{environment}-{base}-{number}")),
        base: Some(VersionNumber(base)),
        operator: Arc::from("ada"),
        made_ms: 0,
        kind: ChangeKind::Apply {
            environment,
            document: Arc::new(document),
        },
    };
    CoreRequest::Change(request, None)
}

fn make_member_change(cluster: &mut SimCluster) -> CoreRequest {
    let node = cluster.rng.random_range(0..VMS);
    let id = cluster.id_of(node);
    let vm = id.vm.clone();
    // Removing a voter while another one loses its disk would lose two of three voters.
    let recently_lost = cluster.now < cluster.disk_lost_at + REMOVE_PAUSE_US;
    let kind = if recently_lost || cluster.rng.random_bool(0.6) {
        ChangeKind::AddVoter {
            vm,
            address: address_of(node),
        }
    } else {
        ChangeKind::RemoveVoter { vm }
    };
    let request = ChangeRequest {
        change: ChangeId::from(format!("member-{}", cluster.rng.random::<u32>())),
        base: None,
        operator: Arc::from("ada"),
        made_ms: 0,
        kind,
    };
    CoreRequest::Change(request, Some(id))
}

fn make_freshness_request(cluster: &mut SimCluster) -> CoreRequest {
    let node = cluster.rng.random_range(0..3);
    CoreRequest::Fresh(FreshnessRequest {
        entry: EntryRecord {
            vm: VmName::from(format!("entry-{node}")),
            environment: EnvironmentName::from("trial"),
            data_centre: CentreName::from("lagos-1"),
            incarnation: IncarnationNumber(cluster.now / 4_000_000),
            caller_address: address_of(200),
            peer_address: address_of(201),
            state: EntryState::Live,
        },
        holds: VersionNumber(0),
        released: false,
    })
}

fn make_attempt(cluster: &mut SimCluster) -> (RequestId, AttemptId) {
    let request = cluster.rng.random_range(0..40_u32);
    let attempt = AttemptId {
        origin: cluster.rng.random_range(0..3),
        sequence: u64::from(request),
    };
    (RequestId::from(format!("request-{request}")), attempt)
}

fn make_claim(cluster: &mut SimCluster) -> CoreRequest {
    let (request, attempt) = make_attempt(cluster);
    CoreRequest::Claim(ClaimRequest {
        service: ServiceName::from("print"),
        request,
        digest: RequestDigest(1),
        attempt,
        age_ms: 0,
    })
}

fn make_claim_end(cluster: &mut SimCluster) -> CoreRequest {
    let (request, attempt) = make_attempt(cluster);
    CoreRequest::EndClaim(EndClaimRequest {
        service: ServiceName::from("print"),
        request,
        attempt,
        end: ClaimResult::NotRun,
    })
}

fn inject_random_fault(cluster: &mut SimCluster) {
    let node = cluster.rng.random_range(0..VMS);
    match cluster.rng.random_range(0..12) {
        0..3 if cluster.vms[node].core.is_some() => cluster.crash(node),
        0..5 if cluster.vms[node].core.is_none() => cluster.start(node),
        3..5 => {
            cluster.vms[node].frozen_until = cluster.now + cluster.rng.random_range(0..3_000_000);
        }
        5..7 => {
            let other = cluster.rng.random_range(0..VMS);
            cluster.partitioned_links.insert((node, other));
            if cluster.rng.random_bool(0.7) {
                cluster.partitioned_links.insert((other, node));
            }
        }
        7 => isolate(cluster, node),
        8..10 => cluster.partitioned_links.clear(),
        // A disk is lost only if the other VMs store everything that is committed.
        10..12 if cluster.may_lose_disk(node) => cluster.lose_disk(node),
        _ => {}
    }
}

fn isolate(cluster: &mut SimCluster, node: usize) {
    for other in 0..VMS {
        cluster.partitioned_links.insert((node, other));
        cluster.partitioned_links.insert((other, node));
    }
}

/// Ends all faults. Then a change must be accepted, and all members must reach the same state.
fn settle(cluster: &mut SimCluster) {
    cluster.fault_free = true;
    cluster.partitioned_links.clear();
    for node in 0..VMS {
        cluster.vms[node].frozen_until = 0;
        if cluster.vms[node].core.is_none() {
            cluster.start(node);
        }
    }
    let before = cluster.oracle.accepted_count();
    for _ in 0..RECOVERY_STEPS {
        cluster.advance();
        if cluster.rng.random_bool(0.1)
            && let Some(leader) = cluster.leader()
        {
            let request = make_change(cluster);
            cluster.send_request(leader, request);
        }
        if cluster.oracle.accepted_count() > before && is_settled(cluster) {
            return;
        }
    }
    panic!(
        "the cluster did not recover after the faults ended: {}",
        describe(cluster)
    );
}

fn is_settled(cluster: &SimCluster) -> bool {
    let Some(leader) = cluster
        .leader()
        .and_then(|node| cluster.vms[node].core.as_ref())
    else {
        return false;
    };
    let members = &leader.voter().voters().members;
    let mut cores = (0..VMS)
        .filter(|node| {
            members
                .iter()
                .any(|member| member.id == cluster.id_of(*node))
        })
        .filter_map(|node| cluster.vms[node].core.as_ref());
    leader.voter().commit() == cluster.oracle.applied()
        && cores.all(|core| core.state_machine().state() == leader.state_machine().state())
}

fn describe(cluster: &SimCluster) -> String {
    let voters = cluster
        .vms
        .iter()
        .filter_map(|vm| vm.core.as_ref())
        .map(|core| {
            let voter = core.voter();
            format!(
                "{} {} term={} commit={} last={} members={:?}; ",
                voter.id(),
                voter.role_name(),
                voter.term(),
                voter.commit(),
                voter.log().last_index(),
                voter
                    .voters()
                    .members
                    .iter()
                    .map(|member| &member.id)
                    .collect::<Vec<_>>(),
            )
        });
    voters.collect()
}
