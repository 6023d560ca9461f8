//! Exit codes; `docs/OPERATIONS.md` tables them.

use std::fmt;
use std::process::ExitCode;

use daisyhinge::prelude::*;
use daisyhinge::shell::operator::OperatorRefusal;
use daisyhinge::shell::operator::client::ClientFault;
use daisyhinge::vocabulary::field_error::FieldError;

/// Documents differ; for `env diff` alone.
pub const EXIT_DIFFERENT: u8 = 1;

/// Bad input or usage; nothing was altered.
pub const EXIT_BAD_INPUT: u8 = 2;

/// Refused; nothing was altered.
pub const EXIT_REFUSED: u8 = 3;

/// Another change was first; nothing was altered.
pub const EXIT_CONFLICT: u8 = 4;

/// Nothing that could answer was reached; nothing was altered.
pub const EXIT_UNREACHABLE: u8 = 5;

/// The outcome of the change is not known.
pub const EXIT_UNKNOWN: u8 = 6;

/// The change was accepted, but was not in force everywhere in the time given.
pub const EXIT_NOT_EVERYWHERE: u8 = 7;

/// Why a command failed.
#[derive(Clone, Debug)]
pub enum CommandFault {
    /// A file, document or argument is faulty.
    BadInput(Vec<FieldError>),
    /// The group refused.
    Refused(Box<OperatorRefusal>),
    /// Nothing that could answer was reached.
    Unreachable,
    /// The outcome of the change is not known.
    Unknown(ChangeId),
}

impl CommandFault {
    /// One fault of an argument.
    pub fn argument(path: &str, code: ResultCode, detail: impl Into<String>) -> Self {
        Self::BadInput(vec![FieldError::new(path, code, detail)])
    }

    /// The fault of a call that alters nothing.
    pub fn from_read(fault: ClientFault) -> Self {
        match fault {
            ClientFault::Refused(refusal) => Self::Refused(refusal),
            ClientFault::Unreachable | ClientFault::Unknown => Self::Unreachable,
        }
    }

    /// The fault of sending a change.
    pub fn from_change(fault: ClientFault, change: &ChangeId) -> Self {
        match fault {
            ClientFault::Refused(refusal) => Self::Refused(refusal),
            ClientFault::Unreachable => Self::Unreachable,
            ClientFault::Unknown => Self::Unknown(change.clone()),
        }
    }

    /// The exit code, as the table in the docs has it.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::BadInput(_) => EXIT_BAD_INPUT,
            Self::Refused(refusal) => find_refusal_exit(refusal.code),
            Self::Unreachable => EXIT_UNREACHABLE,
            Self::Unknown(_) => EXIT_UNKNOWN,
        })
    }
}

fn find_refusal_exit(code: ResultCode) -> u8 {
    match code {
        ResultCode::VersionConflict
        | ResultCode::PromoteMismatch
        | ResultCode::ChangeIdReused
        | ResultCode::VoterChangeRunning => EXIT_CONFLICT,
        _ => EXIT_REFUSED,
    }
}

impl fmt::Display for CommandFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadInput(faults) => faults.iter().enumerate().try_for_each(|(index, fault)| {
                let end = if index == 0 { "" } else { "\n" };
                write!(f, "{end}{fault}")
            }),
            Self::Refused(refusal) => write!(f, "refused: {refusal}"),
            Self::Unreachable => f.write_str(
                "no control VM that leads could be reached; nothing was altered. Check \
                 --operators and the network, then try again",
            ),
            Self::Unknown(change) => write!(
                f,
                "the reply was lost and the outcome is not known; run the same command again \
                 with --change-id {change} (and the noted --base), which never applies it twice"
            ),
        }
    }
}
