//! A refusal by the operators' port.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::vocabulary::change::ChangeRefusal;
use crate::vocabulary::field_error::FieldError;

/// A numbered refusal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OperatorRefusal {
    /// The reason.
    pub code: ResultCode,
    /// Its name.
    pub name: String,
    /// Its meaning.
    pub message: String,
    /// Version that the environment has now, where the code is about versions.
    #[serde(default)]
    pub current: VersionNumber,
    /// Change that won, where another one was first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner: Option<ChangeId>,
    /// Where the leader's operators' port is, if this VM does not lead and knows it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<SocketAddr>,
    /// Faults of what was sent, each with its path.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FieldError>,
}

impl OperatorRefusal {
    /// A refusal for that reason.
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
            write!(f, "; version now {}", self.current)?;
        }
        if let Some(winner) = &self.winner {
            write!(f, "; change {winner} was first")?;
        }
        self.faults
            .iter()
            .try_for_each(|fault| write!(f, "\n  {fault}"))
    }
}
