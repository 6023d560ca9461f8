//! Precedence between records of the same replica.

use std::time::Duration;

use crate::prelude::*;
use crate::vocabulary::registration::{ReplicaPhase, ReplicaRecord};

/// Highest sequence number that still identifies the first heartbeats after a start.
const INITIAL_SEQUENCE_MAX: u64 = 2;

/// Returns whether `next`, received from the replica itself, is later than `known`.
pub(super) fn is_newer(known: &ReplicaRecord, next: &ReplicaRecord) -> bool {
    let Some(born) = known.born_ms else {
        // Only the departure is known: a heartbeat may have been sent before it by the same
        // incarnation.
        return next.sequence <= INITIAL_SEQUENCE_MAX;
    };
    if next.born_ms != Some(born) {
        return next.born_ms > Some(born);
    }
    known.phase != ReplicaPhase::Left && next.sequence > known.sequence
}

/// Returns whether the replica may receive requests or still runs some.
pub(super) fn is_in_use(record: &ReplicaRecord) -> bool {
    matches!(record.phase, ReplicaPhase::Ready | ReplicaPhase::Draining)
}

/// Returns whether `next` names a replica that is in use as one of another service. A replica keeps its
/// service, so `next` is from another writer.
pub(super) fn contradicts(known: &ReplicaRecord, next: &ReplicaRecord) -> bool {
    known.service != next.service && is_in_use(known)
}

/// Returns whether the replica has sent more heartbeats since its start than one that started within
/// the last heartbeat interval.
pub(super) fn is_established(record: &ReplicaRecord) -> bool {
    record.born_ms.is_some() && record.sequence > INITIAL_SEQUENCE_MAX
}

/// Returns whether `next`, received from another process, replaces `known`.
pub fn supersedes(known: &ReplicaRecord, next: &ReplicaRecord) -> bool {
    if known.born_ms != next.born_ms {
        return known.born_ms.is_some() && next.born_ms > known.born_ms;
    }
    let has_left = |record: &ReplicaRecord| record.phase == ReplicaPhase::Left;
    // A copy that lost its version on the way through a build without versions must not keep the
    // original out.
    let order = |record: &ReplicaRecord| {
        let has_version = !record.version.as_str().is_empty();
        let (phase, holder) = (record.phase, record.holder);
        (
            has_left(record),
            record.sequence,
            phase,
            holder,
            has_version,
        )
    };
    order(known) < order(next)
}

/// Returns whether a later heartbeat changes more than its sequence number and remaining cold time.
pub(super) fn is_modified(known: &ReplicaRecord, next: &ReplicaRecord) -> bool {
    known.phase != next.phase
        || known.address != next.address
        || known.service != next.service
        || known.slots != next.slots
        || known.born_ms != next.born_ms
        || known.holder != next.holder
        || known.data_centre != next.data_centre
        || known.version != next.version
}

/// Returns whether two ends of the cold period differ by more than the jitter of heartbeats.
pub(super) fn cold_end_differs(known: MonotonicTime, next: MonotonicTime) -> bool {
    const TOLERANCE: Duration = Duration::from_millis(1_500);
    known.since(next) > TOLERANCE || next.since(known) > TOLERANCE
}

pub(super) fn saturating_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
