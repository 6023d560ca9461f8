//! Arguments of `daisyhinge env`.

use std::path::PathBuf;

use clap::{Args, Subcommand};

use crate::arguments::ChangeArguments;

/// What to do with environment documents.
#[derive(Debug, Subcommand)]
pub enum EnvCommand {
    /// Check a document whole, without any control VM, and print every fault with its path.
    Check {
        /// The document (JSON).
        file: PathBuf,
    },
    /// Put a document in force.
    ///
    /// --base is the version that the file was made from, as `env show` told it; 0 for a new
    /// environment. If somebody else changed the environment meanwhile, the change is refused
    /// with the winner's version (exit code 4): show it, merge, apply again.
    Apply(ApplyArguments),
    /// Print the document in force; its version goes to standard error.
    Show {
        /// The environment.
        environment: String,
        /// Print its version alone, for scripts.
        #[arg(long)]
        version_only: bool,
    },
    /// Compare the document in force with a file or another environment. Exit code 1 if they
    /// differ.
    Diff(DiffArguments),
    /// Copy the document of one environment to another, if it still has the version you trust.
    Promote(PromoteArguments),
    /// List the accepted changes of an environment, oldest first.
    History {
        /// The environment.
        environment: String,
    },
}

/// Arguments of `env apply`.
#[derive(Args, Debug)]
pub struct ApplyArguments {
    /// The environment.
    pub environment: String,
    /// The document (JSON).
    pub file: PathBuf,
    /// Version that the file was made from; 0 for a new environment.
    #[arg(long, value_name = "VERSION")]
    pub base: u64,
    /// How the change is sent.
    #[command(flatten)]
    pub change: ChangeArguments,
}

/// Arguments of `env diff`.
#[derive(Args, Debug)]
pub struct DiffArguments {
    /// The environment.
    pub environment: String,
    /// The document to compare with.
    #[arg(required_unless_present = "with", conflicts_with = "with")]
    pub file: Option<PathBuf>,
    /// The environment to compare with.
    #[arg(long, value_name = "ENVIRONMENT")]
    pub with: Option<String>,
}

/// Arguments of `env promote`.
#[derive(Args, Debug)]
pub struct PromoteArguments {
    /// Environment that is copied from, such as trial.
    pub from: String,
    /// Environment that is copied to, such as production.
    pub to: String,
    /// Version of FROM that you trust, as `env show` or `env history` told it.
    #[arg(long, value_name = "VERSION")]
    pub trusted: u64,
    /// Version that TO must still have; the one that it has now if not given, 0 if TO is new.
    #[arg(long, value_name = "VERSION")]
    pub base: Option<u64>,
    /// How the change is sent.
    #[command(flatten)]
    pub change: ChangeArguments,
}
