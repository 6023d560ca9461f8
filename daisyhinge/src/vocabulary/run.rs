//! What is known of the work behind an answer or refusal.

use serde::{Deserialize, Serialize};

/// Whether any backend server worked on a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No backend server was given any part of it; never claimed unless certain.
    NotRun,
    /// A backend server may have worked on it.
    Unknown,
    /// At least one backend server did work on it.
    Ran,
}

impl RunState {
    /// The state of a whole of which `self` and `other` are parts.
    pub fn join(self, other: Self) -> Self {
        self.max(other)
    }
}
