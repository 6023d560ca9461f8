//! A request comes again and again that crashes each replica while it answers.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::client::{Attempts, HOST, Kind, Load};
use crate::replica::{CRASHING_PATH, Crash, Replica, Runs};
use crate::shared::config;
use crate::world::{CONTACT, Outcome, World, ZONES};

/// Retries of such a request that may reach replicas once it is known.
const RETRIES_MAX: usize = 3;

/// Returns whether the request reached replicas in no more than three retries.
pub fn run(setup: &Setup) -> Outcome<bool> {
    let world = Arc::new(World::open(Arc::clone(&setup.record), &setup.root, "")?);
    let runs = Arc::<Runs>::default();
    let attempts = Arc::<Attempts>::default();
    world.start_all()?;
    let mut cards = Vec::new();
    for number in 0..9_u8 {
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
    // The test's own check of the stand-in: crashes before any byte of the answer.
    let early = std::env::var("CRASH").is_ok_and(|value| value == "before");
    let crash = if early { Crash::Before } else { Crash::Midway };
    world.put_config(&config("safe"))?;
    world.wait_for_service(HOST, "/card/probe", &[])?;
    let usual = Kind {
        name: "recipe-card",
        path: "/card/".to_owned(),
        distinct: true,
        deadline_ms: 5_000,
        key: None,
        tenant: None,
        job: None,
    };
    let crashing = Kind {
        name: "crashing",
        path: CRASHING_PATH.to_owned(),
        distinct: false,
        ..usual.clone()
    };
    let mut loads = Vec::new();
    for (zone, _) in ZONES {
        let interval = Duration::from_millis(1_000);
        loads.push(Load::start(&world, &attempts, zone, 6, interval, &usual));
    }
    thread::sleep(Duration::from_secs(7));
    if setup.trouble {
        for card in &cards {
            *card.crash.lock().unwrap() = crash;
        }
    }
    let zone = ZONES[0].0;
    let again = Load::start(
        &world,
        &attempts,
        zone,
        1,
        Duration::from_secs(3),
        &crashing,
    );
    thread::sleep(Duration::from_secs(50));
    again.stop();
    loads.into_iter().for_each(Load::stop);
    let mut reached: Vec<(Instant, String)> = runs
        .all()
        .into_iter()
        .filter(|run| run.path == CRASHING_PATH)
        .map(|run| (run.at, run.id))
        .collect();
    reached.sort_unstable();
    let known_at = reached.get(2).map(|(third, _)| *third + CONTACT);
    let late = attempts.all().into_iter().filter(|attempt| {
        let is_late = known_at.is_some_and(|known_at| attempt.sent > known_at);
        is_late && reached.iter().any(|(_, id)| *id == attempt.id)
    });
    let late = late.count();
    let crashes = if setup.trouble { reached.len() } else { 0 };
    world.record.say(&format!(
        "the request reached replicas {} times and crashed {crashes} of them",
        reached.len()
    ));
    world.record.say(&format!(
        "{late} retries that were sent over 5 s after the third time reached a replica, \
         {RETRIES_MAX} is the most for a request that crashes them"
    ));
    let all = attempts.all();
    let usual = all.iter().filter(|attempt| attempt.kind == usual.name);
    let failed = usual
        .clone()
        .filter(|attempt| attempt.status != 200)
        .count();
    world.record.say(&format!(
        "{failed} of {} other requests failed",
        usual.count()
    ));
    world.record.say(&format!(
        "processes that ended by themselves: {:?}",
        world.ended()
    ));
    Ok(!setup.trouble || late <= RETRIES_MAX)
}
