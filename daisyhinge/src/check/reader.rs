//! Reads the fields of a JSON object and collects errors.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::check::fault_list::ErrorList;
use crate::check::tree::{JsonField, JsonTree};
use crate::prelude::*;
use crate::vocabulary::name::check_name;

/// Maximum length of an excerpt from the input in an error message, in characters.
const EXCERPT_MAX_CHARS: usize = 40;

/// A JSON object with its path, whose fields are read and checked one by one.
#[derive(Debug)]
pub struct ObjectReader<'a> {
    path: String,
    fields: &'a [JsonField],
}

/// An element of a JSON array, with its path for error messages.
#[derive(Debug)]
pub struct ArrayItem<'a> {
    /// JSON path of the element, such as `$.regions[0]`.
    pub path: String,
    /// Parsed value of the element, not yet validated.
    pub value: &'a JsonTree,
}

impl<'a> ObjectReader<'a> {
    /// Opens the object `value` and reports fields that are unknown or duplicated. Returns `None`
    /// if the value is not an object.
    pub fn open(
        path: &str,
        value: &'a JsonTree,
        known: &[&str],
        errors: &mut ErrorList,
    ) -> Option<Self> {
        let JsonTree::Object(fields) = value else {
            add_wrong_type(path, "an object", value, errors);
            return None;
        };
        let reader = Self {
            path: path.to_owned(),
            fields,
        };
        reader.check_fields(known, errors);
        Some(reader)
    }

    /// Returns the path of the field `name`.
    pub fn path(&self, name: &str) -> String {
        format!("{}.{}", self.path, name)
    }

    /// Reads the required field `name` as an identifier.
    pub fn read_name(&self, name: &str, errors: &mut ErrorList) -> Option<&'a str> {
        let text = self.read_text(name, errors)?;
        let path = self.path(name);
        check_name_at(&path, text, errors).then_some(text)
    }

    /// Reads the required field `name` as a string that is not empty.
    pub fn read_text(&self, name: &str, errors: &mut ErrorList) -> Option<&'a str> {
        match self.require(name, errors)? {
            JsonTree::Text(text) if text.is_empty() => {
                errors.add(self.path(name), ResultCode::OutOfRange, "must not be empty");
                None
            }
            JsonTree::Text(text) => Some(text),
            other => {
                add_wrong_type(&self.path(name), "a string", other, errors);
                None
            }
        }
    }

    /// Reads the required field `name` as an IP address and port.
    pub fn read_address(&self, name: &str, errors: &mut ErrorList) -> Option<SocketAddr> {
        let value = self.require(name, errors)?;
        read_address_at(&self.path(name), value, errors)
    }

    /// Reads the required field `name` as an array whose length is in `count`.
    pub fn read_array(
        &self,
        name: &str,
        count: RangeInclusive<usize>,
        errors: &mut ErrorList,
    ) -> Vec<ArrayItem<'a>> {
        let Some(value) = self.require(name, errors) else {
            return Vec::new();
        };
        let JsonTree::Array(items) = value else {
            add_wrong_type(&self.path(name), "an array", value, errors);
            return Vec::new();
        };
        if !count.contains(&items.len()) {
            let (low, high) = (count.start(), count.end());
            let detail = format!("{} elements; expected {low} to {high}", items.len());
            errors.add(self.path(name), ResultCode::OutOfRange, detail);
        }
        items
            .iter()
            .enumerate()
            .map(|(index, value)| ArrayItem {
                path: format!("{}[{index}]", self.path(name)),
                value,
            })
            .collect()
    }

    /// Checks that the required field `name` is a boolean.
    pub fn check_bool(&self, name: &str, errors: &mut ErrorList) {
        match self.require(name, errors) {
            None | Some(JsonTree::Bool(_)) => {}
            Some(other) => add_wrong_type(&self.path(name), "a boolean", other, errors),
        }
    }

    /// Reads the optional field `name` as an integer in `range`.
    pub fn read_number(
        &self,
        name: &str,
        range: RangeInclusive<u64>,
        errors: &mut ErrorList,
    ) -> Option<u64> {
        let path = self.path(name);
        match self.find(name)? {
            JsonTree::Integer(number) if range.contains(number) => Some(*number),
            JsonTree::Integer(number) => {
                add_out_of_range(&path, &number.to_string(), &range, errors);
                None
            }
            JsonTree::Number(number) => {
                add_out_of_range(&path, &number.to_string(), &range, errors);
                None
            }
            other => {
                add_wrong_type(&path, "an integer", other, errors);
                None
            }
        }
    }

    /// Like [`Self::read_number`], but treats `null` as absent.
    pub fn read_optional_number(
        &self,
        name: &str,
        range: RangeInclusive<u64>,
        errors: &mut ErrorList,
    ) -> Option<u64> {
        if self.find(name) == Some(&JsonTree::Null) {
            return None;
        }
        self.read_number(name, range, errors)
    }

    /// Checks that the optional field `name` is one of `choices`.
    pub fn check_choice(&self, name: &str, choices: &[&str], errors: &mut ErrorList) {
        let path = self.path(name);
        match self.find(name) {
            None => {}
            Some(JsonTree::Text(text)) if choices.contains(&text.as_str()) => {}
            Some(JsonTree::Text(text)) => {
                let detail = format!(
                    "{:?}; expected one of: {}",
                    excerpt(text),
                    choices.join(", ")
                );
                errors.add(path, ResultCode::OutOfRange, detail);
            }
            Some(other) => add_wrong_type(&path, "a string", other, errors),
        }
    }

    /// Returns the value of the field `name`, if present.
    pub fn find(&self, name: &str) -> Option<&'a JsonTree> {
        self.fields
            .iter()
            .find(|field| field.name == name)
            .map(|field| &field.value)
    }

    fn require(&self, name: &str, errors: &mut ErrorList) -> Option<&'a JsonTree> {
        let actual = self.find(name);
        if actual.is_none() {
            errors.add(self.path(name), ResultCode::MissingField, "required");
        }
        actual
    }

    fn check_fields(&self, known: &[&str], errors: &mut ErrorList) {
        // Duplicates are looked up for known names only: unknown fields are rejected anyway, and
        // the check stays linear in the number of fields.
        for name in known {
            if self
                .fields
                .iter()
                .filter(|field| field.name == *name)
                .count()
                > 1
            {
                errors.add(
                    self.path(name),
                    ResultCode::DuplicateName,
                    "duplicate field",
                );
            }
        }
        for field in self.fields {
            if !known.contains(&field.name.as_str()) {
                let detail = format!("known fields: {}", known.join(", "));
                let path = self.path(&excerpt(&field.name));
                errors.add(path, ResultCode::UnknownField, detail);
            }
        }
    }
}

