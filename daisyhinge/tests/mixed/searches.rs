//! Model of the callers, and the searches that root entries run for them.

use std::collections::HashMap;

use bytes::Bytes;
use daisyhinge::control::core::CoreRequest;
use daisyhinge::prelude::*;
use daisyhinge::search::plan::{SEQUENCE_STRIDE, SearchPlan};
use daisyhinge::search::{RequestSearch, SearchAction, SearchEvent, SubPlan};
use daisyhinge::vocabulary::answer::QueryRefusal;
use daisyhinge::vocabulary::claim::{ClaimRequest, ClaimResult, EndClaimRequest};
use daisyhinge::vocabulary::query::AnswerPreference;
use daisyhinge::vocabulary::subrequest::{SubRefusal, SubRequest};
use rand::RngExt;

use crate::entries::ADDRESS_KEEP_TIME;
use crate::world::{
    CallKind, CallerOutcome, Dispatch, ENTRIES, ENVIRONMENT, Endpoint, Entry, MS, POISON_DIGESTS,
    PRINT, RunningSearch, SEARCH, SECOND, SimEvent, Submission, World,
};

const CLAIM_ATTEMPTS: u32 = 6;

impl World {
    pub fn send_query(&mut self) {
        let interval = self.random.random_range(2 * MS..24 * MS);
        self.push(interval, None, SimEvent::SendQuery);
        let number = self.submissions.len() as u64;
        let print = self.chance(150);
        let poison = !print && self.faults_ended_at.is_none() && self.chance(8);
        let digest = if poison {
            self.random.random_range(0..POISON_DIGESTS)
        } else {
            1_000 + number
        };
        let submission = Submission {
            request: RequestId::from(format!("request-{number}")),
            service: if print { PRINT } else { SEARCH }.into(),
            digest: RequestDigest(digest),
            minimum_ppm: [0, 500_000, 1_000_000][self.random.random_range(0..3)],
            preference: if self.chance(500) {
                AnswerPreference::Latency
            } else {
                AnswerPreference::Coverage
            },
            timeout: self.random.random_range(200 * MS..1_000 * MS),
            to: self.start_of(0),
            arrived: false,
            outcome: CallerOutcome::Pending,
            ran: false,
            resends_left: if print || poison { 2 } else { 0 },
        };
        self.submit(submission);
    }

    /// Sends a request to a random entry.
    fn submit(&mut self, submission: Submission) {
        let number = self.submissions.len() as u64;
        let index = self.choose_entry();
        let to = self.start_of(index);
        self.counts.submitted += 1;
        let submitted = self
            .submissions_by_request
            .entry(submission.request.clone())
            .or_default();
        submitted.push(number);
        let may_resend = submission.resends_left > 0;
        let timeout = submission.timeout;
        self.submissions
            .insert(number, Submission { to, ..submission });
        let delay = self.random.random_range(200..4 * MS);
        self.push(delay, Some(to), SimEvent::Query { submission: number });
        if may_resend {
            let delay = self.random.random_range(MS..2 * timeout);
            self.push(delay, None, SimEvent::Resend(number));
        }
    }

    /// Chooses an entry to call. Callers cache addresses, so an entry can still be called for a
    /// while after it has started to leave.
    fn choose_entry(&mut self) -> usize {
        let index = self.random.random_range(0..ENTRIES);
        let stale = |entry: &Entry| {
            entry.leaving && self.now > entry.leaving_since + ADDRESS_KEEP_TIME - SECOND
        };
        let others = (0..ENTRIES).map(|step| (index + step) % ENTRIES);
        let mut usable = others.filter(|other| !stale(&self.entries[*other]));
        usable.next().unwrap_or(index)
    }

    /// Resends a request through another entry, whether it was answered or not.
    pub fn resend(&mut self, number: u64) {
        let previous = self.submissions[&number].clone();
        self.counts.resends += 1;
        self.submit(Submission {
            arrived: false,
            outcome: CallerOutcome::Pending,
            ran: false,
            resends_left: previous.resends_left - 1,
            ..previous
        });
    }

