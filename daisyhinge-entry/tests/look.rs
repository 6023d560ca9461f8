//! The last look is taken again at the moment of writing.

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

const LEFT: Duration = Duration::from_secs(5);

async fn send(server: &FakeServer, looks: u32) -> DispatchOutcome {
    let pool = ServerPool::new(server.address(), IncarnationNumber(1), 5);
    let ask = SubRequest {
        attempt: AttemptId {
            origin: 1,
            sequence: looks.into(),
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
    let taken = Arc::new(AtomicU32::new(0));
    let look = move || (taken.fetch_add(1, Ordering::Relaxed) < looks).then_some(LEFT);
    send_subrequest(&pool, &ask, LEFT, 1_000, look).await.end
}

#[tokio::test]
async fn nothing_is_written_once_the_look_says_no() {
    let server = FakeServer::spawn(FakeSettings::new("labels", "labels-0", "a", &[]))
        .await
        .unwrap();
    assert_eq!(send(&server, 0).await, DispatchOutcome::NotSent);
    // Yes when the request is built, no when the connection takes it: a freeze lay in between.
    assert_eq!(send(&server, 1).await, DispatchOutcome::Expired);
    assert_eq!(server.record().received, 0);
    assert!(matches!(
        send(&server, 2).await,
        DispatchOutcome::Answered { .. }
    ));
    assert_eq!(server.record().received, 1);
}
