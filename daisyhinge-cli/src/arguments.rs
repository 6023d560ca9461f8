//! Arguments of the command line.

pub mod centre;
pub mod control;
pub mod env;
pub mod timeline;

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

pub use centre::CentreCommand;
pub use control::ControlCommand;
pub use env::EnvCommand;
pub use timeline::TimelineQuery;

/// Operates daisyhinge: checks and applies environment documents, takes data centres out and
/// returns them, and shows what the processes did.
///
/// Start with `daisyhinge demo`, then `daisyhinge env check FILE`. Commands that speak to the
/// control VMs need --operators and --token-file, or the variables `DAISYHINGE_OPERATORS` and
/// `DAISYHINGE_TOKEN_FILE`.
///
/// Exit codes: 0 done; 1 documents differ (env diff); 2 bad input or usage; 3 refused; 4 another
/// change was first; 5 not reachable; 6 outcome not known, send again with the same --change-id;
/// 7 accepted, but not yet in force everywhere.
#[derive(Debug, Parser)]
#[command(name = "daisyhinge", version)]
pub struct Arguments {
    /// Print one JSON value for programs instead of text.
    #[arg(long, global = true)]
    pub json: bool,
    /// The control VMs.
    #[command(flatten)]
    pub group: GroupArguments,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// How to reach the control VMs.
#[derive(Args, Debug)]
pub struct GroupArguments {
    /// Operators' addresses of the control VMs, such as 10.0.0.7:7101,10.0.0.8:7101. They are
    /// tried in turn and the one that leads is found. Or set `DAISYHINGE_OPERATORS`.
    #[arg(long, global = true, value_delimiter = ',', value_name = "ADDRESS")]
    pub operators: Vec<SocketAddr>,
    /// File that holds the operators' token. Or set `DAISYHINGE_TOKEN_FILE`.
    #[arg(long, global = true, value_name = "FILE")]
    pub token_file: Option<PathBuf>,
    /// Longest time to try, in seconds.
    #[arg(long, global = true, default_value_t = 15, value_name = "SECONDS")]
    pub timeout_s: u64,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check, apply, show, compare and promote environment documents.
    #[command(subcommand)]
    Env(EnvCommand),
    /// Take a data centre out of service and return it.
    #[command(subcommand)]
    DataCentre(CentreCommand),
    /// Show the control VMs, add and remove one.
    #[command(subcommand)]
    Control(ControlCommand),
    /// List the entries, the version that each holds and when it was last heard of.
    Entries(EntryFilter),
    /// Merge the events of processes into one time line.
    Timeline(TimelineQuery),
    /// Run all parts and stand-ins for backend servers in one process, and show what they do.
    Demo,
}

/// Which entries to list.
#[derive(Args, Debug)]
pub struct EntryFilter {
    /// Only entries of this environment.
    pub environment: Option<String>,
}

/// How a change is sent.
#[derive(Args, Clone, Debug)]
pub struct ChangeArguments {
    /// Identifier of the change; drawn if not given. After a lost reply run the command again
    /// with the one it named: the change is never applied twice.
    #[arg(long, value_name = "ID")]
    pub change_id: Option<String>,
    /// Who makes the change, for the history; the variable USER if not given.
    #[arg(long, value_name = "NAME")]
    pub operator: Option<String>,
    /// Return only once the change is in force on every entry, or the group of control VMs is as
    /// wanted, and say what lacks.
    #[arg(long)]
    pub wait: bool,
    /// Longest time to wait with --wait, in seconds.
    #[arg(long, default_value_t = 30, value_name = "SECONDS")]
    pub wait_s: u64,
}
