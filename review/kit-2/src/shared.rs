//! What several cases use: a configuration, and the share of attempts that were served.

use std::time::Instant;

use crate::client::{Attempt, HOST};
use crate::world::World;

fn route(name: &str, service: &str, route_type: &str) -> String {
    format!(
        r#"{{"name":"r-{name}","host":"{HOST}","path_prefix":"/{name}/","route_type":"{route_type}","timeout_ms":5000,"target_latency_ms":300,"priority":2,"service":"{service}","max_attempts":2,"allowed_regions":[]}}"#
    )
}

fn service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/health","max_connections":96,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":0.0}}"#
    )
}

/// Returns a configuration with a route to each of two services; that of `card-view` has the given type.
pub fn config(card_type: &str) -> String {
    format!(
        r#"{{"version":1,"routes":[{},{}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        route("card", "card-view", card_type),
        route("print", "print-queue", "safe"),
        service("card-view"),
        service("print-queue")
    )
}

/// Says how many attempts of a kind were served since `from`, and returns the share.
pub fn served_share(world: &World, all: &[Attempt], kind: Option<&str>, from: Instant) -> f64 {
    let mine = all
        .iter()
        .filter(|attempt| attempt.sent >= from && kind.is_none_or(|kind| attempt.kind == kind));
    let (mut sent, mut served) = (0_u32, 0_u32);
    for attempt in mine {
        sent += 1;
        served += u32::from(attempt.status == 200);
    }
    let name = kind.unwrap_or("all requests");
    world
        .record
        .say(&format!("{name}: {served} of {sent} served"));
    f64::from(served) / f64::from(sent.max(1))
}
