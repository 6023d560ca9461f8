//! The choice of a replica's keeper.

#[path = "keeper/support.rs"]
#[expect(dead_code, reason = "shared by several test files")]
mod support;

use daisyhinge::prelude::*;
use daisyhinge::rendezvous::{find_keeper, list_keepers};
use daisyhinge::vocabulary::view::{ControlView, EntryState};
use support::*;

fn keeper(view: &ControlView, replica: &str) -> Option<VmName> {
    let keeper = find_keeper(view, &ENVIRONMENT.into(), &CENTRE.into(), &replica.into());
    keeper.map(|entry| entry.vm.clone())
}

#[test]
fn an_entry_that_comes_or_goes_moves_only_its_own_replicas() {
    let all: Vec<_> = (0..8)
        .map(|number| entry(&format!("vm-{number}"), 1))
        .collect();
    let before = view(1, &all[..7], &[], None);
    let after = view(2, &all, &[], None);
    let mut moved = 0;
    for number in 0..4_000 {
        let replica = format!("r{number}");
        let (former, next) = (keeper(&before, &replica), keeper(&after, &replica));
        if former != next {
            assert_eq!(next, Some("vm-7".into()));
            moved += 1;
        }
    }
    assert!(
        (350..650).contains(&moved),
        "{moved} of 4000 moved, 500 expected"
    );
}

#[test]
fn the_order_of_entries_does_not_matter() {
    let all: Vec<_> = (0..8)
        .map(|number| entry(&format!("vm-{number}"), 1))
        .collect();
    let mut turned = all.clone();
    turned.reverse();
    let (one, two) = (view(1, &all, &[], None), view(1, &turned, &[], None));
    for number in 0..500 {
        let replica = format!("r{number}");
        assert_eq!(keeper(&one, &replica), keeper(&two, &replica));
    }
}

#[test]
fn a_leaving_entry_and_one_of_another_environment_keep_nothing() {
    let mut entries = [entry("a", 1), entry("b", 1)];
    entries[0].state = EntryState::Leaving;
    entries[1].environment = "trial".into();
    assert_eq!(keeper(&view(1, &entries, &[], None), "r1"), None);
}

#[test]
fn an_entry_elsewhere_keeps_only_where_none_is_nearer() {
    let mut entries = vec![entry("near", 1), entry("far", 1)];
    entries[1].data_centre = "kano-1".into();
    for number in 0..100 {
        let chosen = keeper(&view(1, &entries, &[], None), &format!("r{number}"));
        assert_eq!(chosen, Some("near".into()));
    }
    let listed = |entries: &[_]| {
        let view = view(1, entries, &[], None);
        let keepers = list_keepers(&view, &ENVIRONMENT.into(), &CENTRE.into());
        keepers
            .iter()
            .map(|entry| entry.vm.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(listed(&entries), ["near"]);
    entries.remove(0);
    assert_eq!(
        keeper(&view(1, &entries, &[], None), "r1"),
        Some("far".into())
    );
    assert_eq!(listed(&entries), ["far"]);
}
