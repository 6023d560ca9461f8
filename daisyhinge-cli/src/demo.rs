//! The `daisyhinge demo` command: control VMs, entries, fake backend servers and callers in one
//! process.

mod caller;
mod stats;
mod steps;
mod system;

use std::process::ExitCode;

use daisyhinge::prelude::*;

use crate::demo::caller::DemoCaller;
use crate::demo::stats::DemoStats;
use crate::demo::steps::run_steps;
use crate::demo::system::DemoSystem;

/// Runs the demonstration and prints its progress; the last line is one JSON object. The exit
/// status is 0 only if no guarantee was violated and at least one answer was complete.
pub async fn run() -> ExitCode {
    match run_demo().await {
        Ok(stats) => {
            println!("{}", stats.to_json_line());
            if stats.is_clean() {
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

async fn run_demo() -> Result<DemoStats, ResultCode> {
    println!(
        "Starting three control VMs, three entries in three data centres, 36 backend servers."
    );
    let system = DemoSystem::spawn().await?;
    let caller = DemoCaller::new(system.entry_addresses());
    let mut stats = DemoStats::default();
    run_steps(&system, &caller, &mut stats).await?;
    stats.extra_load_ratio = system.extra_load_ratio(stats.needed_sub_requests);
    stats.doubled = system.doubled_runs();
    system.stop().await;
    Ok(stats)
}
