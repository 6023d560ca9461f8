//! Output of the commands: text or, with `--json`, JSON.

use std::io::{self, Write};

use daisyhinge::vocabulary::field_error::FieldError;
use serde::Serialize;

use crate::exit::CommandError;

/// Prints results as text or as one JSON value on standard output, and messages on standard error.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    json: bool,
}

/// JSON form of a [`CommandError`].
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum ErrorReport<'a> {
    Faults(&'a [FieldError]),
    Refused(&'a daisyhinge::shell::operator::OperatorRefusal),
    Unreachable,
    OutcomeUnknown {
        #[serde(skip_serializing_if = "Option::is_none")]
        change: Option<&'a str>,
    },
}

impl Output {
    /// Creates an output that prints JSON if `json` is set, and text otherwise.
    pub fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints a result, as JSON or as the text that `write` produces.
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

    /// Prints a message on standard error; with `--json`, messages are omitted.
    pub fn show_message(self, text: &str) {
        if !self.json {
            write_all(&mut io::stderr().lock(), &format!("{text}\n"));
        }
    }

    /// Prints the reason why the command failed: as text on standard error, or as JSON on standard
    /// output.
    pub fn show_error(self, error: &CommandError) {
        if !self.json {
            write_all(&mut io::stderr().lock(), &format!("{error}\n"));
            return;
        }
        let report = match error {
            CommandError::BadInput(errors) => ErrorReport::Faults(errors),
            CommandError::Refused(refusal) => ErrorReport::Refused(refusal),
            CommandError::Unreachable => ErrorReport::Unreachable,
            CommandError::Unknown(change) => ErrorReport::OutcomeUnknown {
                change: Some(change.as_str()),
            },
            CommandError::OrderUnknown => ErrorReport::OutcomeUnknown { change: None },
        };
        write_all(&mut io::stdout().lock(), &to_json(&report));
    }
}

fn to_json(value: &impl Serialize) -> String {
    // Serialization of the printed types cannot fail.
    let mut text = serde_json::to_string_pretty(value).unwrap_or_default();
    text.push('\n');
    text
}

fn write_all(stream: &mut impl Write, text: &str) {
    // An error is ignored: the reader may have closed its end of the pipe.
    let _ = stream.write_all(text.as_bytes());
}
