//! Validation of the settings of an entry.

use std::ops::RangeInclusive;

use crate::check::reader::read_address_at;
use crate::check::{ErrorList, ObjectReader, parse_tree};
use crate::prelude::*;
use crate::setting::address::{
    ConfiguredAddress, check_advertised, check_conflicts, check_connectable, check_duplicates,
};
use crate::setting::{SETTINGS_MAX_BYTES, VOTERS_MAX};
use crate::vocabulary::field_error::FieldError;
use crate::vocabulary::setting::EntrySettings;

const BODY_BYTES_RANGE: RangeInclusive<u64> = 1_024..=64 << 20;
const DEADLINE_MS_RANGE: RangeInclusive<u64> = 1..=600_000;
const CONNECTIONS_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const MEMORY_MB_RANGE: RangeInclusive<u64> = 64..=1 << 20;
const REPLICAS_RANGE: RangeInclusive<u64> = 1..=100_000;
const RUNNING_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const SHUTDOWN_MS_RANGE: RangeInclusive<u64> = 0..=3_600_000;

/// Range of the number of events that a process may store.
pub(crate) const EVENTS_RANGE: RangeInclusive<u64> = 1..=1 << 20;

/// Parses and validates the settings of an entry.
///
/// # Errors
///
/// All errors found, each with its JSON path and result code.
pub fn check_entry_settings(text: &[u8]) -> Result<EntrySettings, Vec<FieldError>> {
    let tree = parse_tree(text, SETTINGS_MAX_BYTES).map_err(|error| vec![error])?;
    let mut errors = ErrorList::default();
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
    if let Some(reader) = ObjectReader::open("$", &tree, &known, &mut errors) {
        for name in ["vm", "environment", "data_centre"] {
            reader.read_name(name, &mut errors);
        }
        check_addresses(&reader, &mut errors);
        check_limits(&reader, &mut errors);
    }
    errors.finish(|| {
        serde_json::from_slice(text)
            .map_err(|error| FieldError::new("$", ResultCode::WrongType, error.to_string()))
    })
}

fn check_addresses(reader: &ObjectReader<'_>, errors: &mut ErrorList) {
    let mut bound = Vec::new();
    for name in ["caller_address", "peer_address", "metrics_address"] {
        let Some(address) = reader.read_address(name, errors) else {
            continue;
        };
        let configured = ConfiguredAddress {
            path: reader.path(name),
            address,
        };
        if name != "metrics_address" {
            check_advertised(&configured, errors);
        }
        bound.push(configured);
    }
    check_conflicts(&bound, errors);
    check_control(reader, &bound, errors);
}

fn check_control(reader: &ObjectReader<'_>, bound: &[ConfiguredAddress], errors: &mut ErrorList) {
    let control: Vec<_> = reader
        .read_array("control", 1..=VOTERS_MAX, errors)
        .into_iter()
        .filter_map(|item| {
            read_address_at(&item.path, item.value, errors).map(|address| ConfiguredAddress {
                path: item.path,
                address,
            })
        })
        .collect();
    check_duplicates(&control, errors);
    for configured in &control {
        check_connectable(configured, errors);
        if let Some(conflicting) = bound
            .iter()
            .find(|bound| bound.address == configured.address)
        {
            let detail = format!(
                "{} is this process's own address in {}",
                configured.address, conflicting.path
            );
            errors.add(&configured.path, ResultCode::SettingsContradict, detail);
        }
    }
}

fn check_limits(reader: &ObjectReader<'_>, errors: &mut ErrorList) {
    let Some(value) = reader.find("limits") else {
        return;
    };
    let known = [
        "body_max_bytes",
        "deadline_max_ms",
        "connections_max",
        "memory_mb",
        "replicas_max",
        "running_max",
        "shutdown_max_ms",
        "events_max",
    ];
    let Some(limits) = ObjectReader::open("$.limits", value, &known, errors) else {
        return;
    };
    limits.read_number("body_max_bytes", BODY_BYTES_RANGE, errors);
    limits.read_number("deadline_max_ms", DEADLINE_MS_RANGE, errors);
    limits.read_number("connections_max", CONNECTIONS_RANGE, errors);
    limits.read_number("memory_mb", MEMORY_MB_RANGE, errors);
    limits.read_number("replicas_max", REPLICAS_RANGE, errors);
    limits.read_number("running_max", RUNNING_RANGE, errors);
    limits.read_number("shutdown_max_ms", SHUTDOWN_MS_RANGE, errors);
    limits.read_number("events_max", EVENTS_RANGE, errors);
}
