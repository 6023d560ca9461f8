//! A deployment's state in the log, and the directory's choice.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::active::{active_entries_per_region, list_active};
use daisyhinge::control::state_machine::{
    CommandKind, CommandReply, LogCommand, ReplicatedState, StateMachine,
};
use daisyhinge::directory::{ADDRESSES_MAX, CallerLocation, list_addresses};
use daisyhinge::prelude::*;
use daisyhinge::shell::control::codec::STATE_CODEC;
use daisyhinge::shell::site::serve::tell_states;
use daisyhinge::vocabulary::registration::{EntryPhase, EntryPresence};
use daisyhinge::vocabulary::site::{CommittedSiteChange, SiteChange, SiteDocument, SiteState};
use tokio::sync::watch;

fn apply(state_machine: &mut StateMachine, change: SiteChange) -> CommittedSiteChange {
    let command = LogCommand {
        at_ms: 1,
        kind: CommandKind::Site(change),
    };
    match state_machine.apply(&command) {
        CommandReply::Site(done) => done,
        reply => panic!("{reply:?}"),
    }
}

fn document(version: u64, text: &'static str) -> SiteChange {
    SiteChange::Apply(SiteDocument::pack(version, text.as_bytes()))
}

fn held(state_machine: &StateMachine) -> (u64, Bytes) {
    let document = state_machine
        .state()
        .site
        .document
        .as_ref()
        .expect("a document");
    let text = document.unpack().expect("it was packed");
    (document.version, text.into())
}

#[test]
fn the_highest_version_is_in_force_whatever_the_order() {
    let mut state_machine = StateMachine::default();
    assert_eq!(apply(&mut state_machine, document(7, "seven")).version, 7);
    assert_eq!(apply(&mut state_machine, document(3, "three")).version, 7);
    assert_eq!(apply(&mut state_machine, document(9, "nine")).version, 9);
    assert_eq!(held(&state_machine), (9, Bytes::from_static(b"nine")));
}

#[test]
fn other_content_under_the_version_held_changes_nothing() {
    let mut state_machine = StateMachine::default();
    let first = apply(&mut state_machine, document(7, "first"));
    assert_eq!(apply(&mut state_machine, document(7, "second")), first);
    assert_eq!(held(&state_machine), (7, Bytes::from_static(b"first")));
}

#[test]
fn an_evacuation_is_kept_across_a_snapshot_until_it_is_withdrawn() {
    let mut state_machine = StateMachine::default();
    apply(&mut state_machine, document(1, "one"));
    let done = apply(&mut state_machine, SiteChange::Evacuate("a".into()));
    assert_eq!(
        apply(&mut state_machine, SiteChange::Evacuate("a".into())),
        done
    );
    let bytes = (STATE_CODEC.encode_state)(state_machine.state());
    let state: ReplicatedState = (STATE_CODEC.decode_state)(&bytes).expect("it was encoded");
    let mut state_machine = StateMachine::open(state);
    assert!(
        state_machine
            .state()
            .site
            .evacuated
            .contains(&CentreName::from("a"))
    );
    assert_eq!(held(&state_machine), (1, Bytes::from_static(b"one")));
    assert!(apply(&mut state_machine, SiteChange::Return("a".into())).revision > done.revision);
    assert!(state_machine.state().site.evacuated.is_empty());
}

fn entry(number: u8, centre: &str) -> EntryPresence {
    EntryPresence {
        vm: format!("entry-{number}").into(),
        incarnation: 1,
        address: SocketAddr::from(([10, 0, 0, number], 80)),
        data_centre: centre.into(),
        phase: EntryPhase::Serving,
        stamp: 1,
        holder: 1,
    }
}

/// Data centre `a1` belongs to region `a`.
fn region_of(centre: &CentreName) -> Option<RegionName> {
    centre.as_str().get(..1).map(RegionName::from)
}

fn list(entries: &[EntryPresence], region: &str, allowed: &[RegionName]) -> Vec<u8> {
    let place = CallerLocation {
        region,
        allowed_regions: allowed,
    };
    let found = list_addresses(entries.iter(), region_of, 100, &place);
    let last = |address: SocketAddr| match address {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    };
    found.into_iter().map(last).collect()
}

#[test]
fn callers_are_sent_to_entries_of_their_region_and_to_others_only_without() {
    let entries = [entry(1, "a1"), entry(2, "a2"), entry(3, "b1")];
    assert_eq!(list(&entries, "a", &[]), [1, 2]);
    assert_eq!(list(&entries, "c", &[]), [1, 2, 3]);
}

