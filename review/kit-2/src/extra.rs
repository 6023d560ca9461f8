//! Faulty replicas send additional bytes after complete answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Setup;
use crate::client::{Attempts, HOST, Kind, Load};
use crate::replica::{Replica, Runs};
use crate::shared::config;
use crate::world::{Outcome, World, ZONES};

/// Doses of the pages: half of the replicas, 3 in 100 of the answers, for 5 s.
const EXTRA_EVERY: u64 = 33;
const EXTRA_TIME: Duration = Duration::from_secs(5);

/// Returns whether no job ran twice or was refused though it ran, and no caller got another's answer.
pub fn run(setup: &Setup) -> Outcome<bool> {
    let world = Arc::new(World::open(Arc::clone(&setup.record), &setup.root, "")?);
    let runs = Arc::<Runs>::default();
    let attempts = Arc::<Attempts>::default();
    world.start_all()?;
    let mut faulty = Vec::new();
    for number in 0..6_u8 {
        let zone = ZONES[usize::from(number) % 3].0;
        let work = Duration::from_millis(20);
        let card = Replica::start(&world, &runs, 41 + number, "card-view", zone, work)?;
        let print = Replica::start(&world, &runs, 51 + number, "print-queue", zone, work)?;
        if number < 3 {
            faulty.extend([card, print]);
        }
    }
    world.put_config(&config("unsafe"))?;
    world.wait_for_service(HOST, "/card/probe", &[])?;
    world.wait_for_service(HOST, "/print/probe", &[])?;
    let job = Kind {
        name: "job, at most once",
        path: "/card/".to_owned(),
        distinct: true,
        deadline_ms: 5_000,
        leave_after_ms: None,
        key: None,
        tenant: None,
        job: Some("print one label"),
    };
    let look_up = Kind {
        name: "look-up",
        path: "/print/".to_owned(),
        job: None,
        ..job.clone()
    };
    let mut loads = Vec::new();
    for (zone, _) in ZONES {
        let interval = Duration::from_millis(400);
        loads.push(Load::start(&world, &attempts, zone, 12, interval, &job));
        loads.push(Load::start(&world, &attempts, zone, 12, interval, &look_up));
    }
    thread::sleep(Duration::from_secs(7));
    if setup.trouble {
        world
            .record
            .say("half of the replicas send additional bytes now and then");
        for replica in &faulty {
            replica.extra_every.store(EXTRA_EVERY, Ordering::Relaxed);
        }
    }
    thread::sleep(EXTRA_TIME);
    for replica in &faulty {
        replica.extra_every.store(0, Ordering::Relaxed);
    }
    thread::sleep(Duration::from_secs(4));
    loads.into_iter().for_each(Load::stop);
    let mut ran: HashMap<String, u32> = HashMap::new();
    for run in runs.all() {
        *ran.entry(run.id).or_default() += 1;
    }
    let (mut twice, mut refused, mut foreign) = (0, 0, 0);
    for attempt in attempts.all() {
        let count = ran.get(&attempt.id).copied().unwrap_or(0);
        let is_job = attempt.kind == job.name;
        twice += u32::from(is_job && count > 1);
        refused += u32::from(is_job && count > 0 && [408, 421, 429, 503].contains(&attempt.status));
        let own_seal = |seal: &String| seal.ends_with(&format!(".{}", attempt.id));
        let is_success = (200..300).contains(&attempt.status);
        foreign += u32::from(is_success && !attempt.seal.as_ref().is_some_and(own_seal));
    }
    let extras: u64 = faulty
        .iter()
        .map(|one| one.extras.load(Ordering::Relaxed))
        .sum();
    let all = attempts.all().len();
    world.record.say(&format!(
        "{all} attempts; additional bytes were sent {extras} times"
    ));
    world
        .record
        .say(&format!("TWICE: {twice} jobs ran more than once"));
    world.record.say(&format!(
        "REFUSED: {refused} jobs ran and were answered with a promise that they did not"
    ));
    world.record.say(&format!(
        "MIXED: {foreign} successes without a signature for this request"
    ));
    world.record.say(&format!(
        "processes that ended by themselves: {:?}",
        world.ended()
    ));
    Ok(twice + refused + foreign == 0)
}
