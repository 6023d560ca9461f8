//! An evacuation is taken back shortly after the replicas of the zone have become cold.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::client::{Attempts, HOST, Kind, Load};
use crate::replica::{Replica, Runs};
use crate::world::{Outcome, World, ZONES};

const PER_SECOND: f64 = 4.0;
/// `warmup_per_s` x `warmup_overage` + `warmup_slack`.
const LIMIT: f64 = PER_SECOND * 1.5 + 5.0;
const WARMUP: Duration = Duration::from_secs(3);
/// Length of an evacuation unless a day says otherwise.
const EVACUATED: Duration = Duration::from_secs(5);
const ZONE: &str = "abuja-wuse";

fn config() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-card","host":"{HOST}","path_prefix":"/card/","route_type":"safe","timeout_ms":5000,"target_latency_ms":300,"priority":2,"service":"card-view","max_attempts":2,"allowed_regions":[]}}],"services":[{{"name":"card-view","health_path":"/health","max_connections":96,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":{PER_SECOND:.1}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Returns whether the replicas got no more than they take while they are cold.
pub fn run(setup: &Setup) -> Outcome<bool> {
    let world = Arc::new(World::open(Arc::clone(&setup.record), &setup.root, "")?);
    let runs = Arc::<Runs>::default();
    let attempts = Arc::<Attempts>::default();
    world.start_all()?;
    let mut replicas = Vec::new();
    for number in 0..9_u8 {
        let zone = ZONES[usize::from(number) % 3].0;
        let work = Duration::from_millis(20);
        let replica = Replica::start(&world, &runs, 41 + number, "card-view", zone, work)?;
        replicas.push(replica);
        thread::sleep(Duration::from_millis(90));
    }
    world.put_config(&config())?;
    world.wait_for_service(HOST, "/card/probe", &[])?;
    let kind = Kind {
        name: "recipe-card",
        path: "/card/".to_owned(),
        distinct: true,
        deadline_ms: 5_000,
        leave_after_ms: None,
        key: None,
        tenant: None,
        job: None,
    };
    let loads: Vec<Load> = [(0, 15), (1, 60), (2, 15)]
        .into_iter()
        .map(|(zone, clients)| {
            let interval = Duration::from_millis(667);
            Load::start(&world, &attempts, ZONES[zone].0, clients, interval, &kind)
        })
        .collect();
    thread::sleep(Duration::from_secs(8));
    let path = format!("/daisyhinge/evacuations/{ZONE}");
    world.order("POST", &path, "", Duration::from_secs(6))?;
    thread::sleep(EVACUATED);
    let zone: Vec<_> = replicas
        .iter()
        .filter(|replica| replica.zone == ZONE)
        .collect();
    let chilled = Instant::now();
    if setup.trouble {
        world
            .record
            .say("the replicas of the evacuated zone become cold");
        zone.iter().for_each(|replica| replica.chill(WARMUP));
    }
    thread::sleep(Duration::from_millis(200));
    world.order("DELETE", &path, "", Duration::from_secs(6))?;
    world.record.say("the evacuation is taken back");
    thread::sleep(Duration::from_secs(8));
    loads.into_iter().for_each(Load::stop);
    let sent: HashMap<String, Instant> = attempts
        .all()
        .into_iter()
        .map(|attempt| (attempt.id, attempt.sent))
        .collect();
    let warm_at = chilled + WARMUP;
    let mut held = true;
    for replica in zone {
        let mut at: Vec<(Instant, Instant)> = runs
            .all()
            .into_iter()
            .filter(|run| run.replica == replica.id() && run.at >= chilled && run.at < warm_at)
            .filter_map(|run| Some((run.at, *sent.get(&run.id)?)))
            .collect();
        at.sort_unstable();
        // Counted are requests that were sent and arrived inside a second.
        let most = at.iter().map(|(end, _)| {
            let from = end.checked_sub(Duration::from_secs(1)).unwrap_or(*end);
            let inside = at.iter().filter(|(at, sent)| at <= end && *sent > from);
            inside.count()
        });
        let most = most.max().unwrap_or(0);
        let limit = if setup.trouble {
            format!("{LIMIT} is the most")
        } else {
            "it is warm, so there is no limit".to_owned()
        };
        world.record.say(&format!(
            "{} in {ZONE}: {} requests in the 3 s, {most} of them in one second; {limit}",
            replica.id(),
            at.len()
        ));
        held &= !setup.trouble || most as f64 <= LIMIT;
    }
    let all = attempts.all();
    let served = all.iter().filter(|attempt| attempt.status == 200).count();
    world
        .record
        .say(&format!("{served} of {} attempts were served", all.len()));
    world.record.say(&format!(
        "processes that ended by themselves: {:?}",
        world.ended()
    ));
    Ok(held)
}
