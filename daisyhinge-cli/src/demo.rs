//! The demonstration of all parts in one process.

use std::process::ExitCode;

/// Runs the demonstration.
pub fn run() -> ExitCode {
    eprintln!("the demonstration is not built in yet");
    ExitCode::FAILURE
}