/// Checks that `text` is a valid name.
pub fn check_name_at(path: &str, text: &str, errors: &mut ErrorList) -> bool {
    let is_valid = check_name(text);
    if !is_valid {
        let allowed = "1 to 64 of a-z, A-Z, 0-9, '.', '_', '-'";
        let detail = format!("{:?}; expected {allowed}", excerpt(text));
        errors.add(path, ResultCode::BadName, detail);
    }
    is_valid
}

/// Parses `value` as an IP address and port.
pub fn read_address_at(path: &str, value: &JsonTree, errors: &mut ErrorList) -> Option<SocketAddr> {
    let JsonTree::Text(text) = value else {
        add_wrong_type(path, "a string", value, errors);
        return None;
    };
    let address = text.parse().ok();
    if address.is_none() {
        let detail = format!(
            "{:?}; expected an IP address and port such as 10.0.0.1:7100",
            excerpt(text)
        );
        errors.add(path, ResultCode::OutOfRange, detail);
    }
    address
}

fn add_wrong_type(path: &str, expected: &str, actual: &JsonTree, errors: &mut ErrorList) {
    let detail = format!("{}; expected {expected}", actual.type_name());
    errors.add(path, ResultCode::WrongType, detail);
}

fn add_out_of_range(path: &str, actual: &str, range: &RangeInclusive<u64>, errors: &mut ErrorList) {
    let (low, high) = (range.start(), range.end());
    let detail = format!("{actual}; expected an integer from {low} to {high}");
    errors.add(path, ResultCode::OutOfRange, detail);
}

/// Truncates `text` for use in an error message.
fn excerpt(text: &str) -> String {
    if text.chars().count() <= EXCERPT_MAX_CHARS {
        return text.to_owned();
    }
    text.chars()
        .take(EXCERPT_MAX_CHARS)
        .chain("...".chars())
        .collect()
}
