//! Selection of the control process that an entry follows.

use std::net::SocketAddr;
use std::time::Duration;

use daisyhinge::dispatch::fleet::FleetLocation;
use daisyhinge::prelude::*;
use daisyhinge::upstream::ControlList;
use daisyhinge::vocabulary::registration::ControlLocation;

/// Data centres `a` and `b` are in one region, `c` in another.
fn open_list(seeds: &[u8], spread_key: u64) -> ControlList {
    let centre = |centre: &str, region: &str| (centre.into(), region.into());
    let location = FleetLocation {
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
    ControlList::open(location, seeds, spread_key)
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_740))
}

fn control_locations(members: &[(u8, &str)]) -> Vec<ControlLocation> {
    let location = |(number, centre): &(u8, &str)| ControlLocation {
        address: address(*number),
        data_centre: Some((*centre).into()),
    };
    members.iter().map(location).collect()
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::default() + Duration::from_millis(millis)
}

const ALL: [(u8, &str); 4] = [(1, "c"), (2, "b"), (3, "a"), (4, "c")];

#[test]
fn entry_moves_to_the_nearest_control_process() {
    let mut list = open_list(&[1], 7);
    assert_eq!(list.next_address(), Some(address(1)));
    list.set_followed(address(1));
    list.update_known(&control_locations(&ALL));
    list.mark_serving(at(0));
    assert_eq!(
        list.find_nearer(at(1_000)),
        None,
        "a control process is followed for a minimum time"
    );
    assert_eq!(list.find_nearer(at(2_000)), Some(address(3)));
    assert_eq!(
        list.find_nearer(at(2_500)),
        Some(address(2)),
        "the nearest control process did not serve"
    );
    assert_eq!(
        list.find_nearer(at(2_600)),
        None,
        "both nearer control processes were tried recently"
    );
    assert_eq!(list.find_nearer(at(3_100)), Some(address(3)));
    list.set_followed(address(3));
    list.mark_serving(at(3_200));
    assert_eq!(
        list.find_nearer(at(9_000)),
        None,
        "no control process is nearer"
    );
}

#[test]
fn entry_returns_to_the_nearest_control_process_after_failover() {
    let mut list = open_list(&[3], 7);
    list.set_followed(address(3));
    list.update_known(&control_locations(&ALL));
    list.mark_serving(at(0));
    assert!(!list.mark_failed(address(3)));
    assert_eq!(
        list.next_address(),
        Some(address(2)),
        "a control process in the same region comes first"
    );
    list.set_followed(address(2));
    list.mark_serving(at(100));
    assert_eq!(list.find_nearer(at(2_000)), Some(address(3)));
}

#[test]
fn all_control_processes_are_tried_in_turn() {
    let mut list = open_list(&[3], 7);
    list.set_followed(address(3));
    list.update_known(&control_locations(&ALL));
    let mut tried = Vec::new();
    for _ in 0..4 {
        let next = list.next_address().expect("a control process is known");
        tried.push(next);
        let all_failed = list.mark_failed(next);
        assert_eq!(all_failed, tried.len() == 4);
    }
    tried.sort_unstable();
    tried.dedup();
    assert_eq!(tried.len(), 4);
    assert_eq!(
        list.next_address(),
        Some(address(3)),
        "the nearest control process is tried again"
    );
}

#[test]
fn nearer_control_process_is_not_tried_before_the_current_one_serves() {
    let mut list = open_list(&[1], 7);
    list.set_followed(address(1));
    list.update_known(&control_locations(&ALL));
    assert_eq!(list.find_nearer(at(60_000)), None);
}

#[test]
fn entries_spread_over_equally_near_control_processes() {
    let mut counts = [0; 2];
    for entry in 0..200_u64 {
        let spread_key = entry.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut list = open_list(&[1], spread_key);
        list.update_known(&control_locations(&[(3, "a"), (5, "a"), (2, "b")]));
        match list.next_address() {
            Some(first) if first == address(3) => counts[0] += 1,
            Some(second) if second == address(5) => counts[1] += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(counts.iter().all(|count| *count > 40), "{counts:?}");
}

#[test]
fn unlisted_control_processes_are_removed_except_seeds() {
    let mut list = open_list(&[1], 7);
    list.update_known(&control_locations(&ALL));
    list.update_known(&control_locations(&[(2, "b")]));
    assert_eq!(list.next_address(), Some(address(2)));
    list.mark_failed(address(2));
    assert_eq!(
        list.next_address(),
        Some(address(1)),
        "the seed is retained"
    );
    list.update_known(&[]);
    assert_eq!(
        list.next_address(),
        Some(address(1)),
        "an empty list changes nothing"
    );
}
