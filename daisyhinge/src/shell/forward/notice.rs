//! Reads what a replica states about itself in the headers of an answer.

use std::time::{Duration, SystemTime};

use hyper::HeaderMap;
use hyper::header::{DATE, HeaderValue, RETRY_AFTER};

use super::connection::ReplicaAnswer;
use super::state::ForwardState;
use super::wire::{HeaderNames, header_text};
use crate::dispatch::fleet::{RateChange, RateNotice, ReplicaIndex, ReplicaNotice, RequestRate};
use crate::prelude::*;
use crate::shell::line_budget::LineClass;

/// Status with which a replica turns a request away.
const STATUS_UNAVAILABLE: u16 = 503;
/// Value of the header with which a replica says that it leaves.
const LEAVING_VALUE: &str = "1";

/// Reads the statements of an answer. A malformed or negative value counts as none; of several
/// pauses, the longest counts, of several rates, the lowest.
pub fn read_notice(names: &HeaderNames, status: u16, headers: &HeaderMap) -> ReplicaNotice {
    let leaving = header_text(headers, &names.leaving);
    let pauses = headers.get_all(RETRY_AFTER).into_iter();
    let pause = pauses
        .filter(|_| status == STATUS_UNAVAILABLE)
        .filter_map(|value| parse_pause(value, headers))
        .max();
    ReplicaNotice {
        leaving: leaving.is_some_and(|value| value.trim() == LEAVING_VALUE),
        pause: pause.filter(|pause| !pause.is_zero()),
        rate: read_rate(names, status, headers),
    }
}

/// Only a success without a rate lifts the limit: a failure may have been written by something else
/// than the replica's own program.
fn read_rate(names: &HeaderNames, status: u16, headers: &HeaderMap) -> RateNotice {
    if !headers.contains_key(&names.rate_limit) {
        return match status {
            200..300 => RateNotice::Unlimited,
            _ => RateNotice::Unstated,
        };
    }
    let values = headers.get_all(&names.rate_limit).into_iter();
    let lowest = values.filter_map(parse_rate).min();
    lowest.map_or(RateNotice::Unstated, RateNotice::Limited)
}

fn parse_rate(value: &HeaderValue) -> Option<RequestRate> {
    let per_second = parse_decimal(value.to_str().ok()?.trim())?;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a number without a sign; the conversion saturates"
    )]
    let thousandths = (per_second * 1_000.0) as u64;
    Some(RequestRate(thousandths))
}

/// Parses a decimal number without sign or exponent.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_decimal = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    text.bytes()
        .all(is_decimal)
        .then(|| text.parse().ok())
        .flatten()
}

/// Parses seconds, with or without a fraction, or a date. The clock of this VM may jump, so a date
/// counts from the `Date` of the same answer.
fn parse_pause(value: &HeaderValue, headers: &HeaderMap) -> Option<Duration> {
    let text = value.to_str().ok()?.trim();
    if let Some(seconds) = parse_decimal(text) {
        return Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX));
    }
    let end = httpdate::parse_http_date(text).ok()?;
    let sent = header_text(headers, &DATE).and_then(|text| httpdate::parse_http_date(text).ok())?;
    end.duration_since(sent)
        .ok()
        .filter(|_| sent > SystemTime::UNIX_EPOCH)
}

impl ForwardState {
    /// Records what a replica stated in an answer, and logs it.
    pub(super) fn record_notice(
        &self,
        replica: ReplicaIndex,
        name: &ReplicaName,
        born_ms: Option<u64>,
        notice: ReplicaNotice,
    ) {
        if notice.is_empty() {
            return;
        }
        let now = self.clock.now();
        let fleet = &mut self.dispatcher.lock().fleet;
        let change = fleet.record_notice(now, replica, name, born_ms, notice);
        if let Some(change) = change {
            self.log_rate_change(name, change);
        }
        if !notice.leaving && notice.pause.is_none() {
            return;
        }
        self.log.log_line(LineClass::State, || {
            format!(
                "event=replica_notice replica={name} leaving={} pause_ms={}",
                notice.leaving,
                notice.pause.unwrap_or_default().as_millis()
            )
        });
    }

    fn log_rate_change(&self, name: &ReplicaName, change: RateChange) {
        let rate_text = |rate: Option<RequestRate>| {
            rate.map_or_else(|| "-".to_owned(), |rate| rate.to_string())
        };
        self.log.log_line(LineClass::State, || {
            format!(
                "event=replica_limit replica={name} before={} after={} held_ms={} sent={}",
                rate_text(change.before),
                rate_text(change.after),
                change.held.as_millis(),
                change.sent
            )
        });
    }

    /// Reads the statements of an answer to this entry.
    pub(super) fn notice_of(&self, answer: &ReplicaAnswer) -> ReplicaNotice {
        read_notice(&self.names, answer.status, &answer.headers)
    }
}
