//! Checks addresses of one process against each other.

use std::net::SocketAddr;

use crate::check::FaultList;
use crate::prelude::*;

/// An address and where it stands.
#[derive(Clone, Debug)]
pub struct PlacedAddress {
    /// Its path in the file.
    pub path: String,
    /// The address.
    pub address: SocketAddr,
}

/// Lists each of `own`, the addresses that one process binds, that clashes with an earlier one.
/// Port 0 never clashes: the system gives a free one.
pub fn check_clashes(own: &[PlacedAddress], faults: &mut FaultList) {
    for (index, later) in own.iter().enumerate() {
        let clash = own[..index]
            .iter()
            .find(|earlier| clashes(earlier.address, later.address));
        if let Some(earlier) = clash {
            let detail = format!("{} is taken by {}", later.address, earlier.path);
            faults.add(&later.path, ResultCode::SettingsContradict, detail);
        }
    }
}

/// Lists an address that other processes are told but that no other VM could connect to.
pub fn check_reachable(placed: &PlacedAddress, faults: &mut FaultList) {
    if placed.address.ip().is_unspecified() || placed.address.ip().is_multicast() {
        let detail = format!(
            "{}; others connect here, name one VM's address",
            placed.address
        );
        faults.add(&placed.path, ResultCode::OutOfRange, detail);
    }
}

/// Lists an address of another process that cannot be connected to.
pub fn check_target(placed: &PlacedAddress, faults: &mut FaultList) {
    check_reachable(placed, faults);
    if placed.address.port() == 0 {
        faults.add(&placed.path, ResultCode::OutOfRange, "port 0; 1 to 65535");
    }
}

/// Lists each address that stands twice in one list.
pub fn check_duplicates(list: &[PlacedAddress], faults: &mut FaultList) {
    for (index, later) in list.iter().enumerate() {
        let twice = list[..index]
            .iter()
            .any(|earlier| earlier.address == later.address);
        if twice {
            let detail = format!("{} is there before", later.address);
            faults.add(&later.path, ResultCode::DuplicateName, detail);
        }
    }
}

fn clashes(left: SocketAddr, right: SocketAddr) -> bool {
    let same_ip = left.ip() == right.ip();
    let any_ip = left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() != 0 && left.port() == right.port() && (same_ip || any_ip)
}
