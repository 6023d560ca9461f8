//! Stand-ins for what surrounds the system: a backend server, a slow link, callers under load.

pub mod http;
pub mod server;
