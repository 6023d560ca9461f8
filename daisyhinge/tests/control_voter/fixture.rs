//! Voters without disks or sockets, in one process.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::control::limits::LogLimits;
use daisyhinge::control::log::{HardState, LogEntry, LogPayload, LogSnapshot, StoredLog};
use daisyhinge::control::member::{VoterId, VoterMember, VoterSet};
use daisyhinge::control::message::{VoterBody, VoterMessage};
use daisyhinge::control::voter::{VoterAction, VoterEvent, VoterMachine};
use daisyhinge::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub const STEP: Duration = Duration::from_millis(10);

pub fn make_id(node: usize) -> VoterId {
    VoterId {
        vm: VmName::from(format!("control-{node}")),
        number: 100 + node as u64,
    }
}

pub fn make_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000))
}

/// Three or more voters that exchange messages without delay; one of them may be partitioned from
/// the others.
pub struct TestCluster {
    pub now: MonotonicTime,
    pub voters: Vec<VoterMachine>,
    pub partitioned: Option<usize>,
    /// A voter that receives no appends.
    pub missing_appends: Option<usize>,
    /// Voters whose VMs are gone.
    pub lost: Vec<usize>,
    /// Messages to and from the partitioned voter, which some tests deliver later.
    pub delayed: Vec<VoterMessage>,
    pub confirmed: Vec<u64>,
    pub refused: Vec<ResultCode>,
    pub applied: Vec<usize>,
}

impl TestCluster {
    pub fn new() -> Self {
        Self::open(3, LogLimits::default())
    }

    pub fn open(count: usize, limits: LogLimits) -> Self {
        let now = MonotonicTime(1_000_000);
        let voters = (0..count).map(|node| {
            let rng = ChaCha8Rng::seed_from_u64(node as u64);
            let id = make_id(node);
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
            lost: Vec::new(),
            delayed: Vec::new(),
            confirmed: Vec::new(),
            refused: Vec::new(),
            applied: vec![0; count],
        };
        let members = (0..count).map(|node| VoterMember {
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

    pub fn step(&mut self, node: usize, event: VoterEvent) {
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

    pub fn send(&mut self, from: usize, message: VoterMessage) {
        let Some(to) = (0..self.voters.len()).find(|node| make_id(*node) == message.to) else {
            return;
        };
        if self.lost.contains(&from) || self.lost.contains(&to) {
            return;
        }
        if self.partitioned == Some(from) || self.partitioned == Some(to) {
            self.delayed.push(message);
            return;
        }
        if self.missing_appends == Some(to) && matches!(message.body, VoterBody::Append(_)) {
            return;
        }
        self.step(to, VoterEvent::Received(message));
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            (0..self.voters.len()).for_each(|node| self.step(node, VoterEvent::Tick));
        }
    }

    pub fn leader(&self) -> Option<usize> {
        let is_reachable =
            |node: usize| self.partitioned != Some(node) && !self.lost.contains(&node);
        (0..self.voters.len()).find(|node| is_reachable(*node) && self.voters[*node].is_leader())
    }

    pub fn propose(&mut self, node: usize) {
        let command = Bytes::from_static(b"x");
        self.step(node, VoterEvent::Propose { req_id: 1, command });
    }
}

/// Opens one voter of three whose log has entries of `terms` from index 2 on.
pub fn open_stored(now: MonotonicTime, terms: &[u64]) -> VoterMachine {
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
pub fn step_one(
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

pub fn receive(from: usize, term: u64, body: VoterBody) -> VoterEvent {
    VoterEvent::Received(VoterMessage {
        from: make_id(from),
        to: make_id(0),
        term,
        body,
    })
}
