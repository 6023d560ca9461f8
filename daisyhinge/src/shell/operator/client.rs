//! Client of the operator ports of a control group.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use serde::de::DeserializeOwned;

use crate::control::state_machine::EnvironmentReading;
use crate::prelude::*;
use crate::shell::http_port::fetch::{FetchError, PortReply, PortRequest, fetch};
use crate::shell::operator::refusal::OperatorRefusal;
use crate::shell::operator::token::OperatorToken;
use crate::vocabulary::change::{ChangeRecord, ChangeRequest, CommittedChange};
use crate::vocabulary::clock::duration_to_millis;
use crate::vocabulary::control::{ControlRole, ControlStatus};
use crate::vocabulary::freshness::LEASE_DURATION;
use crate::vocabulary::view::ControlView;

/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a round of attempts: one per address and one redirected to the leader.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Error of a call to the control group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClientError {
    /// The call was refused; nothing was changed.
    Refused(Box<OperatorRefusal>),
    /// No control VM is reachable, or none is the leader; nothing was changed.
    Unreachable,
    /// The call may have been executed: send it again with the same change id.
    Unknown,
}

/// Client of the operator ports. It follows redirects to the leader and sends a call again after a
/// lost reply, which is safe because every change carries an id.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    token: OperatorToken,
    timeout: Duration,
}

impl OperatorClient {
    /// Creates a client that tries `addresses` in turn, for at most `timeout` per call.
    pub fn new(addresses: Vec<SocketAddr>, token: OperatorToken, timeout: Duration) -> Self {
        Self {
            addresses,
            token,
            timeout,
        }
    }

    /// Sends a change until its outcome is known.
    ///
    /// # Errors
    ///
    /// [`ClientError`]; only [`ClientError::Unknown`] leaves open whether the change was executed.
    pub async fn change(&self, request: &ChangeRequest) -> Result<CommittedChange, ClientError> {
        let body = serde_json::to_vec(request).map_err(|_error| ClientError::Unreachable)?;
        self.call(Method::POST, "/v1/change", Bytes::from(body))
            .await
    }

    /// Fetches the latest view.
    ///
    /// # Errors
    ///
    /// [`ClientError`].
    pub async fn view(&self) -> Result<ControlView, ClientError> {
        self.call(Method::GET, "/v1/view", Bytes::new()).await
    }

    /// Fetches the document of an environment with its version.
    ///
    /// # Errors
    ///
    /// [`ClientError`].
    pub async fn environment(
        &self,
        environment: &EnvironmentName,
    ) -> Result<EnvironmentReading, ClientError> {
        let target = format!("/v1/environment?environment={environment}");
        self.call(Method::GET, &target, Bytes::new()).await
    }

    /// Fetches the accepted changes of an environment.
    ///
    /// # Errors
    ///
    /// [`ClientError`].
    pub async fn history(
        &self,
        environment: &EnvironmentName,
    ) -> Result<Vec<ChangeRecord>, ClientError> {
        let target = format!("/v1/history?environment={environment}");
        self.call(Method::GET, &target, Bytes::new()).await
    }

    /// Fetches the status of the control VM at `address`, from its own point of view.
    ///
    /// # Errors
    ///
    /// [`ClientError`].
    pub async fn status(&self, address: SocketAddr) -> Result<ControlStatus, ClientError> {
        let request = self.build_request(Method::GET, "/v1/status", Bytes::new());
        match fetch(address, &request, ATTEMPT_TIMEOUT.min(self.timeout)).await {
            Ok(reply) => read_reply(&reply),
            Err(_error) => Err(ClientError::Unreachable),
        }
    }

