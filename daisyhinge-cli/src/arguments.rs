//! Command-line arguments.

pub mod centre;
pub mod control;
pub mod env;
pub mod explain;
pub mod rollout;
pub mod timeline;

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

pub use centre::CentreCommand;
pub use control::ControlCommand;
pub use env::EnvCommand;
pub use explain::ExplainQuery;
pub use rollout::RolloutCommand;
pub use timeline::TimelineQuery;

/// Operates daisyhinge: checks and applies environment documents, takes data centres out of
/// service and returns them, orders rollouts, and shows the events of the processes.
///
/// Start with `daisyhinge demo`, then `daisyhinge env check FILE`. Commands that connect to the
/// control VMs need --operators and --token-file, or the environment variables
/// `DAISYHINGE_OPERATORS` and `DAISYHINGE_TOKEN_FILE`.
///
/// Exit codes: 0 success; 1 documents differ (env diff); 2 invalid input or usage; 3 refused;
/// 4 conflict with another change; 5 no control VM reachable; 6 outcome unknown, resend with the
/// same --change-id; 7 accepted, but not yet in force everywhere.
#[derive(Debug, Parser)]
#[command(name = "daisyhinge", version)]
pub struct Arguments {
    /// Print the result as one JSON value instead of text.
    #[arg(long, global = true)]
    pub json: bool,
    /// Options for connecting to the control VMs; not used by all subcommands.
    #[command(flatten)]
    pub group: GroupArguments,
    /// Subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Options for connecting to the control VMs.
#[derive(Args, Debug)]
pub struct GroupArguments {
    /// Operator addresses of the control VMs, such as 10.0.0.7:7101,10.0.0.8:7101. The addresses
    /// are tried in turn until the leader is found. Defaults to `DAISYHINGE_OPERATORS`.
    #[arg(long, global = true, value_delimiter = ',', value_name = "ADDRESS")]
    pub operators: Vec<SocketAddr>,
    /// File that contains the operator token. Defaults to `DAISYHINGE_TOKEN_FILE`.
    #[arg(long, global = true, value_name = "FILE")]
    pub token_file: Option<PathBuf>,
    /// Maximum time to keep trying, in seconds.
    #[arg(long, global = true, default_value_t = 15, value_name = "SECONDS")]
    pub timeout_s: u64,
}

/// Subcommand to run.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check, apply, show, compare and promote environment documents.
    #[command(subcommand)]
    Env(EnvCommand),
    /// Take data centres out of service and return them to service.
    #[command(subcommand)]
    DataCentre(CentreCommand),
    /// Show, add and remove control VMs.
    #[command(subcommand)]
    Control(ControlCommand),
    /// Order and show rollouts: moving a service's requests to another version.
    #[command(subcommand)]
    Rollout(RolloutCommand),
    /// List the entry processes with the version of each and the time since its last contact.
    Entries(EntryFilter),
    /// Merge the events of several processes into one timeline.
    Timeline(TimelineQuery),
    /// Explain how a request ended, or the course of a configuration, from the collected logs of
    /// processes on the platform.
    Explain(ExplainQuery),
    /// Run a complete system with simulated backend servers in one process and demonstrate it.
    Demo,
}

/// Selection of the entries to list.
#[derive(Args, Debug)]
pub struct EntryFilter {
    /// List only the entries of this environment.
    pub environment: Option<String>,
}

/// Options for sending a change.
#[derive(Args, Clone, Debug)]
pub struct ChangeArguments {
    /// Identifier of the change; generated if not given. If the reply is lost, run the command
    /// again with the printed identifier: the change is never applied twice.
    #[arg(long, value_name = "ID")]
    pub change_id: Option<String>,
    /// Name of the operator for the history. Defaults to the environment variable USER.
    #[arg(long, value_name = "NAME")]
    pub operator: Option<String>,
    /// Wait until the change is in force on every entry, or until the group of control VMs has the
    /// requested members. Report the entries or members without the change after a timeout.
    #[arg(long)]
    pub wait: bool,
    /// Maximum time to wait with --wait, in seconds.
    #[arg(long, default_value_t = 30, value_name = "SECONDS")]
    pub wait_s: u64,
}
