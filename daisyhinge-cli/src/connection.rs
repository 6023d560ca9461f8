//! Opens the client of the control VMs and sends changes through it.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use daisyhinge::control::state_machine::EnvironmentReading;
use daisyhinge::environment::{DOCUMENT_MAX_BYTES, check_document};
use daisyhinge::prelude::*;
use daisyhinge::shell::operator::client::{ClientFault, draw_change_id};
use daisyhinge::shell::operator::{OperatorClient, OperatorToken};
use daisyhinge::shell::setting::read_bounded;
use daisyhinge::vocabulary::change::{ChangeKind, ChangeRequest, CommittedChange};
use daisyhinge::vocabulary::clock::duration_to_millis;
use daisyhinge::vocabulary::environment::EnvironmentDocument;
use daisyhinge::vocabulary::name::check_name;

use crate::arguments::{ChangeArguments, GroupArguments};
use crate::exit::CommandFault;
use crate::output::Output;

const OPERATORS_VARIABLE: &str = "DAISYHINGE_OPERATORS";
const TOKEN_VARIABLE: &str = "DAISYHINGE_TOKEN_FILE";

/// Who made a change where neither `--operator` nor `USER` tells.
const OPERATOR_UNKNOWN: &str = "unknown";

/// Operators' addresses of the control VMs.
pub fn read_operators(group: &GroupArguments) -> Result<Vec<SocketAddr>, CommandFault> {
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
            let detail = format!("give it or set {OPERATORS_VARIABLE}");
            Err(CommandFault::argument(
                "--operators",
                ResultCode::MissingField,
                detail,
            ))
        }
        Err(error) => {
            let detail = format!("{text:?}: {error}");
            Err(CommandFault::argument(
                OPERATORS_VARIABLE,
                ResultCode::OutOfRange,
                detail,
            ))
        }
    }
}

/// Opens the client of the control VMs.
pub fn open_client(group: &GroupArguments) -> Result<OperatorClient, CommandFault> {
    let addresses = read_operators(group)?;
    let variable = std::env::var_os(TOKEN_VARIABLE).map(PathBuf::from);
    let Some(path) = group.token_file.clone().or(variable) else {
        let detail = format!("give it or set {TOKEN_VARIABLE}");
        return Err(CommandFault::argument(
            "--token-file",
            ResultCode::MissingField,
            detail,
        ));
    };
    let token = OperatorToken::read(&path).map_err(|code| {
        let detail = format!(
            "{}: it must hold 16 to 256 visible characters",
            path.display()
        );
        CommandFault::argument("--token-file", code, detail)
    })?;
    let timeout = Duration::from_secs(group.timeout_s);
    Ok(OperatorClient::new(addresses, token, timeout))
}

/// A name that an operator gave.
pub fn read_name<T: for<'a> From<&'a str>>(path: &str, text: &str) -> Result<T, CommandFault> {
    if check_name(text) {
        return Ok(T::from(text));
    }
    let detail = format!("{text:?}; 1 to 64 of a-z, A-Z, 0-9, '.', '_', '-'");
    Err(CommandFault::argument(path, ResultCode::BadName, detail))
}

/// Reads a document and checks it whole.
pub fn read_document(path: &Path) -> Result<EnvironmentDocument, CommandFault> {
    let text = read_bounded(path, DOCUMENT_MAX_BYTES).map_err(|error| {
        let shown = path.display().to_string();
        CommandFault::argument(&shown, ResultCode::StorageFailed, error.to_string())
    })?;
    check_document(&text).map_err(CommandFault::BadInput)
}

/// Sends a change and returns the version at which it came in force.
pub async fn send_change(
    client: &OperatorClient,
    arguments: &ChangeArguments,
    base: Option<VersionNumber>,
    kind: ChangeKind,
    output: Output,
) -> Result<CommittedChange, CommandFault> {
    let change = match &arguments.change_id {
        Some(text) => read_name("--change-id", text)?,
        None => draw_change_id(),
    };
    output.note(&format!("change {change}"));
    let ask = ChangeRequest {
        change,
        base,
        operator: read_operator(arguments)?,
        made_ms: read_wall_ms(),
        kind,
    };
    let result = client.change(&ask).await;
    result.map_err(|fault| CommandFault::from_change(fault, &ask.change))
}

/// Reads the document of an environment with its version.
pub async fn read_in_force(
    client: &OperatorClient,
    environment: &EnvironmentName,
) -> Result<EnvironmentReading, CommandFault> {
    let reading = client.environment(environment).await;
    reading.map_err(CommandFault::from_read)
}

/// Version at which an environment last changed; 0 if it is new.
pub async fn read_version(
    client: &OperatorClient,
    environment: &EnvironmentName,
) -> Result<VersionNumber, CommandFault> {
    match client.environment(environment).await {
        Ok(reading) => Ok(reading.version),
        Err(ClientFault::Refused(refusal)) if refusal.code == ResultCode::UnknownEnvironment => {
            Ok(VersionNumber(0))
        }
        Err(fault) => Err(CommandFault::from_read(fault)),
    }
}

fn read_operator(arguments: &ChangeArguments) -> Result<Arc<str>, CommandFault> {
    if let Some(text) = &arguments.operator {
        return read_name::<VmName>("--operator", text).map(|name| name.0);
    }
    let user = std::env::var("USER").ok().filter(|user| check_name(user));
    Ok(Arc::from(user.as_deref().unwrap_or(OPERATOR_UNKNOWN)))
}

fn read_wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, duration_to_millis)
}
