//! Which control process an entry follows.

use std::net::SocketAddr;
use std::time::Duration;

use daisyhinge::dispatch::fleet::FleetPlace;
use daisyhinge::prelude::*;
use daisyhinge::upstream::ControlList;
use daisyhinge::vocabulary::registration::ControlPlace;

/// Data centres `a` and `b` are in one region, `c` in another.
fn open_list(seeds: &[u8], spread: u64) -> ControlList {
    let centre = |centre: &str, region: &str| (centre.into(), region.into());
    let place = FleetPlace {
        vm: "entry-1".into(),
        data_centre: "a".into(),
        regions: [
            centre("a", "north"),
            centre("b", "north"),
            centre("c", "south"),
        ]
        .into(),
    };
    let seeds = seeds.iter().map(|number| address(*number)).collect();
    ControlList::open(place, seeds, spread)
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_740))
}

fn listed(members: &[(u8, &str)]) -> Vec<ControlPlace> {
    let place = |(number, centre): &(u8, &str)| ControlPlace {
        address: address(*number),
        data_centre: Some((*centre).into()),
    };
    members.iter().map(place).collect()
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::default() + Duration::from_millis(millis)
}

const ALL: [(u8, &str); 4] = [(1, "c"), (2, "b"), (3, "a"), (4, "c")];

#[test]
fn an_entry_that_started_far_away_goes_to_the_nearest() {
    let mut list = open_list(&[1], 7);
    assert_eq!(list.next_address(), Some(address(1)));
    list.note_followed(address(1));
    list.take_listed(&listed(&ALL));
    list.note_served(at(0));
    assert_eq!(list.find_nearer(at(1_000)), None, "it stays for a while");
    assert_eq!(list.find_nearer(at(2_000)), Some(address(3)));
    assert_eq!(
        list.find_nearer(at(2_500)),
        Some(address(2)),
        "the first did not serve"
    );
    assert_eq!(list.find_nearer(at(2_600)), None, "both were just tried");
    assert_eq!(list.find_nearer(at(3_100)), Some(address(3)));
    list.note_followed(address(3));
    list.note_served(at(3_200));
    assert_eq!(list.find_nearer(at(9_000)), None, "there is no nearer one");
}

#[test]
fn the_nearest_is_left_and_gone_back_to() {
    let mut list = open_list(&[3], 7);
    list.note_followed(address(3));
    list.take_listed(&listed(&ALL));
    list.note_served(at(0));
    assert!(!list.note_left(address(3)));
    assert_eq!(
        list.next_address(),
        Some(address(2)),
        "the same region goes first"
    );
    list.note_followed(address(2));
    list.note_served(at(100));
    assert_eq!(list.find_nearer(at(2_000)), Some(address(3)));
}

#[test]
fn where_the_nearest_fail_others_are_tried_each_in_turn() {
    let mut list = open_list(&[3], 7);
    list.note_followed(address(3));
    list.take_listed(&listed(&ALL));
    let mut tried = Vec::new();
    for _ in 0..4 {
        let next = list.next_address().expect("one is known");
        tried.push(next);
        let none_left = list.note_left(next);
        assert_eq!(none_left, tried.len() == 4);
    }
    tried.sort_unstable();
    tried.dedup();
    assert_eq!(tried.len(), 4);
    assert_eq!(
        list.next_address(),
        Some(address(3)),
        "and from the start again"
    );
}

#[test]
fn one_that_does_not_serve_is_no_ground_to_look_for_a_nearer_one() {
    let mut list = open_list(&[1], 7);
    list.note_followed(address(1));
    list.take_listed(&listed(&ALL));
    assert_eq!(list.find_nearer(at(60_000)), None);
}

#[test]
fn entries_spread_over_those_that_are_as_near() {
    let mut counts = [0; 2];
    for entry in 0..200_u64 {
        let spread = entry.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut list = open_list(&[1], spread);
        list.take_listed(&listed(&[(3, "a"), (5, "a"), (2, "b")]));
        match list.next_address() {
            Some(first) if first == address(3) => counts[0] += 1,
            Some(second) if second == address(5) => counts[1] += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(counts.iter().all(|count| *count > 40), "{counts:?}");
}

#[test]
fn those_that_are_no_longer_told_of_are_forgotten_but_for_seeds() {
    let mut list = open_list(&[1], 7);
    list.take_listed(&listed(&ALL));
    list.take_listed(&listed(&[(2, "b")]));
    assert_eq!(list.next_address(), Some(address(2)));
    list.note_left(address(2));
    assert_eq!(list.next_address(), Some(address(1)), "the seed");
    list.take_listed(&[]);
    assert_eq!(
        list.next_address(),
        Some(address(1)),
        "an empty list says nothing"
    );
}
