//! Scatters a request over its shards; dispatches and cancels attempts and sends hedges.

use std::time::Duration;

use crate::prelude::*;
use crate::search::feedback::DispatchEnd;
use crate::search::plan::DispatchKind;
use crate::search::plan::{PinnedShard, PinnedSnapshot};
use crate::search::probe::PoisonState;
use crate::search::route::RouteTable;
use crate::search::selection::{OTHER_REGION_DISTANCE, RouteChoice, SAME_REGION_DISTANCE};
use crate::search::shard::{RunningAttempt, ShardProgress, ShardState};
use crate::search::{RequestSearch, SearchAction, SearchPhase, SubPlan, is_covered};
use crate::vocabulary::clock::duration_to_micros;
use crate::vocabulary::event::{EventDraft, EventKind};
use crate::vocabulary::query::AnswerPreference;

/// Coverage by which a newer snapshot may fall short of an older one if latency is preferred.
const PIN_LOSS_PPM: u32 = 10_000;

/// While latencies are unknown, the hedge delay is the remaining time divided by this value.
const UNKNOWN_HEDGE_DIVISOR: u32 = 4;

/// A shard is late once this many hedge delays have passed since its latest attempt.
const LATE_DELAYS: u32 = 2;

impl RequestSearch {
    /// Pins a snapshot; returns `false` if none is usable.
    pub(super) fn pin(&mut self, routes: &RouteTable) -> bool {
        self.pinned = self.find_pin(routes);
        self.service = routes.find_service(&self.plan.service).unwrap_or_default();
        self.pinned.is_some()
    }

    /// Snapshot that the request would be pinned to now.
    pub(super) fn find_pin(&self, routes: &RouteTable) -> Option<PinnedSnapshot> {
        let loss_ppm = match self.plan.preference {
            AnswerPreference::Coverage => 0,
            AnswerPreference::Latency => PIN_LOSS_PPM,
        };
        let service = &self.plan.service;
        let pinned_for_shard = self
            .plan
            .shard
            .and_then(|shard| routes.pin_shard(service, shard));
        pinned_for_shard.or_else(|| routes.pin_snapshot(service, self.plan.minimum_ppm, loss_ppm))
    }

    fn requested_shards(&self) -> impl Iterator<Item = &PinnedShard> {
        let shards = self.pinned.as_ref().map(|pinned| &*pinned.shards);
        let is_requested =
            |pinned: &&PinnedShard| self.plan.shard.is_none_or(|shard| shard == pinned.shard);
        shards.unwrap_or_default().iter().filter(is_requested)
    }

    /// Number of requested shards in the pinned snapshot.
    pub(super) fn requested_count(&self) -> usize {
        self.requested_shards().count()
    }

    pub(super) fn reset_shards(&mut self) {
        self.shards = self
            .requested_shards()
            .map(|pinned| ShardProgress::new(*pinned))
            .collect();
        self.open_count = self.shards.len();
        self.answered_count = 0;
        self.answered_weight = 0;
        self.open_weight = self
            .shards
            .iter()
            .map(|progress| progress.pinned.weight)
            .sum();
    }

