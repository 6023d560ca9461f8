//! Tests that the dispatch check runs again when the connection writes the request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::keeper::sub_request::DispatchOutcome;
use daisyhinge::prelude::*;
use daisyhinge::shell::backend::send_subrequest;
use daisyhinge::shell::pool::ServerPool;
use daisyhinge::vocabulary::subrequest::SubRequest;
use daisyhinge_fakes::server::{FakeServer, FakeSettings};

const REMAINING: Duration = Duration::from_secs(5);

async fn send(server: &FakeServer, passing_checks: u32) -> DispatchOutcome {
    let pool = ServerPool::new(server.address(), IncarnationNumber(1), 5);
    let sub_request = SubRequest {
        attempt: AttemptId {
            origin: 1,
            sequence: passing_checks.into(),
        },
        request: "request-1".into(),
        digest: RequestDigest(1),
        service: "labels".into(),
        replica: "labels-0".into(),
        shard: ShardNumber(0),
        snapshot: SnapshotNumber(1),
        version: VersionNumber(1),
        expires_us: 5_000_000,
        repeatable: true,
        hedge: false,
        suspect: false,
        body: Bytes::from_static(b"{}"),
    };
    let checks = Arc::new(AtomicU32::new(0));
    let dispatch_check =
        move || (checks.fetch_add(1, Ordering::Relaxed) < passing_checks).then_some(REMAINING);
    send_subrequest(&pool, &sub_request, REMAINING, 1_000, dispatch_check)
        .await
        .outcome
}

#[tokio::test]
async fn request_is_not_written_once_the_check_fails() {
    let server = FakeServer::spawn(FakeSettings::new("labels", "labels-0", "a", &[]))
        .await
        .unwrap();
    assert_eq!(send(&server, 0).await, DispatchOutcome::NotSent);
    // `dispatch_check` passes when the request is built but fails when the connection writes the
    // request, as if the process had been frozen in between.
    assert_eq!(send(&server, 1).await, DispatchOutcome::Expired);
    assert_eq!(server.record().received, 0);
    assert!(matches!(
        send(&server, 2).await,
        DispatchOutcome::Answered { .. }
    ));
    assert_eq!(server.record().received, 1);
}
