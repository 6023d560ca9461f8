//! I/O around the decision modules: decodes input into events and performs the resulting actions.
//!
//! Lock order: a shell module acquires at most one of its table locks at a time and holds none
//! across an await, unless the module that owns the table documents otherwise.

pub mod backend;
pub mod body;
pub mod clock;
pub mod control;
pub mod decision;
pub mod entry;
pub mod forward;
pub mod header;
pub mod http_port;
pub mod intake;
pub mod line_budget;
pub mod link;
pub mod link_version;
pub mod log;
pub mod metric;
pub mod operator;
pub mod piece_limit;
pub mod pool;
mod port_drain;
pub mod setting;
pub mod site;
pub mod timeline;
pub mod transport;
