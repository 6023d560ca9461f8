//! Voters without disks or sockets: partitions, lost disks, delayed replies and membership changes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::control::limits::LogLimits;
use daisyhinge::control::log::{HardState, LogEntry, LogPayload, LogSnapshot, StoredLog};
use daisyhinge::control::member::{MemberChange, VoterId, VoterMember, VoterSet};
use daisyhinge::control::message::{AppendReply, AppendRequest, LogEnd, VoterBody, VoterMessage};
use daisyhinge::control::voter::{VoterAction, VoterEvent, VoterMachine};
use daisyhinge::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(10);

fn make_id(node: usize) -> VoterId {
    VoterId {
        vm: VmName::from(format!("control-{node}")),
        number: 100 + node as u64,
    }
}

fn make_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000))
}

/// Three voters that exchange messages without delay; one of them may be partitioned from the
/// others.
struct TestCluster {
    now: MonotonicTime,
    voters: Vec<VoterMachine>,
    partitioned: Option<usize>,
    /// A voter that receives no appends.
    missing_appends: Option<usize>,
    /// Messages to and from the partitioned voter, which some tests deliver later.
    delayed: Vec<VoterMessage>,
    confirmed: Vec<u64>,
    refused: Vec<ResultCode>,
    applied: Vec<usize>,
}

impl TestCluster {
    fn new() -> Self {
        let now = MonotonicTime(1_000_000);
        let voters = (0..3).map(|node| {
            let rng = ChaCha8Rng::seed_from_u64(node);
            let id = make_id(usize::try_from(node).unwrap());
            let limits = LogLimits::default();
            let stored = StoredLog::default();
            VoterMachine::open(
                now,
                id,
                make_address(),
                limits,
                stored,
                rng,
                &mut Vec::new(),
            )
        });
        let mut cluster = Self {
            now,
            voters: voters.collect(),
            partitioned: None,
            missing_appends: None,
            delayed: Vec::new(),
            confirmed: Vec::new(),
            refused: Vec::new(),
            applied: vec![0; 3],
        };
        let members = (0..3).map(|node| VoterMember {
            id: make_id(node),
            address: make_address(),
            learner: false,
            replaces: None,
        });
        let set = VoterSet {
            members: members.collect(),
        };
        cluster.step(0, VoterEvent::Bootstrap(set));
        cluster.run(Duration::from_secs(3));
        cluster
    }

