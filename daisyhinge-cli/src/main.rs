//! Command line of daisyhinge.

use std::process::ExitCode;

use clap::{Parser, Subcommand};

mod demo;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// A query tier over many shards.
#[derive(Debug, Parser)]
#[command(version)]
struct DaisyhingeArguments {
    #[command(subcommand)]
    command: DaisyhingeCommand,
}

#[derive(Clone, Copy, Debug, Subcommand)]
enum DaisyhingeCommand {
    /// Runs the whole system with fake backend servers in one process, for half a minute.
    Demo,
}

#[tokio::main]
async fn main() -> ExitCode {
    match DaisyhingeArguments::parse().command {
        DaisyhingeCommand::Demo => demo::run().await,
    }
}
