//! Arguments of `daisyhinge explain`.

use std::path::PathBuf;

use clap::Args;

/// Selection of a request or of a version of the configuration, and of the collected logs.
///
/// Examples: `daisyhinge explain --request 9b806f6865a2f1a2 logs/entry-*.log logs/control-*.log`,
/// `daisyhinge explain --version 21 logs/entry-*.log logs/control-*.log`
#[derive(Args, Debug)]
pub struct ExplainQuery {
    /// Identifier of the request.
    #[arg(long, value_name = "ID", required_unless_present = "version")]
    pub request: Option<String>,
    /// Version of the configuration.
    #[arg(long, value_name = "NUMBER", conflicts_with = "request")]
    pub version: Option<u64>,
    /// Collected output of the processes, one file each; the name of a file names its process.
    #[arg(required = true, value_name = "FILE")]
    pub logs: Vec<PathBuf>,
}
