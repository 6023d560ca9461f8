//! Which entries callers are told to use.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use daisyhinge::address::{AddressAsk, choose_addresses};
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::answer::AddressAnswer;
use daisyhinge::vocabulary::environment::{
    AddressPolicy, CentreEntry, CentreState, EnvironmentDocument, RegionEntry,
};
use daisyhinge::vocabulary::view::{ControlView, EntryRecord, EntryState};

/// Two regions: `lagos` with data centres `lagos-1` and `lagos-2`, `kano` with `kano-1`; entries
/// `e0` to `e5`, two in each data centre.
fn make_view() -> ControlView {
    let centre = |name: &str| CentreEntry {
        name: name.into(),
        state: CentreState::In,
        power_cap: None,
    };
    let document = EnvironmentDocument {
        regions: vec![
            RegionEntry {
                name: "lagos".into(),
                data_centres: vec![centre("lagos-1"), centre("lagos-2")],
            },
            RegionEntry {
                name: "kano".into(),
                data_centres: vec![centre("kano-1")],
            },
        ],
        services: Vec::new(),
        addresses: AddressPolicy {
            keep_ms: 5_000,
            count: 3,
        },
    };
    let entry = |index: u16| EntryRecord {
        vm: format!("e{index}").into(),
        environment: "production".into(),
        data_centre: ["lagos-1", "lagos-2", "kano-1"][usize::from(index / 2)].into(),
        incarnation: IncarnationNumber(1),
        caller_address: SocketAddr::from(([127, 0, 0, 1], 9_000 + index)),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 9_100 + index)),
        state: EntryState::Live,
    };
    ControlView {
        version: VersionNumber(1),
        environments: BTreeMap::from([("production".into(), Arc::new(document))]),
        entries: (0..6).map(entry).collect(),
        departed: Vec::new(),
    }
}

/// Asks `e0`; the service's replicas are kept by `e0`, `e1` and `e4`.
fn ask(view: &ControlView, caller_key: u64, takes_requests: bool, lost: &[&str]) -> AddressAnswer {
    let ask = AddressAsk {
        view,
        environment: &"production".into(),
        vm: &"e0".into(),
        data_centre: &"lagos-1".into(),
        takes_requests,
        caller_key,
    };
    let keepers = ["e0".into(), "e1".into(), "e4".into()];
    choose_addresses(ask, &keepers, |vm| !lost.contains(&vm.as_str()))
}

fn names(answer: &AddressAnswer) -> Vec<u16> {
    let ports = answer
        .addresses
        .iter()
        .map(|address| address.port() - 9_000);
    ports.collect()
}

#[test]
fn entries_near_the_keepers_come_first_and_callers_spread() {
    let view = make_view();
    let mut firsts: HashMap<u16, u32> = HashMap::new();
    for caller in 0..1_000 {
        let answer = ask(&view, caller, true, &[]);
        let named = names(&answer);
        assert_eq!(named.len(), 3);
        assert!(
            named[0] < 2 && named[1] < 2,
            "keepers' data centre in the region first"
        );
        assert!(
            named[2] == 2 || named[2] == 3,
            "then the rest of the region"
        );
        assert!((4_500..=5_000).contains(&answer.keep_ms));
        *firsts.entry(named[0]).or_default() += 1;
    }
    assert!(
        firsts.values().all(|count| (400..=600).contains(count)),
        "{firsts:?}"
    );
}

#[test]
fn a_leaving_entry_is_never_named_and_moves_only_its_callers() {
    let whole = make_view();
    let mut view = whole.clone();
    view.entries[1].state = EntryState::Leaving;
    for caller in 0..200 {
        let (before, after) = (
            ask(&whole, caller, true, &[]),
            ask(&view, caller, true, &[]),
        );
        assert!(!names(&after).contains(&1));
        if names(&before)[0] != 1 {
            assert_eq!(names(&before)[0], names(&after)[0]);
        }
    }
}

#[test]
fn an_entry_without_a_lease_tells_others() {
    let view = make_view();
    for caller in 0..100 {
        let named = names(&ask(&view, caller, false, &[]));
        assert!(!named.contains(&0) && named.len() == 3, "{named:?}");
    }
}

#[test]
fn unreachable_entries_and_data_centres_that_are_out_come_last() {
    let mut view = make_view();
    let mut document = EnvironmentDocument::clone(&view.environments[&"production".into()]);
    document.regions[0].data_centres[0].state = CentreState::Out;
    document.addresses.count = 6;
    view.environments
        .insert("production".into(), Arc::new(document));
    let named = names(&ask(&view, 1, true, &["e3"]));
    assert_eq!(named[0], 2, "the reachable one that is left in the region");
    assert!(
        named[1..3].iter().all(|entry| *entry >= 4),
        "then the other region"
    );
    assert!(
        named[3..5].iter().all(|entry| *entry < 2),
        "then what is out"
    );
    assert_eq!(named[5], 3, "and what is unreachable last");
}

#[test]
fn the_loss_of_one_data_centre_leaves_an_address() {
    let mut view = make_view();
    let mut document = EnvironmentDocument::clone(&view.environments[&"production".into()]);
    document.addresses.count = 2;
    view.environments
        .insert("production".into(), Arc::new(document));
    for caller in 0..50 {
        let named = names(&ask(&view, caller, true, &[]));
        assert!(named[0] < 2 && named[1] >= 2, "{named:?}");
    }
}
