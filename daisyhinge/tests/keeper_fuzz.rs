//! Stateful fuzzing of one keeper against an oracle with its own accounting of slots.
//!
//! `PROPTEST_CASES` sets the number of cases.

#[path = "keeper/support.rs"]
#[expect(dead_code, reason = "shared by several test files")]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use daisyhinge::keeper::slots::TRANSIT_ALLOWANCE;
use daisyhinge::keeper::sub_request::{DispatchOutcome, SubRequestInfo};
use daisyhinge::keeper::{KeeperAction, KeeperEvent};
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::announcement::ServerState;
use proptest::prelude::*;
use support::*;

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    /// Advances to the next deadline, or to just before it.
    AdvanceToDeadline {
        early: bool,
    },
    Announce {
        state: ServerState,
        restarted: bool,
    },
    Dispatch {
        duration_ms: u64,
        hedge: bool,
        isolated: bool,
    },
    End {
        pick: usize,
        end: DispatchOutcome,
    },
    Drop {
        pick: usize,
    },
    CancelEnd {
        pick: usize,
        stopped: bool,
    },
    Leave,
    Gate {
        lease: bool,
        centre_in_service: bool,
    },
}

fn any_step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![
        6 => Just(ServerState::Ready),
        2 => Just(ServerState::Cold),
        1 => Just(ServerState::Draining),
    ];
    let end = prop_oneof![
        8 => (1_u64..30).prop_map(|took| DispatchOutcome::Answered { took: ms(took) }),
        1 => Just(DispatchOutcome::NotSent),
        1 => Just(DispatchOutcome::ConnectFailed),
        1 => Just(DispatchOutcome::Reset),
        1 => Just(DispatchOutcome::Shed { retry: Duration::ZERO }),
        1 => Just(DispatchOutcome::NotHeld),
        1 => Just(DispatchOutcome::Failed),
        1 => Just(DispatchOutcome::BadAnswer(ResultCode::AnswerMismatch)),
        2 => Just(DispatchOutcome::Expired),
    ];
    prop_oneof![
        24 => (0_u64..40).prop_map(Step::Advance),
        4 => (0_u64..4_000).prop_map(Step::Advance),
        16 => any::<bool>().prop_map(|early| Step::AdvanceToDeadline { early }),
        12 => (state, prop::bool::weighted(0.1))
            .prop_map(|(state, restarted)| Step::Announce { state, restarted }),
        48 => (1_u64..600, prop::bool::weighted(0.1), prop::bool::weighted(0.1))
            .prop_map(|(duration_ms, hedge, isolated)| Step::Dispatch { duration_ms, hedge, isolated }),
        40 => (0_usize..6, end).prop_map(|(pick, end)| Step::End { pick, end }),
        8 => (0_usize..12).prop_map(|pick| Step::Drop { pick }),
        8 => (0_usize..6, any::<bool>())
            .prop_map(|(pick, stopped)| Step::CancelEnd { pick, stopped }),
        1 => Just(Step::Leave),
        4 => (prop::bool::weighted(0.8), prop::bool::weighted(0.8))
            .prop_map(|(lease, centre_in_service)| Step::Gate { lease, centre_in_service }),
    ]
}

/// A slot in the oracle's accounting.
#[derive(Clone, Copy, Debug)]
struct OracleSlot {
    frees_at: MonotonicTime,
    connected: bool,
    cancel_sent: bool,
}

/// The oracle's own rule: whether the server has definitely stopped work after `end`.
fn frees_slot(end: DispatchOutcome) -> bool {
    let is_uncertain = matches!(
        end,
        DispatchOutcome::Reset | DispatchOutcome::BadAnswer(_) | DispatchOutcome::Expired
    );
    !is_uncertain
}

struct Oracle {
    harness: KeeperHarness,
    now: MonotonicTime,
    requested: u64,
    slots: BTreeMap<u64, OracleSlot>,
    /// Requests without a reply yet, in order.
    waiting: BTreeMap<u64, SubRequestInfo>,
}