    /// Fetches the status of the group from its leader.
    ///
    /// # Errors
    ///
    /// [`ClientError::Unreachable`] if no leader could be reached.
    pub async fn leader_status(&self) -> Result<ControlStatus, ClientError> {
        let deadline = Instant::now() + self.timeout;
        loop {
            for address in &self.addresses {
                match self.status(*address).await {
                    Ok(status) if is_leading(&status) => return Ok(status),
                    Err(ClientError::Refused(refusal)) => {
                        return Err(ClientError::Refused(refusal));
                    }
                    _ => {}
                }
            }
            if Instant::now() + ROUND_PAUSE >= deadline {
                return Err(ClientError::Unreachable);
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    /// Tries all addresses in turn. Once the address of the leader is known, it is tried next.
    async fn call<R: DeserializeOwned>(
        &self,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<R, ClientError> {
        let request = self.build_request(method, target, body);
        let deadline = Instant::now() + self.timeout;
        let mut unknown = false;
        let mut leader = None;
        let mut attempts = 0;
        let mut next = 0;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() || self.addresses.is_empty() {
                return Err(if unknown {
                    ClientError::Unknown
                } else {
                    ClientError::Unreachable
                });
            }
            let address = leader.take().unwrap_or_else(|| {
                next += 1;
                self.addresses[(next - 1) % self.addresses.len()]
            });
            match self.attempt(address, &request, remaining).await {
                AttemptOutcome::Final(result) => return result,
                AttemptOutcome::Leader(address) => leader = address,
                AttemptOutcome::NotSent => {}
                AttemptOutcome::Unknown => unknown = true,
            }
            attempts += 1;
            if attempts % (self.addresses.len() + 1) == 0 {
                tokio::time::sleep(ROUND_PAUSE.min(remaining)).await;
            }
        }
    }

    async fn attempt<R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: &PortRequest,
        remaining: Duration,
    ) -> AttemptOutcome<R> {
        let reply = match fetch(address, request, ATTEMPT_TIMEOUT.min(remaining)).await {
            Ok(reply) => reply,
            Err(FetchError::NotSent) => return AttemptOutcome::NotSent,
            Err(FetchError::Unknown) => return AttemptOutcome::Unknown,
        };
        match read_reply(&reply) {
            Err(ClientError::Refused(refusal)) => classify_refusal(refusal),
            Err(ClientError::Unknown) => AttemptOutcome::Unknown,
            result => AttemptOutcome::Final(result),
        }
    }

    fn build_request(&self, method: Method, target: &str, body: Bytes) -> PortRequest {
        PortRequest {
            method,
            target: target.to_owned(),
            token: Some(self.token.text().to_owned()),
            body,
        }
    }
}

/// Whether the VM is the leader and a quorum confirmed that within the lease duration. A leader
/// that is partitioned from the others still reports the leader role.
pub fn is_leading(status: &ControlStatus) -> bool {
    let confirmed = status.confirmed_ms;
    status.role == ControlRole::Leader
        && confirmed.is_some_and(|age| age < duration_to_millis(LEASE_DURATION))
}

#[derive(Debug)]
enum AttemptOutcome<R> {
    /// The call is complete.
    Final(Result<R, ClientError>),
    /// The VM is not the leader; contains the address of the leader if the VM knows it.
    Leader(Option<SocketAddr>),
    /// The call was not executed.
    NotSent,
    /// The call may have been executed.
    Unknown,
}

fn classify_refusal<R>(refusal: Box<OperatorRefusal>) -> AttemptOutcome<R> {
    match refusal.code {
        ResultCode::NotLeader => AttemptOutcome::Leader(refusal.leader),
        ResultCode::NoQuorum => AttemptOutcome::NotSent,
        ResultCode::ChangeOutcomeUnknown => AttemptOutcome::Unknown,
        _ => AttemptOutcome::Final(Err(ClientError::Refused(refusal))),
    }
}

fn read_reply<R: DeserializeOwned>(reply: &PortReply) -> Result<R, ClientError> {
    if reply.status == 200 {
        return serde_json::from_slice(&reply.body).map_err(|_error| ClientError::Unknown);
    }
    match serde_json::from_slice(&reply.body) {
        Ok(refusal) => Err(ClientError::Refused(refusal)),
        Err(_error) => Err(ClientError::Unknown),
    }
}

/// Generates a change id with 128 random bits, so that ids never collide in practice.
pub fn generate_change_id() -> ChangeId {
    ChangeId::from(format!("change-{:032x}", rand::random::<u128>()))
}
