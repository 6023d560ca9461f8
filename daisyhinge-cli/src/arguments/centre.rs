//! Arguments of `daisyhinge data-centre`.

use clap::{Args, Subcommand};

use crate::arguments::ChangeArguments;

/// What to do with data centres.
#[derive(Debug, Subcommand)]
pub enum CentreCommand {
    /// Take a data centre out: within seconds it gets no new work. What runs there is finished.
    TakeOut(CentreArguments),
    /// Return a data centre that was taken out.
    Return(CentreArguments),
    /// List the data centres of all environments, or of one.
    Status {
        /// Only this environment.
        environment: Option<String>,
    },
}

/// Which data centre.
#[derive(Args, Debug)]
pub struct CentreArguments {
    /// The environment.
    pub environment: String,
    /// The data centre.
    pub data_centre: String,
    /// How the change is sent.
    #[command(flatten)]
    pub change: ChangeArguments,
}
