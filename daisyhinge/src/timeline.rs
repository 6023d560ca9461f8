//! The time line: a bounded ring of stamped events on each process, filtered and merged.
//!
//! Stamps come from a hybrid logical clock, so that an event which follows from another one sorts
//! behind it even where wall clocks differ, as long as the later process has seen the earlier
//! stamp.

pub mod clock;
pub mod filter;
pub mod line;
pub mod merge;
pub mod ring;

pub use clock::HybridClock;
pub use filter::EventFilter;
pub use line::EventLine;
pub use merge::merge_records;
pub use ring::{EventPage, EventRing};
