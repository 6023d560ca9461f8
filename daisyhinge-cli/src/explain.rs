//! The `daisyhinge explain` command: what the logs of several processes say about one request.

use std::fmt::Write;
use std::process::ExitCode;

use crate::arguments::ExplainQuery;
use crate::exit::{CommandError, EXIT_DIFFERENT};
use crate::output::Output;
use finding::{Explanation, explain_request};
use log::read_log;

mod finding;
mod log;

/// Reads the logs, and prints what belongs to the request. Exits with 1 if no line names it.
pub fn run(query: &ExplainQuery, output: Output) -> Result<ExitCode, CommandError> {
    let mut logs = Vec::new();
    let mut errors = Vec::new();
    for path in &query.logs {
        match read_log(path) {
            Ok(lines) => logs.push(lines),
            Err(error) => errors.push(error),
        }
    }
    if !errors.is_empty() {
        return Err(CommandError::BadInput(errors));
    }
    let explanation = explain_request(&logs, &query.request);
    output.show(&explanation, |text| write_explanation(text, &explanation));
    if explanation.request.is_empty() {
        return Ok(ExitCode::from(EXIT_DIFFERENT));
    }
    Ok(ExitCode::SUCCESS)
}

fn write_explanation(text: &mut String, explanation: &Explanation) {
    let sections = [
        ("The request", &explanation.request),
        ("Other tries of the same request", &explanation.tries),
        ("Its replicas", &explanation.replicas),
        ("What its process knew", &explanation.state),
    ];
    for (title, lines) in sections {
        let _ = writeln!(text, "{title}:");
        for line in lines {
            let _ = writeln!(
                text,
                "  {:>12} us {} {}",
                line.offset_us, line.process, line.text
            );
        }
    }
    for note in &explanation.notes {
        let _ = writeln!(text, "Note: {note}");
    }
}
