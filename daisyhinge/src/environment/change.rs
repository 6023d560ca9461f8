//! The whole check of operators' changes.

use std::ops::RangeInclusive;

use crate::check::reader::check_name_at;
use crate::check::{FaultList, JsonTree, ObjectReader, parse_tree};
use crate::environment::check::{DOCUMENT_MAX_BYTES, check_document_at};
use crate::prelude::*;
use crate::vocabulary::change::ChangeAsk;
use crate::vocabulary::fault::FieldFault;

/// Largest change, in bytes: a document and what surrounds it.
pub const CHANGE_MAX_BYTES: usize = DOCUMENT_MAX_BYTES + 4_096;

const ANY_NUMBER: RangeInclusive<u64> = 0..=u64::MAX;

/// Reads a change and checks it whole, its document included.
///
/// # Errors
///
/// Every fault at once, each with its JSON path and number.
pub fn check_change(text: &[u8]) -> Result<ChangeAsk, Vec<FieldFault>> {
    let tree = parse_tree(text, CHANGE_MAX_BYTES).map_err(|fault| vec![fault])?;
    let mut faults = FaultList::default();
    let known = ["change", "base", "operator", "made_ms", "kind"];
    if let Some(ask) = ObjectReader::open("$", &tree, &known, &mut faults) {
        ask.read_name("change", &mut faults);
        ask.read_name("operator", &mut faults);
        ask.read_number("made_ms", ANY_NUMBER, &mut faults);
        ask.read_optional_number("base", ANY_NUMBER, &mut faults);
        if let Some(kind) = ask.find("kind") {
            check_kind(kind, &mut faults);
        }
    }
    faults.finish(|| {
        serde_json::from_slice(text)
            .map_err(|error| FieldFault::new("$", ResultCode::WrongType, error.to_string()))
    })
}

fn check_kind(kind: &JsonTree, faults: &mut FaultList) {
    let known = [
        "apply",
        "promote",
        "set-centre",
        "add-voter",
        "remove-voter",
    ];
    let Some(reader) = ObjectReader::open("$.kind", kind, &known, faults) else {
        return;
    };
    for name in known {
        if let Some(value) = reader.find(name) {
            check_kind_fields(name, &reader.path(name), value, faults);
        }
    }
}

fn check_kind_fields(name: &str, path: &str, value: &JsonTree, faults: &mut FaultList) {
    let (known, names): (&[&str], &[&str]) = match name {
        "apply" => (&["environment", "document"], &["environment"]),
        "promote" => (&["from", "trusted", "to"], &["from", "to"]),
        "set-centre" => (
            &["environment", "data_centre", "state"],
            &["environment", "data_centre"],
        ),
        "add-voter" => (&["vm", "address"], &["vm"]),
        _ => (&["vm"], &["vm"]),
    };
    let Some(reader) = ObjectReader::open(path, value, known, faults) else {
        return;
    };
    for field in names {
        reader.read_name(field, faults);
    }
    if let Some(document) = reader.find("document") {
        check_document_at(&reader.path("document"), document, faults);
    }
    reader.check_word("state", &["in", "out"], faults);
    if reader.find("address").is_some() {
        reader.read_address("address", faults);
    }
}

/// Checks a name that an operator gives, such as an environment's in a query.
///
/// # Errors
///
/// [`ResultCode::BadName`].
pub fn check_given_name(path: &str, text: &str) -> Result<(), Vec<FieldFault>> {
    let mut faults = FaultList::default();
    check_name_at(path, text, &mut faults);
    faults.finish(|| Ok(()))
}
