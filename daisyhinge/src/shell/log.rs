//! Log setup: one line of `key=value` pairs per event, on standard error.

use std::sync::Arc;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::StdStreamSink;
use spdlog::terminal_style::StyleMode;
use spdlog::{LevelFilter, Logger};

use crate::prelude::*;

/// Opens the process's log and makes it the default logger. Level `info` and above is written; the
/// environment variable `SPDLOG_RS_LEVEL` (such as `debug`) sets another level. Events of single
/// requests have level `debug`.
///
/// # Errors
///
/// [`ResultCode::StorageFailed`] if the standard error stream cannot be written to.
pub fn open_log() -> Result<Arc<Logger>, ResultCode> {
    let line = pattern!("time={date}T{time}.{millisecond} level={level} {payload}{eol}");
    let sink = StdStreamSink::builder()
        .stderr()
        .style_mode(StyleMode::Never)
        .formatter(PatternFormatter::new(line))
        .build_arc()
        .map_err(|_error| ResultCode::StorageFailed)?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(spdlog::Level::Info))
        .build_arc()
        .map_err(|_error| ResultCode::StorageFailed)?;
    spdlog::set_default_logger(Arc::clone(&logger));
    // An invalid variable leaves the level unchanged.
    let _ = spdlog::init_env_level();
    Ok(logger)
}
