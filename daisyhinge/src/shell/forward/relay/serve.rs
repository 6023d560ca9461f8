//! The server side of relay links: calls replicas on behalf of entries in other regions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use parking_lot::Mutex;
use tarpc::context::Context;
use tarpc::serde_transport::Transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use super::head::{read_head, write_headers};
use super::head_cache::ReceivedHeads;
use super::{ANSWER_MAX_BYTES, RelayAnswer, RelayLink, RelayPart, RelayReply, RelayRequest};
use crate::dispatch::fleet::{Choice, RateNotice, ReplicaIndex, ReplicaNotice, ReplicaOutcome};
use crate::dispatch::merge::merge_parts;
use crate::dispatch::request::AttemptEnd;
use crate::prelude::*;
use crate::shell::forward::attempt::{AttemptOrigin, send_direct};
use crate::shell::forward::connection::ReplicaAnswer;
use crate::shell::forward::gate::WritePermit;
use crate::shell::forward::outgoing::OutgoingRequest;
use crate::shell::forward::planned_stop::RelayedGuard;
use crate::shell::forward::state::ForwardState;

/// Maximum number of open links.
const LINKS_MAX: usize = 1_024;
/// Delay before the next accept after a failed one, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts links of other entries on `address` until the runtime shuts down.
///
/// # Errors
/// [`ResultCode::BindFailed`] if the address cannot be bound.
pub async fn bind_relay(state: Arc<ForwardState>, address: SocketAddr) -> Result<(), ResultCode> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|_error| ResultCode::BindFailed)?;
    tokio::spawn(run_relay(state, listener));
    Ok(())
}

async fn run_relay(state: Arc<ForwardState>, listener: TcpListener) {
    let mut links = JoinSet::new();
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        while links.try_join_next().is_some() {}
        if links.len() < LINKS_MAX {
            links.spawn(serve_link(Arc::clone(&state), stream));
        }
    }
}

async fn serve_link(state: Arc<ForwardState>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let transport = Transport::from((stream, Bincode::default()));
    let channel = BaseChannel::with_defaults(transport);
    let heads = Arc::default();
    let relayed_running = Arc::clone(&state.relayed_running);
    let mut calls = std::pin::pin!(channel.execute(RelayServer { state, heads }.serve()));
    let mut running = JoinSet::new();
    while let Some(call) = calls.next().await {
        let guard = RelayedGuard::open(&relayed_running);
        running.spawn(async move {
            call.await;
            drop(guard);
        });
        while running.try_join_next().is_some() {}
    }
}

#[derive(Clone)]
struct RelayServer {
    state: Arc<ForwardState>,
    heads: Arc<Mutex<ReceivedHeads>>,
}

impl RelayLink for RelayServer {
    async fn relay(self, _: Context, relay_request: RelayRequest) -> RelayReply {
        if self.state.needs_detour_to(&relay_request.replica) {
            return RelayReply {
                cut_off: true,
                ..refuse_part(AttemptEnd::Withdrawn)
            };
        }
        let Some(text) = self.heads.lock().find(relay_request.head.clone()) else {
            return RelayReply {
                head_unknown: true,
                ..refuse_part(AttemptEnd::Withdrawn)
            };
        };
        let deadline = self.state.clock.now() + Duration::from_millis(relay_request.left_ms.into());
        let Some(request) = read_request(&self.state, &text, &relay_request, deadline) else {
            return refuse_part(AttemptEnd::Withdrawn);
        };
        if !self.state.accepts_relayed(deadline) {
            return RelayReply {
                cut_off: true,
                ..refuse_part(AttemptEnd::Withdrawn)
            };
        }
        let mut attempt = match RelayAttempt::begin(&self.state, &relay_request.replica) {
            Ok(attempt) => attempt,
            Err(end) => {
                return RelayReply {
                    notice: self.stated_notice(&relay_request.replica),
                    ..refuse_part(end)
                };
            }
        };
        let permit = WritePermit::default();
        let origin = AttemptOrigin::OtherEntry;
        let result = tokio::select! {
            biased;
            result = send_direct(&self.state, &request, attempt.replica, &permit, origin) => result,
            () = self.state.answers_due() => Err(end_at_stop(&permit)),
        };
        let (end, answer) = match result {
            Ok((end, answer)) => (end, Some(answer)),
            Err(end) => (end, None),
        };
        attempt.outcome = end.into();
        let mut notice = self.stated_notice(&relay_request.replica);
        if end == AttemptEnd::Answered && notice.rate == RateNotice::Unstated {
            notice.rate = RateNotice::Unlimited;
        }
        let answer = answer.and_then(|answer| match request.top_records {
            Some(top_records) => build_part(&self.state, top_records, &answer),
            None => build_whole(answer),
        });
        RelayReply {
            end,
            answer,
            notice,
            head_unknown: false,
            cut_off: false,
        }
    }
}

