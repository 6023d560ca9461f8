//! Forwards callers' requests to replicas: sockets and clock around [`Dispatcher`].
//!
//! A request runs in the task of its caller's connection, so that it ends with the connection;
//! connections to replicas are driven by the request that uses them. Locks are held across no
//! await and one at a time.
//!
//! [`Dispatcher`]: crate::dispatch::Dispatcher

mod account;
mod answer;
mod attempt;
mod connection;
mod gate;
pub mod listen;
mod outgoing;
mod pool;
pub mod relay;
mod run;
pub mod state;
pub mod warm;
pub mod wire;
