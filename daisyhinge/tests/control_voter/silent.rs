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

/// A member that is silent for less than the timeout may return, and counts until then.
#[test]
fn no_member_is_removed_while_another_one_is_behind() {
    let (mut cluster, leader) = open_cluster(5);
    cluster.lost.push((leader + 1) % 5);
    cluster.run(Duration::from_secs(6));
    cluster.missing_appends = Some((leader + 2) % 5);
    cluster.run(Duration::from_secs(10));
    assert_eq!(list_voters(&cluster, leader).len(), 5);
    cluster.missing_appends = None;
    cluster.run(Duration::from_secs(2));
    assert_eq!(list_voters(&cluster, leader).len(), 4);
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
