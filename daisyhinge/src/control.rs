//! Replicated log of the control processes: consensus, storage, replicated state and freshness
//! proofs. No I/O.

pub mod core;
pub mod limits;
pub mod log;
pub mod member;
pub mod message;
pub mod record;
pub mod rollout_driver;
pub mod state_machine;
pub mod store;
pub mod voter;
