//! Benchmarks of control: commits, claims, freshness requests, restarts, and time without a leader.

#[path = "../../daisyhinge-fakes/src/port.rs"]
mod port;

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use daisyhinge::control::core::{ControlCore, CoreAction, CoreEvent, CoreRequest};
use daisyhinge::control::limits::LogLimits;
use daisyhinge::control::log::{LogEntry, LogPayload, StoredLog};
use daisyhinge::control::member::{VoterId, VoterMember, VoterSet};
use daisyhinge::control::record::{RECORD_HEADER_BYTES, encode_entry};
use daisyhinge::control::state_machine::{CommandKind, LogCommand};
use daisyhinge::control::voter::VoterMachine;
use daisyhinge::prelude::*;
use daisyhinge::shell::control::ControlShell;
use daisyhinge::shell::control::codec::STATE_CODEC;
use daisyhinge::vocabulary::change::{ChangeKind, ChangeRequest};
use daisyhinge::vocabulary::claim::{ClaimReply, ClaimRequest, ClaimResult, EndClaimRequest};
use daisyhinge::vocabulary::environment::{AddressPolicy, EnvironmentDocument};
use daisyhinge::vocabulary::freshness::FreshnessRequest;
use daisyhinge::vocabulary::setting::{ControlSettings, VoterPeer};
use daisyhinge::vocabulary::view::{EntryRecord, EntryState};
use port::reserve_address;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::runtime::Runtime;

static CLAIMS: AtomicU64 = AtomicU64::new(0);

fn make_settings(folder: &Path, count: usize) -> Vec<ControlSettings> {
    let peers: Vec<VoterPeer> = (0..count)
        .map(|index| VoterPeer {
            vm: VmName::from(format!("control-{index}")),
            address: reserve_address(),
        })
        .collect();
    let settings = peers.iter().map(|peer| ControlSettings {
        vm: peer.vm.clone(),
        address: peer.address,
        operator_address: reserve_address(),
        metrics_address: reserve_address(),
        data_folder: folder.join(peer.vm.as_str()),
        token_file: folder.join("token"),
        voters: peers.clone(),
        events_max: 64,
    });
    settings.collect()
}

fn start(settings: &ControlSettings) -> ControlShell {
    ControlShell::spawn(settings.clone(), Arc::new(|_| ())).unwrap()
}

fn make_claim() -> ClaimRequest {
    let number = CLAIMS.fetch_add(1, Ordering::Relaxed);
    ClaimRequest {
        service: "print-queue".into(),
        request: RequestId::from(format!("5f0c1e9a-{number:016x}")),
        digest: RequestDigest(number),
        attempt: AttemptId {
            origin: 0x1234_5678_9abc_def0,
            sequence: number,
        },
        age_ms: 0,
    }
}

fn make_change(number: u64) -> ChangeRequest {
    let document = EnvironmentDocument {
        addresses: AddressPolicy {
            keep_ms: number,
            count: 1,
        },
        ..EnvironmentDocument::default()
    };
    ChangeRequest {
        change: ChangeId::from(format!("change-{number}")),
        base: Some(VersionNumber(number)),
        operator: "ada".into(),
        made_ms: 0,
        kind: ChangeKind::Apply {
            environment: "trial".into(),
            document: Arc::new(document),
        },
    }
}