impl Oracle {
    fn new() -> Self {
        let mut announcement = announce("r1", 1);
        announcement.slots = 3;
        announcement.connections = 4;
        announcement.cold_allowance = 1;
        let mut harness = KeeperHarness::new(announcement, at(0));
        let now = harness.warm_up(at(0));
        Self {
            harness,
            now,
            requested: 0,
            slots: BTreeMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        let now = self.now;
        let picked = |pick: usize| self.slots.keys().nth(pick).copied();
        let attempt = |number: u64| info(number, now).attempt;
        let event = match *step {
            Step::Advance(duration_ms) => {
                self.now = now + ms(duration_ms);
                KeeperEvent::Tick
            }
            Step::AdvanceToDeadline { early } => {
                let next_deadline = self.next_deadline().unwrap_or(now).max(now);
                let before = Duration::from_micros(u64::from(early));
                self.now = next_deadline.before(before).max(now);
                KeeperEvent::Tick
            }
            Step::Announce { state, restarted } => {
                let actions = self.harness.announce(now, |next| {
                    next.state = state;
                    next.incarnation.0 += u64::from(restarted);
                });
                return self.check(&actions);
            }
            Step::Dispatch {
                duration_ms,
                hedge,
                isolated,
            } => {
                self.requested += 1;
                let mut info = info(self.requested, now + ms(duration_ms));
                info.hedge = hedge;
                self.waiting.insert(self.requested, info);
                if isolated {
                    KeeperEvent::RequestedIsolated(info)
                } else {
                    KeeperEvent::Requested(info)
                }
            }
            Step::End { pick, end } => {
                let Some(number) = picked(pick) else { return };
                let slot = self.slots.get_mut(&number).expect("a slot");
                let first = std::mem::replace(&mut slot.connected, false);
                if first && frees_slot(end) {
                    self.slots.remove(&number);
                }
                let attempt = attempt(number);
                KeeperEvent::Ended { attempt, end }
            }
            Step::Drop { pick } => {
                let all = self.slots.keys().chain(self.waiting.keys());
                let Some(number) = all.copied().nth(pick) else {
                    return;
                };
                KeeperEvent::Dropped(attempt(number))
            }
            Step::CancelEnd { pick, stopped } => {
                let Some(number) = picked(pick) else { return };
                if !self.slots[&number].cancel_sent {
                    return;
                }
                if stopped {
                    self.slots.remove(&number);
                }
                let attempt = attempt(number);
                KeeperEvent::CancelEnded { attempt, stopped }
            }
            Step::Leave => KeeperEvent::Left(self.harness.keeper.announcement().incarnation),
            Step::Gate {
                lease,
                centre_in_service,
            } => {
                self.harness.gate.lease_ends = if lease { now + ms(1_000_000) } else { now };
                self.harness.gate.centre_in_service = centre_in_service;
                KeeperEvent::Tick
            }
        };
        let actions = self.harness.step(self.now, event);
        self.check(&actions);
    }

    fn next_deadline(&self) -> Option<MonotonicTime> {
        let slots = self.slots.values().map(|slot| slot.frees_at);
        slots
            .chain(self.waiting.values().map(|info| info.expires))
            .min()
    }

    fn check(&mut self, actions: &[KeeperAction]) {
        let now = self.now;
        self.slots.retain(|_, slot| now < slot.frees_at);
        let mut last_sent = 0;
        for action in actions {
            match action {
                KeeperAction::Send(attempt) => {
                    let number = attempt.sequence;
                    let info = self.waiting.remove(&number).expect("one reply per request");
                    assert!(last_sent < number, "dispatched out of order");
                    last_sent = number;
                    assert!(now < info.expires && self.harness.gate.refusal_reason(now).is_none());
                    let left = info.expires.since(now);
                    let slot = OracleSlot {
                        frees_at: info.expires + TRANSIT_ALLOWANCE + left / 500,
                        connected: true,
                        cancel_sent: false,
                    };
                    self.slots.insert(number, slot);
                }
                KeeperAction::Refuse { attempt, refusal } => {
                    assert_eq!(refusal.run, RunState::NotRun);
                    let known = self.waiting.remove(&attempt.sequence);
                    assert!(known.is_some(), "one reply per request");
                }
                KeeperAction::SendCancel(attempt) => {
                    let slot = self.slots.get_mut(&attempt.sequence).expect("a slot");
                    slot.cancel_sent = true;
                }
                KeeperAction::Publish | KeeperAction::RecordEvent(_) => {}
            }
        }
        let load = self.harness.keeper.load();
        let announced = self.harness.keeper.announcement();
        assert_eq!(
            load.running as usize,
            self.slots.len(),
            "occupied slots differ from the oracle"
        );
        assert_eq!(
            load.queued as usize,
            self.waiting.len(),
            "queued requests differ from the oracle"
        );
        assert!(load.limit >= 1 && load.limit <= announced.slots);
        assert!(announced.state != ServerState::Cold || load.limit <= announced.cold_allowance);
        assert!(self.harness.keeper.connections_max() <= announced.connections);
        let wake = self.harness.keeper.next_wake().expect("a wake-up time");
        let next_deadline = self.next_deadline();
        assert!(
            next_deadline.is_none_or(|next_deadline| wake <= next_deadline),
            "next wake-up is after the next deadline"
        );
        assert!(
            next_deadline.is_none_or(|next_deadline| now < next_deadline),
            "a passed deadline was not handled"
        );
        let idle = load.running == 0 && load.queued > 0;
        assert!(!idle, "requests are queued though nothing runs");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_keeper_agrees_with_the_oracle(steps in prop::collection::vec(any_step(), 1..150)) {
        let mut oracle = Oracle::new();
        for step in &steps {
            oracle.apply(step);
        }
    }
}
