//! A request comes again and again that crashes each replica, and its caller leaves before that.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::client::{Attempts, HOST, Kind, Load};
use crate::replica::{CRASHING_PATH, Replica, Runs};
use crate::shared::config;
use crate::world::{CONTACT, Outcome, World, ZONES};

/// Retries of such a request that may reach replicas once it has crashed three.
const RETRIES_MAX: usize = 3;
/// Largest dose of the pages: for 8 s; half of the objective of 300 ms.
const LEAVING_TIME: Duration = Duration::from_secs(8);
const LEAVE_AFTER_MS: u64 = 150;

/// Returns whether the request reached replicas in no more than three late retries.
pub fn run(setup: &Setup) -> Outcome<bool> {
    let world = Arc::new(World::open(Arc::clone(&setup.record), &setup.root, "")?);
    let runs = Arc::<Runs>::default();
    let attempts = Arc::<Attempts>::default();
    world.start_all()?;
    let mut cards = Vec::new();
    for number in 0..15_u8 {
        let zone = ZONES[usize::from(number) % 3].0;
        let work = Duration::from_millis(20);
        cards.push(Replica::start(
            &world,
            &runs,
            41 + number,
            "card-view",
            zone,
            work,
        )?);
    }
    // One replica for each try, so that most replicas are there all the while.
    let config = config("safe").replace("\"max_attempts\":2", "\"max_attempts\":1");
    world.put_config(&config)?;
    world.wait_for_service(HOST, "/card/probe", &[])?;
    let usual = Kind {
        name: "recipe-card",
        path: "/card/".to_owned(),
        distinct: true,
        deadline_ms: 5_000,
        leave_after_ms: None,
        key: None,
        tenant: None,
        job: None,
    };
    let crashing = Kind {
        name: "crashing",
        path: CRASHING_PATH.to_owned(),
        distinct: false,
        leave_after_ms: setup.trouble.then_some(LEAVE_AFTER_MS),
        ..usual.clone()
    };
    let mut loads = Vec::new();
    for (zone, _) in ZONES {
        let interval = Duration::from_millis(1_000);
        loads.push(Load::start(&world, &attempts, zone, 6, interval, &usual));
    }
    thread::sleep(Duration::from_secs(7));
    world
        .record
        .say("the request that crashes replicas begins to come");
    let interval = Duration::from_millis(300);
    let again = Load::start(&world, &attempts, ZONES[0].0, 1, interval, &crashing);
    thread::sleep(LEAVING_TIME);
    again.stop();
    thread::sleep(Duration::from_secs(4));
    loads.into_iter().for_each(Load::stop);
    let mut reached: Vec<(Instant, String)> = runs
        .all()
        .into_iter()
        .filter(|run| run.path == CRASHING_PATH)
        .map(|run| (run.at, run.id))
        .collect();
    reached.sort_unstable();
    // A replica crashes some time after it began to run the request.
    let third = reached
        .get(2)
        .map(|(third, _)| *third + Replica::crash_after());
    let all = attempts.all();
    let late = all.iter().filter(|attempt| {
        let is_late = third.is_some_and(|third| attempt.sent > third + CONTACT);
        is_late && reached.iter().any(|(_, id)| *id == attempt.id)
    });
    let late = late.count();
    let tries = all.iter().filter(|attempt| attempt.kind == crashing.name);
    world.record.say(&format!(
        "{} tries of the request reached replicas {} times",
        tries.count(),
        reached.len()
    ));
    let crashes: u64 = cards.iter().map(|card| card.crash_count()).sum();
    world.record.say(&format!("{crashes} replicas crashed"));
    world.record.say(&format!(
        "{late} tries that were sent over 5 s after the third crash reached a replica, \
         {RETRIES_MAX} is the most"
    ));
    let usual = all.iter().filter(|attempt| attempt.kind == usual.name);
    let failed = usual.clone().filter(|attempt| attempt.status != 200);
    world.record.say(&format!(
        "{} of {} other requests failed",
        failed.count(),
        usual.count()
    ));
    world.record.say(&format!(
        "processes that ended by themselves: {:?}",
        world.ended()
    ));
    Ok(late <= RETRIES_MAX)
}
