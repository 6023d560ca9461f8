//! Tests of control processes with real sockets and a real data folder.

#[path = "../../daisyhinge-fakes/src/port.rs"]
mod port;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyhinge::prelude::*;
use daisyhinge::shell::control::{ControlError, ControlShell};
use daisyhinge::shell::link::ControlLinkClient;
use daisyhinge::vocabulary::change::{ChangeKind, ChangeRefusal, ChangeRequest, CommittedChange};
use daisyhinge::vocabulary::claim::{ClaimReply, ClaimRequest, ClaimResult, EndClaimRequest};
use daisyhinge::vocabulary::control::ControlRole;
use daisyhinge::vocabulary::environment::{
    CentreEntry, CentreState, EnvironmentDocument, RegionEntry,
};
use daisyhinge::vocabulary::freshness::FreshnessRequest;
use daisyhinge::vocabulary::setting::{ControlSettings, VoterPeer};
use daisyhinge::vocabulary::view::{EntryRecord, EntryState};
use port::reserve_address;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};

/// Timeout of every wait; reached only if the test fails.
const WAIT_MAX: Duration = Duration::from_mins(1);

fn make_settings(folder: &Path, vm: &str, voters: &[VoterPeer]) -> ControlSettings {
    let address = voters.iter().find(|peer| peer.vm.as_str() == vm);
    ControlSettings {
        vm: vm.into(),
        address: address.map_or_else(reserve_address, |peer| peer.address),
        operator_address: reserve_address(),
        metrics_address: reserve_address(),
        data_folder: folder.join(vm),
        token_file: folder.join("token"),
        voters: voters.to_vec(),
        events_max: 64,
    }
}

fn make_peers(names: &[&str]) -> Vec<VoterPeer> {
    let peers = names.iter().map(|name| VoterPeer {
        vm: (*name).into(),
        address: reserve_address(),
    });
    peers.collect()
}

fn spawn_shell(settings: &ControlSettings) -> Result<ControlShell, ControlError> {
    ControlShell::spawn(settings.clone(), Arc::new(|_| ()))
}

fn make_document(centre: &str) -> Arc<EnvironmentDocument> {
    Arc::new(EnvironmentDocument {
        regions: vec![RegionEntry {
            name: "Lagos".into(),
            data_centres: vec![CentreEntry {
                name: centre.into(),
                state: CentreState::In,
                power_cap: None,
            }],
        }],
        ..Default::default()
    })
}

fn make_change(change: &str, base: u64, centre: &str) -> ChangeRequest {
    ChangeRequest {
        change: change.into(),
        base: Some(VersionNumber(base)),
        operator: "ada".into(),
        made_ms: 1,
        kind: ChangeKind::Apply {
            environment: "trial".into(),
            document: make_document(centre),
        },
    }
}

fn make_entry(incarnation: u64) -> EntryRecord {
    EntryRecord {
        vm: "entry-1".into(),
        environment: "trial".into(),
        data_centre: "lagos-1".into(),
        incarnation: IncarnationNumber(incarnation),
        caller_address: reserve_address(),
        peer_address: reserve_address(),
        state: EntryState::Live,
    }
}

