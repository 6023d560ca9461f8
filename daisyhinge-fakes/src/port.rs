//! Reservation of loopback addresses for processes whose address is configured before they start.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// First reserved port; the ephemeral ports of outgoing connections lie above the reserved range.
const PORT_FIRST: u32 = 12_000;

/// Number of reserved ports.
const PORT_COUNT: u32 = 19_968;

/// Distance between the first ports that two processes with consecutive process ids try.
const PORTS_PER_PROCESS: u32 = 128;

/// Reserves a free loopback address below the ephemeral port range, so that no outgoing connection
/// takes the port before the process that is configured with it listens there.
pub fn reserve_address() -> SocketAddr {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    loop {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = PORT_FIRST + start.wrapping_add(offset) % PORT_COUNT;
        let address = (Ipv4Addr::LOCALHOST, u16::try_from(port).unwrap_or(u16::MAX));
        if let Some(address) = TcpListener::bind(address)
            .ok()
            .and_then(|listener| listener.local_addr().ok())
        {
            return address;
        }
    }
}
