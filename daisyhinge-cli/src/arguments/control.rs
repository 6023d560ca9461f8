//! Arguments of `daisyhinge control`.

use std::net::SocketAddr;

use clap::Subcommand;

use crate::arguments::ChangeArguments;

/// What to do with control VMs.
#[derive(Debug, Subcommand)]
pub enum ControlCommand {
    /// Show the group: who leads, who has caught up, which of --operators do not answer.
    Status,
    /// Add a control VM. Start its process first, with an empty list of voters; it learns the
    /// log and votes once it has caught up.
    Add {
        /// Its VM. A VM whose disk was lost comes back under a new name.
        vm: String,
        /// Where other control VMs connect to it.
        address: SocketAddr,
        /// How the change is sent.
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Remove a control VM.
    Remove {
        /// Its VM.
        vm: String,
        /// How the change is sent.
        #[command(flatten)]
        change: ChangeArguments,
    },
}
