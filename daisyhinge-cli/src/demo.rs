//! The whole system in one process: control, three entries, fake backend servers, callers.

mod caller;
mod scene;
mod system;
mod tally;

use std::process::ExitCode;

use daisyhinge::prelude::*;

use crate::demo::caller::DemoCaller;
use crate::demo::scene::run_scenes;
use crate::demo::system::DemoSystem;
use crate::demo::tally::DemoTally;

/// Runs the demonstration and prints what happens; the last line is one JSON object. The exit
/// status is 0 only if nothing that must hold was broken.
pub async fn run() -> ExitCode {
    match play().await {
        Ok(tally) => {
            println!("{}", tally.write());
            if tally.is_clean() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(code) => {
            eprintln!(
                "event=failed code={} message={:?}",
                code.number(),
                code.to_string()
            );
            ExitCode::FAILURE
        }
    }
}

async fn play() -> Result<DemoTally, ResultCode> {
    println!(
        "Starting three control VMs, three entries in three data centres, 36 backend servers."
    );
    let system = DemoSystem::spawn().await?;
    let caller = DemoCaller::new(system.entry_addresses());
    let mut tally = DemoTally::default();
    run_scenes(&system, &caller, &mut tally).await?;
    tally.extra_load_ratio = system.extra_load_ratio(tally.wanted_subs);
    tally.doubled = system.doubled_runs();
    system.stop().await;
    Ok(tally)
}
