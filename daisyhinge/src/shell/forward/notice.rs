//! Reads what a replica states about itself in the headers of an answer.

use std::time::{Duration, SystemTime};

use hyper::HeaderMap;
use hyper::header::{DATE, HeaderValue, RETRY_AFTER};

use super::connection::ReplicaAnswer;
use super::state::ForwardState;
use super::wire::{HeaderNames, header_text};
use crate::dispatch::fleet::{ReplicaIndex, ReplicaNotice};
use crate::prelude::*;
use crate::shell::line_budget::LineClass;

/// Status with which a replica turns a request away.
const STATUS_UNAVAILABLE: u16 = 503;
/// Value of the header with which a replica says that it leaves.
const LEAVING_VALUE: &str = "1";

/// Reads the statements of an answer. A malformed or negative pause counts as none; of several, the
/// longest counts.
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
    }
}

/// Parses seconds, with or without a fraction, or a date. The clock of this VM may jump, so a date
/// counts from the `Date` of the same answer.
fn parse_pause(value: &HeaderValue, headers: &HeaderMap) -> Option<Duration> {
    let text = value.to_str().ok()?.trim();
    let is_number = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    if is_number {
        let seconds: f64 = text.parse().ok()?;
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
        fleet.record_notice(now, replica, name, born_ms, notice);
        self.log.log_line(LineClass::State, || {
            format!(
                "event=replica_notice replica={name} leaving={} pause_ms={}",
                notice.leaving,
                notice.pause.unwrap_or_default().as_millis()
            )
        });
    }

    /// Reads the statements of an answer to this entry.
    pub(super) fn notice_of(&self, answer: &ReplicaAnswer) -> ReplicaNotice {
        read_notice(&self.names, answer.status, &answer.headers)
    }
}
