//! Log lines of a control process about the group, and about entries that have a newer state.

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyhinge::control::limits::LogLimits;
use daisyhinge::prelude::*;
use daisyhinge::shell::control::{ControlShell, SeededSettings};
use daisyhinge::shell::site::SiteLinkV1Client;
use daisyhinge::shell::site::group_log::{GroupReading, GroupWatch};
use daisyhinge::shell::site::serve::{SiteEndpoint, SiteRegistry};
use daisyhinge::vocabulary::control::{ControlRole, ControlStatus, VoterStatus};
use daisyhinge::vocabulary::feature::FeatureLevel;
use daisyhinge::vocabulary::quota::UsageRequest;
use daisyhinge::vocabulary::registration::{EntryPhase, SyncCaller, SyncRequest};
use daisyhinge::vocabulary::site::SiteDocument;
use port::reserve_address;
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;

#[path = "../../daisyhinge-fakes/src/port.rs"]
mod port;

const CONTACT_AGE: Duration = Duration::from_millis(40);

fn member(number: u64, heard_ms: Option<u64>) -> VoterStatus {
    VoterStatus {
        vm: format!("vm-{number}").as_str().into(),
        number,
        address: format!("127.0.0.{number}:1").parse().expect("an address"),
        learner: false,
        matched: None,
        heard_ms,
    }
}

/// A reading of a follower in a group of three that has all that its leader has committed.
fn reading(at: Instant, after_ms: u64) -> GroupReading {
    GroupReading {
        at: at + Duration::from_millis(after_ms),
        status: ControlStatus {
            vm: "vm-1".into(),
            number: 1,
            role: ControlRole::Follower,
            term: 4,
            leader: Some("vm-2".into()),
            leader_operator: None,
            commit: 50,
            snapshot: 0,
            version: VersionNumber(0),
            claims: 0,
            confirmed_ms: None,
            voters: vec![member(1, None), member(2, None), member(3, None)],
            entries: Vec::new(),
        },
        leader_commit: 50,
        quorum_age: Some(CONTACT_AGE),
    }
}

/// A watch that has seen a reading at `at`.
fn watch_since(at: Instant) -> GroupWatch {
    let mut watch = GroupWatch::default();
    let first = watch.observe(reading(at, 0));
    assert_eq!(
        first,
        [
            "event=membership_changed membership=voter former=- members=3 role=follower term=4 \
             leader=vm-2 commit=50 leader_commit=50"
        ]
    );
    assert!(watch.observe(reading(at, 100)).is_empty());
    watch
}

/// Guards against a follower that lacks committed entries in silence, and against a line for each entry
/// that is on its way.
#[test]
fn follower_that_lacks_what_its_leader_committed_says_so_once_and_when_it_has_it() {
    let at = Instant::now();
    let mut watch = watch_since(at);
    let behind = |after_ms: u64, commit: u64, leader_commit: u64| {
        let mut reading = reading(at, after_ms);
        reading.status.commit = commit;
        reading.leader_commit = leader_commit;
        reading
    };
    for (after_ms, commit, leader_commit) in [(200, 50, 51), (400, 51, 52), (600, 52, 53)] {
        let lines = watch.observe(behind(after_ms, commit, leader_commit));
        assert!(lines.is_empty(), "entries arrive in time: {lines:?}");
    }
    assert!(watch.observe(behind(800, 52, 60)).len() < 2);
    let lines: Vec<String> = [900, 1_000, 1_100, 1_200]
        .into_iter()
        .flat_map(|after_ms| watch.observe(behind(after_ms, 52, 70)))
        .collect();
    assert_eq!(
        lines,
        [
            "event=log_behind missing=53 behind_ms=300 role=follower term=4 leader=vm-2 commit=52 \
             leader_commit=70"
        ]
    );
    let lines = watch.observe(behind(2_000, 70, 70));
    assert_eq!(
        lines,
        [
            "event=log_caught_up missing=53 behind_ms=1400 role=follower term=4 leader=vm-2 \
             commit=70 leader_commit=70"
        ]
    );
}

/// Guards against a control process that nobody sends anything, as one that was removed while it was
/// stopped, and that looks like any other in its log.
#[test]
fn lost_contact_to_a_quorum_is_said_once_and_when_it_is_back() {
    let at = Instant::now();
    let mut watch = watch_since(at);
    let silent = |after_ms: u64, age_ms: u64| {
        let mut reading = reading(at, after_ms);
        reading.quorum_age = Some(Duration::from_millis(age_ms));
        reading.status.role = ControlRole::Candidate;
        reading.status.leader = None;
        reading
    };
    assert!(watch.observe(silent(1_000, 1_400)).is_empty());
    let lines = watch.observe(silent(15_000, 14_200));
    assert_eq!(
        lines,
        [
            "event=quorum_lost age_ms=14200 role=candidate term=4 leader=- commit=50 \
             leader_commit=50"
        ]
    );
    assert!(watch.observe(silent(15_100, 14_300)).is_empty());
    let lines = watch.observe(reading(at, 16_800));
    assert_eq!(
        lines,
        [
            "event=quorum_gained lost_ms=16000 role=follower term=4 leader=vm-2 commit=50 \
             leader_commit=50"
        ]
    );
}

