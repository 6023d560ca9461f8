//! Reads the fields of one JSON object and lists their faults.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::check::fault_list::FaultList;
use crate::check::tree::{JsonField, JsonTree};
use crate::prelude::*;
use crate::vocabulary::name::check_name;

/// Longest part of a value or name from the text that is repeated in a message, in characters.
const ECHO_MAX_CHARS: usize = 40;

/// One object at its path.
#[derive(Debug)]
pub struct ObjectReader<'a> {
    path: String,
    fields: &'a [JsonField],
}

/// An element of an array at its path.
#[derive(Debug)]
pub struct ArrayItem<'a> {
    /// Its path.
    pub path: String,
    /// Its value.
    pub value: &'a JsonTree,
}

impl<'a> ObjectReader<'a> {
    /// Opens the object `value` and lists fields that are not `known` or stand twice. `None` if
    /// it is no object.
    pub fn open(
        path: &str,
        value: &'a JsonTree,
        known: &[&str],
        faults: &mut FaultList,
    ) -> Option<Self> {
        let JsonTree::Object(fields) = value else {
            add_wrong_type(path, "an object", value, faults);
            return None;
        };
        let reader = Self {
            path: path.to_owned(),
            fields,
        };
        reader.check_fields(known, faults);
        Some(reader)
    }

    /// Path of the field `name`.
    pub fn path(&self, name: &str) -> String {
        format!("{}.{}", self.path, name)
    }

    /// The name in the field `name`, which must be there.
    pub fn read_name(&self, name: &str, faults: &mut FaultList) -> Option<&'a str> {
        let text = self.read_text(name, faults)?;
        let path = self.path(name);
        check_name_at(&path, text, faults).then_some(text)
    }

    /// The text in the field `name`, which must be there and not be empty.
    pub fn read_text(&self, name: &str, faults: &mut FaultList) -> Option<&'a str> {
        match self.require(name, faults)? {
            JsonTree::Text(text) if text.is_empty() => {
                faults.add(self.path(name), ResultCode::OutOfRange, "empty");
                None
            }
            JsonTree::Text(text) => Some(text),
            other => {
                add_wrong_type(&self.path(name), "a text", other, faults);
                None
            }
        }
    }

    /// The IP address and port in the field `name`, which must be there.
    pub fn read_address(&self, name: &str, faults: &mut FaultList) -> Option<SocketAddr> {
        let value = self.require(name, faults)?;
        read_address_at(&self.path(name), value, faults)
    }

    /// The array in the field `name`, which must be there and have `count` elements.
    pub fn read_array(
        &self,
        name: &str,
        count: RangeInclusive<usize>,
        faults: &mut FaultList,
    ) -> Vec<ArrayItem<'a>> {
        let Some(value) = self.require(name, faults) else {
            return Vec::new();
        };
        let JsonTree::Array(items) = value else {
            add_wrong_type(&self.path(name), "an array", value, faults);
            return Vec::new();
        };
        if !count.contains(&items.len()) {
            let (low, high) = (count.start(), count.end());
            let detail = format!("{} elements; {low} to {high} are allowed", items.len());
            faults.add(self.path(name), ResultCode::OutOfRange, detail);
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

    /// Checks that the field `name` is there and is `true` or `false`.
    pub fn check_flag(&self, name: &str, faults: &mut FaultList) {
        match self.require(name, faults) {
            None | Some(JsonTree::Flag(_)) => {}
            Some(other) => add_wrong_type(&self.path(name), "true or false", other, faults),
        }
    }

    /// The number in the field `name` if it is there and in `range`.
    pub fn read_number(
        &self,
        name: &str,
        range: RangeInclusive<u64>,
        faults: &mut FaultList,
    ) -> Option<u64> {
        let path = self.path(name);
        match self.find(name)? {
            JsonTree::Whole(number) if range.contains(number) => Some(*number),
            JsonTree::Whole(number) => {
                add_out_of_range(&path, &number.to_string(), &range, faults);
                None
            }
            JsonTree::Number(number) => {
                add_out_of_range(&path, &number.to_string(), &range, faults);
                None
            }
            other => {
                add_wrong_type(&path, "a whole number", other, faults);
                None
            }
        }
    }

    /// As [`Self::read_number`], but `null` counts as absent.
    pub fn read_optional_number(
        &self,
        name: &str,
        range: RangeInclusive<u64>,
        faults: &mut FaultList,
    ) -> Option<u64> {
        if self.find(name) == Some(&JsonTree::Null) {
            return None;
        }
        self.read_number(name, range, faults)
    }

    /// Checks that the field `name`, if it is there, is one of `words`.
    pub fn check_word(&self, name: &str, words: &[&str], faults: &mut FaultList) {
        let path = self.path(name);
        match self.find(name) {
            None => {}
            Some(JsonTree::Text(text)) if words.contains(&text.as_str()) => {}
            Some(JsonTree::Text(text)) => {
                let detail = format!("{:?}; one of: {}", echo(text), words.join(", "));
                faults.add(path, ResultCode::OutOfRange, detail);
            }
            Some(other) => add_wrong_type(&path, "a text", other, faults),
        }
    }

    /// The value of the field `name`, if it is there.
    pub fn find(&self, name: &str) -> Option<&'a JsonTree> {
        self.fields
            .iter()
            .find(|field| field.name == name)
            .map(|field| &field.value)
    }

    fn require(&self, name: &str, faults: &mut FaultList) -> Option<&'a JsonTree> {
        let found = self.find(name);
        if found.is_none() {
            faults.add(self.path(name), ResultCode::MissingField, "required");
        }
        found
    }

    fn check_fields(&self, known: &[&str], faults: &mut FaultList) {
        // Only a known name can be twice in a way that matters, so this stays linear.
        for name in known {
            if self
                .fields
                .iter()
                .filter(|field| field.name == *name)
                .count()
                > 1
            {
                faults.add(
                    self.path(name),
                    ResultCode::DuplicateName,
                    "the field stands twice",
                );
            }
        }
        for field in self.fields {
            if !known.contains(&field.name.as_str()) {
                let detail = format!("known here: {}", known.join(", "));
                let path = self.path(&echo(&field.name));
                faults.add(path, ResultCode::UnknownField, detail);
            }
        }
    }
}

