//! Control processes over real sockets and a real data folder.

#[path = "../../daisyhinge-fakes/src/port.rs"]
mod port;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyhinge::prelude::*;
use daisyhinge::shell::control::{ControlFault, ControlShell};
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

/// Longest wait for anything; only a broken run takes that long.
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

fn start(settings: &ControlSettings) -> Result<ControlShell, ControlFault> {
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

/// Sends the same change to every VM until one accepts or refuses it for good.
async fn change_at_any(
    shells: &[&ControlShell],
    ask: &ChangeRequest,
) -> Result<CommittedChange, ChangeRefusal> {
    let begun = Instant::now();
    loop {
        for shell in shells {
            match shell.change(ask.clone()).await {
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
        assert!(begun.elapsed() < WAIT_MAX, "no leader");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn connect(address: SocketAddr) -> ControlLinkClient {
    let transport = tarpc::serde_transport::tcp::connect(address, Bincode::default).await;
    ControlLinkClient::new(client::Config::default(), transport.unwrap()).spawn()
}

#[tokio::test(flavor = "multi_thread")]
async fn one_voter_serves_changes_freshness_and_claims_and_keeps_them() {
    let folder = tempfile::tempdir().unwrap();
    let peers = make_peers(&["control-1"]);
    let settings = make_settings(folder.path(), "control-1", &peers);
    let shell = start(&settings).unwrap();
    let first = change_at_any(&[&shell], &make_change("change-1", 0, "lagos-1")).await;
    assert_eq!(
        first,
        Ok(CommittedChange {
            version: VersionNumber(1)
        })
    );

    let link = connect(shell.address()).await;
    let ask = FreshnessRequest {
        entry: make_entry(1),
        holds: VersionNumber(0),
        released: false,
    };
    let proof = link
        .fresh(context::current(), ask.clone())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(proof.version, VersionNumber(2));
    let view = proof.view.unwrap();
    assert_eq!(view.entries, vec![ask.entry.clone()]);
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

    let again = start(&settings).unwrap();
    assert_eq!(again.id(), shell.id());
    let resent = change_at_any(&[&again], &make_change("change-1", 0, "lagos-1")).await;
    assert_eq!(resent, first);
    let other = ClaimRequest {
        attempt: AttemptId {
            origin: 2,
            sequence: 1,
        },
        ..claim.clone()
    };
    assert_eq!(again.claim(other).await, ClaimReply::Lost(None));
    let end = EndClaimRequest {
        service: claim.service.clone(),
        request: claim.request.clone(),
        attempt: claim.attempt,
        end: ClaimResult::NotRun,
    };
    assert!(again.end_claim(end).await);
    again.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_folder_in_use_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let settings = make_settings(folder.path(), "control-1", &make_peers(&["control-1"]));
    let shell = start(&settings).unwrap();
    assert_eq!(start(&settings).unwrap_err().code, ResultCode::FolderInUse);
    let foreign = ControlSettings {
        vm: "control-2".into(),
        ..settings.clone()
    };
    shell.stop().await;
    assert_eq!(
        start(&foreign).unwrap_err().code,
        ResultCode::FolderMismatch
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn three_voters_lose_one_and_take_it_back_under_a_new_identity() {
    let folder = tempfile::tempdir().unwrap();
    let names = ["control-1", "control-2", "control-3"];
    let peers = make_peers(&names);
    let settings: Vec<ControlSettings> = names
        .iter()
        .map(|name| make_settings(folder.path(), name, &peers))
        .collect();
    let mut shells: Vec<ControlShell> = settings.iter().map(|one| start(one).unwrap()).collect();
    let all: Vec<&ControlShell> = shells.iter().collect();
    change_at_any(&all, &make_change("change-1", 0, "lagos-1"))
        .await
        .unwrap();

    // Any control VM answers entries, whoever leads.
    for shell in &shells {
        let link = connect(shell.address()).await;
        let ask = FreshnessRequest {
            entry: make_entry(1),
            holds: VersionNumber(0),
            released: false,
        };
        let begun = Instant::now();
        while link
            .fresh(context::current(), ask.clone())
            .await
            .unwrap()
            .is_err()
        {
            assert!(begun.elapsed() < WAIT_MAX);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    let former = shells[0].id().clone();
    shells[0].stop().await;
    std::fs::remove_dir_all(&settings[0].data_folder).unwrap();
    let rest = [&shells[1], &shells[2]];
    let second = change_at_any(&rest, &make_change("change-2", 1, "lagos-2"))
        .await
        .unwrap();
    shells[0] = start(&settings[0]).unwrap();
    assert_ne!(*shells[0].id(), former);

    // It learns, votes, and its former identity leaves.
    let begun = Instant::now();
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
        assert!(begun.elapsed() < WAIT_MAX, "{status:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    // A second VM is lost right after the repair: nothing is.
    shells[1].stop().await;
    std::fs::remove_dir_all(&settings[1].data_folder).unwrap();
    let rest = [&shells[0], &shells[2]];
    let resent = change_at_any(&rest, &make_change("change-2", 1, "lagos-2")).await;
    assert_eq!(resent, Ok(second));
    for shell in &shells {
        shell.stop().await;
    }
}
