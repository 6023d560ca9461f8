//! Claims: at most one attempt wins the right to execute a request that must not be executed twice.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::claim::{
    ClaimOutcome, ClaimReply, ClaimRequest, ClaimResult, EndClaimRequest,
};

/// Retention of a claim, in milliseconds of the log clock.
pub const CLAIM_RETENTION_MS: u64 = 600_000;
/// Maximum age of a claimed request, in milliseconds. Shorter than the retention of claims, because
/// callers' clocks are not exact.
pub const CLAIM_AGE_MAX_MS: u64 = 540_000;
/// Maximum number of stored claims.
pub const CLAIMS_MAX: usize = 100_000;
/// Maximum size of a stored outcome's body, in bytes.
pub const OUTCOME_MAX_BYTES: usize = 64 << 10;
/// Maximum total size of the stored outcome bodies, in bytes; the oldest are dropped first.
pub const OUTCOMES_MAX_BYTES: usize = 16 << 20;

/// Key of a claim; request identifiers are unique within a service.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
struct ClaimKey {
    service: ServiceName,
    request: RequestId,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct ClaimRecord {
    digest: RequestDigest,
    /// The attempt that won the claim; it never changes.
    attempt: AttemptId,
    claimed_ms: u64,
    /// Position in the order of claims; older claims have smaller numbers.
    sequence: u64,
    /// Whether the request was answered; its outcome may have been dropped since.
    ended: bool,
    outcome: Option<ClaimOutcome>,
}

/// Stored claims.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimTable {
    records: BTreeMap<ClaimKey, ClaimRecord>,
    sequence: u64,
    /// Keys by sequence number; rebuilt from `records`.
    #[serde(skip)]
    order: BTreeMap<u64, ClaimKey>,
    /// Outcome sizes by sequence number; rebuilt from `records`.
    #[serde(skip)]
    outcomes: BTreeMap<u64, usize>,
    /// Total size of all outcomes, in bytes; rebuilt from `records`.
    #[serde(skip)]
    outcome_bytes: usize,
}

impl ClaimTable {
    /// Returns the number of stored claims.
    pub fn count(&self) -> usize {
        self.records.len()
    }

    /// Rebuilds the indexes that are derived from `records`.
    pub(super) fn rebuild(&mut self) {
        self.order.clear();
        self.outcomes.clear();
        self.outcome_bytes = 0;
        for (key, record) in &self.records {
            self.order.insert(record.sequence, key.clone());
            if let Some(outcome) = &record.outcome {
                self.outcomes.insert(record.sequence, outcome.body.len());
                self.outcome_bytes += outcome.body.len();
            }
        }
    }

    pub(super) fn expire(&mut self, clock_ms: u64) {
        while let Some((sequence, key)) = self.order.first_key_value() {
            let (sequence, key) = (*sequence, key.clone());
            let expired = self
                .records
                .get(&key)
                .is_none_or(|record| record.claimed_ms + CLAIM_RETENTION_MS <= clock_ms);
            if !expired {
                return;
            }
            self.remove(sequence, &key);
        }
    }

    fn remove(&mut self, sequence: u64, key: &ClaimKey) {
        self.records.remove(key);
        self.order.remove(&sequence);
        self.outcome_bytes -= self.outcomes.remove(&sequence).unwrap_or(0);
    }

    pub(super) fn claim(&mut self, clock_ms: u64, claim_request: &ClaimRequest) -> ClaimReply {
        let key = ClaimKey {
            service: claim_request.service.clone(),
            request: claim_request.request.clone(),
        };
        if let Some(record) = self.records.get(&key) {
            return reply_to_known(record, claim_request);
        }
        if claim_request.age_ms >= CLAIM_AGE_MAX_MS {
            return ClaimReply::Refused(ResultCode::RequestTooOld);
        }
        if self.records.len() >= CLAIMS_MAX {
            return ClaimReply::Refused(ResultCode::ClaimsFull);
        }
        self.sequence += 1;
        self.order.insert(self.sequence, key.clone());
        self.records.insert(
            key,
            ClaimRecord {
                digest: claim_request.digest,
                attempt: claim_request.attempt,
                claimed_ms: clock_ms,
                sequence: self.sequence,
                ended: false,
                outcome: None,
            },
        );
        ClaimReply::Won
    }

    /// Records the end of a claim. Returns `false` if the attempt does not own the claim.
    pub(super) fn end(&mut self, end: &EndClaimRequest) -> bool {
        let key = ClaimKey {
            service: end.service.clone(),
            request: end.request.clone(),
        };
        let Some(record) = self.records.get_mut(&key) else {
            // The claim was released before, or has expired.
            return end.end == ClaimResult::NotRun;
        };
        if record.attempt != end.attempt {
            return false;
        }
        let sequence = record.sequence;
        match &end.end {
            ClaimResult::NotRun if !record.ended => self.remove(sequence, &key),
            ClaimResult::NotRun => return false,
            ClaimResult::Answered(outcome) if !record.ended => {
                record.ended = true;
                if outcome.body.len() > OUTCOME_MAX_BYTES {
                    return false;
                }
                record.outcome = Some(outcome.clone());
                self.outcomes.insert(sequence, outcome.body.len());
                self.outcome_bytes += outcome.body.len();
                self.drop_old_outcomes();
            }
            ClaimResult::Answered(_) => {}
        }
        true
    }

    fn drop_old_outcomes(&mut self) {
        while self.outcome_bytes > OUTCOMES_MAX_BYTES {
            let Some((sequence, bytes)) = self.outcomes.pop_first() else {
                return;
            };
            self.outcome_bytes -= bytes;
            let record = self
                .order
                .get(&sequence)
                .and_then(|key| self.records.get_mut(key));
            if let Some(record) = record {
                record.outcome = None;
            }
        }
    }
}

fn reply_to_known(record: &ClaimRecord, claim_request: &ClaimRequest) -> ClaimReply {
    if record.digest != claim_request.digest {
        return ClaimReply::Refused(ResultCode::RequestIdReused);
    }
    if record.attempt == claim_request.attempt && !record.ended {
        return ClaimReply::Won;
    }
    ClaimReply::Lost(record.outcome.clone())
}
