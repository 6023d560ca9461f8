//! A control process without I/O: the voter, the replicated state machine, the entry watch and the
//! requests that wait for them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;

use crate::control::log::{LogEntry, LogSnapshot};
use crate::control::member::{MemberChange, VoterId, VoterMember};
use crate::control::state_machine::{CommandKind, LogCommand, ReplicatedState, StateMachine};
use crate::control::voter::{VoterAction, VoterEvent, VoterMachine};
use crate::prelude::*;

pub mod action;
mod freshness;
mod report;
mod requests;
pub mod watch;

pub use action::{CoreAction, CoreEvent, CoreReply, CoreRequest};
use watch::EntryWatch;

/// Maximum number of waiting requests.
pub const REQUESTS_MAX: usize = 65_536;
/// Maximum size of an encoded command, in bytes.
pub const COMMAND_MAX_BYTES: usize = 2 << 20;

/// Encoding of commands and of the replicated state.
#[derive(Clone, Copy, Debug)]
pub struct StateCodec {
    /// Encodes a command.
    pub encode_command: fn(&LogCommand) -> Bytes,
    /// Decodes a command; `None` if the bytes are invalid.
    pub decode_command: fn(&Bytes) -> Option<LogCommand>,
    /// Encodes the replicated state.
    pub encode_state: fn(&ReplicatedState) -> Bytes,
    /// Decodes the replicated state; `None` if the bytes are invalid.
    pub decode_state: fn(&Bytes) -> Option<ReplicatedState>,
}

/// The term of a proposed log entry and the request that waits for it.
#[derive(Clone, Copy, Debug)]
struct PendingCommand {
    term: u64,
    req_id: u64,
}

/// Log clock of the leader: `base_ms` at the time `since`, running on with the monotonic clock.
#[derive(Clone, Copy, Debug)]
struct LogClock {
    base_ms: u64,
    since: MonotonicTime,
}

/// A control process without I/O. It handles events and returns actions; the caller performs the
/// actions and reports their results as events.
#[derive(Debug)]
pub struct ControlCore {
    voter: VoterMachine,
    state_machine: StateMachine,
    watch: EntryWatch,
    codec: StateCodec,
    /// Requests that wait for a reply, by request id.
    requests: BTreeMap<u64, CoreRequest>,
    /// Waiting requests whose command is in the log, by log index.
    pending_commands: BTreeMap<u64, PendingCommand>,
    clock: Option<LogClock>,
    applied_bytes: usize,
    voter_actions: Vec<VoterAction>,
}

impl ControlCore {
    /// Creates a control process from a newly opened `voter` and the actions that opening it
    /// returned.
    pub fn open(
        now: MonotonicTime,
        voter: VoterMachine,
        opening_actions: Vec<VoterAction>,
        codec: StateCodec,
        actions: &mut Vec<CoreAction>,
    ) -> Self {
        let mut core = Self {
            voter,
            state_machine: StateMachine::default(),
            watch: EntryWatch::default(),
            codec,
            requests: BTreeMap::new(),
            pending_commands: BTreeMap::new(),
            clock: None,
            applied_bytes: 0,
            voter_actions: opening_actions,
        };
        core.take_voter_actions(now, actions);
        core
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: MonotonicTime, event: CoreEvent, actions: &mut Vec<CoreAction>) {
        match event {
            CoreEvent::Tick => self.tick(now, actions),
            CoreEvent::Received(message) => {
                self.step_voter(now, VoterEvent::Received(message), actions);
            }
            CoreEvent::Saved(sequence) => {
                self.step_voter(now, VoterEvent::Saved(sequence), actions);
            }
            CoreEvent::Request { req_id, request } => self.accept(now, req_id, request, actions),
            CoreEvent::Abandoned { req_id } => {
                self.requests.remove(&req_id);
            }
            CoreEvent::IdentityChanged { id, address } => {
                self.replace_member(now, &id, address, actions);
            }
            CoreEvent::JoinRequest { id, address } => self.join_member(now, &id, address, actions),
            CoreEvent::Bootstrap(set) => self.step_voter(now, VoterEvent::Bootstrap(set), actions),
            CoreEvent::Flush => self.step_voter(now, VoterEvent::Flush, actions),
        }
    }

