//! Statistics of the demonstration.

use serde::Serialize;

/// Counts and latencies of all requests.
#[derive(Clone, Debug, Default)]
pub struct DemoStats {
    /// Number of requests sent, including resends.
    pub requests: u64,
    /// Number of complete answers.
    pub whole: u64,
    /// Number of answers that lack at least one shard.
    pub partial: u64,
    /// Number of requests that an entry refused.
    pub refused: u64,
    /// Number of requests without a decodable reply; must be 0.
    pub lost: u64,
    /// Number of non-repeatable requests that ran more than once; must be 0.
    pub doubled: u64,
    /// Number of answers with parts of several snapshots; must be 0.
    pub snapshot_mixed: u64,
    /// Number of answers whose reported coverage does not match their parts, or that belong to
    /// another request; must be 0.
    pub false_answers: u64,
    /// Number of sub-requests that reached a data centre later than 5 s after it was taken out of
    /// service; must be 0.
    pub after_take_out: u64,
    /// Minimum number of sub-requests for the answers received, one for each part.
    pub needed_sub_requests: u64,
    /// Ratio of additional sub-requests to the needed ones.
    pub extra_load_ratio: f64,
    /// Latencies of the answers, in microseconds, in the order of arrival.
    pub latencies_us: Vec<u64>,
}

#[derive(Debug, Serialize)]
struct StatsLine {
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

impl DemoStats {
    /// Whether no guarantee was violated and at least one answer was complete.
    pub fn is_clean(&self) -> bool {
        let violations = self.lost + self.doubled + self.snapshot_mixed + self.false_answers;
        violations + self.after_take_out == 0 && self.whole > 0
    }

    /// Formats the statistics as one line of JSON.
    pub fn to_json_line(&self) -> String {
        let line = StatsLine {
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
            p50_ms: self.percentile_ms(50),
            p99_ms: self.percentile_ms(99),
        };
        serde_json::to_string(&line).unwrap_or_default()
    }

    /// Returns a percentile of the latencies, in milliseconds; 0 without answers.
    pub fn percentile_ms(&self, percent: usize) -> f64 {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
        sorted.get(index).copied().unwrap_or(0) as f64 / 1_000.0
    }
}
