//! Consistency checks for the addresses in a settings file.

use std::net::SocketAddr;

use crate::check::ErrorList;
use crate::prelude::*;

/// An address from a settings file, with its JSON path for error messages.
#[derive(Clone, Debug)]
pub struct ConfiguredAddress {
    /// JSON path of the address, such as `$.control[0]`.
    pub path: String,
    /// The address as configured, not yet checked.
    pub address: SocketAddr,
}

/// Reports each address of `bound`, the addresses that one process binds, that conflicts with an
/// earlier one. Port 0 never conflicts, because the operating system assigns a free port.
pub fn check_conflicts(bound: &[ConfiguredAddress], errors: &mut ErrorList) {
    for (index, later) in bound.iter().enumerate() {
        let conflict = bound[..index]
            .iter()
            .find(|earlier| conflicts(earlier.address, later.address));
        if let Some(earlier) = conflict {
            let detail = format!("{} is already used by {}", later.address, earlier.path);
            errors.add(&later.path, ResultCode::SettingsContradict, detail);
        }
    }
}

/// Reports an address that is advertised to other processes but cannot be reached from another VM.
pub fn check_advertised(configured: &ConfiguredAddress, errors: &mut ErrorList) {
    if configured.address.ip().is_unspecified() || configured.address.ip().is_multicast() {
        let detail = format!(
            "{}; other processes connect to it, so it must be the address of one VM",
            configured.address
        );
        errors.add(&configured.path, ResultCode::OutOfRange, detail);
    }
}

/// Reports an address of another process that cannot be connected to.
pub fn check_connectable(configured: &ConfiguredAddress, errors: &mut ErrorList) {
    check_advertised(configured, errors);
    if configured.address.port() == 0 {
        errors.add(
            &configured.path,
            ResultCode::OutOfRange,
            "port 0; expected 1 to 65535",
        );
    }
}

/// Reports each duplicate address in a list.
pub fn check_duplicates(list: &[ConfiguredAddress], errors: &mut ErrorList) {
    for (index, later) in list.iter().enumerate() {
        let is_duplicate = list[..index]
            .iter()
            .any(|earlier| earlier.address == later.address);
        if is_duplicate {
            let detail = format!("duplicate address {}", later.address);
            errors.add(&later.path, ResultCode::DuplicateName, detail);
        }
    }
}

fn conflicts(left: SocketAddr, right: SocketAddr) -> bool {
    let same_ip = left.ip() == right.ip();
    let any_ip = left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() != 0 && left.port() == right.port() && (same_ip || any_ip)
}
