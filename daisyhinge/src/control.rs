//! Control: the replicated log, its store, the book that it keeps, and freshness. No I/O.

pub mod book;
pub mod core;
pub mod limits;
pub mod log;
pub mod member;
pub mod message;
pub mod record;
pub mod store;
pub mod voter;
