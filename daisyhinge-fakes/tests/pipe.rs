//! Tests of the TCP relay: latency, freeze and disconnection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyhinge_fakes::pipe::{PipeSettings, TcpPipe};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const FREE_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

async fn spawn_echo() -> SocketAddr {
    let listener = TcpListener::bind(FREE_ADDRESS).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    address
}

async fn spawn_pipe(one_way_us: u64) -> TcpPipe {
    let settings = PipeSettings {
        address: FREE_ADDRESS,
        target: spawn_echo().await,
        one_way_us,
    };
    TcpPipe::spawn(settings).await.unwrap()
}

async fn echo(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.write_u8(7).await?;
    stream.read_u8().await
}

#[tokio::test]
async fn latency_applies_in_both_directions() {
    let pipe = spawn_pipe(20_000).await;
    let mut stream = TcpStream::connect(pipe.address()).await.unwrap();
    let started = Instant::now();
    assert_eq!(echo(&mut stream).await.unwrap(), 7);
    assert!(started.elapsed() >= Duration::from_millis(40));
}

#[tokio::test]
async fn frozen_link_withholds_bytes_until_unfrozen() {
    let pipe = spawn_pipe(0).await;
    let mut stream = TcpStream::connect(pipe.address()).await.unwrap();
    assert_eq!(echo(&mut stream).await.unwrap(), 7);
    pipe.set_frozen(true);
    stream.write_u8(9).await.unwrap();
    let pending = tokio::time::timeout(Duration::from_millis(100), stream.read_u8()).await;
    pending.unwrap_err();
    pipe.set_frozen(false);
    assert_eq!(stream.read_u8().await.unwrap(), 9);
}

#[tokio::test]
async fn disconnected_link_resets_connections_until_restored() {
    let pipe = spawn_pipe(0).await;
    let mut stream = TcpStream::connect(pipe.address()).await.unwrap();
    assert_eq!(echo(&mut stream).await.unwrap(), 7);
    pipe.set_disconnected(true);
    echo(&mut stream).await.unwrap_err();
    let mut refused = TcpStream::connect(pipe.address()).await.unwrap();
    echo(&mut refused).await.unwrap_err();
    pipe.set_disconnected(false);
    let mut restored = TcpStream::connect(pipe.address()).await.unwrap();
    assert_eq!(echo(&mut restored).await.unwrap(), 7);
}