/// Submits a change to each VM in turn until the leader accepts it, and returns the leader's index.
async fn change_at_any(shells: &[ControlShell], number: u64) -> usize {
    loop {
        for (index, shell) in shells.iter().enumerate() {
            if shell.change(make_change(number)).await.is_ok() {
                return index;
            }
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Claims a request and ends the claim: two commits, as for each real request. Claims that never
/// end would reach the limit on open claims.
async fn claim_and_end(leader: &ControlShell) {
    let claim = make_claim();
    let reply = leader.claim(claim.clone()).await;
    assert!(reply == ClaimReply::Won, "{reply:?}");
    let end = EndClaimRequest {
        service: claim.service,
        request: claim.request,
        attempt: claim.attempt,
        end: ClaimResult::NotRun,
    };
    assert!(leader.end_claim(end).await);
}

async fn run_claims(leader: &ControlShell, count: u64, concurrency: u64) -> Duration {
    let started = Instant::now();
    let remaining = Arc::new(AtomicU64::new(count));
    let tasks: Vec<_> = (0..concurrency)
        .map(|_| {
            let (leader, remaining) = (leader.clone(), Arc::clone(&remaining));
            tokio::spawn(async move {
                let decrement = |remaining: u64| remaining.checked_sub(1);
                while remaining
                    .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
                    .is_ok()
                {
                    claim_and_end(&leader).await;
                }
            })
        })
        .collect();
    for task in tasks {
        task.await.unwrap();
    }
    started.elapsed()
}

fn bench_commits(criterion: &mut Criterion) {
    let runtime = Runtime::new().unwrap();
    for voters in [1, 3] {
        for concurrency in [1, 64] {
            let folder = tempfile::tempdir().unwrap();
            let settings = make_settings(folder.path(), voters);
            let _guard = runtime.enter();
            let shells: Vec<ControlShell> = settings.iter().map(start).collect();
            let leader = runtime.block_on(change_at_any(&shells, 0));
            let name = format!("claim-and-end/{voters}-voters/{concurrency}-at-a-time");
            criterion.bench_function(&name, |bencher| {
                bencher.iter_custom(|count| {
                    runtime.block_on(run_claims(&shells[leader], count, concurrency))
                });
            });
            for shell in &shells {
                runtime.block_on(shell.stop());
            }
        }
    }
}

fn make_leader(now: MonotonicTime) -> ControlCore {
    let id = VoterId {
        vm: "control-0".into(),
        number: 1,
    };
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let mut initial_actions = Vec::new();
    let voter = VoterMachine::open(
        now,
        id.clone(),
        address,
        LogLimits::default(),
        StoredLog::default(),
        ChaCha8Rng::seed_from_u64(1),
        &mut initial_actions,
    );
    let mut core = ControlCore::open(now, voter, initial_actions, STATE_CODEC, &mut Vec::new());
    let member = VoterMember {
        id,
        address,
        learner: false,
        replaces: None,
    };
    step(
        &mut core,
        now,
        CoreEvent::Bootstrap(VoterSet {
            members: vec![member],
        }),
    );
    step(&mut core, now + Duration::from_secs(2), CoreEvent::Tick);
    core
}

/// Steps the core and confirms its saves at once.
fn step(core: &mut ControlCore, now: MonotonicTime, event: CoreEvent) {
    let mut actions = Vec::new();
    core.step(now, event, &mut actions);
    core.step(now, CoreEvent::Flush, &mut actions);
    for action in actions {
        match action {
            CoreAction::Save(save) => step(core, now, CoreEvent::Saved(save.sequence)),
            CoreAction::SaveSnapshot { sequence, .. } => {
                step(core, now, CoreEvent::Saved(sequence));
            }
            other => drop(black_box(other)),
        }
    }
}

fn make_freshness_request(number: u64, holds: VersionNumber) -> CoreRequest {
    CoreRequest::Fresh(FreshnessRequest {
        entry: EntryRecord {
            vm: VmName::from(format!("entry-{number}")),
            environment: "trial".into(),
            data_centre: "lagos-1".into(),
            incarnation: IncarnationNumber(1),
            caller_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 2)),
            state: EntryState::Live,
        },
        holds,
        released: false,
    })
}

fn bench_freshness(criterion: &mut Criterion) {
    let now = MonotonicTime(1);
    let mut core = make_leader(now);
    let now = now + Duration::from_secs(2);
    let mut req_id = 0;
    let mut send_request = |core: &mut ControlCore, request: CoreRequest| {
        req_id += 1;
        step(core, now, CoreEvent::Request { req_id, request });
    };
    for number in 0..1_000 {
        send_request(&mut core, make_freshness_request(number, VersionNumber(0)));
    }
    assert_eq!(core.state_machine().view().entries.len(), 1_000);
    let version = core.state_machine().view().version;
    let mut number = 0;
    criterion.bench_function("freshness/ask-of-one-entry-of-1000", |bencher| {
        bencher.iter(|| {
            number = (number + 1) % 1_000;
            send_request(&mut core, make_freshness_request(number, version));
        });
    });
}

fn bench_restart(criterion: &mut Criterion) {
    let runtime = Runtime::new().unwrap();
    let folder = tempfile::tempdir().unwrap();
    let settings = make_settings(folder.path(), 1);
    let _guard = runtime.enter();
    let shell = start(&settings[0]);
    let shells = [shell];
    runtime.block_on(async {
        for number in 0..10_000 {
            change_at_any(&shells, number).await;
        }
        shells[0].stop().await;
    });
    criterion.bench_function("restart/after-10000-changes", |bencher| {
        bencher.iter_custom(|count| {
            let mut total = Duration::ZERO;
            for _ in 0..count {
                let started = Instant::now();
                let shell = start(&settings[0]);
                let status = runtime.block_on(shell.status()).unwrap();
                total += started.elapsed();
                assert!(status.snapshot > 0);
                runtime.block_on(shell.stop());
            }
            total
        });
    });
}

/// Prints the time from a stop of the leader until the next change is accepted, over several stops.
fn print_time_without_leader(_: &mut Criterion) {
    let runtime = Runtime::new().unwrap();
    let folder = tempfile::tempdir().unwrap();
    let settings = make_settings(folder.path(), 3);
    let _guard = runtime.enter();
    let mut shells: Vec<ControlShell> = settings.iter().map(start).collect();
    let mut durations_ms = Vec::new();
    for number in 0..21 {
        let leader = runtime.block_on(change_at_any(&shells, 2 * number));
        runtime.block_on(shells[leader].stop());
        let started = Instant::now();
        runtime.block_on(change_at_any(&shells, 2 * number + 1));
        durations_ms.push(started.elapsed().as_millis());
        shells[leader] = start(&settings[leader]);
    }
    durations_ms.sort_unstable();
    println!(
        "leaderless/after-stop: min {} ms, median {} ms, max {} ms of {}",
        durations_ms[0],
        durations_ms[durations_ms.len() / 2],
        durations_ms[durations_ms.len() - 1],
        durations_ms.len()
    );
    for shell in &shells {
        runtime.block_on(shell.stop());
    }
}

fn print_sizes(_: &mut Criterion) {
    let command = LogCommand {
        at_ms: 1_000_000,
        kind: CommandKind::Claim(make_claim()),
    };
    let command = (STATE_CODEC.encode_command)(&command);
    let entry = LogEntry {
        index: 1,
        term: 1,
        payload: LogPayload::Command(command.clone()),
    };
    println!(
        "claim: command {} B, on disk {} B",
        command.len(),
        encode_entry(&entry).len() + RECORD_HEADER_BYTES
    );
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_secs(2));
    targets = print_sizes, bench_freshness, bench_commits, print_time_without_leader, bench_restart
}
criterion_main!(benches);
