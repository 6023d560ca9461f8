//! What happens in the demonstration, in order.

use std::time::{Duration, Instant};

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::environment::CentreState;
use daisyhinge_fakes::server::hold_snapshot;
use futures::StreamExt;
use futures::stream;

use crate::demo::caller::{DemoCaller, DemoReply};
use crate::demo::system::{CENTRES, DemoSystem, LABEL_SHARDS};
use crate::demo::tally::DemoTally;

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(100);
const SEARCHES: u32 = 120;
const SEARCHES_AT_A_TIME: usize = 4;
const TAKE_OUT_SPAN: Duration = Duration::from_secs(5);
const RETURN_SPAN: Duration = Duration::from_secs(1);
const ROLL_GAP: Duration = Duration::from_millis(10);

/// Runs all scenes.
pub async fn run_scenes(
    system: &DemoSystem,
    caller: &DemoCaller,
    tally: &mut DemoTally,
) -> Result<(), ResultCode> {
    wait_until_whole(caller).await?;
    for server in system.servers("label-desk", "") {
        tally.wanted_subs += server.record().received;
    }
    look_up_card(caller, tally).await;
    search_labels(caller, tally, "search").await;
    lose_replica(system, caller, tally).await;
    take_out_centre(system, caller, tally).await?;
    print_twice(caller, tally).await;
    roll_snapshot(system, caller, tally).await;
    Ok(())
}

/// New keepers wait until no former one can still hold a lease, so the first answers take a while.
async fn wait_until_whole(caller: &DemoCaller) -> Result<(), ResultCode> {
    let begun = Instant::now();
    for turn in 0.. {
        let request = format!("wait-{turn}");
        if let DemoReply::Answer(answer) = caller.query("label-desk", &request).await
            && answer.complete
        {
            let waited = begun.elapsed().as_secs_f64();
            println!("Ready after {waited:.1} s: the first search over 10 shards is whole.");
            break;
        }
        if begun.elapsed() > READY_TIMEOUT {
            return Err(ResultCode::NoSnapshot);
        }
        tokio::time::sleep(READY_POLL).await;
    }
    Ok(())
}

async fn look_up_card(caller: &DemoCaller, tally: &mut DemoTally) {
    let begun = Instant::now();
    let reply = caller.query("card-view", "card-1").await;
    tally.count("card-1", &reply, begun, 1);
    println!(
        "Card lookup: {} in {:.1} ms.",
        describe_reply(&reply),
        millis_since(begun)
    );
}

async fn search_labels(caller: &DemoCaller, tally: &mut DemoTally, name: &str) {
    let before = tally.clone();
    let searches = stream::iter(0..SEARCHES).map(|index| async move {
        let request = format!("{name}-{index}");
        let begun = Instant::now();
        let reply = caller.query("label-desk", &request).await;
        (request, begun, reply)
    });
    let mut searches = searches.buffer_unordered(SEARCHES_AT_A_TIME);
    while let Some((request, begun, reply)) = searches.next().await {
        tally.count(&request, &reply, begun, LABEL_SHARDS);
    }
    println!(
        "{name}: {} whole, {} partial, {} refused of {SEARCHES}.",
        tally.whole - before.whole,
        tally.partial - before.partial,
        tally.refused - before.refused,
    );
}

async fn lose_replica(system: &DemoSystem, caller: &DemoCaller, tally: &mut DemoTally) {
    println!("A replica of shard 0 dies.");
    if let Some(server) = system.servers("label-desk", CENTRES[0]).first() {
        server.stop();
    }
    search_labels(caller, tally, "search-replica-lost").await;
}

async fn take_out_centre(
    system: &DemoSystem,
    caller: &DemoCaller,
    tally: &mut DemoTally,
) -> Result<(), ResultCode> {
    let centre = CENTRES[1];
    system.set_centre(centre, CentreState::Out).await?;
    println!("Data centre {centre} is taken out.");
    let out = Instant::now();
    search_labels(caller, tally, "search-centre-out").await;
    tokio::time::sleep(TAKE_OUT_SPAN.saturating_sub(out.elapsed())).await;
    let servers = system.servers("label-desk", centre);
    for server in &servers {
        server.mark();
    }
    search_labels(caller, tally, "search-centre-out-5s").await;
    tally.after_take_out += servers
        .iter()
        .map(|server| server.record().after_mark)
        .sum::<u64>();
    system.set_centre(centre, CentreState::In).await?;
    tokio::time::sleep(RETURN_SPAN).await;
    println!("Data centre {centre} is back.");
    search_labels(caller, tally, "search-centre-back").await;
    Ok(())
}

async fn print_twice(caller: &DemoCaller, tally: &mut DemoTally) {
    for _ in 0..2 {
        let begun = Instant::now();
        let reply = caller.query("print-queue", "print-1").await;
        tally.count("print-1", &reply, begun, 1);
        println!("Print job print-1: {}.", describe_reply(&reply));
    }
}

async fn roll_snapshot(system: &DemoSystem, caller: &DemoCaller, tally: &mut DemoTally) {
    println!("Snapshot 2 replaces snapshot 1 on one backend server after another.");
    let roll = async {
        for server in system.servers("label-desk", "") {
            let shard = server
                .settings()
                .snapshots
                .first()
                .map_or(0, |held| held.shard.0);
            let newer = hold_snapshot(2, shard, LABEL_SHARDS);
            server.hold(vec![newer, hold_snapshot(1, shard, LABEL_SHARDS)]);
            tokio::time::sleep(ROLL_GAP).await;
        }
        for server in system.servers("label-desk", "") {
            let shard = server
                .settings()
                .snapshots
                .first()
                .map_or(0, |held| held.shard.0);
            server.hold(vec![hold_snapshot(2, shard, LABEL_SHARDS)]);
            tokio::time::sleep(ROLL_GAP).await;
        }
    };
    tokio::join!(roll, search_labels(caller, tally, "search-roll"));
    search_labels(caller, tally, "search-rolled").await;
}

fn describe_reply(reply: &DemoReply) -> String {
    match reply {
        DemoReply::Answer(answer) if answer.resent => "recorded outcome, not run again".to_owned(),
        DemoReply::Answer(answer) if answer.complete => "whole answer".to_owned(),
        DemoReply::Answer(_) => "partial answer".to_owned(),
        DemoReply::Refusal(code) => format!("refused with {code}"),
        DemoReply::Lost => "no reply".to_owned(),
    }
}

fn millis_since(begun: Instant) -> f64 {
    begun.elapsed().as_secs_f64() * 1_000.0
}
