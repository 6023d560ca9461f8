//! Merges the events of several processes into one timeline.

use crate::timeline::ring::EventPage;
use crate::vocabulary::event::EventRecord;

/// Returns all events of `pages` ordered by timestamp, then VM. An event that several pages of the
/// same process contain is returned once.
pub fn merge_records(pages: Vec<EventPage>) -> Vec<EventRecord> {
    let mut records: Vec<_> = pages.into_iter().flat_map(|page| page.events).collect();
    // A process never assigns the same timestamp twice, so equal neighbours are copies.
    records.sort_by(|left, right| (left.stamp, &left.vm).cmp(&(right.stamp, &right.vm)));
    records.dedup();
    records
}
