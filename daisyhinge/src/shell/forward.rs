//! Forwards callers' requests to replicas: the sockets and the clock around [`Dispatcher`].
//!
//! A request runs in the task of its caller's connection, so it is cancelled when that connection
//! closes. A connection to a replica is polled by the request that uses it. No lock is held across
//! an await. Whoever holds the dispatcher's lock may take those of the pool, the links and the log;
//! nobody takes the dispatcher's while holding one of these.
//!
//! [`Dispatcher`]: crate::dispatch::Dispatcher

pub mod access;
mod admission;
mod adoption;
mod answer;
mod answer_body;
pub mod attempt;
pub mod connection;
pub mod crashes;
mod drop_reason;
pub mod freshness;
pub mod gate;
mod limited_stream;
pub mod listen;
pub mod notice;
mod outcome_log;
pub mod outgoing;
mod pool;
pub mod quota;
mod quota_state;
pub mod reach;
pub mod relay;
mod reporter;
pub mod rollouts;
mod run;
pub mod state;
pub mod warm;
pub mod wire;
