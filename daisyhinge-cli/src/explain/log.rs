//! Log lines of processes on the platform, as `docs/LOGS.md` lists them.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::sync::Arc;

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::field_error::FieldError;

/// One line of `key=value` pairs.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Name of the process that wrote the line.
    pub process: Arc<str>,
    /// Microseconds since the Unix epoch, by the clock of the process's VM.
    pub time_us: u64,
    /// The line without its time.
    pub text: String,
}

impl LogLine {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut pairs = self.text.split(' ').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns the name of the event.
    pub fn event(&self) -> &str {
        self.field("event").unwrap_or("")
    }
}

/// Parses a line; `None` if it has no time, as the lines of other programs.
pub fn parse_line(process: &Arc<str>, text: &str) -> Option<LogLine> {
    let start = text.find("time_us=")?;
    let (time, rest) = text[start + "time_us=".len()..].split_once(' ')?;
    Some(LogLine {
        process: Arc::clone(process),
        time_us: time.parse().ok()?,
        text: rest.to_owned(),
    })
}

/// Reads the lines of one process in the order in which they were written.
///
/// # Errors
/// [`ResultCode::StorageFailed`] if the file cannot be read.
pub fn read_log(path: &Path) -> Result<Vec<LogLine>, FieldError> {
    let name = path
        .file_stem()
        .map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
    let process: Arc<str> = Arc::from(name);
    let unreadable = |error: std::io::Error| {
        let detail = format!("cannot be read: {error}");
        FieldError::new(path.to_string_lossy(), ResultCode::StorageFailed, detail)
    };
    let mut lines = Vec::new();
    for line in BufReader::new(File::open(path).map_err(unreadable)?).split(b'\n') {
        let line = line.map_err(unreadable)?;
        lines.extend(parse_line(&process, &String::from_utf8_lossy(&line)));
    }
    Ok(lines)
}
