//! A query tier over many shards.
//!
//! Decision modules are plain structs with a single entry point, `step(now, event, &mut actions)`.
//! They use no clocks, sockets, threads or locks. The modules under `shell` decode input into
//! events and perform the resulting actions. Imports run one way: `shell` imports the decision
//! modules, which import [`vocabulary`].

pub mod active;
pub mod address;
pub mod check;
pub mod control;
pub mod crash;
pub mod customer;
pub mod digest;
pub mod directory;
pub mod dispatch;
pub mod environment;
pub mod intake;
pub mod keeper;
pub mod lease;
pub mod metric;
pub mod prelude;
pub mod quota;
pub mod registry;
pub mod rendezvous;
pub mod rollout;
pub mod routing;
pub mod search;
pub mod setting;
pub mod shell;
pub mod timeline;
pub mod upstream;
pub mod vocabulary;
