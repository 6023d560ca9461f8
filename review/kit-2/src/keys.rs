//! The keys of all tenants are taken away, one tenant after the other.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::client::{Attempt, Attempts, HOST, Kind, send_once};
use crate::replica::{Replica, Runs};
use crate::world::{CONFIG_APPLY, Outcome, Role, World, ZONES};

const HELD: &str = "Token key-of-acme";
const NEVER_HELD: &str = "Token key-of-nobody";

fn config(version: u32, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-card","host":"{HOST}","path_prefix":"/card/","route_type":"safe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"card-view","max_attempts":2,"allowed_regions":[]}}],"services":[{{"name":"card-view","health_path":"/health","max_connections":96,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{tenants}]}}"#
    )
}

fn tenant(name: &str, key: &str) -> String {
    format!(r#"{{"name":"{name}","api_keys":["{key}"]}}"#)
}

fn kind(name: &'static str, key: Option<&'static str>) -> Kind {
    Kind {
        name,
        path: "/card/".to_owned(),
        distinct: true,
        deadline_ms: 3_000,
        leave_after_ms: None,
        key,
        tenant: None,
        job: None,
    }
}

/// Sends one request of each kind to each entry.
fn send_round(world: &World, attempts: &Attempts, sent: &mut HashMap<String, Attempt>) {
    let kinds = [
        kind("dropped key", Some(HELD)),
        kind("key never held", Some(NEVER_HELD)),
        Kind {
            tenant: Some("acme"),
            ..kind("no key", None)
        },
    ];
    for entry in world.of(Role::Entry) {
        for kind in &kinds {
            let attempt = send_once(world, attempts, world.front_address(&entry), kind);
            sent.insert(attempt.id.clone(), attempt);
        }
    }
}

/// Returns whether the rules on keys held.
pub fn run(setup: &Setup) -> Outcome<bool> {
    let bounds = r#", "strict_revocation": false, "revoke_ms": 5000, "quota_window_s": 5,
"quota_overage": 0.1, "quota_tolerance": 20"#;
    let world = World::open(Arc::clone(&setup.record), &setup.root, bounds)?;
    let (runs, attempts) = (Arc::<Runs>::default(), Attempts::default());
    world.start_all()?;
    for (number, (zone, _)) in ZONES.iter().enumerate() {
        let work = Duration::from_millis(10);
        Replica::start(&world, &runs, 41 + number as u8, "card-view", zone, work)?;
    }
    let both = [
        tenant("acme", "key-of-acme"),
        tenant("other", "key-of-other"),
    ];
    world.put_config(&config(1, &both.join(",")))?;
    world.wait_for_service(HOST, "/card/probe", &[("Authorization", HELD)])?;
    let before = send_once(
        &world,
        &attempts,
        world.front_address(&world.of(Role::Entry)[0]),
        &kind("before", Some(NEVER_HELD)),
    );
    if before.status != 401 {
        return Err(format!("an unknown key gets {} at first", before.status));
    }
    thread::sleep(Duration::from_secs(6));
    world.record.say("the key of one tenant is taken away");
    world.put_config(&config(2, &both[0]))?;
    thread::sleep(Duration::from_millis(1_500));
    if setup.trouble {
        world.record.say("the key of the last tenant is taken away");
        world.put_config(&config(3, ""))?;
    } else {
        world.put_config(&config(3, &both[0]))?;
    }
    let acknowledged = Instant::now();
    thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
    let mut sent = HashMap::new();
    while acknowledged.elapsed() < Duration::from_secs(12) {
        send_round(&world, &attempts, &mut sent);
        thread::sleep(Duration::from_millis(500));
    }
    let mut counts: HashMap<&str, (u32, u32, u32)> = HashMap::new();
    for run in runs.all() {
        if let Some(attempt) = sent.get(&run.id) {
            let count = counts.entry(attempt.kind).or_default();
            count.0 += 1;
            count.1 += u32::from(run.has_key);
            count.2 += u32::from(run.tenant.as_deref() == Some("acme"));
        }
    }
    let mut held = true;
    for name in ["dropped key", "key never held", "no key"] {
        let total = sent.values().filter(|attempt| attempt.kind == name).count();
        let (ran, passed_on, as_acme) = counts.get(name).copied().unwrap_or_default();
        world.record.say(&format!(
            "{name}: {total} sent, {ran} ran, {passed_on} with the key passed on to the replica, {as_acme} \
             as requests of acme"
        ));
        // Without the disruption this key is held still.
        held &= ran == 0 || (name == "dropped key" && !setup.trouble && passed_on == 0);
    }
    let ended = world.ended();
    world
        .record
        .say(&format!("processes that ended by themselves: {ended:?}"));
    Ok(held)
}
