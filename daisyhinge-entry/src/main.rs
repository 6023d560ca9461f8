//! Entry process: answers callers and keeps replicas.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use daisyhinge::shell::entry::EntryShell;
use daisyhinge::vocabulary::setting::EntrySettings;
use tokio::signal::unix::{SignalKind, signal};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Answers callers' queries and keeps the replicas that fall to this VM.
#[derive(Debug, Parser)]
struct EntryArguments {
    /// Settings file (JSON).
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings, print every fault and exit.
    #[arg(long)]
    check: bool,
}

/// Exit status for faulty settings.
const EXIT_FAULTY: u8 = 2;

fn main() -> ExitCode {
    let arguments = EntryArguments::parse();
    let settings = std::fs::read_to_string(&arguments.settings)
        .map_err(|fault| fault.to_string())
        .and_then(|text| serde_json::from_str(&text).map_err(|fault| fault.to_string()));
    match settings {
        Ok(_) if arguments.check => ExitCode::SUCCESS,
        Ok(settings) => run_entry(settings),
        Err(fault) => {
            eprintln!("{}: {fault}", arguments.settings.display());
            ExitCode::from(EXIT_FAULTY)
        }
    }
}

#[tokio::main]
async fn run_entry(settings: EntrySettings) -> ExitCode {
    let shell = EntryShell::spawn(settings, Arc::new(|_| {})).await;
    let (Ok(shell), Ok(mut terminate)) = (shell, signal(SignalKind::terminate())) else {
        eprintln!("an address could not be bound");
        return ExitCode::FAILURE;
    };
    terminate.recv().await;
    shell.shutdown().await;
    ExitCode::SUCCESS
}
