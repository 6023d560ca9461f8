//! Another writer announces a service that is not named here, at the addresses of replicas.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::client::{Attempts, HOST, Kind, Load};
use crate::http::{Message, call};
use crate::replica::{Replica, Runs, now_ms};
use crate::shared::{config, served_share};
use crate::world::{Outcome, World, ZONES};

/// Returns whether no kind of request was starved.
pub fn run(setup: &Setup) -> Outcome<bool> {
    let world = Arc::new(World::open(Arc::clone(&setup.record), &setup.root, "")?);
    let runs = Arc::<Runs>::default();
    let attempts = Arc::<Attempts>::default();
    world.start_all()?;
    let mut cards = Vec::new();
    for (number, (zone, _)) in ZONES.iter().enumerate() {
        let (number, work) = (number as u8, Duration::from_millis(20));
        cards.push(Replica::start(
            &world,
            &runs,
            41 + number,
            "card-view",
            zone,
            work,
        )?);
        Replica::start(&world, &runs, 51 + number, "print-queue", zone, work)?;
    }
    world.put_config(&config("safe"))?;
    world.wait_for_service(HOST, "/card/probe", &[])?;
    world.wait_for_service(HOST, "/print/probe", &[])?;
    let started = Instant::now();
    let card = Kind {
        name: "recipe-card",
        path: "/card/".to_owned(),
        distinct: true,
        deadline_ms: 5_000,
        leave_after_ms: None,
        key: None,
        tenant: None,
        job: None,
    };
    let print = Kind {
        name: "print-state",
        path: "/print/".to_owned(),
        ..card.clone()
    };
    let mut loads = Vec::new();
    for (zone, _) in ZONES {
        let interval = Duration::from_millis(1_000);
        loads.push(Load::start(&world, &attempts, zone, 2, interval, &card));
        loads.push(Load::start(&world, &attempts, zone, 2, interval, &print));
    }
    thread::sleep(Duration::from_secs(6));
    if setup.trouble {
        for (number, replica) in cards.iter().enumerate() {
            let path = format!("/daisyhinge/instances/agent-{number}");
            let body = format!(
                r#"{{"service":"metrics-agent","address":"{}","zone":"{}","version":"v1","concurrency":1,"state":"ready","warmup_left_ms":0,"sequence":1,"born":{}}}"#,
                replica.address,
                replica.zone,
                now_ms()
            );
            let address = world.control_addresses()[number % 5];
            let answer = call(address, "PUT", &path, &[], &body, Duration::from_secs(1));
            let status = answer.as_ref().map_or(0, Message::status);
            world
                .record
                .say(&format!("another writer PUT {path} {body}: {status}"));
        }
    }
    let written = Instant::now();
    thread::sleep(Duration::from_secs(45));
    loads.into_iter().for_each(Load::stop);
    let all = attempts.all();
    world.record.say("since then:");
    served_share(&world, &all, Some(card.name), written);
    world.record.say("in the whole time:");
    let mine = served_share(&world, &all, Some(card.name), started);
    let every = served_share(&world, &all, None, started);
    world.record.say(&format!(
        "processes that ended by themselves: {:?}",
        world.ended()
    ));
    Ok(mine >= every / 4.0)
}
