//! The steps of the demonstration, in order.

use std::time::{Duration, Instant};

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::environment::CentreState;
use daisyhinge_fakes::server::build_snapshot;
use futures::StreamExt;
use futures::stream;

use crate::demo::caller::{DemoCaller, DemoReply};
use crate::demo::stats::DemoStats;
use crate::demo::system::{CENTRES, DemoSystem, LABEL_SHARDS};

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of searches per step.
const SEARCHES: u32 = 120;
const SEARCH_CONCURRENCY: usize = 4;
/// Time after which no sub-request may reach a data centre that was taken out of service.
const TAKE_OUT_DELAY: Duration = Duration::from_secs(5);
/// Time for the entries to learn that a data centre is back in service.
const RETURN_DELAY: Duration = Duration::from_secs(1);
/// Interval between the updates of two backend servers.
const ROLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs all steps, prints their results and records them in `stats`.
pub async fn run_steps(
    system: &DemoSystem,
    caller: &DemoCaller,
    stats: &mut DemoStats,
) -> Result<(), ResultCode> {
    wait_until_complete(caller).await?;
    // The sub-requests sent until now do not count as extra load.
    for server in system.servers("label-desk", "") {
        stats.needed_sub_requests += server.record().received;
    }
    query_card(caller, stats).await;
    search_labels(caller, stats, "search").await;
    stop_replica(system, caller, stats).await;
    take_out_centre(system, caller, stats).await?;
    submit_print_job_twice(caller, stats).await;
    roll_snapshot(system, caller, stats).await;
    Ok(())
}

/// Waits for the first complete answer. This takes several seconds, because a new keeper of a
/// replica starts only after the lease of any former keeper must have expired.
async fn wait_until_complete(caller: &DemoCaller) -> Result<(), ResultCode> {
    let started = Instant::now();
    for attempt in 0.. {
        let request = format!("wait-{attempt}");
        if let DemoReply::Answer(answer) = caller.query("label-desk", &request).await
            && answer.complete
        {
            let waited = started.elapsed().as_secs_f64();
            println!("Ready after {waited:.1} s: the first search over 10 shards is complete.");
            break;
        }
        if started.elapsed() > READY_TIMEOUT {
            return Err(ResultCode::NoSnapshot);
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    Ok(())
}

async fn query_card(caller: &DemoCaller, stats: &mut DemoStats) {
    let started = Instant::now();
    let reply = caller.query("card-view", "card-1").await;
    stats.record_reply("card-1", &reply, started, 1);
    println!(
        "Card lookup: {} in {:.1} ms.",
        describe_reply(&reply),
        millis_since(started)
    );
}

async fn search_labels(caller: &DemoCaller, stats: &mut DemoStats, name: &str) {
    let before = stats.clone();
    let searches = stream::iter(0..SEARCHES).map(|index| async move {
        let request = format!("{name}-{index}");
        let started = Instant::now();
        let reply = caller.query("label-desk", &request).await;
        (request, started, reply)
    });
    let mut searches = searches.buffer_unordered(SEARCH_CONCURRENCY);
    while let Some((request, started, reply)) = searches.next().await {
        stats.record_reply(&request, &reply, started, LABEL_SHARDS);
    }
    println!(
        "{name}: {} complete, {} partial, {} refused of {SEARCHES}.",
        stats.whole - before.whole,
        stats.partial - before.partial,
        stats.refused - before.refused,
    );
}

async fn stop_replica(system: &DemoSystem, caller: &DemoCaller, stats: &mut DemoStats) {
    println!("A replica of shard 0 is stopped.");
    if let Some(server) = system.servers("label-desk", CENTRES[0]).first() {
        server.stop();
    }
    search_labels(caller, stats, "search-replica-lost").await;
}

async fn take_out_centre(
    system: &DemoSystem,
    caller: &DemoCaller,
    stats: &mut DemoStats,
) -> Result<(), ResultCode> {
    let centre = CENTRES[1];
    system.set_centre(centre, CentreState::Out).await?;
    println!("Data centre {centre} is taken out of service.");
    let taken_out_at = Instant::now();
    search_labels(caller, stats, "search-centre-out").await;
    tokio::time::sleep(TAKE_OUT_DELAY.saturating_sub(taken_out_at.elapsed())).await;
    let servers = system.servers("label-desk", centre);
    for server in &servers {
        server.mark();
    }
    search_labels(caller, stats, "search-centre-out-5s").await;
    stats.after_take_out += servers
        .iter()
        .map(|server| server.record().after_mark)
        .sum::<u64>();
    system.set_centre(centre, CentreState::In).await?;
    tokio::time::sleep(RETURN_DELAY).await;
    println!("Data centre {centre} is back in service.");
    search_labels(caller, stats, "search-centre-back").await;
    Ok(())
}

async fn submit_print_job_twice(caller: &DemoCaller, stats: &mut DemoStats) {
    for _ in 0..2 {
        let started = Instant::now();
        let reply = caller.query("print-queue", "print-1").await;
        stats.record_reply("print-1", &reply, started, 1);
        println!("Print job print-1: {}.", describe_reply(&reply));
    }
}

async fn roll_snapshot(system: &DemoSystem, caller: &DemoCaller, stats: &mut DemoStats) {
    println!("Snapshot 2 replaces snapshot 1 on the backend servers, one at a time.");
    let roll = async {
        for server in system.servers("label-desk", "") {
            let shard = server
                .settings()
                .snapshots
                .first()
                .map_or(0, |snapshot| snapshot.shard.0);
            let newer = build_snapshot(2, shard, LABEL_SHARDS);
            server.set_snapshots(vec![newer, build_snapshot(1, shard, LABEL_SHARDS)]);
            tokio::time::sleep(ROLL_INTERVAL).await;
        }
        for server in system.servers("label-desk", "") {
            let shard = server
                .settings()
                .snapshots
                .first()
                .map_or(0, |snapshot| snapshot.shard.0);
            server.set_snapshots(vec![build_snapshot(2, shard, LABEL_SHARDS)]);
            tokio::time::sleep(ROLL_INTERVAL).await;
        }
    };
    tokio::join!(roll, search_labels(caller, stats, "search-roll"));
    search_labels(caller, stats, "search-rolled").await;
}

fn describe_reply(reply: &DemoReply) -> String {
    match reply {
        DemoReply::Answer(answer) if answer.resent => "recorded outcome, not run again".to_owned(),
        DemoReply::Answer(answer) if answer.complete => "complete answer".to_owned(),
        DemoReply::Answer(_) => "partial answer".to_owned(),
        DemoReply::Refusal(code) => format!("refused with {code}"),
        DemoReply::Lost => "no reply".to_owned(),
    }
}

fn millis_since(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1_000.0
}
