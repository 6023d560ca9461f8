//! Order of waiting requests.

use std::cmp::Ordering;

use super::AdmissionTicket;
use super::class::{ClassIndex, ClassTable};
use crate::prelude::*;

/// What determines the order of a waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rank {
    pub class: ClassIndex,
    /// Whether the objective of the request had passed when it arrived.
    pub is_late: bool,
    /// Whether the caller was not refused before, or does not come back at the time that it was told.
    pub is_new: bool,
    pub objective_at: MonotonicTime,
    pub ticket: AdmissionTicket,
}

impl Rank {
    /// Compares two requests; the lesser one is admitted first.
    pub(super) fn compare(&self, other: &Self, classes: &ClassTable) -> Ordering {
        classes
            .compare(self.class, other.class)
            .then_with(|| self.is_late.cmp(&other.is_late))
            .then_with(|| self.is_new.cmp(&other.is_new))
            .then_with(|| self.objective_at.cmp(&other.objective_at))
            .then_with(|| self.ticket.cmp(&other.ticket))
    }
}
