//! A single attempt to send a request to a replica.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_ENCODING, HeaderValue};

use super::answer_body::AnswerCollector;
use super::connection::{ExchangeError, ReplicaAnswer, ReplicaConnection};
use super::drop_reason::DropReason;
use super::gate::WritePermit;
use super::outgoing::OutgoingRequest;
use super::relay::REQUEST_MAX_BYTES;
use super::relay::link::send_over_link;
use super::relay::table::PeerLink;
use super::state::ForwardState;
use super::wire::{encode_number, header_text};
use crate::dispatch::fleet::{ReplicaIndex, ReplicaReach};
use crate::dispatch::request::AttemptEnd;
use crate::prelude::*;
use crate::vocabulary::clock::duration_to_micros;
use crate::vocabulary::site::RouteKind;

/// Connect timeout, to which the assumed round trip is added. A connect that times out has sent
/// nothing, so the retry at another replica adds no load.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum idle time of a pooled connection for a request that is not safe to repeat.
const UNSAFE_IDLE_MAX: Duration = Duration::from_secs(1);
/// Maximum idle time of a pooled connection for any other request.
const SAFE_IDLE_MAX: Duration = Duration::from_hours(1);
/// Maximum body size, in bytes, after which a connection is reused. A replica may answer a larger
/// body before it has read all of it.
const REUSE_BODY_MAX_BYTES: usize = 8 << 10;
/// HTTP status with which a server refuses a request that names another replica.
const STATUS_WRONG_SERVER: u16 = 421;

/// Which entry has decided to send an attempt to its replica, and has applied the rollouts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptOrigin {
    /// This one.
    ThisEntry,
    /// Another one, for which this entry relays.
    OtherEntry,
}

/// How an attempt ended, with the answer if there is one.
#[derive(Debug)]
pub struct AttemptReport {
    /// Attempt number, unique within the entry.
    pub attempt: u64,
    /// Answer, error or other outcome of the attempt.
    pub end: AttemptEnd,
    /// The replica's complete answer.
    pub answer: Option<ReplicaAnswer>,
}

/// Name and address of the replica that an attempt goes to.
#[derive(Clone, Debug)]
struct ReplicaEndpoint {
    replica: ReplicaIndex,
    name: ReplicaName,
    /// Start of the replica's incarnation in milliseconds since the Unix epoch, if it stated one.
    born_ms: Option<u64>,
    address: SocketAddr,
    assumed_round_trip: Duration,
}

/// Sends a request to a replica and reads the answer, unless `permit` was revoked before.
pub async fn run_attempt(
    state: Arc<ForwardState>,
    request: Arc<OutgoingRequest>,
    attempt: u64,
    replica: ReplicaIndex,
    permit: Arc<WritePermit>,
) -> AttemptReport {
    let result = match find_link(&state, &request, replica) {
        Some(link) => send_linked(&state, &link, &request, replica, &permit).await,
        None => {
            match send_direct(&state, &request, replica, &permit, AttemptOrigin::ThisEntry).await {
                // The connect may have shown that this entry cannot connect to any replica.
                Err(AttemptEnd::NotSent) => send_around(&state, &request, replica, &permit).await,
                result => result,
            }
        }
    };
    let (end, answer) = match result {
        Ok((end, answer)) => (end, Some(answer)),
        Err(end) => (end, None),
    };
    AttemptReport {
        attempt,
        end,
        answer,
    }
}

/// Sends a request over a link, unless its permit was revoked before.
async fn send_linked(
    state: &ForwardState,
    link: &PeerLink,
    request: &OutgoingRequest,
    replica: ReplicaIndex,
    permit: &WritePermit,
) -> Result<(AttemptEnd, ReplicaAnswer), AttemptEnd> {
    // The attempt may have been superseded, its request answered, its version rolled back or its
    // key removed.
    let may_send = state.allows_version(replica)
        && state.may_serve()
        && state.check_access(request.access.as_ref()).is_ok();
    if !may_send || !permit.try_acquire() {
        return Err(AttemptEnd::Withdrawn);
    }
    state.counters.relayed.inc();
    send_over_link(state, link, request, replica).await
}

