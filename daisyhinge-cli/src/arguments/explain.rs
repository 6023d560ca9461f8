//! Arguments of `daisyhinge explain`.

use std::path::PathBuf;

use clap::Args;

/// Selection of a request and of the collected logs.
///
/// Example: `daisyhinge explain --request 9b806f6865a2f1a2 logs/entry-*.log logs/control-*.log`
#[derive(Args, Debug)]
pub struct ExplainQuery {
    /// Identifier of the request.
    #[arg(long, value_name = "ID")]
    pub request: String,
    /// Collected output of the processes, one file each; the name of a file names its process.
    #[arg(required = true, value_name = "FILE")]
    pub logs: Vec<PathBuf>,
}
