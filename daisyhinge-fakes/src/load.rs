//! The load tool: scenarios, open-loop arrivals, callers, faults on a schedule, results.

pub mod arrival;
pub mod fault;
pub mod fleet;
pub mod oracle;
pub mod outcome;
pub mod result;
pub mod run;
pub mod scenario;
pub mod start;
pub mod system;
pub mod tally;
pub mod wire;

mod caller;
mod gather;
mod naive;
mod narrate;
mod schedule;

pub use crate::load::result::LoadResult;
pub use crate::load::run::{LoadTarget, run};
pub use crate::load::scenario::LoadScenario;
pub use crate::load::system::{EntryPoint, SystemHandle};
