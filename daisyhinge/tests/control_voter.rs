//! Voters among one another, without disks or sockets: cut off, back again, disk lost.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::control::limits::LogLimits;
use daisyhinge::control::log::StoredLog;
use daisyhinge::control::member::{VoterId, VoterMember, VoterSet};
use daisyhinge::control::message::{LogEnd, VoterBody, VoterMessage};
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

/// Voters that reach one another at once, but for one that may be cut off.
struct VoterTrio {
    now: MonotonicTime,
    voters: Vec<VoterMachine>,
    cut: Option<usize>,
    /// Messages to and from the voter that is cut off are lost, or held for later.
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
        let to = (0..3).find(|place| make_id(*place) == message.to).unwrap();
        if self.cut == Some(from) || self.cut == Some(to) {
            self.held.push(message);
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
    // It still believes that it leads, but its proof grows old and no read is answered.
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
    // What it sent while it was cut off comes late: it alters nothing.
    for message in std::mem::take(&mut trio.held) {
        let to = (0..3).find(|place| make_id(*place) == message.to).unwrap();
        trio.step(to, VoterEvent::Received(message));
    }
    trio.run(Duration::from_secs(2));
    assert_eq!(trio.leader(), Some(leader));
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
    // The answers come 400 ms later.
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
        // Meant for itself, the same is answered.
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
