//! The control process of daisyhinge.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use daisyhinge::shell::control::ControlShell;
use daisyhinge::vocabulary::event::EventDraft;
use daisyhinge::vocabulary::setting::ControlSettings;
use tokio::signal::unix::{SignalKind, signal};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Keeps configuration, membership and claims of daisyhinge on this VM's disk.
#[derive(Debug, Parser)]
#[command(version)]
struct ControlArgs {
    /// Settings file.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = ControlArgs::parse();
    match run(&args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("{text}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &ControlArgs) -> Result<(), String> {
    let text = std::fs::read_to_string(&args.settings)
        .map_err(|error| format!("{}: {error}", args.settings.display()))?;
    let settings: ControlSettings = serde_json::from_str(&text)
        .map_err(|error| format!("{}: {error}", args.settings.display()))?;
    if args.check {
        return Ok(());
    }
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    let shell = ControlShell::spawn(settings, Arc::new(|draft| print_event(&draft)))
        .map_err(|fault| fault.to_string())?;
    println!(
        "event=started vm={} address={}",
        shell.id().vm,
        shell.address()
    );
    tokio::select! {
        fault = shell.failed() => return Err(fault.to_string()),
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    shell.stop().await;
    Ok(())
}

fn print_event(draft: &EventDraft) {
    let version = draft.version.map_or(0, |version| version.0);
    println!(
        "event={:?} version={version} value={}",
        draft.kind, draft.value
    );
}
