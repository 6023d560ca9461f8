//! Command-line tool for operators.

mod arguments;
mod centre;
mod connection;
mod control;
mod demo;
mod entries;
mod env;
mod exit;
mod explain;
mod output;
mod rollout;
mod rollout_calls;
mod timeline;
mod wait;

use std::process::ExitCode;

use clap::Parser;

use arguments::{Arguments, Command};
use exit::CommandError;
use output::Output;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let output = Output::new(arguments.json);
    match run_command(&arguments, output).await {
        Ok(code) => code,
        Err(error) => {
            output.show_error(&error);
            error.exit_code()
        }
    }
}

async fn run_command(arguments: &Arguments, output: Output) -> Result<ExitCode, CommandError> {
    let group = &arguments.group;
    match &arguments.command {
        Command::Env(command) => env::run(command, group, output).await,
        Command::DataCentre(command) => centre::run(command, group, output).await,
        Command::Control(command) => control::run(command, group, output).await,
        Command::Rollout(command) => rollout::run(command, group, output).await,
        Command::Entries(filter) => entries::run(filter, group, output).await,
        Command::Timeline(query) => timeline::run(query, output).await,
        Command::Explain(query) => explain::run(query, output),
        Command::Demo => Ok(demo::run().await),
    }
}
