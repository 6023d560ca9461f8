//! Removal of members that are silent.

use std::time::Duration;

use bytes::Bytes;
use daisyhinge::control::limits::LogLimits;
use daisyhinge::control::member::{MemberChange, VoterMember};
use daisyhinge::control::voter::VoterEvent;

use crate::fixture::*;

const SILENT_TIMEOUT: Duration = Duration::from_secs(12);

fn open_cluster(count: usize) -> (TestCluster, usize) {
    let limits = LogLimits {
        silent_timeout: Some(SILENT_TIMEOUT),
        ..LogLimits::default()
    };
    let cluster = TestCluster::open(count, limits);
    let leader = cluster.leader().unwrap();
    (cluster, leader)
}

fn list_voters(cluster: &TestCluster, node: usize) -> Vec<usize> {
    let voters = cluster.voters[node].voters().voters();
    let numbers = voters.map(|member| usize::try_from(member.id.number - 100).unwrap());
    numbers.collect()
}

/// Each of two lost members kept the other one in the group.
#[test]
fn two_members_that_are_lost_one_after_the_other_are_both_removed() {
    let (mut cluster, leader) = open_cluster(5);
    cluster.lost.push((leader + 1) % 5);
    cluster.run(Duration::from_secs(8));
    cluster.lost.push((leader + 2) % 5);
    cluster.run(Duration::from_secs(14));
    let left: Vec<usize> = (0..5).filter(|node| !cluster.lost.contains(node)).collect();
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(list_voters(&cluster, leader), left);
    cluster.propose(leader);
    cluster.run(Duration::from_secs(1));
    assert!(left.iter().all(|node| cluster.applied[*node] == 1));
}

/// Without the limit, the loss of one more VM would end the group.
#[test]
fn three_voters_are_kept_although_some_are_silent() {
    let (mut cluster, leader) = open_cluster(4);
    cluster.lost.push((leader + 1) % 4);
    cluster.run(Duration::from_secs(14));
    assert_eq!(list_voters(&cluster, leader).len(), 3);
    cluster.lost.push((leader + 2) % 4);
    cluster.run(Duration::from_secs(30));
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(list_voters(&cluster, leader).len(), 3);
}

/// The member that was lost last kept all the others in the group, until no quorum was left.
#[test]
fn members_that_are_lost_every_few_seconds_do_not_cost_the_others_their_quorum() {
    let (mut cluster, leader) = open_cluster(8);
    for number in 1..=5 {
        cluster.lost.push((leader + number) % 8);
        cluster.run(Duration::from_secs(4));
        assert_eq!(cluster.leader(), Some(leader), "after {number} losses");
        cluster.propose(leader);
        cluster.run(Duration::from_secs(1));
        assert_eq!(cluster.applied[leader], number);
    }
    cluster.run(SILENT_TIMEOUT);
    assert_eq!(list_voters(&cluster, leader).len(), 3);
}

/// The restart of a VM that is not replaced costs no change of members.
#[test]
fn a_voter_that_is_silent_for_a_short_time_stays_in_the_group() {
    let (mut cluster, leader) = open_cluster(5);
    cluster.lost.push((leader + 1) % 5);
    cluster.run(Duration::from_secs(11));
    assert_eq!(list_voters(&cluster, leader).len(), 5);
}

/// A member that does not answer for less than the timeout kept a lost one in the group.
#[test]
fn a_lost_member_is_removed_while_another_one_is_behind_that_stays() {
    let (mut cluster, leader) = open_cluster(5);
    let (lost, behind) = ((leader + 1) % 5, (leader + 2) % 5);
    cluster.lost.push(lost);
    cluster.run(Duration::from_secs(10));
    cluster.missing_appends = Some(behind);
    cluster.propose(leader);
    cluster.run(Duration::from_millis(2_500));
    let left: Vec<usize> = (0..5).filter(|node| *node != lost).collect();
    assert_eq!(list_voters(&cluster, leader), left);
    assert_eq!(cluster.applied[behind], 0);
    cluster.missing_appends = None;
    cluster.run(Duration::from_secs(2));
    assert_eq!(list_voters(&cluster, leader), left);
    assert_eq!(cluster.applied[behind], 1);
}

/// A silent voter that must stay kept a silent learner in the group.
#[test]
fn a_silent_learner_is_removed_although_a_silent_voter_is_kept() {
    let (mut cluster, leader) = open_cluster(3);
    let learner = VoterMember {
        id: make_id(9),
        address: make_address(),
        learner: true,
        replaces: None,
    };
    let event = VoterEvent::ChangeMembers {
        req_id: 1,
        change: MemberChange::AddLearner(learner),
        command: Bytes::new(),
    };
    cluster.step(leader, event);
    cluster.lost.push((leader + 1) % 3);
    cluster.run(Duration::from_secs(14));
    assert_eq!(cluster.voters[leader].voters().members.len(), 3);
    assert_eq!(list_voters(&cluster, leader).len(), 3);
}

/// Two VMs that were stopped for 4 s were no longer voters when two others were stopped.
#[test]
fn three_of_five_vms_serve_while_two_others_are_stopped_in_turn() {
    let (mut cluster, leader) = open_cluster(5);
    let at = |number: usize| (leader + number) % 5;
    cluster.lost = vec![at(1), at(2)];
    cluster.run(Duration::from_secs(4));
    cluster.lost = vec![at(3), at(4)];
    cluster.run(Duration::from_secs(3));
    assert!(
        cluster.leader().is_some(),
        "no leader among three of five VMs"
    );
}