/// Sends a request over a link after no connection to its replica could be made, if there is one.
async fn send_around(
    state: &ForwardState,
    request: &OutgoingRequest,
    replica: ReplicaIndex,
    permit: &WritePermit,
) -> Result<(AttemptEnd, ReplicaAnswer), AttemptEnd> {
    match find_link(state, request, replica) {
        Some(link) => send_linked(state, &link, request, replica, permit).await,
        None => Err(AttemptEnd::NotSent),
    }
}

/// Returns the link for a part of a gather if the replica is in another region, and for any request
/// if this entry cannot connect to the replica itself.
fn find_link(
    state: &ForwardState,
    request: &OutgoingRequest,
    replica: ReplicaIndex,
) -> Option<PeerLink> {
    if *state.reach.borrow() != ReplicaReach::Full {
        // Requests that were started at the same moment may have taken the open connections.
        state.record_idle(replica);
    }
    let fleet = &state.dispatcher.lock().fleet;
    let known = fleet.replica(replica)?;
    let is_part = request.top_records.is_some() && request.body.is_empty();
    let is_far_part = is_part && !known.is_in_same_region();
    let needs_detour = fleet.needs_detour(known) && request.body.len() <= REQUEST_MAX_BYTES;
    let link = || state.links.find(fleet, replica);
    (is_far_part || needs_detour).then(link).flatten()
}

/// Sends a request to a replica over a connection of this entry.
pub(super) async fn send_direct(
    state: &ForwardState,
    request: &OutgoingRequest,
    replica: ReplicaIndex,
    permit: &WritePermit,
    origin: AttemptOrigin,
) -> Result<(AttemptEnd, ReplicaAnswer), AttemptEnd> {
    let endpoint = find_endpoint(state, replica).ok_or(AttemptEnd::Withdrawn)?;
    let connection = open_connection(state, request, &endpoint).await;
    state.record_idle(replica);
    let mut connection = connection?;
    // Final check before dispatch: connecting may have taken long.
    let now = state.clock.now();
    let may_send = {
        let fleet = &state.dispatcher.lock().fleet;
        match origin {
            AttemptOrigin::ThisEntry => fleet.may_send(now, replica),
            AttemptOrigin::OtherEntry => fleet.may_relay(now, replica),
        }
    };
    let may_send =
        may_send && state.may_serve() && state.check_access(request.access.as_ref()).is_ok();
    if !may_send || !permit.try_acquire() {
        state.pool.put(replica, connection);
        return Err(AttemptEnd::Withdrawn);
    }
    let outgoing = build_request(state, request, &endpoint).ok_or(AttemptEnd::Withdrawn)?;
    let collector = AnswerCollector::open(&state.intake, request.top_records);
    let answer = match connection.exchange(outgoing, collector).await {
        Ok(answer) => answer,
        Err(ExchangeError::NotSent) => return Err(AttemptEnd::NotSent),
        Err(ExchangeError::Reset) => return Err(AttemptEnd::Reset),
        Err(ExchangeError::Dropped(reason)) => {
            state.record_dropped_answer(request, &endpoint.name, reason);
            return Err(AttemptEnd::Lost);
        }
    };
    state
        .dispatcher
        .lock()
        .reach
        .record_answer(state.clock.now());
    let end = classify_answer(state, request, &answer);
    match end {
        AttemptEnd::Lost => {
            state.record_dropped_answer(request, &endpoint.name, DropReason::Unusable);
        }
        AttemptEnd::WrongServer => {}
        _ => {
            let notice = state.notice_of(&answer);
            state.record_notice(replica, &endpoint.name, endpoint.born_ms, notice);
        }
    }
    if may_reuse(state, request, end, &answer) && state.may_keep(replica) {
        state.pool.put(replica, connection);
        state.record_idle(replica);
    }
    Ok((end, answer))
}

