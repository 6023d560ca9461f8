//! Which messages of a leader confirm the state of a follower.

use std::time::Duration;

use bytes::Bytes;
use daisyhinge::control::log::{LogEntry, LogPayload};
use daisyhinge::control::member::VoterSet;
use daisyhinge::control::message::{AppendRequest, SnapshotPart, VoterBody};
use daisyhinge::control::voter::{VoterEvent, VoterMachine};
use daisyhinge::prelude::*;

use crate::fixture::*;

const START: MonotonicTime = MonotonicTime(5_000_000);
/// Term of the leader, later than those of the stored entries.
const TERM: u64 = 2;

fn append(prev: (u64, u64), commit: u64, entries: Vec<LogEntry>) -> VoterEvent {
    let request = AppendRequest {
        prev_index: prev.0,
        prev_term: prev.1,
        commit,
        round: 1,
        operator_address: make_address(),
        entries,
    };
    receive(1, TERM, VoterBody::Append(request))
}

/// First entry of the leader's term.
fn blank(index: u64) -> LogEntry {
    LogEntry {
        index,
        term: TERM,
        payload: LogPayload::Blank,
    }
}

/// Opens a follower that has everything that the leader committed, up to index 4.
fn open_confirmed(now: MonotonicTime) -> VoterMachine {
    let mut voter = open_stored(now, &[1, 1]);
    step_one(&mut voter, now, append((3, 1), 4, vec![blank(4)]), true);
    assert_eq!(voter.commit(), 4);
    assert_eq!(voter.last_quorum_contact(), Some(now));
    voter
}

fn run_ticks(voter: &mut VoterMachine, from: MonotonicTime, duration: Duration) -> MonotonicTime {
    let end = from + duration;
    let mut now = from;
    while now < end {
        now = now + STEP;
        step_one(voter, now, VoterEvent::Tick, true);
    }
    now
}

/// Entries stayed with a control process that refused each append, at an older configuration.
#[test]
fn a_rejected_append_does_not_confirm_the_state() {
    let mut voter = open_confirmed(START);
    let later = run_ticks(&mut voter, START, Duration::from_millis(100));
    step_one(&mut voter, later, append((9, TERM), 9, Vec::new()), true);
    assert_eq!(voter.last_quorum_contact(), Some(START));
}

/// Heartbeats arrived while the entries of the log were lost.
#[test]
fn a_heartbeat_ahead_of_the_followers_commit_does_not_confirm_the_state() {
    let mut voter = open_confirmed(START);
    let later = run_ticks(&mut voter, START, Duration::from_millis(100));
    step_one(&mut voter, later, append((4, TERM), 7, Vec::new()), true);
    assert_eq!(voter.last_quorum_contact(), Some(START));
}

/// Entries kept a control process that was receiving a snapshot for seconds.
#[test]
fn a_part_of_a_snapshot_does_not_confirm_the_state() {
    let mut voter = open_confirmed(START);
    let later = run_ticks(&mut voter, START, Duration::from_millis(100));
    let part = SnapshotPart {
        index: 50,
        term: TERM,
        voters: VoterSet::default(),
        total: 10,
        offset: 0,
        round: 2,
        bytes: Bytes::from_static(b"12345"),
    };
    step_one(
        &mut voter,
        later,
        receive(1, TERM, VoterBody::SnapshotPart(part)),
        true,
    );
    assert_eq!(voter.last_quorum_contact(), Some(START));
}

/// After a restart of all processes, the state of an old snapshot counted as confirmed.
#[test]
fn a_leader_that_has_committed_nothing_in_its_term_does_not_confirm_the_state() {
    let mut voter = open_stored(START, &[1, 1]);
    step_one(&mut voter, START, append((0, 0), 1, Vec::new()), true);
    assert_eq!(voter.last_quorum_contact(), None);
    step_one(&mut voter, START, append((3, 1), 1, vec![blank(4)]), true);
    assert_eq!(voter.last_quorum_contact(), None);
    step_one(&mut voter, START, append((4, TERM), 4, Vec::new()), true);
    assert_eq!(voter.last_quorum_contact(), Some(START));
}

/// Messages that waited in the socket of a stopped process counted as contact of now.
#[test]
fn messages_that_waited_during_a_pause_do_not_confirm_the_state() {
    let mut voter = open_confirmed(START);
    let resumed = START + Duration::from_secs(3);
    let heartbeat = || append((4, TERM), 4, Vec::new());
    step_one(&mut voter, resumed, heartbeat(), true);
    assert_eq!(voter.last_quorum_contact(), Some(START));
    let settled = run_ticks(&mut voter, resumed, Duration::from_millis(50));
    step_one(&mut voter, settled, heartbeat(), true);
    assert_eq!(voter.last_quorum_contact(), Some(START));
    let settled = run_ticks(&mut voter, settled, Duration::from_millis(250));
    step_one(&mut voter, settled, heartbeat(), true);
    assert_eq!(voter.last_quorum_contact(), Some(settled));
}

/// An election made control processes report that no quorum had ever confirmed their state.
#[test]
fn an_election_does_not_undo_an_earlier_confirmation() {
    let mut cluster = TestCluster::new();
    let former = cluster.leader().unwrap();
    let known: Vec<_> = (0..3)
        .map(|node| cluster.voters[node].last_quorum_contact().unwrap())
        .collect();
    cluster.partitioned = Some(former);
    for _ in 0..300 {
        cluster.run(STEP);
        for (voter, before) in cluster.voters.iter().zip(&known) {
            assert!(voter.last_quorum_contact() >= Some(*before));
        }
    }
    assert_ne!(cluster.leader(), None);
}

/// A process that gets no processor for 250 ms again and again was never confirmed, although it
/// received each heartbeat and had everything that was committed.
#[test]
fn repeated_short_pauses_do_not_end_the_confirmation() {
    let mut voter = open_confirmed(START);
    let mut now = START;
    for _ in 0..20 {
        // 250 ms without the processor, then 150 ms with it.
        now = now + Duration::from_millis(250);
        for _ in 0..3 {
            step_one(&mut voter, now, append((4, TERM), 4, Vec::new()), true);
            now = run_ticks(&mut voter, now, Duration::from_millis(50));
        }
    }
    let age = now.since(voter.last_quorum_contact().unwrap());
    assert!(age < Duration::from_millis(1_500), "{age:?}");
}

/// After a partition, the network delivered a heartbeat that the leader had sent before it.
#[test]
fn a_message_from_before_a_partition_does_not_confirm_the_state() {
    let mut voter = open_confirmed(START);
    // Partitioned: ticks, but no message for 5 s.
    let healed = run_ticks(&mut voter, START, Duration::from_secs(5));
    step_one(&mut voter, healed, append((4, TERM), 4, Vec::new()), true);
    assert_eq!(voter.last_quorum_contact(), Some(START));
}
