//! Sends sub-requests, hedges and retries, and takes their replies.

use std::time::Duration;

use crate::prelude::*;
use crate::search::choice::{FAR_DISTANCE, REGION_DISTANCE, RouteChoice};
use crate::search::outcome::DispatchEnd;
use crate::search::plan::DispatchKind;
use crate::search::plan::{PinnedShard, PinnedSnapshot};
use crate::search::route::RouteTable;
use crate::search::shard::{RunningTry, ShardRow, ShardState};
use crate::search::suspect::Suspicion;
use crate::search::{RequestSearch, SearchAction, SearchPhase, SubPlan, is_covered};
use crate::vocabulary::clock::span_to_micros;
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::query::AnswerPreference;

/// Coverage that a newer snapshot may lose against an older one where latency is preferred.
const PIN_LOSS_PPM: u32 = 10_000;

/// Until latencies are known, a hedge waits for this part of the time left.
const UNKNOWN_HEDGE_DIVISOR: u32 = 4;

/// A shard is late once this many hedge delays went by after its attempt began.
const LATE_DELAYS: u32 = 2;

impl RequestSearch {
    /// Pins a snapshot.
    pub(super) fn pin(&mut self, routes: &RouteTable) -> bool {
        self.pinned = self.find_pin(routes);
        self.service = routes.find_service(&self.plan.service).unwrap_or_default();
        self.pinned.is_some()
    }

    /// The snapshot that the request would be pinned to now.
    pub(super) fn find_pin(&self, routes: &RouteTable) -> Option<PinnedSnapshot> {
        let loss_ppm = match self.plan.preference {
            AnswerPreference::Coverage => 0,
            AnswerPreference::Latency => PIN_LOSS_PPM,
        };
        let service = &self.plan.service;
        let one = self
            .plan
            .shard
            .and_then(|shard| routes.pin_shard(service, shard));
        one.or_else(|| routes.pin_snapshot(service, self.plan.minimum_ppm, loss_ppm))
    }

    fn wanted(&self) -> impl Iterator<Item = &PinnedShard> {
        let shards = self.pinned.as_ref().map(|pinned| &*pinned.shards);
        let wanted = |row: &&PinnedShard| self.plan.shard.is_none_or(|shard| shard == row.shard);
        shards.unwrap_or_default().iter().filter(wanted)
    }

    /// Shards that the request is about.
    pub(super) fn wanted_rows(&self) -> usize {
        self.wanted().count()
    }

    pub(super) fn make_rows(&mut self) {
        self.rows = self.wanted().map(|row| ShardRow::new(*row)).collect();
        self.open_count = self.rows.len();
        self.answered_count = 0;
        self.answered_weight = 0;
        self.open_weight = self.rows.iter().map(|row| row.pinned.weight).sum();
    }

    /// Sends the first attempts, unless too little could be answered or in time.
    pub(super) fn scatter(
        &mut self,
        now: MonotonicTime,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        self.make_rows();
        if self.rows.is_empty() {
            self.refuse(ResultCode::UnknownShard, actions);
            return;
        }
        self.note_value(EventKind::SnapshotPinned, self.pinned_number(), actions);
        let choices = self.choose_rows(routes);
        let left_us = span_to_micros(self.answer_by.since(now));
        if self.refuse_unreachable(&choices, left_us, actions) {
            return;
        }
        for (index, choice) in choices.into_iter().enumerate() {
            match choice {
                None => self.miss_unusable(index),
                Some(choice) if choice.expected_us > left_us => {
                    self.miss(index, ResultCode::SlotsBusy);
                }
                Some(_) if self.holds_back() => self.rows[index].is_held = true,
                Some(choice) => {
                    let attempt = self.next_attempt(index);
                    self.note_probe(attempt);
                    self.dispatch(
                        index,
                        attempt,
                        choice,
                        DispatchKind::Primary,
                        routes,
                        actions,
                    );
                }
            }
        }
    }

