//! Voters without disks or sockets: partitions, lost disks, delayed replies and membership changes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::control::limits::LogLimits;
use daisyhinge::control::log::{HardState, LogEntry, LogPayload, LogSnapshot, StoredLog};
use daisyhinge::control::member::{MemberChange, VoterId, VoterMember, VoterSet};
use daisyhinge::control::message::{AppendAsk, AppendReply, LogEnd, VoterBody, VoterMessage};
use daisyhinge::control::voter::{VoterAction, VoterEvent, VoterMachine};
use daisyhinge::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(10);

fn make_id(place: usize) -> VoterId {
    VoterId {
        vm: VmName::from(format!("control-{place}")),
        number: 100 + place as u64,
    }
}

fn make_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000))
}

/// Three voters that exchange messages without delay; one of them may be partitioned from the
/// others.
struct VoterTrio {
    now: MonotonicTime,
    voters: Vec<VoterMachine>,
    cut: Option<usize>,
    /// A voter that receives no appends.
    deaf: Option<usize>,
    /// Messages to and from the partitioned voter, which some tests deliver later.
    held: Vec<VoterMessage>,
    confirmed: Vec<u64>,
    refused: Vec<ResultCode>,
    applied: Vec<usize>,
}

impl VoterTrio {
    fn new() -> Self {
        let now = MonotonicTime(1_000_000);
        let voters = (0..3).map(|place| {
            let rng = ChaCha8Rng::seed_from_u64(place);
            let id = make_id(usize::try_from(place).unwrap());
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
        let mut trio = Self {
            now,
            voters: voters.collect(),
            cut: None,
            deaf: None,
            held: Vec::new(),
            confirmed: Vec::new(),
            refused: Vec::new(),
            applied: vec![0; 3],
        };
        let members = (0..3).map(|place| VoterMember {
            id: make_id(place),
            address: make_address(),
            learner: false,
            replaces: None,
        });
        let set = VoterSet {
            members: members.collect(),
        };
        trio.step(0, VoterEvent::Found(set));
        trio.run(Duration::from_secs(3));
        trio
    }

    fn step(&mut self, place: usize, event: VoterEvent) {
        let mut actions = Vec::new();
        self.voters[place].step(self.now, event, &mut actions);
        self.voters[place].step(self.now, VoterEvent::Flush, &mut actions);
        for action in actions {
            match action {
                VoterAction::Send(message) => self.send(place, message),
                VoterAction::Save(save) => self.step(place, VoterEvent::Saved(save.sequence)),
                VoterAction::SaveSnapshot { sequence, .. } => {
                    self.step(place, VoterEvent::Saved(sequence));
                }
                VoterAction::Confirmed { ticket } => self.confirmed.push(ticket),
                VoterAction::Refused { code, .. } => self.refused.push(code),
                VoterAction::Apply(entry) if !entry.payload.command().is_empty() => {
                    self.applied[place] += 1;
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, message: VoterMessage) {
        let Some(to) = (0..3).find(|place| make_id(*place) == message.to) else {
            return;
        };
        if self.cut == Some(from) || self.cut == Some(to) {
            self.held.push(message);
            return;
        }
        if self.deaf == Some(to) && matches!(message.body, VoterBody::Append(_)) {
            return;
        }
        self.step(to, VoterEvent::Received(message));
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            (0..3).for_each(|place| self.step(place, VoterEvent::Tick));
        }
    }

    fn leader(&self) -> Option<usize> {
        (0..3).find(|place| self.cut != Some(*place) && self.voters[*place].is_leader())
    }

    fn propose(&mut self, place: usize) {
        let command = Bytes::from_static(b"x");
        self.step(place, VoterEvent::Propose { ticket: 1, command });
    }
}

#[test]
fn a_leader_cut_off_confirms_nothing_and_steps_down() {
    let mut trio = VoterTrio::new();
    let former = trio.leader().unwrap();
    let proven = trio.voters[former].confirmed_at().unwrap();
    trio.cut = Some(former);
    trio.propose(former);
    trio.step(former, VoterEvent::Confirm { ticket: 7 });
    trio.run(Duration::from_millis(300));
    // The former leader still considers itself leader, but its confirmation ages and no read is
    // answered.
    assert!(trio.voters[former].is_leader());
    assert_eq!(trio.voters[former].confirmed_at(), Some(proven));
    assert!(trio.confirmed.is_empty());
    trio.run(Duration::from_secs(3));
    assert!(!trio.voters[former].is_leader());
    assert_eq!(trio.refused, [ResultCode::NotLeader]);
    let next = trio.leader().unwrap();
    trio.propose(next);
    trio.run(Duration::from_secs(1));
    assert_eq!(trio.applied[next], 1);
    assert_eq!(trio.applied[former], 0);
}

#[test]
fn a_voter_that_was_cut_off_long_disturbs_no_election_when_it_is_back() {
    let mut trio = VoterTrio::new();
    let leader = trio.leader().unwrap();
    let away = (leader + 1) % 3;
    let term = trio.voters[leader].term();
    trio.cut = Some(away);
    for _ in 0..200 {
        trio.propose(leader);
        trio.run(Duration::from_millis(50));
    }
    trio.cut = None;
    trio.run(Duration::from_secs(5));
    assert_eq!(trio.leader(), Some(leader));
    assert!(trio.voters.iter().all(|voter| voter.term() == term));
    assert_eq!(trio.applied, [200; 3]);
    // Messages delayed by the partition must have no effect.
    for message in std::mem::take(&mut trio.held) {
        let to = (0..3).find(|place| make_id(*place) == message.to).unwrap();
        trio.step(to, VoterEvent::Received(message));
    }
    trio.run(Duration::from_secs(2));
    assert_eq!(trio.leader(), Some(leader));
    assert!(trio.voters.iter().all(|voter| voter.term() == term));
}

#[test]
fn a_voter_that_misses_the_leader_takes_the_lead_from_nobody_who_hears_it() {
    let mut trio = VoterTrio::new();
    let leader = trio.leader().unwrap();
    let term = trio.voters[leader].term();
    // Its log is as long as the others', so only their contact with the leader prevents an
    // election.
    trio.deaf = Some((leader + 1) % 3);
    trio.run(Duration::from_secs(5));
    trio.deaf = None;
    trio.run(Duration::from_secs(2));
    assert!(trio.voters[leader].is_leader());
    assert!(trio.voters.iter().all(|voter| voter.term() == term));
}

#[test]
fn a_proof_counts_from_when_the_question_left() {
    let mut trio = VoterTrio::new();
    let leader = trio.leader().unwrap();
    let mut asked = Vec::new();
    let now = trio.now;
    let mut actions = Vec::new();
    trio.voters[leader].step(now, VoterEvent::Confirm { ticket: 9 }, &mut actions);
    trio.voters[leader].step(now, VoterEvent::Flush, &mut actions);
    for action in actions {
        if let VoterAction::Send(message) = action {
            asked.push(message);
        }
    }
    // The replies arrive 400 ms later.
    trio.now = now + Duration::from_millis(400);
    for message in asked {
        let to = (0..3).find(|place| make_id(*place) == message.to).unwrap();
        trio.step(to, VoterEvent::Received(message));
    }
    assert_eq!(trio.confirmed, [9]);
    assert!(trio.voters[leader].confirmed_at().unwrap() <= now);
}

#[test]
fn a_voter_with_a_new_identity_answers_nothing_that_is_meant_for_its_former_one() {
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
fn a_vote_leaves_only_once_it_is_synced() {
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
            VoterAction::Send(_) => panic!("a vote left before it was synced"),
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

/// One voter of three whose log has entries of `terms` from index 2 on.
fn open_stored(now: MonotonicTime, terms: &[u64]) -> VoterMachine {
    let members = (0..3).map(|place| VoterMember {
        id: make_id(place),
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
    let mut first = Vec::new();
    VoterMachine::open(
        now,
        make_id(0),
        make_address(),
        limits,
        stored,
        rng,
        &mut first,
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
fn its_own_vote_counts_only_once_it_is_synced() {
    let mut now = MonotonicTime(5_000_000);
    let mut voter = open_stored(now, &[1]);
    now = now + Duration::from_secs(2);
    step_one(&mut voter, now, VoterEvent::Tick, false);
    let granted = VoterBody::PreVoteReply { granted: true };
    let stood = step_one(&mut voter, now, receive(1, 2, granted), false);
    assert_eq!(voter.term(), 2);
    let granted = VoterBody::VoteReply { granted: true };
    step_one(&mut voter, now, receive(1, 2, granted), false);
    assert!(
        !voter.is_leader(),
        "it leads by a vote that a crash would forget"
    );
    for action in stood {
        if let VoterAction::Save(save) = action {
            step_one(&mut voter, now, VoterEvent::Saved(save.sequence), false);
        }
    }
    assert!(voter.is_leader());
}

#[test]
fn an_entry_of_an_earlier_term_is_committed_only_with_one_of_the_leaders_own() {
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
    let ask = VoterBody::Append(AppendAsk {
        prev_index: 2,
        prev_term: 1,
        commit: 1,
        round: 5,
        operator_address: make_address(),
        entries: vec![entry],
    });
    let actions = step_one(&mut voter, now, receive(1, 2, ask), false);
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
fn a_new_member_that_cannot_be_reached_takes_no_quorum_from_the_others() {
    let mut trio = VoterTrio::new();
    let leader = trio.leader().unwrap();
    let member = VoterMember {
        id: make_id(9),
        address: make_address(),
        learner: true,
        replaces: None,
    };
    let event = VoterEvent::ChangeMembers {
        ticket: 1,
        change: MemberChange::AddLearner(member),
        command: Bytes::new(),
    };
    trio.step(leader, event);
    trio.run(Duration::from_secs(1));
    assert_eq!(trio.voters[leader].voters().members.len(), 4);
    trio.cut = Some((leader + 1) % 3);
    trio.propose(leader);
    trio.run(Duration::from_secs(1));
    assert_eq!(trio.applied[leader], 1);
}

#[test]
fn every_former_identity_of_a_vm_leaves_before_its_present_one_votes() {
    let make = |number: u64, learner: bool, replaces: Option<u64>| VoterMember {
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
        ..make(0, false, None)
    };
    let mut set = VoterSet {
        members: vec![
            make(1, false, None),
            make(2, true, Some(1)),
            make(3, true, Some(2)),
            other.clone(),
        ],
    };
    for former in [1, 2] {
        let found = set.find_replaced().unwrap();
        assert_eq!(found.number, former);
        set = set.apply_change(&MemberChange::Remove(found)).unwrap();
    }
    assert_eq!(set.find_replaced(), None);
    assert_eq!(set.members, [make(3, true, Some(2)), other]);
}
