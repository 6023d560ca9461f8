//! Client of the control VMs: connection options, reads and changes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use daisyhinge::control::state_machine::EnvironmentReading;
use daisyhinge::environment::{DOCUMENT_MAX_BYTES, check_document};
use daisyhinge::prelude::*;
use daisyhinge::shell::operator::client::{ClientError, generate_change_id};
use daisyhinge::shell::operator::{OperatorClient, OperatorToken};
use daisyhinge::shell::setting::read_bounded;
use daisyhinge::vocabulary::change::{ChangeKind, ChangeRequest, CommittedChange};
use daisyhinge::vocabulary::clock::duration_to_millis;
use daisyhinge::vocabulary::environment::EnvironmentDocument;
use daisyhinge::vocabulary::name::check_name;

use crate::arguments::{ChangeArguments, GroupArguments};
use crate::exit::CommandError;
use crate::output::Output;

const OPERATORS_VARIABLE: &str = "DAISYHINGE_OPERATORS";
const TOKEN_VARIABLE: &str = "DAISYHINGE_TOKEN_FILE";

/// Operator name of a change if neither `--operator` nor `USER` is set.
const DEFAULT_OPERATOR: &str = "unknown";

/// Returns the operator addresses of the control VMs, from the arguments or the environment.
pub fn read_operators(group: &GroupArguments) -> Result<Vec<SocketAddr>, CommandError> {
    if !group.operators.is_empty() {
        return Ok(group.operators.clone());
    }
    let text = std::env::var(OPERATORS_VARIABLE).unwrap_or_default();
    let parsed: Result<Vec<SocketAddr>, _> = text
        .split(',')
        .filter(|part| !part.is_empty())
        .map(str::parse)
        .collect();
    match parsed {
        Ok(addresses) if !addresses.is_empty() => Ok(addresses),
        Ok(_) => {
            let detail = format!("missing; pass it or set {OPERATORS_VARIABLE}");
            Err(CommandError::argument(
                "--operators",
                ResultCode::MissingField,
                detail,
            ))
        }
        Err(error) => {
            let detail = format!("{text:?}: {error}");
            Err(CommandError::argument(
                OPERATORS_VARIABLE,
                ResultCode::OutOfRange,
                detail,
            ))
        }
    }
}

/// Creates a client of the control VMs.
pub fn open_client(group: &GroupArguments) -> Result<OperatorClient, CommandError> {
    let addresses = read_operators(group)?;
    let variable = std::env::var_os(TOKEN_VARIABLE).map(PathBuf::from);
    let Some(path) = group.token_file.clone().or(variable) else {
        let detail = format!("missing; pass it or set {TOKEN_VARIABLE}");
        return Err(CommandError::argument(
            "--token-file",
            ResultCode::MissingField,
            detail,
        ));
    };
    let token = OperatorToken::read(&path).map_err(|code| {
        let detail = format!(
            "{}: the token must have 16 to 256 visible characters",
            path.display()
        );
        CommandError::argument("--token-file", code, detail)
    })?;
    let timeout = Duration::from_secs(group.timeout_s);
    Ok(OperatorClient::new(addresses, token, timeout))
}

/// Validates a name from the command line and converts it to its type. `path` is the argument that
/// an error message names.
pub fn read_name<T: for<'a> From<&'a str>>(path: &str, text: &str) -> Result<T, CommandError> {
    if check_name(text) {
        return Ok(T::from(text));
    }
    let detail = format!("{text:?}; expected 1 to 64 of a-z, A-Z, 0-9, '.', '_', '-'");
    Err(CommandError::argument(path, ResultCode::BadName, detail))
}

/// Reads an environment document from a file and validates it.
pub fn read_document(path: &Path) -> Result<EnvironmentDocument, CommandError> {
    let text = read_bounded(path, DOCUMENT_MAX_BYTES).map_err(|error| {
        let path_text = path.display().to_string();
        CommandError::argument(&path_text, ResultCode::StorageFailed, error.to_string())
    })?;
    check_document(&text).map_err(CommandError::BadInput)
}

/// Sends a change and returns the version at which it was committed.
pub async fn send_change(
    client: &OperatorClient,
    arguments: &ChangeArguments,
    base: Option<VersionNumber>,
    kind: ChangeKind,
    output: Output,
) -> Result<CommittedChange, CommandError> {
    let change = match &arguments.change_id {
        Some(text) => read_name("--change-id", text)?,
        None => generate_change_id(),
    };
    output.show_message(&format!("change {change}"));
    let request = ChangeRequest {
        change,
        base,
        operator: operator_name(arguments)?,
        made_ms: current_time_ms(),
        kind,
    };
    let result = client.change(&request).await;
    result.map_err(|error| CommandError::from_change(error, &request.change))
}

/// Fetches the document in force in an environment, with its version.
pub async fn read_in_force(
    client: &OperatorClient,
    environment: &EnvironmentName,
) -> Result<EnvironmentReading, CommandError> {
    let reading = client.environment(environment).await;
    reading.map_err(CommandError::from_read)
}

/// Fetches the version at which an environment was last changed; 0 if the environment is new.
pub async fn read_version(
    client: &OperatorClient,
    environment: &EnvironmentName,
) -> Result<VersionNumber, CommandError> {
    match client.environment(environment).await {
        Ok(reading) => Ok(reading.version),
        Err(ClientError::Refused(refusal)) if refusal.code == ResultCode::UnknownEnvironment => {
            Ok(VersionNumber(0))
        }
        Err(error) => Err(CommandError::from_read(error)),
    }
}

fn operator_name(arguments: &ChangeArguments) -> Result<Arc<str>, CommandError> {
    if let Some(text) = &arguments.operator {
        return read_name::<VmName>("--operator", text).map(|name| name.0);
    }
    let user = std::env::var("USER").ok().filter(|user| check_name(user));
    Ok(Arc::from(user.as_deref().unwrap_or(DEFAULT_OPERATOR)))
}

fn current_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, duration_to_millis)
}
