//! Finds all faults of a control VM's settings at once.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::check::{FaultList, ObjectReader, parse_tree};
use crate::prelude::*;
use crate::setting::address::{
    PlacedAddress, check_clashes, check_duplicates, check_reachable, check_target,
};
use crate::setting::entry::EVENTS;
use crate::setting::{SETTINGS_MAX_BYTES, VOTERS_MAX};
use crate::vocabulary::fault::FieldFault;
use crate::vocabulary::setting::ControlSettings;

/// Reads the settings of a control VM and checks them whole.
///
/// # Errors
///
/// Every fault at once, each with its JSON path and number.
pub fn check_control_settings(text: &[u8]) -> Result<ControlSettings, Vec<FieldFault>> {
    let tree = parse_tree(text, SETTINGS_MAX_BYTES).map_err(|fault| vec![fault])?;
    let mut faults = FaultList::default();
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
    if let Some(reader) = ObjectReader::open("$", &tree, &known, &mut faults) {
        check_fields(&reader, &mut faults);
    }
    faults.finish(|| {
        serde_json::from_slice(text)
            .map_err(|error| FieldFault::new("$", ResultCode::WrongType, error.to_string()))
    })
}

fn check_fields(reader: &ObjectReader<'_>, faults: &mut FaultList) {
    let vm = reader.read_name("vm", faults);
    let address = check_addresses(reader, faults);
    reader.read_text("data_folder", faults);
    reader.read_text("token_file", faults);
    reader.read_number("events_max", EVENTS, faults);
    let voters = read_voters(reader, faults);
    if let (Some(vm), Some(address), false) = (vm, address, voters.is_empty()) {
        check_listed(reader, vm, address, &voters, faults);
    }
}

/// Checks the addresses that the process binds and returns the one for other processes.
fn check_addresses(reader: &ObjectReader<'_>, faults: &mut FaultList) -> Option<SocketAddr> {
    let own: Vec<_> = ["address", "operator_address", "metrics_address"]
        .into_iter()
        .filter_map(|name| {
            reader
                .read_address(name, faults)
                .map(|address| PlacedAddress {
                    path: reader.path(name),
                    address,
                })
        })
        .collect();
    // Others are told the first two; the last one only operators' tools use.
    own.iter()
        .filter(|placed| placed.path != reader.path("metrics_address"))
        .for_each(|placed| check_reachable(placed, faults));
    check_clashes(&own, faults);
    own.iter()
        .find(|placed| placed.path == reader.path("address"))
        .map(|placed| placed.address)
}

/// A voter as the file lists it.
#[derive(Debug)]
struct ListedVoter<'a> {
    vm: &'a str,
    place: PlacedAddress,
}

fn read_voters<'a>(reader: &ObjectReader<'a>, faults: &mut FaultList) -> Vec<ListedVoter<'a>> {
    let mut names = BTreeSet::new();
    let mut voters = Vec::new();
    for item in reader.read_array("voters", 0..=VOTERS_MAX, faults) {
        let known = ["vm", "address"];
        let Some(voter) = ObjectReader::open(&item.path, item.value, &known, faults) else {
            continue;
        };
        let vm = voter.read_name("vm", faults);
        let address = voter.read_address("address", faults);
        let (Some(vm), Some(address)) = (vm, address) else {
            continue;
        };
        if !names.insert(vm) {
            let detail = format!("{vm:?} is there before");
            faults.add(voter.path("vm"), ResultCode::DuplicateName, detail);
        }
        let place = PlacedAddress {
            path: voter.path("address"),
            address,
        };
        check_target(&place, faults);
        voters.push(ListedVoter { vm, place });
    }
    let places: Vec<_> = voters.iter().map(|voter| voter.place.clone()).collect();
    check_duplicates(&places, faults);
    voters
}

/// Checks that the first voters name this VM with its own address.
fn check_listed(
    reader: &ObjectReader<'_>,
    vm: &str,
    address: SocketAddr,
    voters: &[ListedVoter<'_>],
    faults: &mut FaultList,
) {
    let path = reader.path("voters");
    match voters.iter().find(|voter| voter.vm == vm) {
        None => {
            let detail = format!("{vm:?} is not among them; an added VM has an empty list");
            faults.add(path, ResultCode::SettingsContradict, detail);
        }
        Some(voter) if address.port() != 0 && voter.place.address != address => {
            let detail = format!("{} here, {address} in $.address", voter.place.address);
            faults.add(&voter.place.path, ResultCode::SettingsContradict, detail);
        }
        Some(_) => {}
    }
}
