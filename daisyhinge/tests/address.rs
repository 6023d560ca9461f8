//! Selection of entry addresses for callers.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use daisyhinge::address::{AddressRequest, choose_addresses};
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::answer::AddressAnswer;
use daisyhinge::vocabulary::environment::{
    AddressPolicy, CentreEntry, CentreState, EnvironmentDocument, RegionEntry,
};
use daisyhinge::vocabulary::view::{ControlView, EntryRecord, EntryState};

/// Two regions: `lagos` with data centres `lagos-1` and `lagos-2`, `kano` with `kano-1`. Entries
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

/// Requests addresses from `e0`. The service's replicas are kept by `e0`, `e1` and `e4`.
fn request_addresses(
    view: &ControlView,
    caller_key: u64,
    takes_requests: bool,
    unreachable: &[&str],
) -> AddressAnswer {
    let request = AddressRequest {
        view,
        environment: &"production".into(),
        vm: &"e0".into(),
        data_centre: &"lagos-1".into(),
        takes_requests,
        caller_key,
    };
    let keepers = ["e0".into(), "e1".into(), "e4".into()];
    choose_addresses(request, &keepers, |vm| !unreachable.contains(&vm.as_str()))
}

fn entry_numbers(answer: &AddressAnswer) -> Vec<u16> {
    let ports = answer
        .addresses
        .iter()
        .map(|address| address.port() - 9_000);
    ports.collect()
}

#[test]
fn keeper_data_centres_come_first_and_callers_spread() {
    let view = make_view();
    let mut first_counts: HashMap<u16, u32> = HashMap::new();
    for caller in 0..1_000 {
        let answer = request_addresses(&view, caller, true, &[]);
        let numbers = entry_numbers(&answer);
        assert_eq!(numbers.len(), 3);
        assert!(
            numbers[0] < 2 && numbers[1] < 2,
            "the keepers' data centre in the region comes first"
        );
        assert!(
            numbers[2] == 2 || numbers[2] == 3,
            "the rest of the region comes next"
        );
        assert!((4_500..=5_000).contains(&answer.keep_ms));
        *first_counts.entry(numbers[0]).or_default() += 1;
    }
    assert!(
        first_counts
            .values()
            .all(|count| (400..=600).contains(count)),
        "{first_counts:?}"
    );
}

#[test]
fn leaving_entry_moves_only_its_own_callers() {
    let full_view = make_view();
    let mut view = full_view.clone();
    view.entries[1].state = EntryState::Leaving;
    for caller in 0..200 {
        let (before, after) = (
            request_addresses(&full_view, caller, true, &[]),
            request_addresses(&view, caller, true, &[]),
        );
        assert!(!entry_numbers(&after).contains(&1));
        if entry_numbers(&before)[0] != 1 {
            assert_eq!(entry_numbers(&before)[0], entry_numbers(&after)[0]);
        }
    }
}

#[test]
fn entry_without_lease_returns_other_entries() {
    let view = make_view();
    for caller in 0..100 {
        let numbers = entry_numbers(&request_addresses(&view, caller, false, &[]));
        assert!(!numbers.contains(&0) && numbers.len() == 3, "{numbers:?}");
    }
}

#[test]
fn unreachable_and_out_of_service_entries_come_last() {
    let mut view = make_view();
    let mut document = EnvironmentDocument::clone(&view.environments[&"production".into()]);
    document.regions[0].data_centres[0].state = CentreState::Out;
    document.addresses.count = 6;
    view.environments
        .insert("production".into(), Arc::new(document));
    let numbers = entry_numbers(&request_addresses(&view, 1, true, &["e3"]));
    assert_eq!(
        numbers[0], 2,
        "the reachable entry in service in the region comes first"
    );
    assert!(
        numbers[1..3].iter().all(|entry| *entry >= 4),
        "the other region comes next"
    );
    assert!(
        numbers[3..5].iter().all(|entry| *entry < 2),
        "entries out of service come next"
    );
    assert_eq!(numbers[5], 3, "unreachable entries come last");
}

#[test]
fn addresses_cover_two_data_centres() {
    let mut view = make_view();
    let mut document = EnvironmentDocument::clone(&view.environments[&"production".into()]);
    document.addresses.count = 2;
    view.environments
        .insert("production".into(), Arc::new(document));
    for caller in 0..50 {
        let numbers = entry_numbers(&request_addresses(&view, caller, true, &[]));
        assert!(numbers[0] < 2 && numbers[1] >= 2, "{numbers:?}");
    }
}
