//! Counts of a run's events, which show whether the run covered enough.

use std::fmt;

use crate::event::EntryStart;

/// Odd factor that spreads each part over all bits of the digest.
const TRACE_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunCounts {
    /// Digest of the times, order and receivers of all events.
    pub trace: u64,
    pub submitted: u64,
    pub whole: u64,
    pub partial: u64,
    pub refused: u64,
    pub not_run: u64,
    pub claimed_runs: u64,
    pub resends: u64,
    pub dispatched: u64,
    pub not_sent: u64,
    pub cold_arrivals: u64,
    pub crashes: u64,
    /// Crashes by a poison request before its first crash was known to any entry.
    pub crashes_unknown: u64,
    /// Crashes by a poison request whose sender knew of an earlier crash.
    pub crashes_known: u64,
    /// Crashes by a poison request whose sender had not learned of an earlier crash in time.
    pub crashes_forgotten: u64,
    pub accepted: u64,
    pub take_outs: u64,
    pub faults: u64,
    pub restarts: u64,
    pub leaves: u64,
    /// Leaves that ended only at the shutdown timeout.
    pub slow_leaves: u64,
    pub settle_ms_max: u64,
}

impl RunCounts {
    /// Adds an event to the digest of the run.
    pub fn trace_event(&mut self, at: u64, sequence: u64, to: Option<EntryStart>) {
        let receiver = to.map_or(0, |to| 1 + (to.index as u64) + 16 * to.start);
        for part in [at, sequence, receiver] {
            self.trace = (self.trace.rotate_left(5) ^ part).wrapping_mul(TRACE_FACTOR);
        }
    }

    pub fn add(&mut self, other: &Self) {
        self.trace ^= other.trace;
        self.submitted += other.submitted;
        self.whole += other.whole;
        self.partial += other.partial;
        self.refused += other.refused;
        self.not_run += other.not_run;
        self.claimed_runs += other.claimed_runs;
        self.resends += other.resends;
        self.dispatched += other.dispatched;
        self.not_sent += other.not_sent;
        self.cold_arrivals += other.cold_arrivals;
        self.crashes += other.crashes;
        self.crashes_unknown += other.crashes_unknown;
        self.crashes_forgotten += other.crashes_forgotten;
        self.crashes_known += other.crashes_known;
        self.accepted += other.accepted;
        self.take_outs += other.take_outs;
        self.faults += other.faults;
        self.leaves += other.leaves;
        self.slow_leaves += other.slow_leaves;
        self.restarts += other.restarts;
        self.settle_ms_max = self.settle_ms_max.max(other.settle_ms_max);
    }
}

impl fmt::Display for RunCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}
