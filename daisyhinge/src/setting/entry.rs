//! Finds all faults of an entry's settings at once.

use std::ops::RangeInclusive;

use crate::check::reader::read_address_at;
use crate::check::{FaultList, ObjectReader, parse_tree};
use crate::prelude::*;
use crate::setting::address::{
    PlacedAddress, check_clashes, check_duplicates, check_reachable, check_target,
};
use crate::setting::{SETTINGS_MAX_BYTES, VOTERS_MAX};
use crate::vocabulary::fault::FieldFault;
use crate::vocabulary::setting::EntrySettings;

const BODY_BYTES: RangeInclusive<u64> = 1_024..=64 << 20;
const DEADLINE_MS: RangeInclusive<u64> = 1..=600_000;
const CONNECTIONS: RangeInclusive<u64> = 1..=1_000_000;
const REPLICAS: RangeInclusive<u64> = 1..=100_000;
const RUNNING: RangeInclusive<u64> = 1..=1_000_000;
const SHUTDOWN_MS: RangeInclusive<u64> = 0..=3_600_000;

/// Events that one process may keep.
pub(crate) const EVENTS: RangeInclusive<u64> = 1..=1 << 20;

/// Reads the settings of an entry and checks them whole.
///
/// # Errors
///
/// Every fault at once, each with its JSON path and number.
pub fn check_entry_settings(text: &[u8]) -> Result<EntrySettings, Vec<FieldFault>> {
    let tree = parse_tree(text, SETTINGS_MAX_BYTES).map_err(|fault| vec![fault])?;
    let mut faults = FaultList::default();
    let known = [
        "vm",
        "environment",
        "data_centre",
        "caller_address",
        "peer_address",
        "metrics_address",
        "control",
        "limits",
    ];
    if let Some(reader) = ObjectReader::open("$", &tree, &known, &mut faults) {
        for name in ["vm", "environment", "data_centre"] {
            reader.read_name(name, &mut faults);
        }
        check_addresses(&reader, &mut faults);
        check_limits(&reader, &mut faults);
    }
    faults.finish(|| {
        serde_json::from_slice(text)
            .map_err(|error| FieldFault::new("$", ResultCode::WrongType, error.to_string()))
    })
}

fn check_addresses(reader: &ObjectReader<'_>, faults: &mut FaultList) {
    let mut own = Vec::new();
    for name in ["caller_address", "peer_address", "metrics_address"] {
        let Some(address) = reader.read_address(name, faults) else {
            continue;
        };
        let placed = PlacedAddress {
            path: reader.path(name),
            address,
        };
        if name != "metrics_address" {
            check_reachable(&placed, faults);
        }
        own.push(placed);
    }
    check_clashes(&own, faults);
    check_control(reader, &own, faults);
}

fn check_control(reader: &ObjectReader<'_>, own: &[PlacedAddress], faults: &mut FaultList) {
    let control: Vec<_> = reader
        .read_array("control", 1..=VOTERS_MAX, faults)
        .into_iter()
        .filter_map(|item| {
            read_address_at(&item.path, item.value, faults).map(|address| PlacedAddress {
                path: item.path,
                address,
            })
        })
        .collect();
    check_duplicates(&control, faults);
    for placed in &control {
        check_target(placed, faults);
        if let Some(same) = own.iter().find(|own| own.address == placed.address) {
            let detail = format!("{} is this process's own {}", placed.address, same.path);
            faults.add(&placed.path, ResultCode::SettingsContradict, detail);
        }
    }
}

fn check_limits(reader: &ObjectReader<'_>, faults: &mut FaultList) {
    let Some(value) = reader.find("limits") else {
        return;
    };
    let known = [
        "body_max_bytes",
        "deadline_max_ms",
        "connections_max",
        "replicas_max",
        "running_max",
        "shutdown_max_ms",
        "events_max",
    ];
    let Some(limits) = ObjectReader::open("$.limits", value, &known, faults) else {
        return;
    };
    limits.read_number("body_max_bytes", BODY_BYTES, faults);
    limits.read_number("deadline_max_ms", DEADLINE_MS, faults);
    limits.read_number("connections_max", CONNECTIONS, faults);
    limits.read_number("replicas_max", REPLICAS, faults);
    limits.read_number("running_max", RUNNING, faults);
    limits.read_number("shutdown_max_ms", SHUTDOWN_MS, faults);
    limits.read_number("events_max", EVENTS, faults);
}
