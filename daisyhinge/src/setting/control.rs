//! Validation of the settings of a control VM.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::check::{ErrorList, ObjectReader, parse_tree};
use crate::prelude::*;
use crate::setting::address::{
    ConfiguredAddress, check_advertised, check_conflicts, check_connectable, check_duplicates,
};
use crate::setting::entry::EVENTS_RANGE;
use crate::setting::{SETTINGS_MAX_BYTES, VOTERS_MAX};
use crate::vocabulary::field_error::FieldError;
use crate::vocabulary::setting::ControlSettings;

/// Parses and validates the settings of a control VM.
///
/// # Errors
///
/// All errors found, each with its JSON path and result code.
pub fn check_control_settings(text: &[u8]) -> Result<ControlSettings, Vec<FieldError>> {
    let tree = parse_tree(text, SETTINGS_MAX_BYTES).map_err(|error| vec![error])?;
    let mut errors = ErrorList::default();
    let known = [
        "vm",
        "address",
        "operator_address",
        "metrics_address",
        "data_folder",
        "token_file",
        "voters",
        "events_max",
    ];
    if let Some(reader) = ObjectReader::open("$", &tree, &known, &mut errors) {
        check_all_fields(&reader, &mut errors);
    }
    errors.finish(|| {
        serde_json::from_slice(text)
            .map_err(|error| FieldError::new("$", ResultCode::WrongType, error.to_string()))
    })
}

fn check_all_fields(reader: &ObjectReader<'_>, errors: &mut ErrorList) {
    let vm = reader.read_name("vm", errors);
    let address = check_addresses(reader, errors);
    reader.read_text("data_folder", errors);
    reader.read_text("token_file", errors);
    reader.read_number("events_max", EVENTS_RANGE, errors);
    let voters = read_voters(reader, errors);
    if let (Some(vm), Some(address), false) = (vm, address, voters.is_empty()) {
        check_own_voter(reader, vm, address, &voters, errors);
    }
}

/// Checks the addresses that the process binds and returns the one for control VMs and entries.
fn check_addresses(reader: &ObjectReader<'_>, errors: &mut ErrorList) -> Option<SocketAddr> {
    let bound: Vec<_> = ["address", "operator_address", "metrics_address"]
        .into_iter()
        .filter_map(|name| {
            reader
                .read_address(name, errors)
                .map(|address| ConfiguredAddress {
                    path: reader.path(name),
                    address,
                })
        })
        .collect();
    // The metrics address is used by operators' tools only and is not advertised to other
    // processes.
    bound
        .iter()
        .filter(|configured| configured.path != reader.path("metrics_address"))
        .for_each(|configured| check_advertised(configured, errors));
    check_conflicts(&bound, errors);
    bound
        .iter()
        .find(|configured| configured.path == reader.path("address"))
        .map(|configured| configured.address)
}

/// An element of the `voters` list.
#[derive(Debug)]
struct ListedVoter<'a> {
    vm: &'a str,
    listed_address: ConfiguredAddress,
}

fn read_voters<'a>(reader: &ObjectReader<'a>, errors: &mut ErrorList) -> Vec<ListedVoter<'a>> {
    let mut names = BTreeSet::new();
    let mut voters = Vec::new();
    for item in reader.read_array("voters", 0..=VOTERS_MAX, errors) {
        let known = ["vm", "address"];
        let Some(voter) = ObjectReader::open(&item.path, item.value, &known, errors) else {
            continue;
        };
        let vm = voter.read_name("vm", errors);
        let address = voter.read_address("address", errors);
        let (Some(vm), Some(address)) = (vm, address) else {
            continue;
        };
        if !names.insert(vm) {
            let detail = format!("duplicate VM {vm:?}");
            errors.add(voter.path("vm"), ResultCode::DuplicateName, detail);
        }
        let listed_address = ConfiguredAddress {
            path: voter.path("address"),
            address,
        };
        check_connectable(&listed_address, errors);
        voters.push(ListedVoter { vm, listed_address });
    }
    let listed_addresses: Vec<_> = voters
        .iter()
        .map(|voter| voter.listed_address.clone())
        .collect();
    check_duplicates(&listed_addresses, errors);
    voters
}

/// Checks that the initial voters include this VM with its own address.
fn check_own_voter(
    reader: &ObjectReader<'_>,
    vm: &str,
    address: SocketAddr,
    voters: &[ListedVoter<'_>],
    errors: &mut ErrorList,
) {
    let path = reader.path("voters");
    match voters.iter().find(|voter| voter.vm == vm) {
        None => {
            let detail = format!(
                "{vm:?} is not listed; the list must name this VM or, on a VM added later, be empty"
            );
            errors.add(path, ResultCode::SettingsContradict, detail);
        }
        Some(voter) if address.port() != 0 && voter.listed_address.address != address => {
            let detail = format!(
                "{} differs from {address} in $.address",
                voter.listed_address.address
            );
            errors.add(
                &voter.listed_address.path,
                ResultCode::SettingsContradict,
                detail,
            );
        }
        Some(_) => {}
    }
}
