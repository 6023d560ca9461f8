//! Tests of the search state machine of a root entry.

#[path = "search/claims.rs"]
mod claims;
#[path = "search/events.rs"]
mod events;
#[path = "search/fleet.rs"]
mod fleet;
#[path = "search/fuzz.rs"]
mod fuzz;
#[path = "search/overload.rs"]
mod overload;
#[path = "search/poison.rs"]
mod poison;
#[path = "search/policy.rs"]
mod policy;
#[path = "search/random.rs"]
mod random;
#[path = "search/routes.rs"]
mod routes;
#[path = "search/runner.rs"]
mod runner;
