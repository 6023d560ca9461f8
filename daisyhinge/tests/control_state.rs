//! The replicated state machine: changes, entries and claims, with its state encoded and decoded as
//! in a snapshot.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::control::core::watch::{ENTRY_LOST_TIMEOUT, EntryWatch};
use daisyhinge::control::state_machine::claims::{
    CLAIM_AGE_MAX_MS, CLAIM_RETENTION_MS, CLAIMS_MAX,
};
use daisyhinge::control::state_machine::{
    ChangeReply, CommandKind, CommandReply, LogCommand, StateMachine,
};
use daisyhinge::prelude::*;
use daisyhinge::shell::control::codec::STATE_CODEC;
use daisyhinge::vocabulary::change::{ChangeKind, ChangeRequest};
use daisyhinge::vocabulary::claim::{
    ClaimOutcome, ClaimReply, ClaimRequest, ClaimResult, EndClaimRequest,
};
use daisyhinge::vocabulary::environment::{
    CentreEntry, CentreState, EnvironmentDocument, RegionEntry,
};
use daisyhinge::vocabulary::freshness::FreshnessRequest;
use daisyhinge::vocabulary::view::{EntryRecord, EntryState};

/// A state machine whose state is encoded and decoded before each command, as in a snapshot.
#[derive(Default)]
struct TestStateMachine {
    machine: StateMachine,
    at_ms: u64,
}

impl TestStateMachine {
    fn apply(&mut self, kind: CommandKind) -> CommandReply {
        let bytes = (STATE_CODEC.encode_state)(self.machine.state());
        let state = (STATE_CODEC.decode_state)(&bytes).unwrap();
        self.machine = StateMachine::open(state);
        let at_ms = self.at_ms;
        self.machine.apply(&LogCommand { at_ms, kind })
    }