    /// Returns the voter of this process, for reading its state.
    pub fn voter(&self) -> &VoterMachine {
        &self.voter
    }

    /// Returns the replicated state machine with all committed commands applied.
    pub fn state_machine(&self) -> &StateMachine {
        &self.state_machine
    }

    fn step_voter(&mut self, now: MonotonicTime, event: VoterEvent, actions: &mut Vec<CoreAction>) {
        self.voter.step(now, event, &mut self.voter_actions);
        self.take_voter_actions(now, actions);
    }

    fn take_voter_actions(&mut self, now: MonotonicTime, actions: &mut Vec<CoreAction>) {
        for action in std::mem::take(&mut self.voter_actions) {
            match action {
                VoterAction::Send(message) => actions.push(CoreAction::Send(message)),
                VoterAction::Save(batch) => actions.push(CoreAction::Save(batch)),
                VoterAction::SaveSnapshot {
                    sequence,
                    snapshot,
                    reset,
                } => actions.push(CoreAction::SaveSnapshot {
                    sequence,
                    snapshot,
                    reset,
                }),
                VoterAction::Apply(entry) => self.apply(now, &entry, actions),
                VoterAction::Restore(snapshot) => self.restore(&snapshot),
                VoterAction::Proposed {
                    req_id,
                    index,
                    term,
                } => self.track_command(req_id, index, term),
                VoterAction::Refused { req_id, code } => self.refuse_request(req_id, code, actions),
                VoterAction::Confirmed { req_id } => self.reply_to_read(req_id, actions),
                VoterAction::BecameLeader { term } => self.begin_leading(now, term, actions),
                VoterAction::LostLeadership { term } => self.end_leading(term, actions),
            }
        }
    }

    fn tick(&mut self, now: MonotonicTime, actions: &mut Vec<CoreAction>) {
        self.step_voter(now, VoterEvent::Tick, actions);
        if self.voter.confirmed_at().is_some() {
            for kind in
                self.watch
                    .find_changes(now, self.log_clock_ms(now), self.state_machine.state())
            {
                self.submit(now, 0, kind, actions);
            }
        }
        self.compact(now, actions);
    }

    fn compact(&mut self, now: MonotonicTime, actions: &mut Vec<CoreAction>) {
        let index = self.voter.commit();
        let uncompacted = index - self.voter.log().snapshot().index;
        let limits = self.voter.limits();
        let large = uncompacted > 0 && self.applied_bytes >= limits.compact_bytes;
        if large || uncompacted >= limits.compact_entries {
            self.applied_bytes = 0;
            let bytes = (self.codec.encode_state)(self.state_machine.state());
            self.step_voter(now, VoterEvent::Compact { index, bytes }, actions);
        }
    }

    /// Submits a command to the log. The reply goes to the request `req_id`; 0 means no request.
    fn submit(
        &mut self,
        now: MonotonicTime,
        req_id: u64,
        kind: CommandKind,
        actions: &mut Vec<CoreAction>,
    ) {
        let command = self.encode_command(now, kind);
        if command.len() > COMMAND_MAX_BYTES {
            self.refuse_request(req_id, ResultCode::DocumentTooLarge, actions);
            return;
        }
        self.step_voter(now, VoterEvent::Propose { req_id, command }, actions);
    }

    fn encode_command(&self, now: MonotonicTime, kind: CommandKind) -> Bytes {
        let at_ms = self.log_clock_ms(now);
        (self.codec.encode_command)(&LogCommand { at_ms, kind })
    }

