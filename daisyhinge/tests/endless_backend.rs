//! Backend servers whose answers do not end, as a keeper reads them.

#[path = "endless_backend/allocator.rs"]
mod allocator;
#[path = "support/reserved_network.rs"]
mod reserved_network;

use std::net::SocketAddr;
use std::time::Duration;

use allocator::CountingAllocator;
use bytes::Bytes;
use daisyhinge::prelude::*;
use daisyhinge::shell::backend::{send_cancel, send_subrequest};
use daisyhinge::shell::pool::ServerPool;
use daisyhinge::vocabulary::subrequest::SubRequest;
use reserved_network::reserved_host;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator::new();

/// Maximum size of the answer to a sub-request, in bytes.
const ANSWER_MAX_BYTES: usize = 1 << 20;
/// Memory that one exchange may take, in KiB: the largest answer four times over, for the growth of its
/// buffer and the connection's own.
const MEMORY_MAX_KIB: usize = 4 * (ANSWER_MAX_BYTES >> 10);
/// Size of the pieces that the server writes, in bytes.
const PIECE_BYTES: usize = 64 << 10;
/// Time for which the entry waits for the answer to a sub-request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers without end: the name, the start, and what is repeated.
const ANSWERS: [(&str, &str, &str); 7] = [
    ("body", "HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef"),
    (
        "chunks",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "10\r\n0123456789abcdef\r\n",
    ),
    (
        "chunks of one byte",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "1\r\na\r\n",
    ),
    (
        "trailers",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
        "x-trailer: value\r\n",
    ),
    ("header", "HTTP/1.1 200 OK\r\nx-long: ", "a"),
    ("headers", "HTTP/1.1 200 OK\r\n", "x-many: value\r\n"),
    ("interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"),
];

async fn answer(mut stream: TcpStream, start: &str, repeated: &str) -> std::io::Result<()> {
    let mut buffer = [0; 4_096];
    let _request_is_not_examined = stream.read(&mut buffer).await?;
    stream.write_all(start.as_bytes()).await?;
    let piece = repeated.repeat(PIECE_BYTES / repeated.len());
    loop {
        stream.write_all(piece.as_bytes()).await?;
    }
}

/// Starts a backend server that gives each request the same answer.
async fn spawn_server(start: &'static str, repeated: &'static str) -> ServerPool {
    let listener = TcpListener::bind(SocketAddr::new(reserved_host(79, 0, 1), 0)).await;
    let listener = listener.expect("bind a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // The entry closes the connection.
            tokio::spawn(async move { drop(answer(stream, start, repeated).await) });
        }
    });
    ServerPool::new(address, IncarnationNumber(1), 2)
}

fn attempt() -> AttemptId {
    AttemptId {
        origin: 1,
        sequence: 7,
    }
}

fn sub_request() -> SubRequest {
    SubRequest {
        attempt: attempt(),
        request: "r".into(),
        digest: RequestDigest(1),
        service: "labels".into(),
        replica: "replica-1".into(),
        shard: ShardNumber(1),
        snapshot: SnapshotNumber(1),
        version: VersionNumber(1),
        expires_us: 1_000_000,
        repeatable: true,
        hedge: false,
        suspect: false,
        body: Bytes::from_static(b"{}"),
    }
}

/// Returns by how many KiB the memory in use rises at most during `exchange`.
async fn measure_peak_kib(exchange: impl Future<Output = ()>) -> usize {
    let before = ALLOCATOR.reset_peak();
    exchange.await;
    (ALLOCATOR.peak() - before) >> 10
}

/// Guards against an entry that keeps what a faulty backend server sends until it runs out of memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_without_end_are_not_kept() {
    let mut exceeded = Vec::new();
    for (name, start, repeated) in ANSWERS {
        let pool = spawn_server(start, repeated).await;
        let sub_request = sub_request();
        let check = move || Some(ANSWER_TIMEOUT);
        let sending = send_subrequest(&pool, &sub_request, ANSWER_TIMEOUT, ANSWER_MAX_BYTES, check);
        let sent_kib = measure_peak_kib(async { drop(sending.await) }).await;
        let cancelling = send_cancel(&pool, attempt());
        let cancelled_kib = measure_peak_kib(async { assert!(!cancelling.await) }).await;
        println!("{name}: sub-request {sent_kib} KiB, cancel {cancelled_kib} KiB");
        if sent_kib.max(cancelled_kib) > MEMORY_MAX_KIB {
            exceeded.push(name);
        }
        assert!(pool.take_idle().is_none(), "{name}");
    }
    assert!(exceeded.is_empty(), "{exceeded:?}");
}
