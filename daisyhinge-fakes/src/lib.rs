//! Test doubles for the environment of the system: fake backend servers, a fake control VM, a TCP
//! relay with fault injection, and a load generator.

pub mod checker;
pub mod compare;
pub mod control;
pub mod http;
pub mod load;
pub mod pipe;
pub mod port;
pub mod process;
pub mod report;
pub mod server;
