//! The age that a control process states for the state in its replies, with real sockets and a data
//! folder.

#[path = "../../daisyhinge-fakes/src/port.rs"]
mod port;

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyhinge::control::limits::LogLimits;
use daisyhinge::shell::control::{ControlShell, SeededSettings};
use daisyhinge::shell::link_version::{NamedFormat, open_link};
use daisyhinge::shell::site::SiteLinkClient;
use daisyhinge::shell::site::serve::{SiteEndpoint, SiteRegistry};
use daisyhinge::vocabulary::feature::FeatureLevel;
use daisyhinge::vocabulary::quota::UsageRequest;
use daisyhinge::vocabulary::registration::{EntryPhase, SyncCaller, SyncRequest};
use daisyhinge::vocabulary::site::{SiteChange, SiteDocument};
use port::reserve_address;
use tarpc::serde_transport::Transport;

/// Timeout of every wait; reached only if the test fails.
const WAIT_MAX: Duration = Duration::from_mins(1);
/// The age in a reply is rounded down to milliseconds.
const ROUNDING: Duration = Duration::from_millis(1);

/// Replies with a former state that have to be checked.
const SUPERSEDED_MIN: u32 = 20;
/// Versions after which the test gives up. On a busy machine few replies fall between two states.
const VERSIONS_MAX: u64 = 100;

fn make_request(revision: u64) -> SyncRequest {
    SyncRequest {
        caller: SyncCaller::Entry {
            vm: "entry-1".into(),
            incarnation: 1,
            address: reserve_address(),
            data_centre: "a1".into(),
            phase: EntryPhase::Serving,
            feature_level: FeatureLevel::SUPPORTED,
        },
        epoch: 0,
        mark: 0,
        revision,
        crashes: None,
        rollouts: None,
        report_mark: 0,
        usage: UsageRequest::default(),
        wait_ms: 0,
    }
}

async fn apply_version(shell: &ControlShell, version: u64) -> u64 {
    let started = Instant::now();
    loop {
        let change = SiteChange::Apply(SiteDocument::pack(version, b"x"));
        if shell.change_site(change).await.is_ok() {
            return shell.published_site().state.borrow().revision;
        }
        assert!(started.elapsed() < WAIT_MAX, "no change is accepted");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// States are published at most every 250 ms; replies with the former one stated the age of a
/// confirmation that came after the change.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn age_in_a_reply_is_not_younger_than_its_state() {
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
        data_centre: "a1".into(),
    };
    let site_address = endpoint.address;
    let derive = Box::new(|document: &SiteDocument| Some(document.clone()));
    let registry = SiteRegistry::spawn(shell.clone(), endpoint, WAIT_MAX, derive);
    let _registry = registry.await.expect("a registry");
    let (stream, _) = open_link(site_address).await.expect("a link");
    let transport = Transport::from((stream, NamedFormat::default()));
    let client = SiteLinkClient::new(tarpc::client::Config::default(), transport).spawn();
    let mut superseded = 0;
    for version in 1..=VERSIONS_MAX {
        if superseded > SUPERSEDED_MIN {
            break;
        }
        let newest = apply_version(&shell, version).await;
        let accepted = Instant::now();
        let mut known = 0;
        while known < newest {
            let sent_after = accepted.elapsed();
            let call = client.sync(tarpc::context::current(), make_request(0));
            let reply = call.await.expect("a reply");
            known = reply.site.map_or(0, |site| site.revision);
            if known < newest {
                let age = reply.quorum_age_ms.map(Duration::from_millis);
                let is_true = age.is_none_or(|age| age + ROUNDING >= sent_after);
                assert!(is_true, "{age:?} for a state superseded {sent_after:?} ago");
                superseded += 1;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    assert!(
        superseded > SUPERSEDED_MIN,
        "{superseded} replies with a former state"
    );
    shell.stop().await;
}
