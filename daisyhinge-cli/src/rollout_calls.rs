//! Calls of operators to the control VMs of a deployment with rollouts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyhinge::prelude::*;
use daisyhinge::shell::http_port::fetch::{FetchError, PortReply, PortRequest, fetch};
use daisyhinge::shell::operator::OperatorRefusal;
use hyper::Method;
use serde::de::DeserializeOwned;

use crate::exit::CommandError;

/// Maximum time for one call to one control VM. An order may be held for some seconds by a process
/// that has just started.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause after all control VMs were tried in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Status of a reply after which the call may be made again.
const STATUS_RETRY: u16 = 503;

/// Client of the calls, which tries the control VMs in turn. All calls may be repeated.
#[derive(Debug)]
pub struct RolloutCalls {
    addresses: Vec<SocketAddr>,
    timeout: Duration,
}

impl RolloutCalls {
    /// Creates a client that keeps trying for `timeout`.
    pub fn new(addresses: Vec<SocketAddr>, timeout: Duration) -> Self {
        Self { addresses, timeout }
    }

    /// Makes a call until a control VM has answered it with anything but a 503.
    ///
    /// # Errors
    /// [`CommandError::Refused`] with the last refusal, [`CommandError::Unreachable`] if no control
    /// VM was reached, and [`CommandError::OrderUnknown`] if an order may have been accepted.
    pub async fn call<R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<R, CommandError> {
        let request = PortRequest {
            method,
            target: path.to_owned(),
            token: None,
            body,
        };
        let is_order = request.method == Method::POST;
        let deadline = Instant::now() + self.timeout;
        let mut last = CommandError::Unreachable;
        let mut is_unknown = false;
        for number in 0.. {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || self.addresses.is_empty() {
                break;
            }
            let address = self.addresses[number % self.addresses.len()];
            match fetch(address, &request, ATTEMPT_TIMEOUT.min(left)).await {
                Ok(reply) if reply.status == STATUS_RETRY => {
                    last = read_refusal(&reply);
                    is_unknown |= is_order && !says_not_accepted(&last);
                }
                Ok(reply) if reply.status == 200 => match serde_json::from_slice(&reply.body) {
                    Ok(value) => return Ok(value),
                    Err(_error) => is_unknown |= is_order,
                },
                Ok(reply) => return Err(read_refusal(&reply)),
                Err(FetchError::NotSent) => {}
                Err(FetchError::Unknown) => is_unknown |= is_order,
            }
            if (number + 1) % self.addresses.len() == 0 {
                tokio::time::sleep(ROUND_PAUSE.min(left)).await;
            }
        }
        Err(if is_unknown {
            CommandError::OrderUnknown
        } else {
            last
        })
    }
}

/// Whether a 503 says that the order was not accepted. Other ones leave that open.
fn says_not_accepted(error: &CommandError) -> bool {
    matches!(error, CommandError::Refused(refusal) if refusal.code == ResultCode::FeatureLevelTooLow)
}

/// Reads a refusal. A reply that is not of a control VM counts as none.
fn read_refusal(reply: &PortReply) -> CommandError {
    match serde_json::from_slice::<OperatorRefusal>(&reply.body) {
        Ok(refusal) => CommandError::Refused(Box::new(refusal)),
        Err(_error) => CommandError::Unreachable,
    }
}
