//! Quotas of customers over all entries together, without I/O.
//!
//! Each entry keeps a copy of every customer's token bucket. Its own requests are withdrawn at
//! once, those of the other entries when control reports them, so a copy lags by a fraction of a
//! second and its level can become negative. Far from the limit, a request is admitted from the
//! bucket. Near the limit, each entry admits the same part of the requests that arrive at it: callers
//! of one customer use few entries, and an even share would refuse them far below the quota.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::quota::{CustomerUsage, UsageReply};

mod bucket;
pub(crate) mod isolation;
pub(crate) mod rate;
use bucket::CustomerBucket;

/// Time without a confirmed reply from control after which an entry does not know what the others
/// admit.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after its first contact for which an entry does not rely on the counts of a control process
/// that started at about the same time, since the other entries may not have reported to it yet.
const LEARNING_TIME: Duration = Duration::from_millis(500);

/// Limit on a customer's requests at all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Requests per second.
    pub per_second: f64,
    /// Requests beyond that rate that may come at once.
    pub burst: f64,
}

/// Result of asking for admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaDecision {
    /// The request may run.
    Admitted,
    /// The request is beyond the quota and must not run.
    Refused {
        /// Time after which the entry expects to admit a request of the customer.
        retry_after: Duration,
    },
    /// The request was counted, but the entry has just started and does not know yet what the others
    /// admit. It is to be asked again by [`QuotaLedger::reconsider`] after a short time.
    Undecided,
}

/// What an entry knows of the other entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Knowledge {
    /// The entry started, and has not been told of the others yet.
    Learning,
    /// Control has told what the others admitted.
    Current {
        /// Time of the last reply.
        as_of: MonotonicTime,
    },
    /// There was contact once, but not lately.
    Lost,
}

/// Where counts of the other entries come from.
#[derive(Clone, Copy, Debug)]
struct UsageSource {
    /// Epoch of the control process.
    epoch: u64,
    /// Whether entries have had time to report to the process.
    is_settled: bool,
    /// Whether the receiving entry has not heard of a settled process yet.
    is_first: bool,
}

/// One entry's view of the quotas of all customers.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    /// Kept as long as the process runs: control keeps what an entry has counted, and counts that
    /// start again from 0 would be taken for old ones.
    buckets: HashMap<CustomerName, CustomerBucket>,
    /// Random number from which the phases of buckets are derived.
    seed: u64,
    opened_at: Option<MonotonicTime>,
    contact_at: Option<MonotonicTime>,
    /// Time until which the others are not known; unset before the first contact.
    learning_until: Option<MonotonicTime>,
    /// Whether a control process has replied that knew the reports of all entries.
    has_settled: bool,
}

impl QuotaLedger {
    /// Creates a ledger without buckets. `seed` is a random number that differs between entries.
    pub fn open(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Applies what a control process with the epoch replied about all other entries together.
    /// `is_confirmed` states whether the process has a quorum.
    pub fn apply_reply(
        &mut self,
        now: MonotonicTime,
        epoch: u64,
        is_confirmed: bool,
        reply: &UsageReply,
    ) {
        if is_confirmed {
            self.contact_at = Some(now);
            let learned_at = if reply.settled {
                now
            } else {
                now + LEARNING_TIME
            };
            let until = self
                .learning_until
                .map_or(learned_at, |until| until.min(learned_at));
            self.learning_until = Some(until);
        }
        let source = UsageSource {
            epoch,
            is_settled: reply.settled,
            is_first: !self.has_settled,
        };
        self.has_settled |= is_confirmed && reply.settled;
        let is_learning = self.learning_until.is_none_or(|until| now < until);
        for usage in &reply.others {
            let bucket = open_bucket(
                &mut self.buckets,
                self.seed,
                now,
                &usage.customer,
                is_learning,
            );
            bucket.apply_others(now, usage, source);
        }
    }

    /// Decides on one request of a customer, and counts it.
    pub fn admit(
        &mut self,
        now: MonotonicTime,
        customer: &CustomerName,
        limit: QuotaLimit,
    ) -> QuotaDecision {
        let knowledge = self.knowledge(now);
        let is_learning = knowledge == Knowledge::Learning;
        let bucket = open_bucket(&mut self.buckets, self.seed, now, customer, is_learning);
        bucket.count(now);
        bucket.decide(now, limit, knowledge)
    }

    /// Decides on a request that was counted and left undecided.
    pub fn reconsider(
        &mut self,
        now: MonotonicTime,
        customer: &CustomerName,
        limit: QuotaLimit,
    ) -> QuotaDecision {
        let knowledge = self.knowledge(now);
        let is_learning = knowledge == Knowledge::Learning;
        let bucket = open_bucket(&mut self.buckets, self.seed, now, customer, is_learning);
        bucket.decide(now, limit, knowledge)
    }

    fn knowledge(&mut self, now: MonotonicTime) -> Knowledge {
        let opened_at = *self.opened_at.get_or_insert(now);
        match (self.contact_at, self.learning_until) {
            (Some(contact_at), Some(until)) if now.since(contact_at) < CONTACT_TIMEOUT => {
                if now < until {
                    Knowledge::Learning
                } else {
                    Knowledge::Current { as_of: contact_at }
                }
            }
            (None, _) if now.since(opened_at) < CONTACT_TIMEOUT => Knowledge::Learning,
            _ => Knowledge::Lost,
        }
    }

    /// Lists the cumulative use at this entry, ordered by customer.
    pub fn list_usage(&self, now: MonotonicTime) -> Vec<CustomerUsage> {
        let buckets = self.buckets.iter();
        let mut usage: Vec<CustomerUsage> = buckets
            .filter_map(|(customer, bucket)| bucket.usage(now, customer))
            .collect();
        usage.sort_unstable_by(|left, right| left.customer.cmp(&right.customer));
        usage
    }
}

fn open_bucket<'a>(
    buckets: &'a mut HashMap<CustomerName, CustomerBucket>,
    seed: u64,
    now: MonotonicTime,
    customer: &CustomerName,
    is_learning: bool,
) -> &'a mut CustomerBucket {
    if !buckets.contains_key(customer) {
        let bucket = CustomerBucket::open(now, draw_phase(seed, customer), is_learning);
        buckets.insert(customer.clone(), bucket);
    }
    buckets.get_mut(customer).expect("just inserted")
}

/// Derives a number from 0 to 1 from the seed and the customer.
fn draw_phase(seed: u64, customer: &CustomerName) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, customer).hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64
}
