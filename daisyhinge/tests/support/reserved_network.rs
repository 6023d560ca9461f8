//! Reservation of the loopback addresses of a test, which another run of the same test would use, too.

use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// Port whose listener reserves the addresses.
const RESERVED_PORT: u16 = 27_899;
/// Maximum time to wait for another run of the test.
const OTHER_RUN_TIMEOUT: Duration = Duration::from_mins(3);

/// Returns the address 127.`network`.`block`.`number`. Waits at the first call until no other process
/// uses the network, and reserves it until the process ends.
pub fn reserved_host(network: u8, block: u8, number: u8) -> IpAddr {
    static RESERVED: OnceLock<TcpListener> = OnceLock::new();
    RESERVED.get_or_init(|| reserve(network));
    IpAddr::from([127, network, block, number])
}

fn reserve(network: u8) -> TcpListener {
    let address = SocketAddr::from((Ipv4Addr::new(127, network, 255, 250), RESERVED_PORT));
    let started = Instant::now();
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(error)
                if error.kind() == ErrorKind::AddrInUse
                    && started.elapsed() < OTHER_RUN_TIMEOUT =>
            {
                std::thread::sleep(Duration::from_millis(100));
            }
            Err(error) => panic!("{address}: {error}"),
        }
    }
}
