//! Recent totals of one route at both versions, as windows of increments.

use std::collections::VecDeque;

use crate::vocabulary::rollout::{LATENCY_BUCKETS, RouteCounts};

/// Number of totals kept besides the first. One is kept per step with news, so that they span 8 s
/// at a step every 250 ms.
const TOTALS_MAX: usize = 33;

/// Cumulative outcomes of one version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct OutcomeTotals {
    pub sent: u64,
    pub answered: u64,
    pub failed: u64,
    /// Number of latencies in each bucket and all higher ones.
    pub at_least: [u64; LATENCY_BUCKETS],
}

/// Cumulative outcomes of both versions at one step.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct PairTotals {
    pub stable: OutcomeTotals,
    pub target: OutcomeTotals,
}

/// Cumulative outcomes over time. The first totals are zero until it is restarted.
#[derive(Clone, Debug)]
pub(super) struct TotalsHistory {
    first: PairTotals,
    recent: VecDeque<PairTotals>,
}

impl Default for OutcomeTotals {
    fn default() -> Self {
        Self {
            sent: 0,
            answered: 0,
            failed: 0,
            at_least: [0; LATENCY_BUCKETS],
        }
    }
}

impl OutcomeTotals {
    /// Adds the counts of one route.
    pub fn add(&mut self, counts: &RouteCounts) {
        self.sent += counts.sent;
        self.answered += counts.answered;
        self.failed += counts.failed;
        let mut sum = 0;
        let length = counts.latency.counts.len().min(LATENCY_BUCKETS);
        for bucket in (0..length).rev() {
            sum += u64::from(counts.latency.counts[bucket]);
            self.at_least[bucket] += sum;
        }
    }

    /// Returns the number of requests with an outcome.
    pub fn outcomes(&self) -> u64 {
        self.answered + self.failed
    }

    /// Keeps the higher value of each total, since a total that falls is outdated.
    fn raise_to(&mut self, former: &Self) {
        self.sent = self.sent.max(former.sent);
        self.answered = self.answered.max(former.answered);
        self.failed = self.failed.max(former.failed);
        for (total, former) in self.at_least.iter_mut().zip(&former.at_least) {
            *total = (*total).max(*former);
        }
    }
}

impl TotalsHistory {
    /// Creates a history that begins with zero totals.
    pub fn open() -> Self {
        let first = PairTotals::default();
        let recent = VecDeque::from([first.clone()]);
        Self { first, recent }
    }

    /// Appends totals if they differ from the newest ones. Returns whether they do.
    pub fn push(&mut self, mut totals: PairTotals) -> bool {
        let newest = self.newest();
        totals.stable.raise_to(&newest.stable);
        totals.target.raise_to(&newest.target);
        if totals == *newest {
            return false;
        }
        self.recent.push_back(totals);
        if self.recent.len() > TOTALS_MAX {
            self.recent.pop_front();
        }
        true
    }

    /// Forgets all but the newest totals, from which the rollout is then counted.
    pub fn restart(&mut self) {
        self.first = self.newest().clone();
        self.recent = VecDeque::from([self.first.clone()]);
    }

    /// Returns the newest totals.
    pub fn newest(&self) -> &PairTotals {
        self.recent.back().unwrap_or(&self.first)
    }

    /// Returns the totals `steps` before the newest ones; the first ones if these are older.
    pub fn before(&self, steps: usize) -> &PairTotals {
        let index = self.recent.len().checked_sub(steps + 1);
        index
            .and_then(|index| self.recent.get(index))
            .unwrap_or(&self.first)
    }

    /// Returns the totals from which the rollout is counted.
    pub fn first(&self) -> &PairTotals {
        &self.first
    }
}
