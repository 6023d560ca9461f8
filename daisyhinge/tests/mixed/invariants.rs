//! Invariants of a run, checked against the model's own record of events.

use daisyhinge::crash::PoisonStatus;
use daisyhinge::prelude::*;
use daisyhinge::search::is_covered;
use daisyhinge::vocabulary::answer::{QueryAnswer, QueryRefusal};
use daisyhinge::vocabulary::environment::CentreState;

use crate::operators::{IN_FORCE_TIMEOUT, is_complete_answer};
use crate::servers::part_body;
use crate::world::{
    CallerOutcome, ENTRIES, ENVIRONMENT, MS, POISON_DIGESTS, PRINT, SEARCH, SECOND, SentRun,
    SimEvent, Waiter, World,
};

/// Time after which nothing may be sent to a replica whose departure was accepted.
const LEAVE_GRACE: u64 = 4 * SECOND;
/// Time within which every entry learns of a crash, unless it was partitioned or started later.
const CRASH_SPREAD_TIME: u64 = SECOND;
/// Maximum number of further servers that one request may crash through dispatches whose root entry
/// or keeper already knew that the request had crashed a server.
const POISON_CRASHES_MAX: u64 = 2;

impl World {
    /// Checks a dispatch that a keeper is about to send to a backend server.
    pub fn check_dispatch(&self, index: usize, server: usize, waiter: &Waiter) {
        let entry = &self.entries[index];
        self.check_version(index);
        let announcement = &self.servers[server].announcement;
        let centre = &announcement.data_centre;
        let taken_out = self.accepted.iter().rfind(|change| {
            change.taken_out.as_ref() == Some(centre) && change.at + IN_FORCE_TIMEOUT < self.now
        });
        let version = entry.view.version;
        assert!(
            taken_out.is_none_or(|change| change.version <= version),
            "sent to a data centre that was taken out of service long ago"
        );
        let document = &entry.view.environments[&ENVIRONMENT.into()];
        let state = document.find_centre(centre).map(|centre| centre.state);
        assert_eq!(
            state,
            Some(CentreState::In),
            "sent to a data centre that is not in service"
        );
        if let Some(at) = self.servers[server].leave_accepted {
            assert!(self.now < at + LEAVE_GRACE, "sent to a replica that left");
        }
        let local_time = entry.local_time(self.now);
        assert_ne!(
            entry
                .keeper_set
                .crashes()
                .poison_status(local_time, waiter.info.digest),
            PoisonStatus::Poisoned,
            "a poisoned request was sent"
        );
        assert!(!waiter.request.repeatable || waiter.request.service.as_str() == SEARCH);
    }

    /// Checks that the entry, which may dispatch, has adopted every change accepted more than
    /// `IN_FORCE_TIMEOUT` ago.
    fn check_version(&self, index: usize) {
        let entry = &self.entries[index];
        let old = self
            .accepted
            .iter()
            .filter(|change| change.at + IN_FORCE_TIMEOUT < self.now);
        let newest = old.map(|change| change.version).max();
        assert!(
            newest.is_none_or(|newest| newest <= entry.view.version),
            "acts on a version that was superseded long ago"
        );
    }

    /// Checks a run that a backend server starts.
    pub fn check_run(&mut self, run: &SentRun) {
        let number = self.dispatches[&run.info.attempt].submission;
        let submission = self
            .submissions
            .get_mut(&number)
            .expect("submission is recorded");
        assert_ne!(
            submission.outcome,
            CallerOutcome::NotRun,
            "a request runs after its caller got a refusal as not run"
        );
        submission.ran = true;
        if submission.service.as_str() == PRINT {
            let runs = self.print_runs.entry(submission.request.clone());
            let runs = runs.or_default();
            *runs += 1;
            assert_eq!(*runs, 1, "{} ran twice", submission.request);
            self.counts.claimed_runs += 1;
        }
    }

    /// Returns whether the request crashes the backend server, and counts the crash.
    ///
    /// # Panics
    ///
    /// If too many crashes of one request have a sender that knew of an earlier crash.
    pub fn record_poison_run(&mut self, run: &SentRun) -> bool {
        let digest = run.info.digest.0;
        if digest >= POISON_DIGESTS {
            return false;
        }
        let record = self.poisons.entry(digest).or_default();
        record.crashes += 1;
        let dispatch = self.dispatches[&run.info.attempt];
        let known = record.known_since.unwrap_or(u64::MAX - CRASH_SPREAD_TIME);
        // A dispatch that was decided before any entry knew counts towards the first crash.
        if dispatch.at > known && (dispatch.root_knew_crash || run.keeper_knew_crash) {
            record.crashes_known += 1;
            self.counts.crashes_known += 1;
            assert!(
                record.crashes_known <= POISON_CRASHES_MAX,
                "a request crashed further servers after entries knew of its first crash"
            );
        } else if dispatch.at > known + CRASH_SPREAD_TIME {
            record.crashes_forgotten += 1;
            self.counts.crashes_forgotten += 1;
            assert!(
                !self.strict,
                "the sender did not know of a crash {} us ago",
                dispatch.at - known
            );
        } else {
            self.counts.crashes_unknown += 1;
        }
        true
    }

    pub fn record_reset(&mut self, digest: RequestDigest) {
        if digest.0 < POISON_DIGESTS {
            let record = self.poisons.entry(digest.0).or_default();
            record.known_since.get_or_insert(self.now);
        }
    }

