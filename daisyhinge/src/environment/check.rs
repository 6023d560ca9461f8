//! Validation of environment documents.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use crate::check::reader::ArrayItem;
use crate::check::{ErrorList, JsonTree, ObjectReader, parse_tree};
use crate::prelude::*;
use crate::vocabulary::environment::{EnvironmentDocument, PPM_SCALE};
use crate::vocabulary::field_error::FieldError;

/// Maximum size of a document in bytes.
pub const DOCUMENT_MAX_BYTES: usize = 1 << 20;

const REGIONS_RANGE: RangeInclusive<usize> = 1..=64;
const CENTRES_RANGE: RangeInclusive<usize> = 1..=64;
const SERVICES_RANGE: RangeInclusive<usize> = 0..=10_000;
const POWER_CAP_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const DEADLINE_MS_RANGE: RangeInclusive<u64> = 1..=600_000;
const RUNNING_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const PPM_RANGE: RangeInclusive<u64> = 0..=PPM_SCALE as u64;
const KEEP_MS_RANGE: RangeInclusive<u64> = 100..=60_000;
const ADDRESSES_RANGE: RangeInclusive<u64> = 1..=64;

/// Parses and validates a document.
///
/// # Errors
///
/// All errors found, each with its JSON path and result code, in the order in which fields are
/// checked.
pub fn check_document(text: &[u8]) -> Result<EnvironmentDocument, Vec<FieldError>> {
    let tree = parse_tree(text, DOCUMENT_MAX_BYTES).map_err(|error| vec![error])?;
    let mut errors = ErrorList::default();
    check_document_at("$", &tree, &mut errors);
    errors.finish(|| {
        serde_json::from_slice(text)
            .map_err(|error| FieldError::new("$", ResultCode::WrongType, error.to_string()))
    })
}

/// Collects the errors of a document nested at `path` in a larger document.
pub fn check_document_at(path: &str, tree: &JsonTree, errors: &mut ErrorList) {
    let known = ["regions", "services", "addresses"];
    if let Some(reader) = ObjectReader::open(path, tree, &known, errors) {
        check_regions(&reader, errors);
        check_services(&reader, errors);
        check_addresses(&reader, errors);
    }
}

fn check_regions(document: &ObjectReader<'_>, errors: &mut ErrorList) {
    let mut regions = BTreeSet::new();
    let mut centres = BTreeSet::new();
    for item in document.read_array("regions", REGIONS_RANGE, errors) {
        let known = ["name", "data_centres"];
        let Some(region) = ObjectReader::open(&item.path, item.value, &known, errors) else {
            continue;
        };
        check_unique_name(&region, &mut regions, errors);
        for item in region.read_array("data_centres", CENTRES_RANGE, errors) {
            check_centre(&item, &mut centres, errors);
        }
    }
}

fn check_centre<'a>(item: &ArrayItem<'a>, centres: &mut BTreeSet<&'a str>, errors: &mut ErrorList) {
    let known = ["name", "state", "power_cap"];
    let Some(centre) = ObjectReader::open(&item.path, item.value, &known, errors) else {
        return;
    };
    check_unique_name(&centre, centres, errors);
    centre.check_choice("state", &["in", "out"], errors);
    centre.read_optional_number("power_cap", POWER_CAP_RANGE, errors);
}

fn check_services(document: &ObjectReader<'_>, errors: &mut ErrorList) {
    let mut services = BTreeSet::new();
    for item in document.read_array("services", SERVICES_RANGE, errors) {
        let known = [
            "name",
            "repeatable",
            "deadline_ms",
            "minimum_coverage_ppm",
            "preference",
            "extra_work_ppm",
            "running_max",
        ];
        let Some(service) = ObjectReader::open(&item.path, item.value, &known, errors) else {
            continue;
        };
        check_unique_name(&service, &mut services, errors);
        service.check_bool("repeatable", errors);
        service.read_number("deadline_ms", DEADLINE_MS_RANGE, errors);
        service.read_number("minimum_coverage_ppm", PPM_RANGE, errors);
        service.check_choice("preference", &["coverage", "latency"], errors);
        service.read_number("extra_work_ppm", PPM_RANGE, errors);
        service.read_number("running_max", RUNNING_RANGE, errors);
    }
}

fn check_addresses(document: &ObjectReader<'_>, errors: &mut ErrorList) {
    let Some(value) = document.find("addresses") else {
        return;
    };
    let known = ["keep_ms", "count"];
    let path = document.path("addresses");
    if let Some(addresses) = ObjectReader::open(&path, value, &known, errors) {
        addresses.read_number("keep_ms", KEEP_MS_RANGE, errors);
        addresses.read_number("count", ADDRESSES_RANGE, errors);
    }
}

fn check_unique_name<'a>(
    reader: &ObjectReader<'a>,
    names: &mut BTreeSet<&'a str>,
    errors: &mut ErrorList,
) {
    if let Some(name) = reader.read_name("name", errors)
        && !names.insert(name)
    {
        let detail = format!("duplicate name {name:?}");
        errors.add(reader.path("name"), ResultCode::DuplicateName, detail);
    }
}
