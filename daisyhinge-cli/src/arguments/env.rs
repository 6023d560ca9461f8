//! Arguments of `daisyhinge env`.

use std::path::PathBuf;

use clap::{Args, Subcommand};

use crate::arguments::ChangeArguments;

/// Operations on environment documents.
#[derive(Debug, Subcommand)]
pub enum EnvCommand {
    /// Check a complete document without contacting a control VM, and print every error with its
    /// path.
    Check {
        /// Environment document (JSON).
        file: PathBuf,
    },
    /// Apply a document, which puts it in force.
    ///
    /// --base is the version that the file is based on, as printed by `env show`; 0 for a new
    /// environment. If the environment was changed in the meantime, the change is refused with
    /// the current version (exit code 4): show that version, merge and apply again.
    Apply(ApplyArguments),
    /// Print the document in force, and its version on standard error.
    Show {
        /// Environment whose document to print.
        environment: String,
        /// Print only the version, for scripts.
        #[arg(long)]
        version_only: bool,
    },
    /// Compare the document in force with a file or another environment. The exit code is 1 if
    /// they differ.
    Diff(DiffArguments),
    /// Copy the document of one environment to another if it still has the trusted version.
    Promote(PromoteArguments),
    /// List the accepted changes of an environment, oldest first.
    History {
        /// Environment whose changes to list.
        environment: String,
    },
}

/// Arguments of `env apply`.
#[derive(Args, Debug)]
pub struct ApplyArguments {
    /// Environment to apply the document to.
    pub environment: String,
    /// Environment document (JSON).
    pub file: PathBuf,
    /// Version that the file is based on; 0 for a new environment.
    #[arg(long, value_name = "VERSION")]
    pub base: u64,
    /// Options for sending the change.
    #[command(flatten)]
    pub change: ChangeArguments,
}

/// Arguments of `env diff`.
#[derive(Args, Debug)]
pub struct DiffArguments {
    /// Environment whose document in force to compare.
    pub environment: String,
    /// Environment document (JSON) to compare with.
    #[arg(required_unless_present = "with", conflicts_with = "with")]
    pub file: Option<PathBuf>,
    /// Environment to compare with.
    #[arg(long, value_name = "ENVIRONMENT")]
    pub with: Option<String>,
}

/// Arguments of `env promote`.
#[derive(Args, Debug)]
pub struct PromoteArguments {
    /// Environment to copy from, such as trial.
    pub from: String,
    /// Environment to copy to, such as production.
    pub to: String,
    /// Trusted version of FROM, as printed by `env show` or `env history`.
    #[arg(long, value_name = "VERSION")]
    pub trusted: u64,
    /// Version that TO must still have; 0 if TO is new. Defaults to its current version.
    #[arg(long, value_name = "VERSION")]
    pub base: Option<u64>,
    /// Options for sending the change.
    #[command(flatten)]
    pub change: ChangeArguments,
}