    pub fn check_result(
        &mut self,
        index: usize,
        number: u64,
        result: &Result<QueryAnswer, QueryRefusal>,
    ) {
        let submission = self
            .submissions
            .get_mut(&number)
            .expect("submission is recorded");
        assert_eq!(submission.outcome, CallerOutcome::Pending, "answered twice");
        submission.outcome = CallerOutcome::Final;
        match result {
            Ok(answer) => self.check_answer(index, number, answer),
            Err(refusal) => {
                self.counts.refused += 1;
                assert_eq!(refusal.request, submission.request);
                if refusal.run == RunState::NotRun {
                    self.counts.not_run += 1;
                    submission.outcome = CallerOutcome::NotRun;
                    assert!(
                        !submission.ran,
                        "refused as not run, but it ran: {refusal:?}"
                    );
                }
                if refusal.run == RunState::Ran {
                    assert!(
                        submission.ran,
                        "refused as run, but it did not run: {refusal:?}"
                    );
                }
            }
        }
    }

    fn check_answer(&mut self, index: usize, number: u64, answer: &QueryAnswer) {
        let submission = self.submissions[&number].clone();
        assert_eq!(answer.request, submission.request);
        let print = submission.service.as_str() == PRINT;
        let weights = if print {
            vec![7]
        } else {
            self.snapshots[&answer.snapshot.0].weights.clone()
        };
        let mut listed: Vec<_> = answer.parts.iter().map(|part| part.shard.0).collect();
        listed.extend(answer.missing.iter().map(|missing| missing.shard.0));
        listed.sort_unstable();
        let all: Vec<_> = (0u32..).take(weights.len()).collect();
        assert_eq!(
            listed, all,
            "each shard must be either answered or listed as missing"
        );
        for part in &answer.parts {
            // A resent request gets the outcome of the submission that ran.
            let is_part_of =
                |number: &u64| part.body == part_body(*number, answer.snapshot, part.shard);
            let submitted = &self.submissions_by_request[&submission.request];
            assert!(
                is_part_of(&number) || (answer.resent && submitted.iter().any(is_part_of)),
                "a part of another request or snapshot: {part:?} for {number}"
            );
        }
        let weight = |part: &daisyhinge::vocabulary::answer::AnswerPart| {
            weights[usize::try_from(part.shard.0).expect("fits in usize")]
        };
        let answered: u64 = answer.parts.iter().map(weight).sum();
        let total: u64 = weights.iter().sum();
        assert_eq!(
            (answer.answered_weight, answer.whole_weight),
            (answered, total),
            "the reported coverage is wrong"
        );
        assert!(
            answer.resent || is_covered(answered, total, submission.minimum_ppm),
            "the coverage is below the requested minimum"
        );
        if !is_complete_answer(answer) {
            self.counts.partial += 1;
            return;
        }
        self.counts.whole += 1;
        if self.faults_ended_at.is_some() {
            self.recovered.insert((index, submission.service));
        }
    }

    /// Checks at regular intervals the version of every running entry that has a lease.
    pub fn check_entries(&mut self) {
        self.push(100 * MS, None, SimEvent::Check);
        for index in 0..ENTRIES {
            let entry = &self.entries[index];
            let awake = entry.alive && entry.frozen_until <= self.now;
            if awake && entry.lease.holds(entry.local_time(self.now)) {
                self.check_version(index);
            }
        }
    }

    /// Returns whether every entry gives complete answers again and has adopted every accepted
    /// change.
    pub fn has_recovered(&self) -> bool {
        let newest = self.accepted.iter().map(|change| change.version).max();
        (0..ENTRIES).all(|index| {
            let entry = &self.entries[index];
            let services = [SEARCH, PRINT].map(ServiceName::from);
            entry.alive
                && !entry.leaving
                && newest.is_none_or(|newest| newest <= entry.view.version)
                && services
                    .into_iter()
                    .all(|service| self.recovered.contains(&(index, service)))
        })
    }

    /// Checks that each request received by an entry that still runs got its answer.
    pub fn check_all_answered(&self) {
        for (number, submission) in &self.submissions {
            let received = submission.arrived && self.is_running(submission.to);
            let awake = self.entries[submission.to.index].frozen_until <= self.now;
            let search = self.entries[submission.to.index].searches.get(number);
            let overdue = search.is_none_or(|search| {
                let now = self.entries[submission.to.index].local_time(self.now);
                now.since(search.plan.deadline).as_micros() > 500_000
            });
            assert!(
                submission.outcome != CallerOutcome::Pending || !received || !awake || !overdue,
                "request {number} was never answered"
            );
        }
    }

    pub fn describe(&self) -> String {
        let entries = self.entries.iter().map(|entry| {
            format!(
                "{} alive={} leaving={} released={} listed={:?} version={} \
                 holds={} keeps={} runs={} started={}; ",
                entry.vm,
                entry.alive,
                entry.leaving,
                entry.released,
                entry
                    .view
                    .entries
                    .iter()
                    .find(|record| record.vm == entry.vm)
                    .map(|record| (record.incarnation, record.state)),
                entry.view.version,
                entry.lease.holds(entry.local_time(self.now)),
                entry.keeper_set.len(),
                entry.searches.len(),
                entry.start,
            )
        });
        entries.collect()
    }
}