/// Guards against a removal of which nobody can tell the reason.
#[test]
fn members_that_come_and_go_are_named_with_the_reason() {
    let at = Instant::now();
    let mut watch = watch_since(at);
    let leading = |after_ms: u64, members: Vec<VoterStatus>| {
        let mut reading = reading(at, after_ms);
        reading.status.role = ControlRole::Leader;
        reading.status.voters = members;
        reading
    };
    let joined = VoterStatus {
        number: 0x2a,
        learner: true,
        ..member(2, Some(10))
    };
    let members = vec![
        member(1, None),
        member(2, Some(0)),
        member(3, Some(11_950)),
        joined.clone(),
    ];
    assert_eq!(
        watch.observe(leading(200, members)),
        ["event=member_added member=vm-2#2a address=127.0.0.2:1 learner=true leading=true"]
    );
    let voting = VoterStatus {
        learner: false,
        ..joined
    };
    let members = vec![member(1, None), member(3, Some(12_050)), voting.clone()];
    assert_eq!(
        watch.observe(leading(300, members)),
        [
            "event=member_promoted member=vm-2#2a leading=true",
            "event=member_removed member=vm-2#2 address=127.0.0.2:1 reason=replaced \
             silent_ms=100 members=3 leading=true"
        ]
    );
    assert_eq!(
        watch.observe(leading(400, vec![member(1, None), voting])),
        [
            "event=member_removed member=vm-3#3 address=127.0.0.3:1 reason=silent \
             silent_ms=12150 members=2 leading=true"
        ]
    );
    let mut outside = reading(at, 500);
    outside.status.role = ControlRole::Outside;
    outside.status.voters = vec![member(2, None)];
    let lines = watch.observe(outside);
    assert!(
        lines[0].starts_with("event=membership_changed membership=outside former=voter members=1 "),
        "{lines:?}"
    );
}

fn request_of_entry(revision: u64) -> SyncRequest {
    SyncRequest {
        caller: SyncCaller::Entry {
            vm: "entry-1".into(),
            incarnation: 1,
            address: "127.0.0.1:1".parse().expect("an address"),
            data_centre: "a".into(),
            phase: EntryPhase::Serving,
            feature_level: FeatureLevel::BASE,
        },
        epoch: 0,
        mark: 0,
        revision,
        crashes: None,
        rollouts: None,
        report_mark: 0,
        wait_ms: 0,
        usage: UsageRequest::default(),
    }
}

/// Guards against a control process that lacks changes and answers entries that have them as if it had
/// the newest state, without a trace.
#[tokio::test]
async fn entry_with_a_newer_state_is_noted() {
    let folder = tempfile::tempdir().expect("a folder");
    let address = reserve_address();
    let settings = SeededSettings {
        vm: "control-1".into(),
        address,
        operator_address: reserve_address(),
        data_folder: folder.path().to_owned(),
        limits: LogLimits::default(),
        seeds: vec![address],
        first_start: true,
    };
    let shell = ControlShell::spawn_seeded(settings, Arc::new(|_| ())).expect("a control process");
    let endpoint = SiteEndpoint {
        address: reserve_address(),
        data_centre: "a".into(),
    };
    let site_address = endpoint.address;
    let derive = Box::new(|document: &SiteDocument| Some(document.clone()));
    let registry = SiteRegistry::spawn(shell.clone(), endpoint, Duration::from_secs(1), derive);
    let registry = registry.await.expect("a registry");
    let ahead = registry.watch_ahead();
    let stream = TcpStream::connect(site_address)
        .await
        .expect("a connection");
    let transport = Transport::from((stream, Bincode::default()));
    let client = SiteLinkV1Client::new(tarpc::client::Config::default(), transport).spawn();
    for revision in [0, 7] {
        assert_eq!(*ahead.borrow(), None);
        let request = request_of_entry(revision).into();
        let reply = client.sync(tarpc::context::current(), request).await;
        assert!(reply.is_ok(), "{reply:?}");
    }
    let noted = ahead.borrow().clone().expect("the entry is noted");
    assert_eq!((noted.entry_revision, noted.revision), (7, 0));
    assert_eq!(noted.vm, "entry-1".into());
    shell.stop().await;
}