/// Whether the connection can carry another request. Without an identifier, a second copy of the
/// answer could not be told from the answer to the next request.
fn may_reuse(
    state: &ForwardState,
    request: &OutgoingRequest,
    end: AttemptEnd,
    answer: &ReplicaAnswer,
) -> bool {
    end != AttemptEnd::Lost
        && answer.headers.contains_key(&state.names.request_id)
        && request.body.len() <= REUSE_BODY_MAX_BYTES
}

fn find_endpoint(state: &ForwardState, replica: ReplicaIndex) -> Option<ReplicaEndpoint> {
    let dispatcher = state.dispatcher.lock();
    let known = dispatcher.fleet.replica(replica)?;
    Some(ReplicaEndpoint {
        replica,
        name: known.record.name.clone(),
        born_ms: known.record.born_ms,
        address: known.record.address,
        assumed_round_trip: known.locality().assumed_round_trip(),
    })
}

async fn open_connection(
    state: &ForwardState,
    request: &OutgoingRequest,
    endpoint: &ReplicaEndpoint,
) -> Result<ReplicaConnection, AttemptEnd> {
    let idle_max = match request.kind {
        RouteKind::Safe => SAFE_IDLE_MAX,
        RouteKind::Unsafe => UNSAFE_IDLE_MAX,
    };
    if let Some(connection) = state.pool.take(endpoint.replica, idle_max) {
        return Ok(connection);
    }
    state.counters.connections_opened.inc();
    let connect = ReplicaConnection::connect(endpoint.address);
    let connect_timeout = CONNECT_TIMEOUT + endpoint.assumed_round_trip;
    let connected = tokio::time::timeout(connect_timeout, connect).await;
    let connection = connected.ok().flatten();
    state.record_connect(endpoint.replica, connection.is_some());
    connection.ok_or(AttemptEnd::NotSent)
}

fn build_request(
    state: &ForwardState,
    request: &OutgoingRequest,
    endpoint: &ReplicaEndpoint,
) -> Option<Request<Full<Bytes>>> {
    let remaining = request.deadline.since(state.clock.now());
    let remaining_ms = duration_to_micros(remaining) / 1_000;
    if remaining_ms == 0 {
        return None;
    }
    let names = &state.names;
    let mut headers = request.headers.clone();
    headers.insert(names.deadline.clone(), encode_number(remaining_ms));
    if let Some(id) = &request.id {
        headers.insert(names.request_id.clone(), id.clone());
    }
    let name = HeaderValue::from_str(endpoint.name.as_str()).ok()?;
    headers.insert(names.expected_replica.clone(), name);
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.clone();
    *outgoing.headers_mut() = headers;
    Some(outgoing)
}

/// Classifies an answer. An answer that belongs to another request, or that no replica would send,
/// counts as lost, because the request may have been executed.
fn classify_answer(
    state: &ForwardState,
    request: &OutgoingRequest,
    answer: &ReplicaAnswer,
) -> AttemptEnd {
    let names = &state.names;
    let headers = &answer.headers;
    let echoed = headers.get(&names.request_id);
    if echoed.is_some() && echoed != request.id.as_ref() {
        return AttemptEnd::Lost;
    }
    if answer.status == STATUS_WRONG_SERVER {
        return AttemptEnd::WrongServer;
    }
    if headers.contains_key(&names.not_run) {
        return AttemptEnd::NotRun;
    }
    let signed = header_text(headers, &names.signature).is_some();
    let success = (200..300).contains(&answer.status);
    let encoded = headers.contains_key(CONTENT_ENCODING);
    if success && signed && !encoded {
        return AttemptEnd::Answered;
    }
    if success {
        return AttemptEnd::Lost;
    }
    if answer.status >= 500 || request.top_records.is_some() || !signed {
        return AttemptEnd::Failed;
    }
    AttemptEnd::Answered
}
