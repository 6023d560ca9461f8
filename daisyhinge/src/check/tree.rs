//! A JSON value that preserves field order and duplicate fields.

use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};

use crate::prelude::*;
use crate::vocabulary::field_error::FieldError;

/// A parsed JSON value of untrusted input, not yet validated.
#[derive(Clone, Debug, PartialEq)]
pub enum JsonTree {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A non-negative integer.
    Integer(u64),
    /// Any other number.
    Number(f64),
    /// A string.
    Text(String),
    /// An array.
    Array(Vec<JsonTree>),
    /// An object.
    Object(Vec<JsonField>),
}

/// A field of a JSON object. Several fields of one object may have the same name.
#[derive(Clone, Debug, PartialEq)]
pub struct JsonField {
    /// Name of the field as written in the input.
    pub name: String,
    /// Parsed value of the field.
    pub value: JsonTree,
}

impl JsonTree {
    /// Returns the JSON type of the value for error messages.
    pub fn type_name(&self) -> &'static str {
        match self {
            Self::Null => "null",
            Self::Bool(_) => "a boolean",
            Self::Integer(_) | Self::Number(_) => "a number",
            Self::Text(_) => "a string",
            Self::Array(_) => "an array",
            Self::Object(_) => "an object",
        }
    }
}

/// Parses a document of at most `max_bytes`.
///
/// # Errors
///
/// [`ResultCode::DocumentTooLarge`], or [`ResultCode::NotJson`] with line and column.
pub fn parse_tree(text: &[u8], max_bytes: usize) -> Result<JsonTree, FieldError> {
    if text.len() > max_bytes {
        let detail = format!("{} bytes; the limit is {max_bytes}", text.len());
        return Err(FieldError::new("$", ResultCode::DocumentTooLarge, detail));
    }
    serde_json::from_slice(text)
        .map_err(|error| FieldError::new("$", ResultCode::NotJson, error.to_string()))
}

impl<'de> Deserialize<'de> for JsonTree {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TreeVisitor)
    }
}

struct TreeVisitor;

impl<'de> Visitor<'de> for TreeVisitor {
    type Value = JsonTree;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<JsonTree, E> {
        Ok(JsonTree::Null)
    }

    fn visit_bool<E>(self, v: bool) -> Result<JsonTree, E> {
        Ok(JsonTree::Bool(v))
    }

    fn visit_u64<E>(self, v: u64) -> Result<JsonTree, E> {
        Ok(JsonTree::Integer(v))
    }

    fn visit_i64<E>(self, v: i64) -> Result<JsonTree, E> {
        Ok(JsonTree::Number(v as f64))
    }

    fn visit_f64<E>(self, v: f64) -> Result<JsonTree, E> {
        Ok(JsonTree::Number(v))
    }

    fn visit_str<E>(self, v: &str) -> Result<JsonTree, E> {
        Ok(JsonTree::Text(v.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<JsonTree, A::Error> {
        let mut values = Vec::new();
        while let Some(value) = seq.next_element()? {
            values.push(value);
        }
        Ok(JsonTree::Array(values))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<JsonTree, A::Error> {
        let mut fields = Vec::new();
        while let Some(name) = map.next_key()? {
            let value = map.next_value()?;
            fields.push(JsonField { name, value });
        }
        Ok(JsonTree::Object(fields))
    }
}
