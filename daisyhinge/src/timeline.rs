//! The timeline: a bounded ring buffer of timestamped events in each process, which can be
//! filtered and merged.
//!
//! Timestamps come from a hybrid logical clock: an event sorts after its cause even if the wall
//! clocks of the processes differ, provided that the process of the later event has received the
//! timestamp of the earlier one.

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