impl RelayServer {
    /// Returns what the replica stated to this entry, which the calling entry has to respect, too.
    fn stated_notice(&self, name: &ReplicaName) -> ReplicaNotice {
        let now = self.state.clock.now();
        let dispatcher = self.state.dispatcher.lock();
        dispatcher.fleet.stated_notice(now, name)
    }
}

/// Returns how an attempt ends that runs when the last answers of a planned stop are due.
fn end_at_stop(permit: &WritePermit) -> AttemptEnd {
    if permit.is_acquired() {
        AttemptEnd::Lost
    } else {
        AttemptEnd::Withdrawn
    }
}

/// Builds the reply to a request that was not sent to the replica.
fn refuse_part(end: AttemptEnd) -> RelayReply {
    RelayReply {
        end,
        answer: None,
        notice: ReplicaNotice::default(),
        head_unknown: false,
        cut_off: false,
    }
}

fn read_request(
    state: &ForwardState,
    text: &[u8],
    relay_request: &RelayRequest,
    deadline: MonotonicTime,
) -> Option<OutgoingRequest> {
    let mut head = read_head(text)?;
    let id = head.headers.remove(&state.names.request_id);
    Some(OutgoingRequest {
        number: state.next_number(),
        method: head.method,
        target: head.target,
        headers: head.headers,
        body: relay_request.body.clone(),
        id,
        kind: relay_request.kind,
        top_records: relay_request.top_records.map(|count| count as usize),
        deadline,
        access: None,
    })
}

/// Extracts the greatest records of a complete answer.
fn build_part(
    state: &ForwardState,
    top_records: usize,
    answer: &ReplicaAnswer,
) -> Option<RelayAnswer> {
    let signature = answer.headers.get(&state.names.signature)?;
    let records = merge_parts(std::iter::once(&*answer.body), top_records);
    Some(RelayAnswer::Part(RelayPart {
        signature: Bytes::copy_from_slice(signature.as_bytes()),
        records: records.into(),
    }))
}

/// Returns a whole answer for the link, or `None` if it is too large.
fn build_whole(answer: ReplicaAnswer) -> Option<RelayAnswer> {
    let fits = answer.body.len() <= ANSWER_MAX_BYTES;
    fits.then(|| RelayAnswer::Whole {
        status: answer.status,
        headers: write_headers(&answer.headers),
        body: answer.body,
    })
}

/// An attempt that counts towards the load of this entry until it is dropped.
struct RelayAttempt<'state> {
    state: &'state ForwardState,
    replica: ReplicaIndex,
    attempt: u64,
    outcome: ReplicaOutcome,
}

impl<'state> RelayAttempt<'state> {
    /// Starts an attempt, or returns why the replica cannot take another request.
    fn begin(state: &'state ForwardState, name: &ReplicaName) -> Result<Self, AttemptEnd> {
        let now = state.clock.now();
        let mut dispatcher = state.dispatcher.lock();
        let replica = match dispatcher.fleet.choose_named(now, name) {
            Choice::Replica(replica) => replica,
            Choice::Busy => return Err(AttemptEnd::PeerBusy),
            Choice::Unavailable => return Err(AttemptEnd::Withdrawn),
        };
        let attempt = dispatcher.next_attempt();
        dispatcher.fleet.begin_relayed(now, replica, attempt);
        Ok(Self {
            state,
            replica,
            attempt,
            // If the attempt is dropped without another outcome, the calling entry has gone.
            outcome: ReplicaOutcome::Cancelled,
        })
    }
}

impl Drop for RelayAttempt<'_> {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        let mut dispatcher = self.state.dispatcher.lock();
        dispatcher.finish_attempt(now, self.replica, self.attempt, self.outcome);
        let wakeups = dispatcher.admission.take_wakeups();
        drop(dispatcher);
        self.state.admission_waiters.wake(&wakeups);
    }
}
