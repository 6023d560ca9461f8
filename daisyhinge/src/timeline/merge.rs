//! Merges the events of several processes into one time line.

use crate::timeline::ring::EventPage;
use crate::vocabulary::event::EventRecord;

/// All events of `pages` in order of stamp, then VM. Pages that came from the same process twice
/// count once.
pub fn merge_records(pages: Vec<EventPage>) -> Vec<EventRecord> {
    let mut records: Vec<_> = pages.into_iter().flat_map(|page| page.events).collect();
    // Stable, and one process never gives a stamp twice, so equal neighbours are copies.
    records.sort_by(|left, right| (left.stamp, &left.vm).cmp(&(right.stamp, &right.vm)));
    records.dedup();
    records
}
