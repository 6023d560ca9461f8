//! Requests to the task that stores the known replicas.

use tokio::sync::oneshot;

/// Request to the task that writes the file, with the sender that is notified once it is done.
#[derive(Debug)]
pub(super) enum StoreRequest {
    /// Write the known replicas.
    Sync(oneshot::Sender<()>),
    /// Remove the file and write no other one.
    Remove(oneshot::Sender<()>),
}
