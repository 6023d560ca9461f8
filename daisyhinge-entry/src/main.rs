//! Entry process: answers callers' queries and is the keeper of replicas, with the only connection
//! to each of them.

use std::num::NonZeroUsize;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;

use clap::Parser;
use daisyhinge::intake::process_limits::derive_threads;
use daisyhinge::metric::EntryMetrics;
use daisyhinge::prelude::*;
use daisyhinge::setting::check_entry_settings;
use daisyhinge::shell::entry::EntryShell;
use daisyhinge::shell::entry::progress::read_progress;
use daisyhinge::shell::log::open_log;
use daisyhinge::shell::metric::MetricPort;
use daisyhinge::shell::setting::{EXIT_BAD_INPUT, print_errors, read_settings};
use daisyhinge::shell::timeline::EventLog;
use daisyhinge::vocabulary::setting::EntrySettings;
use prometheus_client::registry::Registry;
use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Answers callers' queries and runs the keepers of the replicas assigned to this VM.
///
/// On SIGTERM the entry is no longer offered to callers, releases its replicas, completes the
/// running requests and exits with 0.
#[derive(Debug, Parser)]
#[command(version)]
struct EntryArguments {
    /// Settings file (JSON).
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings, print every error and exit with 0 or 2.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = EntryArguments::parse();
    let settings = match read_settings(&arguments.settings, check_entry_settings) {
        Ok(settings) => settings,
        Err(errors) => {
            print_errors(&arguments.settings, &errors);
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    match run_threads(settings) {
        Ok(()) => ExitCode::SUCCESS,
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

/// Runs the entry on as many threads as its memory allows.
fn run_threads(settings: EntrySettings) -> Result<(), ResultCode> {
    let cores = thread::available_parallelism().map_or(1, NonZeroUsize::get);
    let memory_mb = usize::try_from(settings.limits.memory_mb).unwrap_or(usize::MAX);
    let threads = derive_threads(memory_mb.saturating_mul(1 << 20), cores);
    let mut builder = runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(threads).enable_all().build();
    let runtime = runtime.map_err(|_error| ResultCode::StorageFailed)?;
    runtime.block_on(run_entry(settings))
}

async fn run_entry(settings: EntrySettings) -> Result<(), ResultCode> {
    open_log()?;
    let mut terminate =
        signal(SignalKind::terminate()).map_err(|_err| ResultCode::StorageFailed)?;
    let events = EventLog::open(settings.vm.clone(), settings.limits.events_max);
    let sink = events.clone();
    let metrics_address = settings.metrics_address;
    let event_sink = Arc::new(move |draft| {
        sink.record(draft);
    });
    let mut registry = Registry::default();
    let metrics = EntryMetrics::register(&mut registry);
    let shell = EntryShell::spawn(settings, metrics, event_sink).await?;
    let state = Arc::clone(shell.state());
    let port = MetricPort::bind(metrics_address, events, registry, move || {
        read_progress(&state)
    });
    let port = port.await?;
    println!(
        "event=listening caller_address={} peer_address={} metrics_address={}",
        shell.caller_address(),
        shell.peer_address(),
        port.address(),
    );
    terminate.recv().await;
    shell.shutdown().await;
    port.close().await;
    Ok(())
}
