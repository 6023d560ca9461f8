//! Speaks to the operators' ports of a control group.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use serde::de::DeserializeOwned;

use crate::control::state_machine::EnvironmentReading;
use crate::prelude::*;
use crate::shell::http_port::fetch::{FetchFault, PortAsk, PortReply, fetch};
use crate::shell::operator::refusal::OperatorRefusal;
use crate::shell::operator::token::OperatorToken;
use crate::vocabulary::change::{ChangeRecord, ChangeRequest, CommittedChange};
use crate::vocabulary::clock::duration_to_millis;
use crate::vocabulary::control::{ControlRole, ControlStatus};
use crate::vocabulary::freshness::LEASE_DURATION;
use crate::vocabulary::view::ControlView;

/// Time that one try may take.
const TRY_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after as many tries as there are addresses, and one that followed the leader.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Why a call brought no result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClientFault {
    /// It was refused; nothing was altered.
    Refused(Box<OperatorRefusal>),
    /// No control VM could be reached, or none leads; nothing was altered.
    Unreachable,
    /// It may have been carried out: send it again with the same change id.
    Unknown,
}

/// A client of the operators' ports. It follows the leader and sends a call again after a lost
/// reply, which is safe since a change carries an identifier.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    token: OperatorToken,
    timeout: Duration,
}

impl OperatorClient {
    /// A client that tries `addresses` in turn for at most `timeout` a call.
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
    /// [`ClientFault`]; only [`ClientFault::Unknown`] leaves open whether it was carried out.
    pub async fn change(&self, ask: &ChangeRequest) -> Result<CommittedChange, ClientFault> {
        let body = serde_json::to_vec(ask).map_err(|_error| ClientFault::Unreachable)?;
        self.call(Method::POST, "/v1/change", Bytes::from(body))
            .await
    }

    /// The newest view.
    ///
    /// # Errors
    ///
    /// [`ClientFault`].
    pub async fn view(&self) -> Result<ControlView, ClientFault> {
        self.call(Method::GET, "/v1/view", Bytes::new()).await
    }

    /// The document of an environment with its version.
    ///
    /// # Errors
    ///
    /// [`ClientFault`].
    pub async fn environment(
        &self,
        environment: &EnvironmentName,
    ) -> Result<EnvironmentReading, ClientFault> {
        let target = format!("/v1/environment?environment={environment}");
        self.call(Method::GET, &target, Bytes::new()).await
    }

    /// The accepted changes of an environment.
    ///
    /// # Errors
    ///
    /// [`ClientFault`].
    pub async fn history(
        &self,
        environment: &EnvironmentName,
    ) -> Result<Vec<ChangeRecord>, ClientFault> {
        let target = format!("/v1/history?environment={environment}");
        self.call(Method::GET, &target, Bytes::new()).await
    }

    /// The state of the one control VM at `address`, as it sees it itself.
    ///
    /// # Errors
    ///
    /// [`ClientFault`].
    pub async fn status(&self, address: SocketAddr) -> Result<ControlStatus, ClientFault> {
        let ask = self.build_ask(Method::GET, "/v1/status", Bytes::new());
        match fetch(address, &ask, TRY_TIMEOUT.min(self.timeout)).await {
            Ok(reply) => read_reply(&reply),
            Err(_fault) => Err(ClientFault::Unreachable),
        }
    }

