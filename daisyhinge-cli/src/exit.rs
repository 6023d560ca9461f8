//! Errors and exit codes of the commands; `docs/OPERATIONS.md` lists the codes.

use std::fmt;
use std::process::ExitCode;

use daisyhinge::prelude::*;
use daisyhinge::shell::operator::OperatorRefusal;
use daisyhinge::shell::operator::client::ClientError;
use daisyhinge::vocabulary::field_error::FieldError;

/// `env diff`: the documents differ.
pub const EXIT_DIFFERENT: u8 = 1;

/// Invalid input or usage; nothing was changed.
pub const EXIT_BAD_INPUT: u8 = 2;

/// The request was refused; nothing was changed.
pub const EXIT_REFUSED: u8 = 3;

/// The request conflicts with another change; nothing was changed.
pub const EXIT_CONFLICT: u8 = 4;

/// No process that can answer the command was reached; nothing was changed.
pub const EXIT_UNREACHABLE: u8 = 5;

/// The change was sent, but its outcome is unknown.
pub const EXIT_UNKNOWN: u8 = 6;

/// The change was accepted, but was not in force everywhere before the timeout.
pub const EXIT_NOT_EVERYWHERE: u8 = 7;

/// Reason why a command failed.
#[derive(Clone, Debug)]
pub enum CommandError {
    /// A file, document or argument is invalid.
    BadInput(Vec<FieldError>),
    /// The control VMs refused the request.
    Refused(Box<OperatorRefusal>),
    /// No process that can answer the command was reached.
    Unreachable,
    /// The change was sent, but its outcome is unknown.
    Unknown(ChangeId),
    /// The order of a rollout was sent, but its outcome is unknown.
    OrderUnknown,
}

impl CommandError {
    /// Creates the error of an invalid argument.
    pub fn argument(path: &str, code: ResultCode, detail: impl Into<String>) -> Self {
        Self::BadInput(vec![FieldError::new(path, code, detail)])
    }

    /// Converts an error of a request that changes nothing. An unknown outcome counts as
    /// unreachable, since the request can simply be repeated.
    pub fn from_read(error: ClientError) -> Self {
        match error {
            ClientError::Refused(refusal) => Self::Refused(refusal),
            ClientError::Unreachable | ClientError::Unknown => Self::Unreachable,
        }
    }

    /// Converts an error of sending `change`.
    pub fn from_change(error: ClientError, change: &ChangeId) -> Self {
        match error {
            ClientError::Refused(refusal) => Self::Refused(refusal),
            ClientError::Unreachable => Self::Unreachable,
            ClientError::Unknown => Self::Unknown(change.clone()),
        }
    }

    /// Returns the exit code of the process for this error.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::BadInput(_) => EXIT_BAD_INPUT,
            Self::Refused(refusal) => exit_code_of_refusal(refusal.code),
            Self::Unreachable => EXIT_UNREACHABLE,
            Self::Unknown(_) | Self::OrderUnknown => EXIT_UNKNOWN,
        })
    }
}

fn exit_code_of_refusal(code: ResultCode) -> u8 {
    match code {
        ResultCode::VersionConflict
        | ResultCode::PromoteMismatch
        | ResultCode::ChangeIdReused
        | ResultCode::RolloutConflict
        | ResultCode::VoterChangeRunning => EXIT_CONFLICT,
        _ => EXIT_REFUSED,
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadInput(errors) => errors.iter().enumerate().try_for_each(|(index, error)| {
                let separator = if index == 0 { "" } else { "\n" };
                write!(f, "{separator}{error}")
            }),
            Self::Refused(refusal) => write!(f, "refused: {refusal}"),
            Self::Unreachable => f.write_str(
                "the leader of the control VMs could not be reached; nothing was changed. Check \
                 --operators and the network, then try again",
            ),
            Self::Unknown(change) => write!(
                f,
                "the reply was lost and the outcome is unknown; run the same command again with \
                 --change-id {change} (and the printed --base): the change is never applied twice"
            ),
            Self::OrderUnknown => f.write_str(
                "the order was not confirmed and its outcome is unknown; run the same command again: \
                 the same order is never a second rollout",
            ),
        }
    }
}
