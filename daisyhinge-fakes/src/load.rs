//! The load generator: scenarios, open-loop arrivals, callers, scheduled faults and results.

pub mod arrival;
pub mod fault;
pub mod fleet;
pub mod oracle;
pub mod outcome;
pub mod result;
pub mod run;
pub mod scenario;
pub mod start;
pub mod stats;
pub mod system;
pub mod wire;

mod caller;
mod collect;
mod events;
mod naive;
mod schedule;

pub use crate::load::result::LoadResult;
pub use crate::load::run::{LoadTarget, run};
pub use crate::load::scenario::LoadScenario;
pub use crate::load::system::{EntryPoint, SystemHandle};