    pub fn start_search(&mut self, index: usize, number: u64) {
        let entry = &mut self.entries[index];
        let now = entry.local_time(self.now);
        let submission = self
            .submissions
            .get_mut(&number)
            .expect("submission is recorded");
        submission.arrived = true;
        let document = entry.view.environments.get(&ENVIRONMENT.into());
        let repeatable = submission.service.as_str() == SEARCH;
        if !entry.lease.holds(now) || document.is_none() {
            let refusal = QueryRefusal {
                request: submission.request.clone(),
                code: ResultCode::NoLease,
                run: RunState::NotRun,
                retry_ms: Some(1),
                addresses: Vec::new(),
            };
            self.check_result(index, number, &Err(refusal));
            return;
        }
        entry.sequence += 1;
        let plan = SearchPlan {
            request: submission.request.clone(),
            digest: submission.digest,
            service: submission.service.clone(),
            shard: (!repeatable).then_some(ShardNumber(0)),
            arrived: now,
            deadline: now + Self::duration_from_micros(submission.timeout),
            minimum_ppm: submission.minimum_ppm,
            preference: submission.preference,
            repeatable,
            extra_work_ppm: 50_000,
            origin: entry.origin,
            sequence_base: entry.sequence * SEQUENCE_STRIDE,
        };
        let search = RunningSearch {
            machine: RequestSearch::new(plan.clone()).with_claim_returns(),
            plan,
            in_flight: HashMap::new(),
        };
        entry.searches.insert(number, search);
        self.step_search(index, number, SearchEvent::Start);
    }

    pub fn step_search(&mut self, index: usize, number: u64, event: SearchEvent) {
        let entry = &mut self.entries[index];
        let now = entry.local_time(self.now);
        let Some(search) = entry.searches.get_mut(&number) else {
            return;
        };
        if let SearchEvent::SubEnded { attempt, .. } = &event
            && search.in_flight.remove(attempt).is_none()
            && self.random.random_range(0..2) == 0
        {
            // A late or repeated reply reaches the state machine only sometimes.
            return;
        }
        let mut actions = Vec::new();
        search
            .machine
            .step(now, event, &mut entry.routes, &mut actions);
        for action in actions {
            self.run_search_action(index, number, action);
        }
        let entry = &mut self.entries[index];
        let Some(search) = entry.searches.get(&number) else {
            return;
        };
        if search.machine.is_done() {
            entry.searches.remove(&number);
        } else if let Some(wake) = search.machine.next_wake() {
            self.push_when(wake, index, SimEvent::Wake(number));
        }
    }

    pub fn wake_search(&mut self, index: usize, number: u64) {
        let entry = &self.entries[index];
        let now = entry.local_time(self.now);
        let search = entry.searches.get(&number);
        let wake_at = search.and_then(|search| search.machine.next_wake());
        if wake_at.is_some_and(|at| at <= now) {
            self.step_search(index, number, SearchEvent::Tick);
        }
    }

    /// Carries out an action of a search.
    fn run_search_action(&mut self, index: usize, number: u64, action: SearchAction) {
        let submission = &self.submissions[&number];
        let (service, request) = (submission.service.clone(), submission.request.clone());
        match action {
            SearchAction::Claim(attempt) => {
                let claim = ClaimRequest {
                    service,
                    request,
                    digest: submission.digest,
                    attempt,
                    age_ms: 0,
                };
                let kind = CallKind::Claim { search: number };
                self.call_control(index, kind, CoreRequest::Claim(claim), CLAIM_ATTEMPTS);
            }
            SearchAction::EndClaim { attempt, end } => {
                let returned = end == ClaimResult::NotRun;
                let kind = CallKind::EndClaim {
                    search: number,
                    returned,
                };
                let end = EndClaimRequest {
                    service,
                    request,
                    attempt,
                    end,
                };
                self.call_control(index, kind, CoreRequest::EndClaim(end), CLAIM_ATTEMPTS);
            }
            SearchAction::Dispatch(sub) => {
                let dispatch = Dispatch {
                    submission: number,
                    at: self.now,
                    root_knew_crash: self.entries[index].routes.crashes(submission.digest) > 0,
                };
                let previous = self.dispatches.insert(sub.attempt, dispatch);
                assert!(
                    previous.is_none(),
                    "two dispatches have the same attempt id"
                );
                let search = self.entries[index].searches.get_mut(&number);
                search
                    .expect("search is running")
                    .in_flight
                    .insert(sub.attempt, sub.clone());
                let delay = match self.random.random_range(0..200) {
                    0 => self.random.random_range(0..300 * MS),
                    _ => self.random.random_range(0..100),
                };
                let search = number;
                self.push_to(delay, index, SimEvent::CallKeeper { search, sub });
            }
            SearchAction::Cancel(attempt) => self.cancel(index, number, attempt),
            SearchAction::Finish(result) => self.check_result(index, number, &result),
            SearchAction::RecordEvent(_) => {}
        }
    }