    /// Sends the first attempts, or refuses the request if its minimum coverage cannot be reached
    /// in time.
    pub(super) fn scatter(
        &mut self,
        now: MonotonicTime,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        self.reset_shards();
        if self.shards.is_empty() {
            self.refuse(ResultCode::UnknownShard, actions);
            return;
        }
        self.record_value_event(EventKind::SnapshotPinned, self.pinned_number(), actions);
        let choices = self.choose_replicas(routes);
        let left_us = duration_to_micros(self.answer_by.since(now));
        if self.refuse_unreachable(&choices, left_us, actions) {
            return;
        }
        for (index, choice) in choices.into_iter().enumerate() {
            match choice {
                None => self.mark_without_replica(index),
                Some(choice) if choice.expected_us > left_us => {
                    self.mark_missing(index, ResultCode::SlotsBusy);
                }
                Some(_) if self.must_wait_for_probe() => self.shards[index].is_deferred = true,
                Some(choice) => {
                    let attempt = self.next_attempt(index);
                    self.assign_probe(attempt);
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

    fn choose_replicas(&self, routes: &mut RouteTable) -> Vec<Option<RouteChoice>> {
        (0..self.shards.len())
            .map(|index| self.choose_replica(index, false, OTHER_REGION_DISTANCE, routes))
            .collect()
    }

    /// Refuses at once if the minimum coverage cannot be reached with the usable replicas or by the
    /// deadline.
    fn refuse_unreachable(
        &mut self,
        choices: &[Option<RouteChoice>],
        left_us: u64,
        actions: &mut Vec<SearchAction>,
    ) -> bool {
        let weight_of = |limit_us: u64| {
            let shards = self.shards.iter().zip(choices);
            let usable = shards
                .filter(|(_, choice)| choice.is_some_and(|choice| choice.expected_us <= limit_us));
            usable
                .map(|(progress, _)| progress.pinned.weight)
                .sum::<u64>()
        };
        let total_weight = self.requested_weight();
        let covers =
            |weight| total_weight == 0 || is_covered(weight, total_weight, self.plan.minimum_ppm);
        if !covers(weight_of(u64::MAX)) {
            (0..choices.len())
                .filter(|index| choices[*index].is_none())
                .for_each(|index| self.mark_without_replica(index));
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

    /// Sends one attempt and schedules its hedge.
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
                    routes.deposit_extra(self.service, self.plan.extra_work_ppm);
                }
                self.dispatch_counts.primaries += 1;
            }
            DispatchKind::Replacement => self.dispatch_counts.replacements += 1,
            DispatchKind::Hedge => self.dispatch_counts.hedges += 1,
            DispatchKind::Retry => self.dispatch_counts.retries += 1,
        }
        let progress = &mut self.shards[index];
        let is_hedge = progress.running_count() > 0;
        progress.is_deferred = false;
        progress.add_attempt(RunningAttempt {
            attempt,
            key: choice.key,
            started: now,
            expected_us: choice.expected_us,
        });
        progress.hedge_at = now + delay;
        progress.late_at = now + delay * LATE_DELAYS;
        let shard = progress.pinned.shard;
        self.record_dispatch(choice, kind, shard, routes, actions);
        actions.push(SearchAction::Dispatch(SubPlan {
            attempt,
            replica: routes.replica_name(choice.key.row).clone(),
            keeper: routes.keeper_name(choice.key.row).clone(),
            shard,
            snapshot: SnapshotNumber(self.pinned_number()),
            expires: self.answer_by,
            hedge: is_hedge,
            suspect: self.poison_state != PoisonState::Clear,
        }));
    }

    fn hedge_delay(&self, now: MonotonicTime, is_hedged: bool, routes: &RouteTable) -> Duration {
        let left = self.answer_by.since(now);
        let known = routes.hedge_delay(self.service, is_hedged);
        known.unwrap_or(left / UNKNOWN_HEDGE_DIVISOR)
    }

    /// Sends the hedges whose delay has passed.
    pub(super) fn send_hedges(
        &mut self,
        now: MonotonicTime,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        if !self.may_hedge() || now >= self.answer_by {
            return;
        }
        for index in 0..self.shards.len() {
            if self.shards[index].awaits_hedge() && now >= self.shards[index].hedge_at {
                self.shards[index].hedges_left -= 1;
                self.shards[index].hedge_at = now + self.hedge_delay(now, true, routes);
                self.send_hedge(now, index, routes, actions);
            }
        }
    }

    pub(super) fn may_hedge(&self) -> bool {
        self.plan.repeatable
            && self.plan.extra_work_ppm > 0
            && self.phase == SearchPhase::Running
            && self.poison_state == PoisonState::Clear
    }

    fn send_hedge(
        &mut self,
        now: MonotonicTime,
        index: usize,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        let max_distance = self.extra_max_distance(index);
        let Some(choice) = self.choose_replica(index, true, max_distance, routes) else {
            return;
        };
        if self.withdraw_budget(now, index, routes, actions) {
            let attempt = self.next_attempt(index);
            self.dispatch(index, attempt, choice, DispatchKind::Hedge, routes, actions);
        }
    }

    /// Largest distance of a hedge or retry. If latency is preferred, extra work stays in the
    /// region unless the minimum coverage needs the shard.
    pub(super) fn extra_max_distance(&self, index: usize) -> u8 {
        let weight = self.shards[index].pinned.weight;
        let without = (self.answered_weight + self.open_weight).saturating_sub(weight);
        let is_needed = !is_covered(without, self.requested_weight(), self.plan.minimum_ppm);
        if is_needed || self.plan.preference == AnswerPreference::Coverage {
            OTHER_REGION_DISTANCE
        } else {
            SAME_REGION_DISTANCE
        }
    }

    pub(super) fn withdraw_budget(
        &mut self,
        now: MonotonicTime,
        index: usize,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) -> bool {
        let granted = routes.withdraw_extra(self.service, now, self.plan.extra_work_ppm);
        if !granted {
            self.dispatch_counts.denied += 1;
            let shard = self.shards[index].pinned.shard;
            self.record_value_event(EventKind::BudgetSpent, shard.0.into(), actions);
        }
        granted
    }

    fn mark_without_replica(&mut self, index: usize) {
        let code = if self.shards[index].pinned.known {
            ResultCode::NoReplica
        } else {
            ResultCode::ShardAbsent
        };
        self.mark_missing(index, code);
    }

    /// Marks an open shard as missing: it will not be answered.
    pub(super) fn mark_missing(&mut self, index: usize, code: ResultCode) {
        let progress = &mut self.shards[index];
        if progress.is_open() {
            assert_eq!(
                progress.running_count(),
                0,
                "a missing shard has no outstanding attempt"
            );
            progress.is_deferred = false;
            progress.state = ShardState::Missing(code);
            self.open_count -= 1;
            self.open_weight -= progress.pinned.weight;
        }
    }

    /// Cancels all outstanding attempts of a shard.
    pub(super) fn cancel_shard(
        &mut self,
        now: MonotonicTime,
        index: usize,
        routes: &mut RouteTable,
        actions: &mut Vec<SearchAction>,
    ) {
        for running in self.shards[index].take_attempts().into_iter().flatten() {
            self.run = self.run.join(RunState::Unknown);
            let ran = now.since(running.started);
            let expected_us = running.expected_us;
            let end = DispatchEnd::Cancelled { ran, expected_us };
            routes.end_dispatch(self.service, running.key, end);
            actions.push(SearchAction::Cancel(running.attempt));
            let shard = self.shards[index].pinned.shard;
            self.record_value_event(EventKind::SubCancelled, shard.0.into(), actions);
        }
    }

    pub(super) fn pinned_number(&self) -> u64 {
        self.pinned.as_ref().map_or(0, |pinned| pinned.snapshot.0)
    }

    pub(super) fn record_value_event(
        &self,
        kind: EventKind,
        value: u64,
        actions: &mut Vec<SearchAction>,
    ) {
        let event = EventDraft::new(kind).with_request(&self.plan.request);
        actions.push(SearchAction::RecordEvent(event.with_value(value)));
    }

    fn record_dispatch(
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
            DispatchKind::Replacement | DispatchKind::Retry => EventKind::SubRetried,
        };
        let event = EventDraft::new(kind)
            .with_request(&self.plan.request)
            .with_replica(routes.replica_name(choice.key.row))
            .with_centre(routes.centre_name(choice.key.row))
            .with_value(shard.0.into());
        actions.push(SearchAction::RecordEvent(event));
    }
}
