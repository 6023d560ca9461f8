//! Which configurations an entry adopts.

#[path = "support/known_replica.rs"]
mod known_replica;

use std::net::SocketAddr;
use std::sync::Arc;

use daisyhinge::dispatch::fleet::FleetLocation;
use daisyhinge::intake::process_limits::derive_limits;
use daisyhinge::lease::LapsePolicy;
use daisyhinge::prelude::*;
use daisyhinge::shell::forward::state::{ForwardSettings, ForwardState};
use daisyhinge::vocabulary::registration::SyncReply;
use daisyhinge::vocabulary::site::{SiteConfig, SiteDocument, SiteState};
use known_replica::{BUDGET, header_names, sync_reply_with};

/// Decodes a text that is the version of the configuration.
fn decode_version(text: &[u8]) -> Result<SiteConfig, ResultCode> {
    let text = str::from_utf8(text).map_err(|_error| ResultCode::MalformedJson)?;
    let version = text.parse().map_err(|_error| ResultCode::MalformedJson)?;
    Ok(SiteConfig {
        version,
        ..SiteConfig::default()
    })
}

fn open_entry() -> Arc<ForwardState> {
    ForwardState::open(ForwardSettings {
        location: FleetLocation {
            vm: "entry-1".into(),
            data_centre: "a".into(),
            regions: [("a".into(), "north".into())].into(),
        },
        budget: BUDGET,
        names: header_names(),
        decode: decode_version,
        policy: LapsePolicy::default(),
        revocation_delay: None,
        quota_slack: 0.0,
        limits: derive_limits(160 << 20, 4_096),
        rollouts: false,
    })
}

/// Sends an entry a state with a document, and returns the version that it then applies.
fn adopt(entry: &ForwardState, revision: u64, version: u64, text: &str) -> Option<u64> {
    let site = SiteState {
        revision,
        document: Some(SiteDocument::pack(version, text.as_bytes())),
        ..SiteState::default()
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let reply = SyncReply {
        site: Some(Arc::new(site)),
        ..sync_reply_with(address, "s", "a", Vec::new())
    };
    entry.apply_reply(reply, true);
    entry.site().map(|site| site.version)
}

/// Guards against a first configuration of version 0 that is confirmed but never in force.
#[test]
fn first_configuration_may_have_version_0() {
    let entry = open_entry();
    assert_eq!(adopt(&entry, 1, 0, "0"), Some(0));
    assert_eq!(adopt(&entry, 2, 1, "1"), Some(1));
    assert_eq!(adopt(&entry, 3, 0, "0"), Some(1));
}

/// Guards against a document of a former build that takes the configuration before out of force.
#[test]
fn document_that_cannot_be_decoded_leaves_the_one_before_in_force() {
    let entry = open_entry();
    assert_eq!(adopt(&entry, 1, 1, "1"), Some(1));
    assert_eq!(adopt(&entry, 2, 2, "damaged"), Some(1));
    assert_eq!(adopt(&entry, 3, 3, "3"), Some(3));
}

/// Guards against an entry that passes over a configuration for good, since the control process that it
/// followed first could not derive its document. During an upgrade that may be one of the former build.
#[test]
fn document_that_another_control_process_lacked_is_adopted() {
    let entry = open_entry();
    assert_eq!(adopt(&entry, 1, 1, "1"), Some(1));
    let site = SiteState {
        revision: 2,
        ..SiteState::default()
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let reply = SyncReply {
        site: Some(Arc::new(site)),
        ..sync_reply_with(address, "s", "a", Vec::new())
    };
    entry.apply_reply(reply, true);
    assert_eq!(adopt(&entry, 2, 2, "2"), Some(2));
}