    /// The state of the group as its leader sees it.
    ///
    /// # Errors
    ///
    /// [`ClientFault::Unreachable`] if no control VM that leads could be reached.
    pub async fn leader_status(&self) -> Result<ControlStatus, ClientFault> {
        let end = Instant::now() + self.timeout;
        loop {
            for address in &self.addresses {
                match self.status(*address).await {
                    Ok(status) if is_leading(&status) => return Ok(status),
                    Err(ClientFault::Refused(refusal)) => {
                        return Err(ClientFault::Refused(refusal));
                    }
                    _ => {}
                }
            }
            if Instant::now() + ROUND_PAUSE >= end {
                return Err(ClientFault::Unreachable);
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    /// Tries all addresses in turn, the leader's first once it is known.
    async fn call<R: DeserializeOwned>(
        &self,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<R, ClientFault> {
        let ask = self.build_ask(method, target, body);
        let end = Instant::now() + self.timeout;
        let mut unknown = false;
        let mut leader = None;
        let mut tries = 0;
        let mut turn = 0;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() || self.addresses.is_empty() {
                return Err(if unknown {
                    ClientFault::Unknown
                } else {
                    ClientFault::Unreachable
                });
            }
            let address = leader.take().unwrap_or_else(|| {
                turn += 1;
                self.addresses[(turn - 1) % self.addresses.len()]
            });
            match self.try_once(address, &ask, left).await {
                TryOutcome::Final(result) => return result,
                TryOutcome::Leader(address) => leader = address,
                TryOutcome::NotSent => {}
                TryOutcome::Unknown => unknown = true,
            }
            tries += 1;
            if tries % (self.addresses.len() + 1) == 0 {
                tokio::time::sleep(ROUND_PAUSE.min(left)).await;
            }
        }
    }

    async fn try_once<R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        ask: &PortAsk,
        left: Duration,
    ) -> TryOutcome<R> {
        let reply = match fetch(address, ask, TRY_TIMEOUT.min(left)).await {
            Ok(reply) => reply,
            Err(FetchFault::NotSent) => return TryOutcome::NotSent,
            Err(FetchFault::Unknown) => return TryOutcome::Unknown,
        };
        match read_reply(&reply) {
            Err(ClientFault::Refused(refusal)) => sort_refusal(refusal),
            Err(ClientFault::Unknown) => TryOutcome::Unknown,
            result => TryOutcome::Final(result),
        }
    }

    fn build_ask(&self, method: Method, target: &str, body: Bytes) -> PortAsk {
        PortAsk {
            method,
            target: target.to_owned(),
            token: Some(self.token.text().to_owned()),
            body,
        }
    }
}

/// Whether the VM leads and a quorum confirmed it a short while ago; one that is cut off goes on
/// believing that it leads.
pub fn is_leading(status: &ControlStatus) -> bool {
    let confirmed = status.confirmed_ms;
    status.role == ControlRole::Leader
        && confirmed.is_some_and(|age| age < duration_to_millis(LEASE_DURATION))
}

/// How one try ended.
#[derive(Debug)]
enum TryOutcome<R> {
    /// The call is over.
    Final(Result<R, ClientFault>),
    /// The VM does not lead; it may know who does.
    Leader(Option<SocketAddr>),
    /// Nothing left.
    NotSent,
    /// It may have been carried out.
    Unknown,
}

fn sort_refusal<R>(refusal: Box<OperatorRefusal>) -> TryOutcome<R> {
    match refusal.code {
        ResultCode::NotLeader => TryOutcome::Leader(refusal.leader),
        ResultCode::NoQuorum => TryOutcome::NotSent,
        ResultCode::ChangeOutcomeUnknown => TryOutcome::Unknown,
        _ => TryOutcome::Final(Err(ClientFault::Refused(refusal))),
    }
}

fn read_reply<R: DeserializeOwned>(reply: &PortReply) -> Result<R, ClientFault> {
    if reply.status == 200 {
        return serde_json::from_slice(&reply.body).map_err(|_error| ClientFault::Unknown);
    }
    match serde_json::from_slice(&reply.body) {
        Ok(refusal) => Err(ClientFault::Refused(refusal)),
        Err(_error) => Err(ClientFault::Unknown),
    }
}

/// A fresh change identifier, random enough never to be drawn twice.
pub fn draw_change_id() -> ChangeId {
    ChangeId::from(format!("change-{:032x}", rand::random::<u128>()))
}
