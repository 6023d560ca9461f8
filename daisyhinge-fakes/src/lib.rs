//! Stand-ins for what surrounds the system: a backend server, a slow link, callers under load.

pub mod control;
pub mod http;
pub mod process;
pub mod server;