/// Checks that `text` is a usable name.
pub fn check_name_at(path: &str, text: &str, faults: &mut FaultList) -> bool {
    let good = check_name(text);
    if !good {
        let allowed = "1 to 64 of a-z, A-Z, 0-9, '.', '_', '-'";
        let detail = format!("{:?}; {allowed}", echo(text));
        faults.add(path, ResultCode::BadName, detail);
    }
    good
}

/// The IP address and port in `value`.
pub fn read_address_at(path: &str, value: &JsonTree, faults: &mut FaultList) -> Option<SocketAddr> {
    let JsonTree::Text(text) = value else {
        add_wrong_type(path, "a text", value, faults);
        return None;
    };
    let address = text.parse().ok();
    if address.is_none() {
        let detail = format!(
            "{:?}; an IP address and port such as 10.0.0.1:7100",
            echo(text)
        );
        faults.add(path, ResultCode::OutOfRange, detail);
    }
    address
}

fn add_wrong_type(path: &str, wanted: &str, found: &JsonTree, faults: &mut FaultList) {
    let detail = format!("{}; it must be {wanted}", found.type_name());
    faults.add(path, ResultCode::WrongType, detail);
}

fn add_out_of_range(path: &str, found: &str, range: &RangeInclusive<u64>, faults: &mut FaultList) {
    let (low, high) = (range.start(), range.end());
    let detail = format!("{found}; a whole number from {low} to {high}");
    faults.add(path, ResultCode::OutOfRange, detail);
}

/// The start of `text`, short enough for a message.
fn echo(text: &str) -> String {
    if text.chars().count() <= ECHO_MAX_CHARS {
        return text.to_owned();
    }
    text.chars()
        .take(ECHO_MAX_CHARS)
        .chain("...".chars())
        .collect()
}
