//! Selection of a replica's keeper.

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
fn added_entry_takes_only_its_own_replicas() {
    let all: Vec<_> = (0..8)
        .map(|number| entry(&format!("vm-{number}"), 1))
        .collect();
    let before = view(1, &all[..7], &[], None);
    let after = view(2, &all, &[], None);
    let mut moved_replicas = 0;
    for number in 0..4_000 {
        let replica = format!("r{number}");
        let (previous, current) = (keeper(&before, &replica), keeper(&after, &replica));
        if previous != current {
            assert_eq!(current, Some("vm-7".into()));
            moved_replicas += 1;
        }
    }
    assert!(
        (350..650).contains(&moved_replicas),
        "{moved_replicas} of 4000 replicas moved; expected about 500"
    );
}

#[test]
fn keeper_does_not_depend_on_entry_order() {
    let all: Vec<_> = (0..8)
        .map(|number| entry(&format!("vm-{number}"), 1))
        .collect();
    let mut reversed = all.clone();
    reversed.reverse();
    let (view_in_order, view_reversed) = (view(1, &all, &[], None), view(1, &reversed, &[], None));
    for number in 0..500 {
        let replica = format!("r{number}");
        assert_eq!(
            keeper(&view_in_order, &replica),
            keeper(&view_reversed, &replica)
        );
    }
}

#[test]
fn leaving_entries_and_entries_of_other_environments_keep_no_replicas() {
    let mut entries = [entry("a", 1), entry("b", 1)];
    entries[0].state = EntryState::Leaving;
    entries[1].environment = "trial".into();
    assert_eq!(keeper(&view(1, &entries, &[], None), "r1"), None);
}

#[test]
fn remote_entry_keeps_replicas_only_without_a_local_one() {
    let mut entries = vec![entry("near", 1), entry("far", 1)];
    entries[1].data_centre = "kano-1".into();
    for number in 0..100 {
        let chosen = keeper(&view(1, &entries, &[], None), &format!("r{number}"));
        assert_eq!(chosen, Some("near".into()));
    }
    let keeper_names = |entries: &[_]| {
        let view = view(1, entries, &[], None);
        let keepers = list_keepers(&view, &ENVIRONMENT.into(), &CENTRE.into());
        keepers
            .iter()
            .map(|entry| entry.vm.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(keeper_names(&entries), ["near"]);
    entries.remove(0);
    assert_eq!(
        keeper(&view(1, &entries, &[], None), "r1"),
        Some("far".into())
    );
    assert_eq!(keeper_names(&entries), ["far"]);
}
