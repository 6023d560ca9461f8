//! Whether a backend server processed a request, which decides whether the request may be repeated.

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
    /// Combines the states of two parts of a request: the result is the state that is more certain
    /// to have run.
    pub fn join(self, other: Self) -> Self {
        self.max(other)
    }
}