/// Sends the same change to every VM until one accepts it or refuses it permanently.
async fn commit_change(
    shells: &[&ControlShell],
    request: &ChangeRequest,
) -> Result<CommittedChange, ChangeRefusal> {
    let started = Instant::now();
    loop {
        for shell in shells {
            match shell.change(request.clone()).await {
                Err(refusal)
                    if [
                        ResultCode::NotLeader,
                        ResultCode::NoQuorum,
                        ResultCode::ChangeOutcomeUnknown,
                    ]
                    .contains(&refusal.code) => {}
                reply => return reply,
            }
        }
        assert!(started.elapsed() < WAIT_MAX, "no leader");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn connect(address: SocketAddr) -> ControlLinkClient {
    let transport = tarpc::serde_transport::tcp::connect(address, Bincode::default).await;
    ControlLinkClient::new(client::Config::default(), transport.unwrap()).spawn()
}

#[tokio::test(flavor = "multi_thread")]
async fn single_voter_serves_changes_freshness_and_claims_and_restores_them_after_restart() {
    let folder = tempfile::tempdir().unwrap();
    let peers = make_peers(&["control-1"]);
    let settings = make_settings(folder.path(), "control-1", &peers);
    let shell = spawn_shell(&settings).unwrap();
    let first = commit_change(&[&shell], &make_change("change-1", 0, "lagos-1")).await;
    assert_eq!(
        first,
        Ok(CommittedChange {
            version: VersionNumber(1)
        })
    );

    let link = connect(shell.address()).await;
    let request = FreshnessRequest {
        entry: make_entry(1),
        holds: VersionNumber(0),
        released: false,
    };
    let proof = link
        .fresh(context::current(), request.clone())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(proof.version, VersionNumber(2));
    let view = proof.view.unwrap();
    assert_eq!(view.entries, vec![request.entry.clone()]);
    assert_eq!(view.environments.len(), 1);

    let claim = ClaimRequest {
        service: "print".into(),
        request: "r-1".into(),
        digest: RequestDigest(1),
        attempt: AttemptId {
            origin: 1,
            sequence: 1,
        },
        age_ms: 0,
    };
    let reply = link.claim(context::current(), claim.clone()).await.unwrap();
    assert_eq!(reply, ClaimReply::Won);
    shell.stop().await;

    let restarted = spawn_shell(&settings).unwrap();
    assert_eq!(restarted.id(), shell.id());
    let resent = commit_change(&[&restarted], &make_change("change-1", 0, "lagos-1")).await;
    assert_eq!(resent, first);
    let other = ClaimRequest {
        attempt: AttemptId {
            origin: 2,
            sequence: 1,
        },
        ..claim.clone()
    };
    assert_eq!(restarted.claim(other).await, ClaimReply::Lost(None));
    let end = EndClaimRequest {
        service: claim.service.clone(),
        request: claim.request.clone(),
        attempt: claim.attempt,
        end: ClaimResult::NotRun,
    };
    assert!(restarted.end_claim(end).await);
    restarted.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn data_folder_in_use_or_of_another_vm_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let settings = make_settings(folder.path(), "control-1", &make_peers(&["control-1"]));
    let shell = spawn_shell(&settings).unwrap();
    assert_eq!(
        spawn_shell(&settings).unwrap_err().code,
        ResultCode::FolderInUse
    );
    let foreign = ControlSettings {
        vm: "control-2".into(),
        ..settings.clone()
    };
    shell.stop().await;
    assert_eq!(
        spawn_shell(&foreign).unwrap_err().code,
        ResultCode::FolderMismatch
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn voter_that_lost_its_disk_rejoins_under_a_new_identity() {
    let folder = tempfile::tempdir().unwrap();
    let names = ["control-1", "control-2", "control-3"];
    let peers = make_peers(&names);
    let settings: Vec<ControlSettings> = names
        .iter()
        .map(|name| make_settings(folder.path(), name, &peers))
        .collect();
    let mut shells: Vec<ControlShell> = settings
        .iter()
        .map(|vm_settings| spawn_shell(vm_settings).unwrap())
        .collect();
    let all: Vec<&ControlShell> = shells.iter().collect();
    commit_change(&all, &make_change("change-1", 0, "lagos-1"))
        .await
        .unwrap();

    // Every control VM answers entries, whether it is the leader or not.
    for shell in &shells {
        let link = connect(shell.address()).await;
        let request = FreshnessRequest {
            entry: make_entry(1),
            holds: VersionNumber(0),
            released: false,
        };
        let started = Instant::now();
        while link
            .fresh(context::current(), request.clone())
            .await
            .unwrap()
            .is_err()
        {
            assert!(started.elapsed() < WAIT_MAX);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    let former = shells[0].id().clone();
    shells[0].stop().await;
    std::fs::remove_dir_all(&settings[0].data_folder).unwrap();
    let remaining = [&shells[1], &shells[2]];
    let second = commit_change(&remaining, &make_change("change-2", 1, "lagos-2"))
        .await
        .unwrap();
    shells[0] = spawn_shell(&settings[0]).unwrap();
    assert_ne!(*shells[0].id(), former);

    // The VM joins as a learner, becomes a voter, and its former identity is removed.
    let started = Instant::now();
    loop {
        let status = shells[0].status().await.unwrap();
        let voters: Vec<u64> = status.voters.iter().map(|voter| voter.number).collect();
        if status.role != ControlRole::Outside
            && status.voters.iter().all(|voter| !voter.learner)
            && voters.len() == 3
            && !voters.contains(&former.number)
        {
            break;
        }
        assert!(started.elapsed() < WAIT_MAX, "{status:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    // A second VM loses its disk right after the repair; no accepted change may be lost.
    shells[1].stop().await;
    std::fs::remove_dir_all(&settings[1].data_folder).unwrap();
    let remaining = [&shells[0], &shells[2]];
    let resent = commit_change(&remaining, &make_change("change-2", 1, "lagos-2")).await;
    assert_eq!(resent, Ok(second));
    for shell in &shells {
        shell.stop().await;
    }
}
