//! Arguments of `daisyhinge control`.

use std::net::SocketAddr;

use clap::Subcommand;

use crate::arguments::ChangeArguments;

/// Operations on the group of control VMs.
#[derive(Debug, Subcommand)]
pub enum ControlCommand {
    /// Show the group: the leader, the replication progress of each member, and the addresses of
    /// --operators that do not answer.
    Status,
    /// Add a control VM. Start its process first, with an empty list of voters; it replicates
    /// the log as a learner and votes once it has caught up.
    Add {
        /// Name of the VM. A VM whose disk was lost must be added under a new name.
        vm: String,
        /// Address at which the other control VMs connect to the VM.
        address: SocketAddr,
        /// Options for sending the change.
        #[command(flatten)]
        change: ChangeArguments,
    },
    /// Remove a control VM.
    Remove {
        /// Name of the VM.
        vm: String,
        /// Options for sending the change.
        #[command(flatten)]
        change: ChangeArguments,
    },
}
