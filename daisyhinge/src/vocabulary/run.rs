//! Whether a request was run.

use serde::{Deserialize, Serialize};

/// Whether any backend server processed a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// Certainly no backend server received any part of the request.
    NotRun,
    /// A backend server may have processed the request.
    Unknown,
    /// At least one backend server processed the request.
    Ran,
}

impl RunState {
    /// Combines the states of two parts of a request.
    pub fn join(self, other: Self) -> Self {
        self.max(other)
    }
}
