//! Closing of a listening port without cutting off requests that clients have already sent.

use std::time::Duration;

use hyper_util::server::graceful::GracefulShutdown;

/// Time for which queued connections are still accepted.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(50);
/// Time after the listener has closed in which a new connection can send its first request.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(100);
/// Time between two checks whether connections are left.
const CONNECTIONS_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs `accept`, which never returns, for the connections that the kernel has accepted but the
/// process has not. Closing the listener would reset them.
pub(super) async fn accept_queued(accept: impl Future<Output = ()>) {
    drop(tokio::time::timeout(FINAL_ACCEPT_TIMEOUT, accept).await);
}

/// Waits until all connections have ended by themselves, at most for `limit`.
pub(super) async fn wait_for_connections(graceful: &GracefulShutdown, limit: Duration) {
    let ended = async {
        while graceful.count() > 0 {
            tokio::time::sleep(CONNECTIONS_CHECK_INTERVAL).await;
        }
    };
    drop(tokio::time::timeout(limit, ended).await);
}

/// Closes idle connections and waits up to `grace` for running requests. Requests that take longer
/// are aborted when the process exits.
pub(super) async fn finish_requests(graceful: GracefulShutdown, grace: Duration) {
    tokio::time::sleep(FIRST_REQUEST_GRACE).await;
    drop(tokio::time::timeout(grace, graceful.shutdown()).await);
}
