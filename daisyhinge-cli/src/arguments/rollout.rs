//! Arguments of `daisyhinge rollout`.

use clap::{Args, Subcommand};

/// Operations on rollouts. The control VMs must belong to a deployment whose settings name
/// `rollout` in `contracts`; no operator token is needed.
#[derive(Debug, Subcommand)]
pub enum RolloutCommand {
    /// Order that a service's requests move to another version, whose replicas are already started.
    ///
    /// The same order again is never a second rollout: after a lost reply, run the command again.
    Start(StartArguments),
    /// Print the state of the latest rollout of a service: `in_progress`, `completed` or `rolled_back`.
    Show {
        /// Service whose rollout to print.
        service: String,
    },
    /// List the latest rollout of each service of the configuration in force that had one.
    List,
}

/// Arguments of `rollout start`.
#[derive(Args, Debug)]
pub struct StartArguments {
    /// Service whose requests move.
    pub service: String,
    /// Version that receives the requests, as its replicas state it in their heartbeats.
    pub version: String,
    /// Time until the rollout is completed or rolled back, in seconds, from 1 to 86400.
    #[arg(long, value_name = "SECONDS", allow_negative_numbers = true)]
    pub seconds: f64,
}
