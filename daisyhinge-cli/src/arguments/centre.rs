//! Arguments of `daisyhinge data-centre`.

use clap::{Args, Subcommand};

use crate::arguments::ChangeArguments;

/// Operations on data centres.
#[derive(Debug, Subcommand)]
pub enum CentreCommand {
    /// Take a data centre out of service: within seconds it gets no new work. Running work is
    /// finished.
    TakeOut(CentreArguments),
    /// Return a data centre to service.
    Return(CentreArguments),
    /// List the data centres of all environments, or of one.
    Status {
        /// List only the data centres of this environment.
        environment: Option<String>,
    },
}

/// Arguments of `data-centre take-out` and `data-centre return`.
#[derive(Args, Debug)]
pub struct CentreArguments {
    /// Environment in which to take out or return the data centre.
    pub environment: String,
    /// Name of the data centre.
    pub data_centre: String,
    /// Options for sending the change.
    #[command(flatten)]
    pub change: ChangeArguments,
}