    fn change(&mut self, change: &str, base: Option<u64>, kind: ChangeKind) -> ChangeReply {
        let request = ChangeRequest {
            change: change.into(),
            base: base.map(VersionNumber),
            operator: Arc::from("ada"),
            made_ms: 5,
            kind,
        };
        match self.apply(CommandKind::Change(request)) {
            CommandReply::Change(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    fn claim(&mut self, request: &str, digest: u64, attempt: u64, age_ms: u64) -> ClaimReply {
        match self.apply(CommandKind::Claim(make_claim(
            request, digest, attempt, age_ms,
        ))) {
            CommandReply::Claim(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    fn end(&mut self, request: &str, attempt: u64, end: ClaimResult) -> bool {
        let claim = make_claim(request, 0, attempt, 0);
        let end = EndClaimRequest {
            service: claim.service,
            request: claim.request,
            attempt: claim.attempt,
            end,
        };
        self.apply(CommandKind::EndClaim(end)) == CommandReply::EndClaim(true)
    }
}

fn make_claim(request: &str, digest: u64, attempt: u64, age_ms: u64) -> ClaimRequest {
    ClaimRequest {
        service: "print".into(),
        request: request.into(),
        digest: RequestDigest(digest),
        attempt: AttemptId {
            origin: attempt,
            sequence: 1,
        },
        age_ms,
    }
}

fn make_document(centre: &str, state: CentreState) -> Arc<EnvironmentDocument> {
    let centre = CentreEntry {
        name: centre.into(),
        state,
        power_cap: None,
    };
    Arc::new(EnvironmentDocument {
        regions: vec![RegionEntry {
            name: "Lagos".into(),
            data_centres: vec![centre],
        }],
        ..EnvironmentDocument::default()
    })
}

fn make_apply(environment: &str, centre: &str) -> ChangeKind {
    ChangeKind::Apply {
        environment: environment.into(),
        document: make_document(centre, CentreState::In),
    }
}

fn version_of(reply: ChangeReply) -> u64 {
    reply.unwrap().version.0
}

fn refusal_code(reply: &ChangeReply) -> ResultCode {
    reply.as_ref().unwrap_err().code
}

#[test]
fn a_resent_change_is_applied_once_and_one_of_two_changes_with_the_same_base_wins() {
    let mut state_machine = TestStateMachine::default();
    assert_eq!(
        version_of(state_machine.change("a", Some(0), make_apply("trial", "x"))),
        1
    );
    assert_eq!(
        version_of(state_machine.change("b", Some(1), make_apply("trial", "y"))),
        2
    );
    // A resent change gets its first reply, although the version has increased since.
    assert_eq!(
        version_of(state_machine.change("a", Some(0), make_apply("trial", "x"))),
        1
    );
    let conflicting = state_machine.change("c", Some(1), make_apply("trial", "z"));
    let refusal = conflicting.clone().unwrap_err();
    assert_eq!(refusal.code, ResultCode::VersionConflict);
    assert_eq!(refusal.current, VersionNumber(2));
    assert_eq!(refusal.winner, Some("b".into()));
    assert_eq!(
        state_machine.change("c", Some(1), make_apply("trial", "z")),
        conflicting
    );
    let reused = state_machine.change("a", Some(2), make_apply("trial", "q"));
    assert_eq!(refusal_code(&reused), ResultCode::ChangeIdReused);
    let unchanged = state_machine.change("d", Some(2), make_apply("trial", "y"));
    assert_eq!(refusal_code(&unchanged), ResultCode::NothingChanged);
    let history = state_machine.machine.find_history(&"trial".into()).unwrap();
    let changes: Vec<&str> = history
        .iter()
        .map(|record| record.change.as_str())
        .collect();
    assert_eq!(changes, ["a", "b"]);
    assert_eq!(state_machine.machine.view().version, VersionNumber(2));
}

#[test]
fn promotion_requires_the_trusted_version_and_keeps_evacuated_data_centres_out() {
    let mut state_machine = TestStateMachine::default();
    state_machine
        .change("a", Some(0), make_apply("production", "x"))
        .unwrap();
    let take_out = ChangeKind::SetCentre {
        environment: "production".into(),
        data_centre: "x".into(),
        state: CentreState::Out,
    };
    assert_eq!(
        version_of(state_machine.change("b", None, take_out.clone())),
        2
    );
    assert_eq!(
        refusal_code(&state_machine.change("b2", None, take_out)),
        ResultCode::NothingChanged
    );
    let mut trial_document = make_document("x", CentreState::In).as_ref().clone();
    trial_document.addresses.count = 9;
    let apply_change = ChangeKind::Apply {
        environment: "trial".into(),
        document: Arc::new(trial_document),
    };
    assert_eq!(
        version_of(state_machine.change("c", Some(0), apply_change)),
        3
    );
    let promote = |trusted: u64| ChangeKind::Promote {
        from: "trial".into(),
        trusted: VersionNumber(trusted),
        to: "production".into(),
    };
    let wrong = state_machine.change("d", Some(2), promote(2));
    assert_eq!(refusal_code(&wrong), ResultCode::PromoteMismatch);
    let stale = state_machine.change("e", Some(1), promote(3));
    assert_eq!(refusal_code(&stale), ResultCode::VersionConflict);
    assert_eq!(
        version_of(state_machine.change("f", Some(2), promote(3))),
        4
    );
    let production = state_machine
        .machine
        .find_environment(&"production".into())
        .unwrap();
    assert_eq!(production.version, VersionNumber(4));
    assert_eq!(production.document.addresses.count, 9);
    let centre = production.document.find_centre(&"x".into()).unwrap();
    assert_eq!(centre.state, CentreState::Out);
}

#[test]
fn a_claim_is_won_once_and_its_outcome_is_stored() {
    let mut state_machine = TestStateMachine::default();
    let version = state_machine.machine.view().version;
    assert_eq!(state_machine.claim("r", 1, 1, 0), ClaimReply::Won);
    assert_eq!(state_machine.claim("r", 1, 1, 0), ClaimReply::Won);
    assert_eq!(state_machine.claim("r", 1, 2, 0), ClaimReply::Lost(None));
    let reused = state_machine.claim("r", 2, 3, 0);
    assert_eq!(reused, ClaimReply::Refused(ResultCode::RequestIdReused));
    let outcome = ClaimOutcome {
        snapshot: SnapshotNumber(1),
        shard: ShardNumber(0),
        weight: 1,
        whole_weight: 1,
        body: Bytes::from_static(b"stamped"),
    };
    assert!(!state_machine.end("r", 2, ClaimResult::NotRun));
    assert!(state_machine.end("r", 1, ClaimResult::Answered(outcome.clone())));
    // An answer is final: the claim can't be released, nor won again by the same attempt.
    assert!(!state_machine.end("r", 1, ClaimResult::NotRun));
    assert_eq!(
        state_machine.claim("r", 1, 1, 0),
        ClaimReply::Lost(Some(outcome.clone()))
    );
    assert_eq!(
        state_machine.claim("r", 1, 2, 0),
        ClaimReply::Lost(Some(outcome))
    );
    assert_eq!(state_machine.claim("s", 1, 4, 0), ClaimReply::Won);
    assert!(state_machine.end("s", 4, ClaimResult::NotRun));
    assert_eq!(state_machine.claim("s", 1, 5, 0), ClaimReply::Won);
    assert_eq!(state_machine.machine.view().version, version);
}

#[test]
fn a_request_older_than_the_claim_retention_is_refused() {
    let mut state_machine = TestStateMachine::default();
    assert_eq!(state_machine.claim("r", 1, 1, 0), ClaimReply::Won);
    state_machine.at_ms = CLAIM_RETENTION_MS - 1;
    assert_eq!(
        state_machine.claim("r", 1, 2, CLAIM_RETENTION_MS - 1),
        ClaimReply::Lost(None)
    );
    state_machine.at_ms = CLAIM_RETENTION_MS;
    // The claim has expired; the sender of the request reports its age.
    let expired = state_machine.claim("r", 1, 2, CLAIM_RETENTION_MS);
    assert_eq!(expired, ClaimReply::Refused(ResultCode::RequestTooOld));
    assert_eq!(
        state_machine.claim("n", 1, 3, CLAIM_AGE_MAX_MS - 1),
        ClaimReply::Won
    );
}

#[test]
fn the_number_of_claims_is_limited() {
    let mut machine = StateMachine::default();
    let mut last = ClaimReply::Won;
    for number in 0..=CLAIMS_MAX {
        let claim = make_claim(&format!("r-{number}"), 1, 1, 0);
        let command = LogCommand {
            at_ms: 0,
            kind: CommandKind::Claim(claim),
        };
        if let CommandReply::Claim(reply) = machine.apply(&command) {
            last = reply;
        }
    }
    assert_eq!(last, ClaimReply::Refused(ResultCode::ClaimsFull));
    assert_eq!(machine.state().claims.count(), CLAIMS_MAX);
}

fn make_entry(incarnation: u64, state: EntryState) -> EntryRecord {
    EntryRecord {
        vm: "entry-1".into(),
        environment: "trial".into(),
        data_centre: "x".into(),
        incarnation: IncarnationNumber(incarnation),
        caller_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 2)),
        state,
    }
}

#[test]
fn a_restarted_entry_replaces_its_former_process_which_is_listed_as_departed() {
    let mut state_machine = TestStateMachine::default();
    let join = |incarnation| CommandKind::Join(make_entry(incarnation, EntryState::Live));
    assert_eq!(state_machine.apply(join(5)), CommandReply::Entries(true));
    assert_eq!(state_machine.apply(join(5)), CommandReply::Entries(false));
    assert_eq!(state_machine.apply(join(7)), CommandReply::Entries(true));
    assert_eq!(state_machine.apply(join(6)), CommandReply::Entries(false));
    let view = Arc::clone(state_machine.machine.view());
    assert_eq!(view.entries, [make_entry(7, EntryState::Live)]);
    assert!(!view.departed[0].released);
    let remove = |incarnation| CommandKind::Lose {
        vm: "entry-1".into(),
        incarnation: IncarnationNumber(incarnation),
        released: true,
        silent_ms: 0,
    };
    assert_eq!(state_machine.apply(remove(5)), CommandReply::Entries(false));
    assert_eq!(state_machine.apply(remove(7)), CommandReply::Entries(true));
    // One of the two processes departed without releasing its replicas.
    assert!(!state_machine.machine.view().departed[0].released);
    state_machine.at_ms = 50;
    let forget = CommandKind::Forget { before_ms: 10 };
    assert_eq!(state_machine.apply(forget), CommandReply::Entries(true));
    assert_eq!(state_machine.machine.view().departed, []);
}

#[test]
fn a_silent_entry_is_removed_and_a_flapping_entry_is_delayed() {
    let mut state_machine = TestStateMachine::default();
    let entry = make_entry(1, EntryState::Live);
    state_machine.apply(CommandKind::Join(entry.clone()));
    let state = state_machine.machine.state();
    let start = MonotonicTime(1_000_000);
    let mut watch = EntryWatch::default();
    watch.restart(start);
    let request = FreshnessRequest {
        entry: entry.clone(),
        holds: VersionNumber(1),
        released: false,
    };
    watch.record_request(start, &request);
    let tick = Duration::from_millis(100);
    let mut now = start;
    let mut removals = Vec::new();
    while removals.is_empty() {
        now = now + tick;
        removals = watch.find_changes(now, 0, state);
    }
    assert!(
        now.since(start) >= ENTRY_LOST_TIMEOUT && now.since(start) < ENTRY_LOST_TIMEOUT + tick * 2
    );
    // The command states how long the entry has had no proof, so the entry must not get one from
    // then on.
    let silent_ms = u64::try_from(now.since(start).as_millis()).unwrap();
    assert!(
        matches!(removals[..], [CommandKind::Lose { silent_ms: reported, .. }] if reported == silent_ms)
    );
    assert!(watch.is_removal_proposed(&entry));
    // A pause of the control process itself must not cause the removal of an entry.
    watch.record_request(now, &request);
    now = now + Duration::from_mins(1);
    assert_eq!(watch.find_changes(now, 0, state), []);

    for _ in 0..4 {
        assert!(watch.may_join(now, &entry));
        watch.record_join(now, &entry.vm);
        now = now + Duration::from_secs(1);
    }
    assert!(!watch.may_join(now, &entry));
    assert!(watch.may_join(now + Duration::from_secs(30), &entry));
}

#[test]
fn a_leaving_entry_is_released_only_once_it_reports_so() {
    let mut state_machine = TestStateMachine::default();
    state_machine.apply(CommandKind::Join(make_entry(1, EntryState::Live)));
    state_machine.apply(CommandKind::Join(make_entry(1, EntryState::Leaving)));
    let state = state_machine.machine.state();
    // Having the view in which it leaves is not enough: requests that it dispatched may still run.
    for (state_reported, release_reported, released) in [
        (EntryState::Leaving, false, false),
        (EntryState::Live, true, false),
        (EntryState::Leaving, true, true),
    ] {
        let mut watch = EntryWatch::default();
        watch.restart(MonotonicTime(1));
        let request = FreshnessRequest {
            entry: make_entry(1, state_reported),
            holds: VersionNumber(2),
            released: release_reported,
        };
        watch.record_request(MonotonicTime(1), &request);
        let record = watch.find_record(&"entry-1".into()).unwrap();
        assert_eq!(record.released, released);
        // A released entry is removed at once, without waiting for a timeout.
        let changes = watch.find_changes(MonotonicTime(2), 0, state);
        assert_eq!(changes.len(), usize::from(released));
    }
}
