//! Counts of the demonstration.

use serde::Serialize;

/// What came of all requests.
#[derive(Clone, Debug, Default)]
pub struct DemoTally {
    /// Requests sent, resends included.
    pub requests: u64,
    /// Whole answers.
    pub whole: u64,
    /// Partial answers.
    pub partial: u64,
    /// Refusals.
    pub refused: u64,
    /// Requests without any reply.
    pub lost: u64,
    /// Requests that may not be repeated and ran more than once.
    pub doubled: u64,
    /// Answers with parts of more than one snapshot.
    pub snapshot_mixed: u64,
    /// Answers whose stated coverage is not that of their parts, or that are another request's.
    pub false_answers: u64,
    /// Sub-requests that a data centre got 5 s after it was taken out.
    pub after_take_out: u64,
    /// Sub-requests that the answers needed.
    pub wanted_subs: u64,
    /// Sub-requests beyond those, relative to them.
    pub extra_load_ratio: f64,
    /// Times to answer, in microseconds.
    pub latencies_us: Vec<u64>,
}

#[derive(Debug, Serialize)]
struct TallyLine {
    requests: u64,
    whole: u64,
    partial: u64,
    refused: u64,
    lost: u64,
    doubled: u64,
    snapshot_mixed: u64,
    false_answers: u64,
    after_take_out: u64,
    extra_load_ratio: f64,
    p50_ms: f64,
    p99_ms: f64,
}

impl DemoTally {
    /// Whether nothing that must hold was broken.
    pub fn is_clean(&self) -> bool {
        let broken = self.lost + self.doubled + self.snapshot_mixed + self.false_answers;
        broken + self.after_take_out == 0 && self.whole > 0
    }

    /// The counts as one line of JSON.
    pub fn write(&self) -> String {
        let line = TallyLine {
            requests: self.requests,
            whole: self.whole,
            partial: self.partial,
            refused: self.refused,
            lost: self.lost,
            doubled: self.doubled,
            snapshot_mixed: self.snapshot_mixed,
            false_answers: self.false_answers,
            after_take_out: self.after_take_out,
            extra_load_ratio: self.extra_load_ratio,
            p50_ms: self.quantile_ms(50),
            p99_ms: self.quantile_ms(99),
        };
        serde_json::to_string(&line).unwrap_or_default()
    }

    /// A percentile of the times to answer, in milliseconds.
    pub fn quantile_ms(&self, percent: usize) -> f64 {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
        sorted.get(index).copied().unwrap_or(0) as f64 / 1_000.0
    }
}