#[test]
fn entries_of_regions_that_may_not_see_a_request_are_not_named() {
    let entries = [entry(1, "a1"), entry(2, "b1")];
    let allowed = [RegionName::from("b")];
    assert_eq!(list(&entries, "c", &allowed), [2]);
    assert_eq!(
        list(&entries, "a", &allowed),
        [1],
        "the caller's own region may"
    );
}

#[test]
fn callers_are_sent_to_as_many_entries_as_can_keep_connections() {
    assert_eq!(active_entries_per_region(70), 7);
    assert_eq!(active_entries_per_region(25), 2);
    let names: Vec<String> = (0..40).map(|number| format!("entry-{number}")).collect();
    let mut entries: Vec<_> = (0..40).map(|number| entry(number, "a1")).collect();
    for (place, presence) in entries.iter_mut().enumerate() {
        presence.vm = names[place].as_str().into();
        presence.data_centre = ["a1", "a2", "b1"][place % 3].into();
    }
    let active = |entries: &[EntryPresence]| -> HashSet<VmName> {
        let listed = list_active(entries.iter(), region_of, 10);
        listed.into_iter().cloned().collect()
    };
    let before = active(&entries);
    let of = |centre: &str| {
        let there = entries
            .iter()
            .filter(|entry| entry.data_centre.as_str() == centre);
        there.filter(|entry| before.contains(&entry.vm)).count()
    };
    assert_eq!((of("a1"), of("a2"), of("b1")), (5, 5, 10));
    // One that is lost is replaced, and nobody else is moved.
    let lost = entries.iter_mut().find(|entry| before.contains(&entry.vm));
    lost.expect("an active one").phase = EntryPhase::Lost;
    let after = active(&entries);
    assert_eq!(before.difference(&after).count(), 1);
    assert_eq!(after.difference(&before).count(), 1);
}

#[test]
fn two_entries_of_a_data_centre_are_active_at_least() {
    let entries: Vec<_> = (0..9).map(|number| entry(number, "a1")).collect();
    assert_eq!(list_active(entries.iter(), region_of, 0).len(), 2);
}

/// A series of changes reaches entries as a few states, the first at once and the last in the end.
#[tokio::test]
async fn a_series_of_changes_is_told_as_a_few_states() {
    let span = Duration::from_millis(50);
    let (states, seen) = watch::channel(Arc::new(SiteState::default()));
    let told = Arc::new(watch::Sender::new(Arc::default()));
    let mut heard = told.subscribe();
    let telling = Arc::clone(&told);
    tokio::spawn(async move { tell_states(seen, &telling, span).await });
    tokio::time::sleep(span * 2).await;
    heard.mark_unchanged();
    let mut revisions = Vec::new();
    for revision in 1..=20 {
        states.send_replace(Arc::new(SiteState {
            revision,
            ..SiteState::default()
        }));
        tokio::time::sleep(span / 10).await;
        if heard.has_changed().expect("it is open") {
            revisions.push(heard.borrow_and_update().revision);
        }
    }
    tokio::time::sleep(span * 2).await;
    let last = heard.borrow_and_update().revision;
    assert_eq!(revisions.first(), Some(&1), "{revisions:?}");
    assert!(revisions.len() <= 7, "{revisions:?}");
    assert_eq!(last, 20);
}

#[test]
fn an_answer_is_bounded() {
    let entries: Vec<_> = (0..200).map(|number| entry(number, "a1")).collect();
    assert_eq!(list(&entries, "a", &[]).len(), ADDRESSES_MAX);
}

#[test]
fn a_document_comes_back_as_it_was_sent_and_is_stored_smaller() {
    let service = |number: u32| {
        format!("{{\"name\":\"shard-{number}\",\"connections\":70,\"protocol\":\"h1\"}},")
    };
    let text: String = (0..200).map(service).collect();
    let document = SiteDocument::pack(3, text.as_bytes());
    assert_eq!(document.unpack(), Ok(text.clone().into_bytes()));
    assert!(document.compressed_len() * 5 < text.len());
    let empty = SiteDocument::pack(4, b"");
    assert_eq!(empty.unpack(), Ok(Vec::new()));
}

#[test]
fn a_document_that_is_cut_has_a_number() {
    let cut = cut_document(&SiteDocument::pack(3, b"some text that is long enough"));
    assert_eq!(cut.unpack(), Err(ResultCode::RecordDamaged));
}

/// The same document without the end of its packed bytes.
fn cut_document(document: &SiteDocument) -> SiteDocument {
    let mut value = serde_json::to_value(document).expect("a document");
    let packed = value["packed"].as_array_mut().expect("bytes");
    packed.truncate(packed.len() / 2);
    serde_json::from_value(value).expect("a document")
}
