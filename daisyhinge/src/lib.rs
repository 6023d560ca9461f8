//! A query tier over many shards.
//!
//! Decisions are plain structs with one entrance, `step(now, event, &mut actions)`, free of
//! clocks, sockets, threads and locks. The modules under `shell` turn bytes into events and
//! actions into bytes. Imports run one way: shells import decisions, decisions import
//! [`vocabulary`], never back.

pub mod active;
pub mod address;
pub mod check;
pub mod control;
pub mod directory;
pub mod dispatch;
pub mod environment;
pub mod keeper;
pub mod lease;
pub mod metric;
pub mod prelude;
pub mod registry;
pub mod rendezvous;
pub mod routing;
pub mod search;
pub mod setting;
pub mod shell;
pub mod timeline;
pub mod upstream;
pub mod vocabulary;
