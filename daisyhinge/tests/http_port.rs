//! The HTTP port of control processes and of metrics.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyhinge::intake::process_limits::derive_limits;
use daisyhinge::metric::intake::{CutLabels, IntakeCounters};
use daisyhinge::shell::http_port::HttpPort;
use daisyhinge::shell::http_port::reply::reply_text;
use daisyhinge::shell::intake::ClientIntake;
use hyper::Request;
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Size of a reply that the buffers of a connection do not take, in bytes.
const LARGE_BYTES: usize = 8 << 20;
/// Maximum time until a client that does not read is cut off.
const CUT_TIMEOUT: Duration = Duration::from_secs(30);

/// Connections that the kernel has accepted but the port has not when it closes are still answered.
#[tokio::test]
async fn queued_connections_are_answered_when_the_port_closes() {
    let answer =
        |_: Request<Incoming>| std::future::ready(reply_text("text/plain", "answer".to_owned()));
    let port = HttpPort::bind(SocketAddr::from(([127, 0, 0, 1], 0)), answer).await;
    let port = port.expect("bind the port");
    let address = port.address();
    // The port's task does not run between the connects and the close.
    let connect = |_| std::net::TcpStream::connect(address).expect("the port accepts connections");
    let streams: Vec<_> = (0..8).map(connect).collect();
    let closing = tokio::spawn(port.close());
    let mut waiting = Vec::new();
    for stream in streams {
        stream.set_nonblocking(true).expect("a socket");
        let mut stream = TcpStream::from_std(stream).expect("a socket");
        let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        let sent = stream.write_all(request).await;
        sent.expect("the connection is open");
        waiting.push(stream);
    }
    for mut stream in waiting {
        let mut answer = String::new();
        let read = stream.read_to_string(&mut answer).await;
        read.expect("the connection is not reset");
        assert!(answer.ends_with("answer"), "{answer:?}");
    }
    closing.await.expect("the port closes");
    let refused = TcpStream::connect(address).await;
    refused.expect_err("the port is closed");
}

/// New connections must not keep the port from cutting off a client that does not read.
#[tokio::test]
async fn client_that_does_not_read_is_kept_while_others_connect() {
    let answer = |_: Request<Incoming>| {
        std::future::ready(reply_text("text/plain", "a".repeat(LARGE_BYTES)))
    };
    let limits = derive_limits(256 << 20, 4_096);
    let intake = ClientIntake::open(limits, IntakeCounters::default(), None);
    let port = intake.open_port("http", 64);
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let port = HttpPort::bind_port(address, port, Duration::from_secs(1), answer);
    let port = port.expect("bind the port");
    let mut silent = TcpStream::connect(port.address())
        .await
        .expect("a connection");
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    silent.write_all(request).await.expect("send the request");
    let labels = CutLabels {
        port: "http",
        reason: "unread",
    };
    let started = Instant::now();
    while intake.counters().cut.get_or_create(&labels).get() == 0 {
        assert!(started.elapsed() < CUT_TIMEOUT, "the client is still kept");
        drop(
            TcpStream::connect(port.address())
                .await
                .expect("a connection"),
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    port.close().await;
}
