//! The HTTP port of control processes and of metrics.

use std::net::SocketAddr;

use daisyhinge::shell::http_port::HttpPort;
use daisyhinge::shell::http_port::reply::reply_text;
use hyper::Request;
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

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
