//! What each customer has used lately, by priority.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

use crate::prelude::*;

/// Interval after which all counts are halved.
const HALVING_INTERVAL: Duration = Duration::from_secs(1);
/// Halvings after which nothing is left of any count.
const HALVINGS_MAX: u64 = 64;
/// A customer is ranked ahead while its admitted fraction is below this part of that of its whole
/// priority. Callers are promised a quarter; the rest is for what is admitted but not answered.
const STARVED_FRACTION: f64 = 0.35;
/// Number of classes above which unused ones are removed.
const CLASSES_MAX: usize = 1_024;
/// Count below which a class is unused.
const UNUSED_COUNT: f64 = 0.01;

/// Index of the requests of one customer and priority.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ClassIndex(usize);

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    arrived: f64,
    admitted: f64,
}

#[derive(Debug)]
struct Class {
    key: ClassKey,
    counts: Counts,
}

type ClassKey = (u32, Option<CustomerName>);

/// Recent arrivals and admissions of each customer and priority.
#[derive(Debug, Default)]
pub(super) struct ClassTable {
    classes: Vec<Class>,
    indices: HashMap<ClassKey, ClassIndex>,
    priorities: HashMap<u32, Counts>,
    halve_at: MonotonicTime,
}

impl ClassTable {
    /// Lets old counts decay. Unused classes are removed if no index is in use; returns whether that
    /// changed the indices.
    pub(super) fn decay(&mut self, now: MonotonicTime, may_remove: bool) -> bool {
        if now < self.halve_at {
            return false;
        }
        let interval = HALVING_INTERVAL.as_micros();
        let overdue = now.since(self.halve_at).as_micros() / interval;
        let halvings = u64::try_from(overdue).unwrap_or(HALVINGS_MAX) + 1;
        let factor = 0.5_f64.powf(halvings.min(HALVINGS_MAX) as f64);
        let classes = self.classes.iter_mut().map(|class| &mut class.counts);
        for counts in classes.chain(self.priorities.values_mut()) {
            counts.arrived *= factor;
            counts.admitted *= factor;
        }
        self.halve_at = now + HALVING_INTERVAL;
        if !may_remove || self.classes.len() <= CLASSES_MAX {
            return false;
        }
        self.classes
            .retain(|class| class.counts.arrived >= UNUSED_COUNT);
        let keys = self.classes.iter().map(|class| class.key.clone());
        self.indices = keys.zip((0..).map(ClassIndex)).collect();
        true
    }

    /// Returns the class of a customer's requests, which is added if missing.
    pub(super) fn find(&mut self, priority: u32, customer: Option<&CustomerName>) -> ClassIndex {
        let key = (priority, customer.cloned());
        if let Some(index) = self.indices.get(&key) {
            return *index;
        }
        let index = ClassIndex(self.classes.len());
        self.classes.push(Class {
            key: key.clone(),
            counts: Counts::default(),
        });
        self.indices.insert(key, index);
        index
    }

    pub(super) fn record_arrival(&mut self, class: ClassIndex) {
        let class = &mut self.classes[class.0];
        class.counts.arrived += 1.0;
        self.priorities.entry(class.key.0).or_default().arrived += 1.0;
    }

    pub(super) fn record_admission(&mut self, class: ClassIndex) {
        let class = &mut self.classes[class.0];
        class.counts.admitted += 1.0;
        self.priorities.entry(class.key.0).or_default().admitted += 1.0;
    }

    /// Returns the priority of a class.
    pub(super) fn priority(&self, class: ClassIndex) -> u32 {
        self.classes[class.0].key.0
    }

    /// Compares two classes; requests of the lesser one are admitted first.
    pub(super) fn compare(&self, one: ClassIndex, other: ClassIndex) -> Ordering {
        if one == other {
            return Ordering::Equal;
        }
        let (one, other) = (&self.classes[one.0], &self.classes[other.0]);
        one.key
            .0
            .cmp(&other.key.0)
            .then_with(|| self.is_starved(other).cmp(&self.is_starved(one)))
            .then_with(|| one.counts.admitted.total_cmp(&other.counts.admitted))
    }

    /// Whether a customer is served far less often than all of its priority.
    fn is_starved(&self, class: &Class) -> bool {
        let counts = class.counts;
        let all = self.priorities.get(&class.key.0);
        all.is_some_and(|all| {
            counts.admitted * all.arrived < STARVED_FRACTION * all.admitted * counts.arrived
        })
    }
}
