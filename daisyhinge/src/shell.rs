//! Thin shells: they turn bytes into events and actions into bytes.
//!
//! Lock order: a shell takes at most one of its table locks at a time and holds none across an
//! await, unless the module that owns the table states otherwise.

pub mod control;
pub mod link;