    fn choose_rows(&self, routes: &mut RouteTable) -> Vec<Option<RouteChoice>> {
        (0..self.rows.len())
            .map(|index| self.choose_row(index, false, FAR_DISTANCE, routes))
            .collect()
    }

    /// Refuses at once if the minimum cannot be reached, by usable replicas or by the deadline.
    fn refuse_unreachable(
        &mut self,
        choices: &[Option<RouteChoice>],
        left_us: u64,
        actions: &mut Vec<SearchAction>,
    ) -> bool {
        let weight_of = |limit_us: u64| {
            let rows = self.rows.iter().zip(choices);
            let usable = rows
                .filter(|(_, choice)| choice.is_some_and(|choice| choice.expected_us <= limit_us));
            usable.map(|(row, _)| row.pinned.weight).sum::<u64>()
        };
        let whole = self.wanted_weight();
        let covers = |weight| whole == 0 || is_covered(weight, whole, self.plan.minimum_ppm);
        if !covers(weight_of(u64::MAX)) {
            (0..choices.len())
                .filter(|index| choices[*index].is_none())
                .for_each(|index| self.miss_unusable(index));
            let code = self.refusal_code();
            self.refuse(code, actions);
            return true;
        }
        if !covers(weight_of(left_us)) {
            let slowest = choices
                .iter()
                .flatten()
                .map(|choice| choice.expected_us)
                .max();
            let excess_us = slowest.unwrap_or_default().saturating_sub(left_us);
            self.retry_ms = Some(excess_us.div_ceil(1_000));
            self.refuse(ResultCode::Overloaded, actions);
            return true;
        }
        false
    }

    /// Sends one attempt.
    pub(super) fn dispatch(
        &mut self,
        index: usize,
        attempt: AttemptId,
        choice: RouteChoice,
        kind: DispatchKind,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        let now = routes.now;
        let delay = self.hedge_delay(now, kind == DispatchKind::Hedge, routes);
        routes.begin_dispatch(choice.key);
        match kind {
            DispatchKind::Primary => {
                if !self.restarted {
                    routes.earn_extra(self.service, self.plan.extra_work_ppm);
                }
                self.tally.primaries += 1;
            }
            DispatchKind::Replaced => self.tally.replaced += 1,
            DispatchKind::Hedge => self.tally.hedges += 1,
            DispatchKind::Retry => self.tally.retries += 1,
        }
        let row = &mut self.rows[index];
        let is_hedge = row.running_count() > 0;
        row.is_held = false;
        row.add_try(RunningTry {
            attempt,
            key: choice.key,
            started: now,
            expected_us: choice.expected_us,
        });
        row.hedge_at = now + delay;
        row.late_at = now + delay * LATE_DELAYS;
        let shard = row.pinned.shard;
        self.note_dispatch(choice, kind, shard, routes, actions);
        actions.push(SearchAction::Dispatch(SubPlan {
            attempt,
            replica: routes.replica_name(choice.key.row).clone(),
            keeper: routes.keeper_name(choice.key.row).clone(),
            shard,
            snapshot: SnapshotNumber(self.pinned_number()),
            expires: self.answer_by,
            hedge: is_hedge,
            suspect: self.suspicion != Suspicion::Clear,
        }));
    }

    fn hedge_delay(&self, now: MonotonicTime, is_hedged: bool, routes: &RouteTable) -> Duration {
        let left = self.answer_by.since(now);
        let known = routes.hedge_delay(self.service, is_hedged);
        known.unwrap_or(left / UNKNOWN_HEDGE_DIVISOR)
    }

    /// Sends the hedges that are due.
    pub(super) fn send_hedges(
        &mut self,
        now: MonotonicTime,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        if !self.may_hedge() || now >= self.answer_by {
            return;
        }
        for index in 0..self.rows.len() {
            if self.rows[index].awaits_hedge() && now >= self.rows[index].hedge_at {
                self.rows[index].hedges_left -= 1;
                self.rows[index].hedge_at = now + self.hedge_delay(now, true, routes);
                self.send_hedge(now, index, routes, actions);
            }
        }
    }

