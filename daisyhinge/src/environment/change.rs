//! Validation of changes submitted by operators.

use std::ops::RangeInclusive;

use crate::check::reader::check_name_at;
use crate::check::{ErrorList, JsonTree, ObjectReader, parse_tree};
use crate::environment::check::{DOCUMENT_MAX_BYTES, check_document_at};
use crate::prelude::*;
use crate::vocabulary::change::ChangeRequest;
use crate::vocabulary::field_error::FieldError;

/// Maximum size of a change in bytes: a document plus the fields around it.
pub const CHANGE_MAX_BYTES: usize = DOCUMENT_MAX_BYTES + 4_096;

const U64_RANGE: RangeInclusive<u64> = 0..=u64::MAX;

/// Parses and validates a change, including its document.
///
/// # Errors
///
/// All errors found, each with its JSON path and result code.
pub fn check_change(text: &[u8]) -> Result<ChangeRequest, Vec<FieldError>> {
    let tree = parse_tree(text, CHANGE_MAX_BYTES).map_err(|error| vec![error])?;
    let mut errors = ErrorList::default();
    let known = ["change", "base", "operator", "made_ms", "kind"];
    if let Some(request) = ObjectReader::open("$", &tree, &known, &mut errors) {
        request.read_name("change", &mut errors);
        request.read_name("operator", &mut errors);
        request.read_number("made_ms", U64_RANGE, &mut errors);
        request.read_optional_number("base", U64_RANGE, &mut errors);
        if let Some(kind) = request.find("kind") {
            check_kind(kind, &mut errors);
        }
    }
    errors.finish(|| {
        serde_json::from_slice(text)
            .map_err(|error| FieldError::new("$", ResultCode::WrongType, error.to_string()))
    })
}

fn check_kind(kind: &JsonTree, errors: &mut ErrorList) {
    let known = [
        "apply",
        "promote",
        "set-centre",
        "add-voter",
        "remove-voter",
    ];
    let Some(reader) = ObjectReader::open("$.kind", kind, &known, errors) else {
        return;
    };
    for name in known {
        if let Some(value) = reader.find(name) {
            check_kind_fields(name, &reader.path(name), value, errors);
        }
    }
}

fn check_kind_fields(name: &str, path: &str, value: &JsonTree, errors: &mut ErrorList) {
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
    let Some(reader) = ObjectReader::open(path, value, known, errors) else {
        return;
    };
    for field in names {
        reader.read_name(field, errors);
    }
    if let Some(document) = reader.find("document") {
        check_document_at(&reader.path("document"), document, errors);
    }
    reader.check_choice("state", &["in", "out"], errors);
    if reader.find("address").is_some() {
        reader.read_address("address", errors);
    }
}

/// Validates a name given by an operator, such as an environment name in a query.
///
/// # Errors
///
/// [`ResultCode::BadName`].
pub fn check_operator_name(path: &str, text: &str) -> Result<(), Vec<FieldError>> {
    let mut errors = ErrorList::default();
    check_name_at(path, text, &mut errors);
    errors.finish(|| Ok(()))
}
