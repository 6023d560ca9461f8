//! Refusal returned by the operator port.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::change::ChangeRefusal;
use crate::vocabulary::field_error::FieldError;

/// Refusal that the operator port returns as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OperatorRefusal {
    /// Reason of the refusal.
    pub code: ResultCode,
    /// Name of the result code.
    pub name: String,
    /// Description of the result code.
    pub message: String,
    /// Current version of the environment, if the code is about versions; otherwise 0.
    #[serde(default)]
    pub current: VersionNumber,
    /// Change that was committed first, if the refused one conflicts with it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner: Option<ChangeId>,
    /// Address of the leader's operator port, if this VM is not the leader and knows it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<SocketAddr>,
    /// Errors of the request, each with its path.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FieldError>,
}

impl OperatorRefusal {
    /// Creates a refusal with this code.
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            name: code.name().to_owned(),
            message: code.to_string(),
            current: VersionNumber(0),
            winner: None,
            leader: None,
            faults: Vec::new(),
        }
    }
}

impl From<ChangeRefusal> for OperatorRefusal {
    fn from(refusal: ChangeRefusal) -> Self {
        Self {
            current: refusal.current,
            winner: refusal.winner,
            leader: refusal.leader,
            ..Self::new(refusal.code)
        }
    }
}

impl fmt::Display for OperatorRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.code.number(), self.name, self.message)?;
        if self.current != VersionNumber(0) {
            write!(f, "; current version {}", self.current)?;
        }
        if let Some(winner) = &self.winner {
            write!(f, "; change {winner} was committed first")?;
        }
        self.faults
            .iter()
            .try_for_each(|error| write!(f, "\n  {error}"))
    }
}
