//! Text form of events: one line of `key=value` pairs.

use std::fmt;

use serde::Serialize;

use crate::vocabulary::event::{EventKind, EventRecord};
use crate::vocabulary::name::check_name;

/// Displays a kind of event by its name in JSON, such as `sub-hedged`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KindText(pub EventKind);

impl fmt::Display for KindText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.serialize(f)
    }
}

/// Displays an event as one line of `key=value` pairs.
#[derive(Clone, Copy, Debug)]
pub struct EventLine<'a>(pub &'a EventRecord);

impl fmt::Display for EventLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let record = self.0;
        let event = &record.event;
        write!(f, "event={}", KindText(event.kind))?;
        write!(f, " stamp={}.{}", record.stamp.wall_us, record.stamp.count)?;
        write_name(f, "vm", record.vm.as_str())?;
        if let Some(request) = &event.request {
            write_name(f, "request", request.as_str())?;
        }
        if let Some(replica) = &event.replica {
            write_name(f, "replica", replica.as_str())?;
        }
        if let Some(centre) = &event.data_centre {
            write_name(f, "data_centre", centre.as_str())?;
        }
        if let Some(version) = event.version {
            write!(f, " version={version}")?;
        }
        if let Some(code) = event.code {
            write!(f, " code={} reason={}", code.number(), code.name())?;
        }
        write!(f, " value={}", event.value)
    }
}

/// Writes a `key=value` pair. A value that is not a valid name is quoted and escaped, so that it
/// can neither end the line nor look like another pair.
fn write_name(f: &mut fmt::Formatter<'_>, key: &str, value: &str) -> fmt::Result {
    if check_name(value) {
        write!(f, " {key}={value}")
    } else {
        write!(f, " {key}={value:?}")
    }
}
