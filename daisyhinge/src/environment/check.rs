//! Finds all faults of an environment document at once.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use crate::check::reader::ArrayItem;
use crate::check::{FaultList, JsonTree, ObjectReader, parse_tree};
use crate::prelude::*;
use crate::vocabulary::environment::{EnvironmentDocument, WHOLE_PPM};
use crate::vocabulary::fault::FieldFault;

/// Largest document, in bytes.
pub const DOCUMENT_MAX_BYTES: usize = 1 << 20;

const REGIONS: RangeInclusive<usize> = 1..=64;
const CENTRES: RangeInclusive<usize> = 1..=64;
const SERVICES: RangeInclusive<usize> = 0..=10_000;
const POWER_CAP: RangeInclusive<u64> = 1..=1_000_000;
const DEADLINE_MS: RangeInclusive<u64> = 1..=600_000;
const RUNNING: RangeInclusive<u64> = 1..=1_000_000;
const PPM: RangeInclusive<u64> = 0..=WHOLE_PPM as u64;
const KEEP_MS: RangeInclusive<u64> = 100..=60_000;
const ADDRESSES: RangeInclusive<u64> = 1..=64;

/// Reads a document and checks it whole.
///
/// # Errors
///
/// Every fault at once, each with its JSON path and number, in the order of the text.
pub fn check_document(text: &[u8]) -> Result<EnvironmentDocument, Vec<FieldFault>> {
    let tree = parse_tree(text, DOCUMENT_MAX_BYTES).map_err(|fault| vec![fault])?;
    let mut faults = FaultList::default();
    check_document_at("$", &tree, &mut faults);
    faults.finish(|| {
        serde_json::from_slice(text)
            .map_err(|error| FieldFault::new("$", ResultCode::WrongType, error.to_string()))
    })
}

/// Lists the faults of the document that stands at `path` of a larger text.
pub fn check_document_at(path: &str, tree: &JsonTree, faults: &mut FaultList) {
    let known = ["regions", "services", "addresses"];
    if let Some(reader) = ObjectReader::open(path, tree, &known, faults) {
        check_regions(&reader, faults);
        check_services(&reader, faults);
        check_addresses(&reader, faults);
    }
}

fn check_regions(document: &ObjectReader<'_>, faults: &mut FaultList) {
    let mut regions = BTreeSet::new();
    let mut centres = BTreeSet::new();
    for item in document.read_array("regions", REGIONS, faults) {
        let known = ["name", "data_centres"];
        let Some(region) = ObjectReader::open(&item.path, item.value, &known, faults) else {
            continue;
        };
        check_unique_name(&region, &mut regions, faults);
        for item in region.read_array("data_centres", CENTRES, faults) {
            check_centre(&item, &mut centres, faults);
        }
    }
}

fn check_centre<'a>(item: &ArrayItem<'a>, centres: &mut BTreeSet<&'a str>, faults: &mut FaultList) {
    let known = ["name", "state", "power_cap"];
    let Some(centre) = ObjectReader::open(&item.path, item.value, &known, faults) else {
        return;
    };
    check_unique_name(&centre, centres, faults);
    centre.check_word("state", &["in", "out"], faults);
    centre.read_optional_number("power_cap", POWER_CAP, faults);
}

fn check_services(document: &ObjectReader<'_>, faults: &mut FaultList) {
    let mut services = BTreeSet::new();
    for item in document.read_array("services", SERVICES, faults) {
        let known = [
            "name",
            "repeatable",
            "deadline_ms",
            "minimum_coverage_ppm",
            "preference",
            "extra_work_ppm",
            "running_max",
        ];
        let Some(service) = ObjectReader::open(&item.path, item.value, &known, faults) else {
            continue;
        };
        check_unique_name(&service, &mut services, faults);
        service.check_flag("repeatable", faults);
        service.read_number("deadline_ms", DEADLINE_MS, faults);
        service.read_number("minimum_coverage_ppm", PPM, faults);
        service.check_word("preference", &["coverage", "latency"], faults);
        service.read_number("extra_work_ppm", PPM, faults);
        service.read_number("running_max", RUNNING, faults);
    }
}

fn check_addresses(document: &ObjectReader<'_>, faults: &mut FaultList) {
    let Some(value) = document.find("addresses") else {
        return;
    };
    let known = ["keep_ms", "count"];
    let path = document.path("addresses");
    if let Some(addresses) = ObjectReader::open(&path, value, &known, faults) {
        addresses.read_number("keep_ms", KEEP_MS, faults);
        addresses.read_number("count", ADDRESSES, faults);
    }
}

fn check_unique_name<'a>(
    reader: &ObjectReader<'a>,
    names: &mut BTreeSet<&'a str>,
    faults: &mut FaultList,
) {
    if let Some(name) = reader.read_name("name", faults)
        && !names.insert(name)
    {
        let detail = format!("{name:?} is there before");
        faults.add(reader.path("name"), ResultCode::DuplicateName, detail);
    }
}
