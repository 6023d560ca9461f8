//! The binary of the stand-ins: a fake backend server, a slow link, and the load tool.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use daisyhinge_fakes::server::{FakeServer, FakeSettings};

/// Stand-ins for what surrounds the system, and the load tool.
#[derive(Debug, Parser)]
#[command(version)]
struct FakesArgs {
    #[command(subcommand)]
    command: FakesCommand,
}

#[derive(Debug, Subcommand)]
enum FakesCommand {
    /// Runs a fake backend server of one replica until SIGTERM or SIGINT.
    Server {
        /// File with its settings, in JSON.
        settings: PathBuf,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    let outcome = match FakesArgs::parse().command {
        FakesCommand::Server { settings } => run_server(settings).await,
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("error={message:?}");
            ExitCode::from(2)
        }
    }
}

async fn run_server(path: PathBuf) -> Result<(), String> {
    let text =
        std::fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    let settings = serde_json::from_str::<FakeSettings>(&text)
        .map_err(|error| format!("{}: {error}", path.display()))?;
    let server = FakeServer::spawn(settings)
        .await
        .map_err(|code| code.to_string())?;
    println!(
        "event=listening address={} replica={}",
        server.address(),
        server.replica()
    );
    wait_for_end().await
}

async fn wait_for_end() -> Result<(), String> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    tokio::select! {
        _got = terminate.recv() => Ok(()),
        got = tokio::signal::ctrl_c() => got.map_err(|error| error.to_string()),
    }
}