    pub(super) fn may_hedge(&self) -> bool {
        self.plan.repeatable
            && self.plan.extra_work_ppm > 0
            && self.phase == SearchPhase::Running
            && self.suspicion == Suspicion::Clear
    }

    fn send_hedge(
        &mut self,
        now: MonotonicTime,
        index: usize,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        let reach = self.extra_reach(index);
        let Some(choice) = self.choose_row(index, true, reach, routes) else {
            return;
        };
        if self.take_budget(now, index, routes, actions) {
            let attempt = self.next_attempt(index);
            self.dispatch(index, attempt, choice, DispatchKind::Hedge, routes, actions);
        }
    }

    /// Where latency is preferred, extra work stays in the region unless the minimum needs it.
    pub(super) fn extra_reach(&self, index: usize) -> u8 {
        let weight = self.rows[index].pinned.weight;
        let without = (self.answered_weight + self.open_weight).saturating_sub(weight);
        let is_needed = !is_covered(without, self.wanted_weight(), self.plan.minimum_ppm);
        if is_needed || self.plan.preference == AnswerPreference::Coverage {
            FAR_DISTANCE
        } else {
            REGION_DISTANCE
        }
    }

    pub(super) fn take_budget(
        &mut self,
        now: MonotonicTime,
        index: usize,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) -> bool {
        let granted = routes.take_extra(self.service, now, self.plan.extra_work_ppm);
        if !granted {
            self.tally.denied += 1;
            let shard = self.rows[index].pinned.shard;
            self.note_value(EventKind::BudgetSpent, shard.0.into(), actions);
        }
        granted
    }

    fn miss_unusable(&mut self, index: usize) {
        let code = if self.rows[index].pinned.known {
            ResultCode::NoReplica
        } else {
            ResultCode::ShardAbsent
        };
        self.miss(index, code);
    }

    /// The shard will not be answered.
    pub(super) fn miss(&mut self, index: usize, code: ResultCode) {
        let row = &mut self.rows[index];
        if row.is_open() {
            assert_eq!(
                row.running_count(),
                0,
                "a missing shard has nothing under way"
            );
            row.is_held = false;
            row.state = ShardState::Missing(code);
            self.open_count -= 1;
            self.open_weight -= row.pinned.weight;
        }
    }

    /// Gives up what is under way for a shard.
    pub(super) fn cancel_row(
        &mut self,
        now: MonotonicTime,
        index: usize,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        for running in self.rows[index].take_tries().into_iter().flatten() {
            self.run = self.run.join(RunState::Unknown);
            let ran = now.since(running.started);
            let expected_us = running.expected_us;
            let end = DispatchEnd::Cancelled { ran, expected_us };
            routes.end_dispatch(self.service, running.key, end);
            actions.push(SearchAction::Cancel(running.attempt));
            let shard = self.rows[index].pinned.shard;
            self.note_value(EventKind::SubCancelled, shard.0.into(), actions);
        }
    }

    pub(super) fn pinned_number(&self) -> u64 {
        self.pinned.as_ref().map_or(0, |pinned| pinned.snapshot.0)
    }

    pub(super) fn note_value(&self, kind: EventKind, value: u64, actions: &mut Vec<SearchAction>) {
        let event = EventDraft::new(kind).with_request(&self.plan.request);
        actions.push(SearchAction::Note(event.with_value(value)));
    }

    fn note_dispatch(
        &self,
        choice: RouteChoice,
        kind: DispatchKind,
        shard: ShardNumber,
        routes: &RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        let kind = match kind {
            DispatchKind::Primary => EventKind::SubDispatched,
            DispatchKind::Hedge => EventKind::SubHedged,
            DispatchKind::Replaced | DispatchKind::Retry => EventKind::SubRetried,
        };
        let event = EventDraft::new(kind)
            .with_request(&self.plan.request)
            .with_replica(routes.replica_name(choice.key.row))
            .with_centre(routes.centre_name(choice.key.row))
            .with_value(shard.0.into());
        actions.push(SearchAction::Note(event));
    }
}
