//! Output for people or, with `--json`, for programs.

use std::io::{self, Write};

use daisyhinge::vocabulary::field_error::FieldError;
use serde::Serialize;

use crate::exit::CommandFault;

/// Where results go: text or one JSON value on standard output, notes on standard error.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    json: bool,
}

/// A fault as programs read it.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum FaultReport<'a> {
    Faults(&'a [FieldError]),
    Refused(&'a daisyhinge::shell::operator::OperatorRefusal),
    Unreachable,
    OutcomeUnknown { change: &'a str },
}

impl Output {
    /// Output for programs if `json`, else for people.
    pub fn new(json: bool) -> Self {
        Self { json }
    }

    /// Shows a result, as JSON or as the text that `write` gives.
    pub fn show(self, value: &impl Serialize, write: impl FnOnce(&mut String)) {
        let text = if self.json {
            to_json(value)
        } else {
            let mut text = String::new();
            write(&mut text);
            text
        };
        write_all(&mut io::stdout().lock(), &text);
    }

    /// Shows a note for people beside the result.
    pub fn note(self, text: &str) {
        if !self.json {
            write_all(&mut io::stderr().lock(), &format!("{text}\n"));
        }
    }

    /// Shows why the command failed.
    pub fn show_fault(self, fault: &CommandFault) {
        if !self.json {
            write_all(&mut io::stderr().lock(), &format!("{fault}\n"));
            return;
        }
        let report = match fault {
            CommandFault::BadInput(faults) => FaultReport::Faults(faults),
            CommandFault::Refused(refusal) => FaultReport::Refused(refusal),
            CommandFault::Unreachable => FaultReport::Unreachable,
            CommandFault::Unknown(change) => FaultReport::OutcomeUnknown {
                change: change.as_str(),
            },
        };
        write_all(&mut io::stdout().lock(), &to_json(&report));
    }
}

fn to_json(value: &impl Serialize) -> String {
    // Every value shown has a JSON form.
    let mut text = serde_json::to_string_pretty(value).unwrap_or_default();
    text.push('\n');
    text
}

fn write_all(stream: &mut impl Write, text: &str) {
    // A reader that went away wants nothing more.
    let _ = stream.write_all(text.as_bytes());
}
