//! One attempt at one replica.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_ENCODING, HeaderValue};

use super::connection::{ExchangeFault, ReplicaConnection, WholeAnswer};
use super::gate::AttemptGate;
use super::outgoing::OutgoingRequest;
use super::relay::link::try_relay;
use super::relay::table::PeerLink;
use super::state::ForwardState;
use super::wire::{read_text, write_number};
use crate::dispatch::fleet::ReplicaIndex;
use crate::dispatch::request::AttemptEnd;
use crate::prelude::*;
use crate::vocabulary::clock::duration_to_micros;
use crate::vocabulary::site::RouteKind;

/// Longest wait for a connection besides the way to the replica; nothing was sent then, so that
/// another one may be asked at no cost.
const CONNECT_SPAN: Duration = Duration::from_millis(60);
/// Longest idle time of a connection that carries a request which may not be repeated.
const UNSAFE_IDLE_MAX: Duration = Duration::from_secs(1);
/// Longest idle time of any connection.
const SAFE_IDLE_MAX: Duration = Duration::from_hours(1);
/// Requests with larger bodies leave a connection that is not used again, in bytes.
const REUSE_BODY_MAX_BYTES: usize = 8 << 10;
/// Status of a server that is not the one that was named.
const STATUS_WRONG_SERVER: u16 = 421;

/// What an attempt brought.
#[derive(Debug)]
pub(super) struct AttemptReport {
    pub attempt: u64,
    pub end: AttemptEnd,
    pub answer: Option<WholeAnswer>,
}

/// Where an attempt goes.
#[derive(Clone, Debug)]
struct AttemptPlace {
    replica: ReplicaIndex,
    name: ReplicaName,
    address: SocketAddr,
    assumed_round_trip: Duration,
}

/// Sends a request to a replica and reads its answer.
pub(super) async fn run_attempt(
    state: Arc<ForwardState>,
    request: Arc<OutgoingRequest>,
    attempt: u64,
    replica: ReplicaIndex,
    gate: Arc<AttemptGate>,
) -> AttemptReport {
    let result = match find_link(&state, &request, replica) {
        Some((link, top_records)) => {
            state.counters.relayed.inc();
            gate.pass();
            try_relay(&state, &link, &request, top_records, replica).await
        }
        None => try_attempt(&state, &request, replica, &gate).await,
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

/// The link through which a part of a gather is asked for, if its replica is in another region.
fn find_link(
    state: &ForwardState,
    request: &OutgoingRequest,
    replica: ReplicaIndex,
) -> Option<(PeerLink, usize)> {
    let top_records = request.top_records.filter(|_| request.body.is_empty())?;
    let link = state.links.find(&state.dispatcher.lock().fleet, replica)?;
    Some((link, top_records))
}

/// Sends a request to a replica over a connection of this entry's own.
pub(super) async fn try_attempt(
    state: &ForwardState,
    request: &OutgoingRequest,
    replica: ReplicaIndex,
    gate: &AttemptGate,
) -> Result<(AttemptEnd, WholeAnswer), AttemptEnd> {
    let place = find_place(state, replica).ok_or(AttemptEnd::Withdrawn)?;
    let connection = open_connection(state, request, &place).await;
    state.record_idle(replica);
    let mut connection = connection?;
    // Looked at again: the connection may have taken long.
    if !state.dispatcher.lock().fleet.may_send(replica) || !gate.pass() {
        state.pool.put(replica, connection);
        return Err(AttemptEnd::Withdrawn);
    }
    let outgoing = build_request(state, request, &place).ok_or(AttemptEnd::Withdrawn)?;
    let answer = match connection.exchange(outgoing).await {
        Ok(answer) => answer,
        Err(ExchangeFault::NotSent) => return Err(AttemptEnd::NotSent),
        Err(ExchangeFault::Lost) => return Err(AttemptEnd::Lost),
    };
    let end = judge_answer(state, request, &answer);
    let belongs = end != AttemptEnd::Lost;
    let kept = state.may_keep(replica);
    if belongs && kept && request.body.len() <= REUSE_BODY_MAX_BYTES {
        state.pool.put(replica, connection);
        state.record_idle(replica);
    }
    Ok((end, answer))
}

fn find_place(state: &ForwardState, replica: ReplicaIndex) -> Option<AttemptPlace> {
    let dispatcher = state.dispatcher.lock();
    let known = dispatcher.fleet.replica(replica)?;
    Some(AttemptPlace {
        replica,
        name: known.record.name.clone(),
        address: known.record.address,
        assumed_round_trip: known.locality().assumed_round_trip(),
    })
}

async fn open_connection(
    state: &ForwardState,
    request: &OutgoingRequest,
    place: &AttemptPlace,
) -> Result<ReplicaConnection, AttemptEnd> {
    let idle_max = match request.kind {
        RouteKind::Safe => SAFE_IDLE_MAX,
        RouteKind::Unsafe => UNSAFE_IDLE_MAX,
    };
    if let Some(connection) = state.pool.take(place.replica, idle_max) {
        return Ok(connection);
    }
    state.counters.connections_opened.inc();
    let connect = ReplicaConnection::connect(place.address);
    let longest = CONNECT_SPAN + place.assumed_round_trip;
    match tokio::time::timeout(longest, connect).await {
        Ok(Some(connection)) => Ok(connection),
        _ => Err(AttemptEnd::NotSent),
    }
}

fn build_request(
    state: &ForwardState,
    request: &OutgoingRequest,
    place: &AttemptPlace,
) -> Option<Request<Full<Bytes>>> {
    let left = request.ends.since(state.clock.now());
    let left_ms = duration_to_micros(left) / 1_000;
    if left_ms == 0 {
        return None;
    }
    let names = &state.names;
    let mut headers = request.headers.clone();
    headers.insert(names.deadline.clone(), write_number(left_ms));
    if let Some(id) = &request.id {
        headers.insert(names.request_id.clone(), id.clone());
    }
    let name = HeaderValue::from_str(place.name.as_str()).ok()?;
    headers.insert(names.expected_replica.clone(), name);
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.clone();
    *outgoing.headers_mut() = headers;
    Some(outgoing)
}

/// What an answer says. One that belongs to another request, or that a replica can't have meant,
/// counts as lost: the request may have run.
fn judge_answer(
    state: &ForwardState,
    request: &OutgoingRequest,
    answer: &WholeAnswer,
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
    let signed = read_text(headers, &names.signature).is_some();
    let success = (200..300).contains(&answer.status);
    let spoiled = headers.contains_key(CONTENT_ENCODING);
    if success && signed && !spoiled {
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
