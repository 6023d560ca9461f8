//! Filters of the timeline and their encoding as a URL query.

use std::fmt::Write;

use serde::Deserialize;
use serde::de::IntoDeserializer;
use serde::de::value::{Error as ValueError, StrDeserializer};

use crate::prelude::*;
use crate::timeline::line::KindText;
use crate::vocabulary::event::{EventKind, EventRecord};
use crate::vocabulary::field_error::FieldError;
use crate::vocabulary::name::check_name;

/// Maximum number of events in one reply if the query has no limit.
pub const DEFAULT_LIMIT: u32 = 10_000;

/// Maximum length of a query, in bytes.
pub const QUERY_MAX_BYTES: usize = 4_096;

/// Filter of events; an unset field matches every event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventFilter {
    /// Only events of this request.
    pub request: Option<RequestId>,
    /// Only events of this replica.
    pub replica: Option<ReplicaName>,
    /// Only events of this data centre.
    pub data_centre: Option<CentreName>,
    /// Only events at or after this time, in microseconds since the Unix epoch.
    pub since_us: Option<u64>,
    /// Only events before this time, in microseconds since the Unix epoch.
    pub until_us: Option<u64>,
    /// Only events of this kind.
    pub kind: Option<EventKind>,
    /// Maximum number of events; the newest ones are returned.
    pub limit: u32,
}

impl Default for EventFilter {
    fn default() -> Self {
        Self {
            request: None,
            replica: None,
            data_centre: None,
            since_us: None,
            until_us: None,
            kind: None,
            limit: DEFAULT_LIMIT,
        }
    }
}

impl EventFilter {
    /// Whether `record` matches the filter; the limit is not considered.
    pub fn matches(&self, record: &EventRecord) -> bool {
        let event = &record.event;
        let wall_us = record.stamp.wall_us;
        matches_field(self.request.as_ref(), event.request.as_ref())
            && matches_field(self.replica.as_ref(), event.replica.as_ref())
            && matches_field(self.data_centre.as_ref(), event.data_centre.as_ref())
            && matches_field(self.kind.as_ref(), Some(&event.kind))
            && self.since_us.is_none_or(|since_us| wall_us >= since_us)
            && self.until_us.is_none_or(|until_us| wall_us < until_us)
    }

    /// Parses a URL query such as `request=r1&kind=sub-hedged`. No valid name has a character that
    /// needs escaping, so escape sequences are rejected.
    ///
    /// # Errors
    ///
    /// Returns all errors of the query, with the name of the parameter as path.
    pub fn parse(query: &str) -> Result<Self, Vec<FieldError>> {
        if query.len() > QUERY_MAX_BYTES {
            let detail = format!("{} bytes; the maximum is {QUERY_MAX_BYTES}", query.len());
            return Err(vec![FieldError::new("$", ResultCode::OutOfRange, detail)]);
        }
        let mut filter = Self::default();
        let errors: Vec<_> = query
            .split('&')
            .filter(|pair| !pair.is_empty())
            .filter_map(|pair| filter.set_parameter(pair).err())
            .collect();
        if errors.is_empty() {
            Ok(filter)
        } else {
            Err(errors)
        }
    }

    /// Formats the filter as a URL query that [`Self::parse`] accepts.
    pub fn to_query(&self) -> String {
        let mut query = format!("limit={}", self.limit);
        append_parameter(&mut query, "request", self.request.as_ref());
        append_parameter(&mut query, "replica", self.replica.as_ref());
        append_parameter(&mut query, "data_centre", self.data_centre.as_ref());
        append_parameter(&mut query, "since_us", self.since_us.as_ref());
        append_parameter(&mut query, "until_us", self.until_us.as_ref());
        append_parameter(&mut query, "kind", self.kind.map(KindText).as_ref());
        query
    }

    fn set_parameter(&mut self, pair: &str) -> Result<(), FieldError> {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        match name {
            "request" => self.request = Some(parse_name(name, value)?),
            "replica" => self.replica = Some(parse_name(name, value)?),
            "data_centre" => self.data_centre = Some(parse_name(name, value)?),
            "since_us" => self.since_us = Some(parse_number(name, value)?),
            "until_us" => self.until_us = Some(parse_number(name, value)?),
            "kind" => self.kind = Some(parse_kind(name, value)?),
            "limit" => self.limit = parse_number(name, value)?,
            _ => {
                let detail =
                    "expected request, replica, data_centre, since_us, until_us, kind or limit";
                return Err(FieldError::new(name, ResultCode::UnknownField, detail));
            }
        }
        Ok(())
    }
}

/// Returns the kind of event with the given name, such as `sub-hedged`.
pub fn find_kind(name: &str) -> Option<EventKind> {
    let deserializer: StrDeserializer<'_, ValueError> = name.into_deserializer();
    EventKind::deserialize(deserializer).ok()
}

fn matches_field<T: PartialEq>(wanted: Option<&T>, actual: Option<&T>) -> bool {
    wanted.is_none() || wanted == actual
}

fn append_parameter(query: &mut String, name: &str, value: Option<&impl std::fmt::Display>) {
    if let Some(value) = value {
        // Writing to a string cannot fail.
        let _ = write!(query, "&{name}={value}");
    }
}

fn parse_name<T: for<'a> From<&'a str>>(name: &str, value: &str) -> Result<T, FieldError> {
    if check_name(value) {
        return Ok(T::from(value));
    }
    let detail = "expected 1 to 64 of a-z, A-Z, 0-9, '.', '_', '-'";
    Err(FieldError::new(name, ResultCode::BadName, detail))
}

fn parse_number<T: std::str::FromStr>(name: &str, value: &str) -> Result<T, FieldError> {
    value
        .parse()
        .map_err(|_error| FieldError::new(name, ResultCode::OutOfRange, "expected an integer"))
}

fn parse_kind(name: &str, value: &str) -> Result<EventKind, FieldError> {
    let detail = "expected a kind of event, such as sub-hedged";
    find_kind(value).ok_or_else(|| FieldError::new(name, ResultCode::UnknownReference, detail))
}
