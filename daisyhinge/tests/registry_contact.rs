//! Registry: silence that is only a loss of contact between control processes, or a pause of one.

#[path = "support/registry_records.rs"]
mod registry_records;

use std::time::Duration;

use daisyhinge::registry::ServerRegistry;
use daisyhinge::vocabulary::registration::{EntryPhase, ReplicaPhase};
use registry_records::{HEARTBEAT_INTERVAL, at, heartbeat, phase_of, presence};

/// A control process that had been stopped took everything that others hold for lost, and told so.
#[test]
fn records_that_only_the_sender_lost_contact_with_stay_in_use() {
    let mut holder = ServerRegistry::open(1, HEARTBEAT_INTERVAL);
    let mut stopped = ServerRegistry::open(2, HEARTBEAT_INTERVAL);
    let mut third = ServerRegistry::open(3, HEARTBEAT_INTERVAL);
    holder.record_heartbeat(at(0), heartbeat("r", 1, 100, 5, ReplicaPhase::Ready));
    holder.record_entry(at(0), presence("e", EntryPhase::Serving));
    for registry in [&mut stopped, &mut third] {
        let (replicas, entries) = (holder.replicas_after(at(1), 0), holder.entries_after(0));
        registry.merge_sent(at(1), 1, replicas, entries);
    }
    holder.record_heartbeat(at(13_900), heartbeat("r", 1, 100, 16, ReplicaPhase::Ready));
    holder.record_entry(at(13_900), presence("e", EntryPhase::Serving));
    third.record_contact(at(13_900), 1);
    stopped.expire(at(14_000));
    assert_eq!(phase_of(&stopped, "r"), Some(ReplicaPhase::Silent));
    for registry in [&mut holder, &mut third] {
        let (replicas, entries) = (stopped.replicas_after(at(0), 0), stopped.entries_after(0));
        registry.merge_sent(at(14_000), 2, replicas, entries);
        assert_eq!(phase_of(registry, "r"), Some(ReplicaPhase::Ready));
        assert_eq!(registry.serving_entries().count(), 1);
    }
}

/// A control process told its entries after a pause that all replicas were silent.
#[test]
fn pause_of_a_process_is_no_silence_of_the_others() {
    let mut holder = ServerRegistry::open(1, HEARTBEAT_INTERVAL);
    let mut stopped = ServerRegistry::open(2, HEARTBEAT_INTERVAL);
    holder.record_heartbeat(at(0), heartbeat("r", 1, 100, 5, ReplicaPhase::Ready));
    holder.record_entry(at(0), presence("e", EntryPhase::Serving));
    let (replicas, entries) = (holder.replicas_after(at(1), 0), holder.entries_after(0));
    stopped.merge_sent(at(1), 1, replicas, entries);
    stopped.record_heartbeat(at(1), heartbeat("own", 2, 100, 5, ReplicaPhase::Ready));
    stopped.expire(at(1_000));
    stopped.skip_pause(at(14_000), Duration::from_secs(13));
    stopped.expire(at(14_000));
    assert_eq!(phase_of(&stopped, "r"), Some(ReplicaPhase::Ready));
    assert_eq!(phase_of(&stopped, "own"), Some(ReplicaPhase::Ready));
    assert_eq!(stopped.serving_entries().count(), 1);
    stopped.expire(at(30_000));
    assert_eq!(phase_of(&stopped, "r"), Some(ReplicaPhase::Silent));
    assert_eq!(phase_of(&stopped, "own"), Some(ReplicaPhase::Silent));
    assert_eq!(stopped.serving_entries().count(), 0);
}

/// An entry that had not changed meanwhile stayed lost at a control process that had been stopped.
#[test]
fn records_are_used_again_when_their_holder_sends_them_unchanged() {
    let mut holder = ServerRegistry::open(1, HEARTBEAT_INTERVAL);
    let mut stopped = ServerRegistry::open(2, HEARTBEAT_INTERVAL);
    holder.record_heartbeat(at(0), heartbeat("r", 1, 100, 5, ReplicaPhase::Ready));
    holder.record_entry(at(0), presence("e", EntryPhase::Serving));
    let sent = |holder: &ServerRegistry| (holder.replicas_after(at(1), 0), holder.entries_after(0));
    let (replicas, entries) = sent(&holder);
    stopped.merge_sent(at(1), 1, replicas, entries);
    stopped.expire(at(14_000));
    assert_eq!(phase_of(&stopped, "r"), Some(ReplicaPhase::Silent));
    assert_eq!(stopped.serving_entries().count(), 0);
    let before = stopped.mark();
    let (replicas, entries) = sent(&holder);
    stopped.merge_sent(at(14_100), 1, replicas, entries);
    assert_eq!(phase_of(&stopped, "r"), Some(ReplicaPhase::Ready));
    assert_eq!(stopped.serving_entries().count(), 1);
    assert_eq!(stopped.replicas_after(at(14_100), before).len(), 1);
    assert_eq!(stopped.entries_after(before).len(), 1);
}