    fn cancel(&mut self, index: usize, number: u64, attempt: AttemptId) {
        let search = self.entries[index].searches.get_mut(&number);
        let Some(sub) = search.and_then(|search| search.in_flight.remove(&attempt)) else {
            return;
        };
        let Some(keeper) = self.find_entry(&sub.keeper) else {
            return;
        };
        let transit_delay = self.transit(Endpoint::Entry(index), Endpoint::Entry(keeper));
        if let Some(delay) = transit_delay {
            let replica = sub.replica;
            self.push_to(delay, keeper, SimEvent::Dropped { replica, attempt });
        }
    }

    /// Sends a sub-request to the keeper of its replica after a final check of the lease.
    pub fn call_keeper(&mut self, index: usize, number: u64, sub: &SubPlan) {
        let entry = &self.entries[index];
        let now = entry.local_time(self.now);
        let Some(search) = entry.searches.get(&number) else {
            return;
        };
        if !search.in_flight.contains_key(&sub.attempt) {
            return;
        }
        let attempt = sub.attempt;
        let refuse = |code| SearchEvent::SubEnded {
            attempt,
            reply: Err(SubRefusal::not_run(code)),
        };
        if !entry.lease.holds(now) {
            self.step_search(index, number, refuse(ResultCode::NoLease));
            return;
        }
        let listed = entry
            .view
            .entries
            .iter()
            .any(|record| record.vm == sub.keeper);
        let keeper = self.find_entry(&sub.keeper).filter(|_| listed);
        let transit_delay = keeper.and_then(|keeper| {
            if keeper == index {
                return Some(0);
            }
            self.transit(Endpoint::Entry(index), Endpoint::Entry(keeper))
        });
        let unavailable = keeper.is_none_or(|keeper| !self.entries[keeper].alive);
        if unavailable || (transit_delay.is_none() && self.chance(500)) {
            let event = refuse(ResultCode::KeeperUnreachable);
            self.step_search(index, number, event);
            return;
        }
        let entry = &self.entries[index];
        let plan = &entry.searches[&number].plan;
        let request = SubRequest {
            attempt,
            request: plan.request.clone(),
            digest: plan.digest,
            service: plan.service.clone(),
            replica: sub.replica.clone(),
            shard: sub.shard,
            snapshot: sub.snapshot,
            version: entry.lease.version(),
            expires_us: u64::try_from(sub.expires.since(now).as_micros()).expect("fits in u64"),
            repeatable: plan.repeatable,
            hedge: sub.hedge,
            suspect: sub.suspect,
            body: Bytes::new(),
        };
        let from = self.start_of(index);
        let search = number;
        if let (Some(keeper), Some(delay)) = (keeper, transit_delay) {
            self.push_to(
                delay,
                keeper,
                SimEvent::SubRequested {
                    from,
                    search,
                    request,
                },
            );
        }
        self.push_when(sub.expires, index, SimEvent::SubTimeout { search, attempt });
    }

    pub fn time_out_sub(&mut self, index: usize, number: u64, attempt: AttemptId) {
        let search = self.entries[index].searches.get(&number);
        if search.is_some_and(|search| search.in_flight.contains_key(&attempt)) {
            let reply = Err(SubRefusal::with_run(
                ResultCode::SubRequestExpired,
                RunState::Unknown,
            ));
            self.step_search(index, number, SearchEvent::SubEnded { attempt, reply });
        }
    }
}