    fn step(&mut self, node: usize, event: VoterEvent) {
        let mut actions = Vec::new();
        self.voters[node].step(self.now, event, &mut actions);
        self.voters[node].step(self.now, VoterEvent::Flush, &mut actions);
        for action in actions {
            match action {
                VoterAction::Send(message) => self.send(node, message),
                VoterAction::Save(save) => self.step(node, VoterEvent::Saved(save.sequence)),
                VoterAction::SaveSnapshot { sequence, .. } => {
                    self.step(node, VoterEvent::Saved(sequence));
                }
                VoterAction::Confirmed { req_id } => self.confirmed.push(req_id),
                VoterAction::Refused { code, .. } => self.refused.push(code),
                VoterAction::Apply(entry) if !entry.payload.command().is_empty() => {
                    self.applied[node] += 1;
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, message: VoterMessage) {
        let Some(to) = (0..3).find(|node| make_id(*node) == message.to) else {
            return;
        };
        if self.partitioned == Some(from) || self.partitioned == Some(to) {
            self.delayed.push(message);
            return;
        }
        if self.missing_appends == Some(to) && matches!(message.body, VoterBody::Append(_)) {
            return;
        }
        self.step(to, VoterEvent::Received(message));
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            (0..3).for_each(|node| self.step(node, VoterEvent::Tick));
        }
    }

    fn leader(&self) -> Option<usize> {
        (0..3).find(|node| self.partitioned != Some(*node) && self.voters[*node].is_leader())
    }

    fn propose(&mut self, node: usize) {
        let command = Bytes::from_static(b"x");
        self.step(node, VoterEvent::Propose { req_id: 1, command });
    }
}

#[test]
fn a_partitioned_leader_confirms_nothing_and_steps_down() {
    let mut cluster = TestCluster::new();
    let former = cluster.leader().unwrap();
    let confirmed_before = cluster.voters[former].confirmed_at().unwrap();
    cluster.partitioned = Some(former);
    cluster.propose(former);
    cluster.step(former, VoterEvent::Confirm { req_id: 7 });
    cluster.run(Duration::from_millis(300));
    // The former leader still considers itself leader, but its confirmation ages and no read is
    // answered.
    assert!(cluster.voters[former].is_leader());
    assert_eq!(
        cluster.voters[former].confirmed_at(),
        Some(confirmed_before)
    );
    assert!(cluster.confirmed.is_empty());
    cluster.run(Duration::from_secs(3));
    assert!(!cluster.voters[former].is_leader());
    assert_eq!(cluster.refused, [ResultCode::NotLeader]);
    let next = cluster.leader().unwrap();
    cluster.propose(next);
    cluster.run(Duration::from_secs(1));
    assert_eq!(cluster.applied[next], 1);
    assert_eq!(cluster.applied[former], 0);
}

#[test]
fn a_voter_that_returns_after_a_long_partition_causes_no_election() {
    let mut cluster = TestCluster::new();
    let leader = cluster.leader().unwrap();
    let returning = (leader + 1) % 3;
    let term = cluster.voters[leader].term();
    cluster.partitioned = Some(returning);
    for _ in 0..200 {
        cluster.propose(leader);
        cluster.run(Duration::from_millis(50));
    }
    cluster.partitioned = None;
    cluster.run(Duration::from_secs(5));
    assert_eq!(cluster.leader(), Some(leader));
    assert!(cluster.voters.iter().all(|voter| voter.term() == term));
    assert_eq!(cluster.applied, [200; 3]);
    // Messages delayed by the partition must have no effect.
    for message in std::mem::take(&mut cluster.delayed) {
        let to = (0..3).find(|node| make_id(*node) == message.to).unwrap();
        cluster.step(to, VoterEvent::Received(message));
    }
    cluster.run(Duration::from_secs(2));
    assert_eq!(cluster.leader(), Some(leader));
    assert!(cluster.voters.iter().all(|voter| voter.term() == term));
}

#[test]
fn a_voter_without_contact_to_the_leader_does_not_depose_it() {
    let mut cluster = TestCluster::new();
    let leader = cluster.leader().unwrap();
    let term = cluster.voters[leader].term();
    // Its log is as long as the others', so only their contact with the leader prevents an
    // election.
    cluster.missing_appends = Some((leader + 1) % 3);
    cluster.run(Duration::from_secs(5));
    cluster.missing_appends = None;
    cluster.run(Duration::from_secs(2));
    assert!(cluster.voters[leader].is_leader());
    assert!(cluster.voters.iter().all(|voter| voter.term() == term));
}

#[test]
fn a_confirmation_counts_from_the_time_its_request_was_sent() {
    let mut cluster = TestCluster::new();
    let leader = cluster.leader().unwrap();
    let mut requests = Vec::new();
    let now = cluster.now;
    let mut actions = Vec::new();
    cluster.voters[leader].step(now, VoterEvent::Confirm { req_id: 9 }, &mut actions);
    cluster.voters[leader].step(now, VoterEvent::Flush, &mut actions);
    for action in actions {
        if let VoterAction::Send(message) = action {
            requests.push(message);
        }
    }
    // The replies arrive 400 ms later.
    cluster.now = now + Duration::from_millis(400);
    for message in requests {
        let to = (0..3).find(|node| make_id(*node) == message.to).unwrap();
        cluster.step(to, VoterEvent::Received(message));
    }
    assert_eq!(cluster.confirmed, [9]);
    assert!(cluster.voters[leader].confirmed_at().unwrap() <= now);
}

#[test]
fn a_voter_ignores_messages_for_its_former_identity() {
    let now = MonotonicTime(5_000_000);
    let rng = ChaCha8Rng::seed_from_u64(1);
    let id = VoterId {
        number: 999,
        ..make_id(0)
    };
    let limits = LogLimits::default();
    let stored = StoredLog::default();
    let mut actions = Vec::new();
    let mut voter = VoterMachine::open(
        now,
        id.clone(),
        make_address(),
        limits,
        stored,
        rng,
        &mut actions,
    );
    let end = LogEnd { term: 9, index: 9 };
    for body in [VoterBody::PreVote(end), VoterBody::Vote(end)] {
        let message = VoterMessage {
            from: make_id(1),
            to: make_id(0),
            term: 9,
            body,
        };
        voter.step(now, VoterEvent::Received(message.clone()), &mut actions);
        voter.step(now, VoterEvent::Flush, &mut actions);
        assert!(actions.is_empty());
        assert_eq!(voter.term(), 0);
        // The same message, sent to the current identity, is answered.
        let message = VoterMessage {
            to: id.clone(),
            ..message
        };
        let mut other = Vec::new();
        voter.step(now, VoterEvent::Received(message), &mut other);
        voter.step(now, VoterEvent::Saved(voter.term().min(1)), &mut other);
        assert!(
            other
                .iter()
                .any(|action| matches!(action, VoterAction::Send(_)))
        );
    }
}

#[test]
fn a_vote_is_sent_only_once_it_is_synced() {
    let now = MonotonicTime(5_000_000);
    let rng = ChaCha8Rng::seed_from_u64(1);
    let limits = LogLimits::default();
    let stored = StoredLog::default();
    let mut actions = Vec::new();
    let mut voter = VoterMachine::open(
        now,
        make_id(0),
        make_address(),
        limits,
        stored,
        rng,
        &mut actions,
    );
    let message = VoterMessage {
        from: make_id(1),
        to: make_id(0),
        term: 9,
        body: VoterBody::Vote(LogEnd { term: 9, index: 9 }),
    };
    voter.step(now, VoterEvent::Received(message), &mut actions);
    voter.step(now, VoterEvent::Flush, &mut actions);
    let saves: Vec<u64> = actions
        .iter()
        .filter_map(|action| match action {
            VoterAction::Save(save) => Some(save.sequence),
            VoterAction::Send(_) => panic!("a vote was sent before it was synced"),
            _ => None,
        })
        .collect();
    actions.clear();
    voter.step(now, VoterEvent::Saved(saves[0]), &mut actions);
    assert!(matches!(
        &*actions,
        [VoterAction::Send(VoterMessage {
            body: VoterBody::VoteReply { granted: true },
            ..
        })]
    ));
}

/// Opens one voter of three whose log has entries of `terms` from index 2 on.
fn open_stored(now: MonotonicTime, terms: &[u64]) -> VoterMachine {
    let members = (0..3).map(|node| VoterMember {
        id: make_id(node),
        address: make_address(),
        learner: false,
        replaces: None,
    });
    let entries = terms.iter().zip(2..).map(|(term, index)| LogEntry {
        index,
        term: *term,
        payload: LogPayload::Command(Bytes::from_static(b"x")),
    });
    let term = terms.last().copied().unwrap_or(1);
    let stored = StoredLog {
        hard: HardState { term, vote: None },
        snapshot: LogSnapshot {
            index: 1,
            term: 1,
            voters: VoterSet {
                members: members.collect(),
            },
            bytes: Bytes::new(),
        },
        entries: entries.collect(),
    };
    let rng = ChaCha8Rng::seed_from_u64(1);
    let limits = LogLimits::default();
    let mut opening_actions = Vec::new();
    VoterMachine::open(
        now,
        make_id(0),
        make_address(),
        limits,
        stored,
        rng,
        &mut opening_actions,
    )
}

/// Steps and flushes a voter. If `synced`, its saves complete at once.
fn step_one(
    voter: &mut VoterMachine,
    now: MonotonicTime,
    event: VoterEvent,
    synced: bool,
) -> Vec<VoterAction> {
    let mut actions = Vec::new();
    voter.step(now, event, &mut actions);
    voter.step(now, VoterEvent::Flush, &mut actions);
    let saves = actions.iter().filter_map(|action| match action {
        VoterAction::Save(save) if synced => Some(save.sequence),
        _ => None,
    });
    for sequence in saves.collect::<Vec<_>>() {
        actions.extend(step_one(voter, now, VoterEvent::Saved(sequence), true));
    }
    actions
}

fn receive(from: usize, term: u64, body: VoterBody) -> VoterEvent {
    VoterEvent::Received(VoterMessage {
        from: make_id(from),
        to: make_id(0),
        term,
        body,
    })
}

#[test]
fn a_candidates_own_vote_counts_only_once_it_is_synced() {
    let mut now = MonotonicTime(5_000_000);
    let mut voter = open_stored(now, &[1]);
    now = now + Duration::from_secs(2);
    step_one(&mut voter, now, VoterEvent::Tick, false);
    let granted = VoterBody::PreVoteReply { granted: true };
    let election_actions = step_one(&mut voter, now, receive(1, 2, granted), false);
    assert_eq!(voter.term(), 2);
    let granted = VoterBody::VoteReply { granted: true };
    step_one(&mut voter, now, receive(1, 2, granted), false);
    assert!(
        !voter.is_leader(),
        "became leader with a vote that a crash would lose"
    );
    for action in election_actions {
        if let VoterAction::Save(save) = action {
            step_one(&mut voter, now, VoterEvent::Saved(save.sequence), false);
        }
    }
    assert!(voter.is_leader());
}

#[test]
fn an_entry_of_an_earlier_term_is_committed_only_with_an_entry_of_the_leaders_term() {
    let mut now = MonotonicTime(5_000_000);
    let mut voter = open_stored(now, &[1, 2]);
    now = now + Duration::from_secs(2);
    step_one(&mut voter, now, VoterEvent::Tick, true);
    step_one(
        &mut voter,
        now,
        receive(1, 3, VoterBody::PreVoteReply { granted: true }),
        true,
    );
    step_one(
        &mut voter,
        now,
        receive(1, 3, VoterBody::VoteReply { granted: true }),
        true,
    );
    assert!(voter.is_leader());
    let reply = |matched| {
        VoterBody::AppendReply(AppendReply {
            round: 1,
            accepted: true,
            matched,
        })
    };
    // A quorum has the entry of term 2, but a voter with a longer log of term 2 could still win an
    // election.
    step_one(&mut voter, now, receive(1, 3, reply(3)), true);
    assert_eq!(voter.commit(), 1);
    step_one(&mut voter, now, receive(1, 3, reply(4)), true);
    assert_eq!(voter.commit(), 4);
}

#[test]
fn entries_that_replace_synced_ones_are_acknowledged_only_once_they_are_synced() {
    let now = MonotonicTime(5_000_000);
    let mut voter = open_stored(now, &[1, 1, 1, 1]);
    let entry = LogEntry {
        index: 3,
        term: 2,
        payload: LogPayload::Blank,
    };
    let request = VoterBody::Append(AppendRequest {
        prev_index: 2,
        prev_term: 1,
        commit: 1,
        round: 5,
        operator_address: make_address(),
        entries: vec![entry],
    });
    let actions = step_one(&mut voter, now, receive(1, 2, request), false);
    let find_matched = |actions: &[VoterAction]| {
        let replies = actions.iter().filter_map(|action| match action {
            VoterAction::Send(VoterMessage {
                body: VoterBody::AppendReply(reply),
                ..
            }) => Some(reply.matched),
            _ => None,
        });
        replies.max()
    };
    let mut before = find_matched(&actions);
    let saves: Vec<u64> = actions
        .iter()
        .filter_map(|action| match action {
            VoterAction::Save(save) => Some(save.sequence),
            _ => None,
        })
        .collect();
    // The term is synced first, which allows the reply to be sent; the entry is not synced yet.
    let (last, earlier) = saves.split_last().unwrap();
    for sequence in earlier {
        let more = step_one(&mut voter, now, VoterEvent::Saved(*sequence), false);
        before = before.max(find_matched(&more));
    }
    assert_eq!(before, Some(2));
    let after = step_one(&mut voter, now, VoterEvent::Saved(*last), false);
    assert_eq!(find_matched(&after), Some(3));
}

#[test]
fn an_unreachable_new_member_does_not_cost_the_others_their_quorum() {
    let mut cluster = TestCluster::new();
    let leader = cluster.leader().unwrap();
    let member = VoterMember {
        id: make_id(9),
        address: make_address(),
        learner: true,
        replaces: None,
    };
    let event = VoterEvent::ChangeMembers {
        req_id: 1,
        change: MemberChange::AddLearner(member),
        command: Bytes::new(),
    };
    cluster.step(leader, event);
    cluster.run(Duration::from_secs(1));
    assert_eq!(cluster.voters[leader].voters().members.len(), 4);
    cluster.partitioned = Some((leader + 1) % 3);
    cluster.propose(leader);
    cluster.run(Duration::from_secs(1));
    assert_eq!(cluster.applied[leader], 1);
}

#[test]
fn every_former_identity_of_a_vm_is_removed_before_its_current_one_votes() {
    let make_member = |number: u64, learner: bool, replaces: Option<u64>| VoterMember {
        id: VoterId {
            number,
            ..make_id(0)
        },
        address: make_address(),
        learner,
        replaces,
    };
    // The VM lost its disk again while its second identity was still a learner.
    let other = VoterMember {
        id: make_id(1),
        ..make_member(0, false, None)
    };
    let mut set = VoterSet {
        members: vec![
            make_member(1, false, None),
            make_member(2, true, Some(1)),
            make_member(3, true, Some(2)),
            other.clone(),
        ],
    };
    for former in [1, 2] {
        let found = set.find_replaced().unwrap();
        assert_eq!(found.number, former);
        set = set.apply_change(&MemberChange::Remove(found)).unwrap();
    }
    assert_eq!(set.find_replaced(), None);
    assert_eq!(set.members, [make_member(3, true, Some(2)), other]);
}
