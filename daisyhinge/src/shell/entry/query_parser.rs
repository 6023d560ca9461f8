//! Parses callers' HTTP requests.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;

use crate::prelude::*;
use crate::shell::header;
use crate::vocabulary::environment::PPM_SCALE;
use crate::vocabulary::name::check_name;
use crate::vocabulary::query::{AnswerPreference, CallerQuery};

/// Parses the headers of a query to `service`.
///
/// # Errors
///
/// The result code (10xx) of the first error found. The request was not executed.
pub fn parse_query(
    service: &str,
    headers: &HeaderMap,
    body: Bytes,
    deadline_max_ms: u64,
) -> Result<CallerQuery, ResultCode> {
    if !check_name(service) {
        return Err(ResultCode::BadName);
    }
    let caller_id = header_text(headers, header::REQUEST)?;
    if caller_id.is_some_and(|name| !check_name(name)) {
        return Err(ResultCode::BadName);
    }
    let deadline_ms = header_number(headers, header::DEADLINE_MS)?;
    if deadline_ms.is_some_and(|ms| ms == 0 || ms > deadline_max_ms) {
        return Err(ResultCode::BadDeadline);
    }
    Ok(CallerQuery {
        request: caller_id.map_or_else(generate_request_id, RequestId::from),
        has_caller_id: caller_id.is_some(),
        service: ServiceName::from(service),
        deadline: deadline_ms.map(Duration::from_millis),
        minimum_ppm: parse_coverage(headers)?,
        preference: parse_preference(headers)?,
        shard: parse_shard(headers)?,
        age: Duration::from_millis(header_number(headers, header::AGE_MS)?.unwrap_or(0)),
        body,
    })
}

fn generate_request_id() -> RequestId {
    RequestId::from(format!("r{:032x}", rand::random::<u128>()))
}

fn header_text<'headers>(
    headers: &'headers HeaderMap,
    name: &str,
) -> Result<Option<&'headers str>, ResultCode> {
    let text = headers.get(name).map(|value| value.to_str()).transpose();
    text.map_err(|_err| ResultCode::BadHeader)
}

fn header_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, ResultCode> {
    let number = header_text(headers, name)?.map(str::parse).transpose();
    number.map_err(|_err| ResultCode::BadHeader)
}

fn parse_shard(headers: &HeaderMap) -> Result<Option<ShardNumber>, ResultCode> {
    let number = header_number(headers, header::SHARD)?
        .map(u32::try_from)
        .transpose();
    Ok(number
        .map_err(|_err| ResultCode::BadHeader)?
        .map(ShardNumber))
}

fn parse_preference(headers: &HeaderMap) -> Result<Option<AnswerPreference>, ResultCode> {
    match header_text(headers, header::PREFERENCE)? {
        None => Ok(None),
        Some("coverage") => Ok(Some(AnswerPreference::Coverage)),
        Some("latency") => Ok(Some(AnswerPreference::Latency)),
        Some(_) => Err(ResultCode::BadHeader),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value was checked to lie between 0 and a million"
)]
fn parse_coverage(headers: &HeaderMap) -> Result<Option<u32>, ResultCode> {
    let Some(text) = header_text(headers, header::MINIMUM_COVERAGE)? else {
        return Ok(None);
    };
    let ratio: f64 = text.parse().map_err(|_err| ResultCode::BadHeader)?;
    if !(0.0..=1.0).contains(&ratio) {
        return Err(ResultCode::BadHeader);
    }
    Ok(Some((ratio * f64::from(PPM_SCALE)).ceil() as u32))
}