    /// Returns the time of the log clock in milliseconds. On a VM that does not lead, it is the time
    /// of the last applied command.
    pub fn log_clock_ms(&self, now: MonotonicTime) -> u64 {
        let applied_ms = self.state_machine.state().clock_ms;
        self.clock.map_or(applied_ms, |clock| {
            let led_for = now.since(clock.since).as_millis();
            let led_ms = u64::try_from(led_for).unwrap_or(u64::MAX);
            clock.base_ms.saturating_add(led_ms).max(applied_ms)
        })
    }

    fn track_command(&mut self, req_id: u64, index: u64, term: u64) {
        if req_id != 0 {
            self.pending_commands
                .insert(index, PendingCommand { term, req_id });
        }
    }

    fn apply(&mut self, now: MonotonicTime, entry: &LogEntry, actions: &mut Vec<CoreAction>) {
        let command = entry.payload.command();
        let pending = self.pending_commands.remove(&entry.index);
        self.applied_bytes += command.len();
        if command.is_empty() {
            return;
        }
        let command = (self.codec.decode_command)(command).expect("a committed command decodes");
        let reply = self.state_machine.apply(&command);
        self.record_applied(now, &command, &reply, actions);
        if let Some(pending) = pending {
            if pending.term == entry.term {
                self.reply_to_command(now, pending.req_id, &reply, actions);
            } else {
                self.refuse_request(pending.req_id, ResultCode::ChangeOutcomeUnknown, actions);
            }
        }
    }

    fn restore(&mut self, snapshot: &LogSnapshot) {
        let state = if snapshot.bytes.is_empty() {
            Some(ReplicatedState::default())
        } else {
            (self.codec.decode_state)(&snapshot.bytes)
        };
        let state = state.expect("a snapshot with a valid checksum decodes");
        assert!(
            state.version >= self.state_machine.state().version,
            "a snapshot decreased the version"
        );
        self.state_machine = StateMachine::open(state);
    }

    fn begin_leading(&mut self, now: MonotonicTime, term: u64, actions: &mut Vec<CoreAction>) {
        self.clock = Some(LogClock {
            base_ms: self.state_machine.state().clock_ms,
            since: now,
        });
        self.watch.restart(now);
        actions.push(report::term_event(true, term));
    }

    fn end_leading(&mut self, term: u64, actions: &mut Vec<CoreAction>) {
        self.clock = None;
        actions.push(report::term_event(false, term));
        for (_, pending) in std::mem::take(&mut self.pending_commands) {
            self.refuse_request(pending.req_id, ResultCode::ChangeOutcomeUnknown, actions);
        }
    }

    /// Adds a VM that is already a member under its new identity. The voter removes the former
    /// identity later.
    fn replace_member(
        &mut self,
        now: MonotonicTime,
        id: &VoterId,
        address: SocketAddr,
        actions: &mut Vec<CoreAction>,
    ) {
        let known = &self.voter.voters().members;
        if known.iter().any(|member| member.id.vm == id.vm) {
            self.join_member(now, id, address, actions);
        }
    }

    /// Adds a VM as a learner unless it is a member already.
    fn join_member(
        &mut self,
        now: MonotonicTime,
        id: &VoterId,
        address: SocketAddr,
        actions: &mut Vec<CoreAction>,
    ) {
        if let Some(member) = self.make_member(id, address)
            && self.voter.is_leader()
        {
            let event = VoterEvent::ChangeMembers {
                req_id: 0,
                change: MemberChange::AddLearner(member),
                command: Bytes::new(),
            };
            self.step_voter(now, event, actions);
        }
    }

    /// Returns a learner with identity `id`, or `None` if `id` is a member already.
    fn make_member(&self, id: &VoterId, address: SocketAddr) -> Option<VoterMember> {
        let set = self.voter.voters();
        if set.find_member(id).is_some() {
            return None;
        }
        let former = set
            .members
            .iter()
            .rev()
            .find(|member| member.id.vm == id.vm);
        Some(VoterMember {
            id: id.clone(),
            address,
            learner: true,
            replaces: former.map(|member| member.id.number),
        })
    }
}
