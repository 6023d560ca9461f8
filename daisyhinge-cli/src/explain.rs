//! The `daisyhinge explain` command: what the logs of several processes say about one request, or about
//! one version of the configuration.

use std::fmt::Write;
use std::process::ExitCode;

use crate::arguments::ExplainQuery;
use crate::exit::{CommandError, EXIT_DIFFERENT};
use crate::output::Output;
use course::{Course, explain_version};
use finding::{Explanation, FoundLine, explain_request};
use log::read_log;

mod course;
mod finding;
mod log;

/// Reads the logs, and prints what belongs to the request or the version. Exits with 1 if no line names
/// it.
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
    let is_known = match (&query.request, query.version) {
        (Some(request), _) => {
            let explanation = explain_request(&logs, request);
            output.show(&explanation, |text| write_explanation(text, &explanation));
            !explanation.request.is_empty()
        }
        (None, version) => {
            let course = explain_version(&logs, version.unwrap_or_default());
            output.show(&course, |text| write_course(text, &course));
            course.has_lines()
        }
    };
    if is_known {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::from(EXIT_DIFFERENT))
    }
}

fn write_course(text: &mut String, course: &Course) {
    let sections = [
        ("Acknowledged", &course.confirmed),
        ("Applied by control processes", &course.applied),
        ("Published to entries", &course.published),
        ("Adopted by entries", &course.adopted),
        ("Refused", &course.refused),
        ("Older versions afterwards", &course.older),
        ("State of the processes around it", &course.state),
    ];
    write_sections(text, &sections, &course.notes);
}

fn write_explanation(text: &mut String, explanation: &Explanation) {
    let sections = [
        ("The request", &explanation.request),
        ("Other tries of the same request", &explanation.tries),
        ("Its replicas", &explanation.replicas),
        ("What its process knew", &explanation.state),
    ];
    write_sections(text, &sections, &explanation.notes);
}

fn write_sections(text: &mut String, sections: &[(&str, &Vec<FoundLine>)], notes: &[String]) {
    for (title, lines) in sections {
        let _ = writeln!(text, "{title}:");
        for line in *lines {
            let _ = writeln!(
                text,
                "  {:>12} us {} {}",
                line.offset_us, line.process, line.text
            );
        }
    }
    for note in notes {
        let _ = writeln!(text, "Note: {note}");
    }
}
