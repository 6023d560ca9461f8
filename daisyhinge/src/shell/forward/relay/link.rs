//! The calling side of relay links: one link to an entry in each data centre of other regions, and
//! in the own region while this entry cannot connect to replicas itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::head::{read_headers, write_head};
use super::table::PeerLink;
use super::{HeadRef, RelayAnswer, RelayLinkClient, RelayReply, RelayRequest};
use crate::dispatch::fleet::ReplicaIndex;
use crate::dispatch::request::AttemptEnd;
use crate::prelude::*;
use crate::shell::forward::connection::ReplicaAnswer;
use crate::shell::forward::outgoing::OutgoingRequest;
use crate::shell::forward::state::ForwardState;
use crate::shell::header::is_final_status;
use crate::vocabulary::clock::duration_to_micros;

/// Time between two updates of the set of links.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for opening a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without any reply after which a link with an open call is considered hung. Longer than the
/// pauses of a replica.
const HANG_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends a request to a replica through the entry at the other end of a link.
pub(in crate::shell::forward) async fn send_over_link(
    state: &ForwardState,
    link: &PeerLink,
    request: &OutgoingRequest,
    replica: ReplicaIndex,
) -> Result<(AttemptEnd, ReplicaAnswer), AttemptEnd> {
    let number = request.number;
    let text = || build_head(state, request);
    let head = link.sent_heads.lock().head_ref(number, text);
    let relay_request = build_relay_request(state, request, replica, head);
    let relay_request = relay_request.ok_or(AttemptEnd::Withdrawn)?;
    let mut reply = call_link(state, link, request, relay_request.clone()).await?;
    if reply.head_unknown {
        let text = text();
        let head = HeadRef::Whole { number, text };
        reply = call_link(
            state,
            link,
            request,
            RelayRequest {
                head,
                ..relay_request
            },
        )
        .await?;
    }
    if reply.cut_off {
        // Another entry takes its place on the next update of the links.
        state.log_peer(link.address, false);
        state.links.drop_link(state.clock.now(), link.address);
    }
    let replica_record = {
        let dispatcher = state.dispatcher.lock();
        let known = dispatcher.fleet.replica(replica);
        known.map(|known| (known.record.name.clone(), known.record.born_ms))
    };
    if let Some((name, born_ms)) = replica_record {
        state.record_notice(replica, &name, born_ms, reply.notice);
    }
    let answer = reply.answer.and_then(|answer| read_answer(state, answer));
    match answer {
        Some(answer) => Ok((reply.end, answer)),
        None if reply.end == AttemptEnd::Answered => Err(AttemptEnd::Lost),
        None => Err(reply.end),
    }
}

/// Calls the entry at the other end, and drops the link if it hangs.
async fn call_link(
    state: &ForwardState,
    link: &PeerLink,
    request: &OutgoingRequest,
    relay_request: RelayRequest,
) -> Result<RelayReply, AttemptEnd> {
    let mut context = context::current();
    context.deadline = Instant::now() + request.deadline.since(state.clock.now());
    let sent = state.clock.now();
    let mut call = std::pin::pin!(link.client.relay(context, relay_request));
    let reply = loop {
        tokio::select! {
            reply = &mut call => break reply,
            () = tokio::time::sleep(HANG_TIMEOUT) => {
                if link.last_reply.load(Ordering::Relaxed) < sent.0 {
                    state.log_peer(link.address, false);
                    state.links.drop_link(state.clock.now(), link.address);
                    return Err(AttemptEnd::Lost);
                }
            }
        }
    };
    let Ok(reply) = reply else {
        state.log_peer(link.address, false);
        state.links.drop_link(state.clock.now(), link.address);
        return Err(AttemptEnd::Lost);
    };
    link.last_reply
        .store(state.clock.now().0, Ordering::Relaxed);
    Ok(reply)
}

fn build_head(state: &ForwardState, request: &OutgoingRequest) -> Bytes {
    let mut headers = request.headers.clone();
    headers.remove(&state.names.deadline);
    if let Some(id) = &request.id {
        headers.insert(state.names.request_id.clone(), id.clone());
    }
    write_head(&request.method, &request.target, &headers)
}

fn build_relay_request(
    state: &ForwardState,
    request: &OutgoingRequest,
    replica: ReplicaIndex,
    head: HeadRef,
) -> Option<RelayRequest> {
    let left_ms = duration_to_micros(request.deadline.since(state.clock.now())) / 1_000;
    let replica = {
        let dispatcher = state.dispatcher.lock();
        dispatcher.fleet.replica(replica)?.record.name.clone()
    };
    Some(RelayRequest {
        replica,
        left_ms: u32::try_from(left_ms).ok().filter(|left| *left > 0)?,
        top_records: match request.top_records {
            Some(top_records) => Some(u32::try_from(top_records).ok()?),
            None => None,
        },
        kind: request.kind,
        body: request.body.clone(),
        head,
    })
}

fn read_answer(state: &ForwardState, answer: RelayAnswer) -> Option<ReplicaAnswer> {
    let part = match answer {
        RelayAnswer::Part(part) => part,
        RelayAnswer::Whole {
            status,
            headers,
            body,
        } => {
            // The other entry may run a former build, which forwards any status.
            if !is_final_status(status) {
                return None;
            }
            return Some(ReplicaAnswer {
                status,
                headers: read_headers(&headers)?,
                body,
            });
        }
    };
    let signature = HeaderValue::from_maybe_shared::<Bytes>(part.signature).ok()?;
    let mut headers = HeaderMap::new();
    headers.insert(state.names.signature.clone(), signature);
    Some(ReplicaAnswer {
        status: 200,
        headers,
        body: part.records,
    })
}

/// Maintains the links to other entries, which listen for them on `port`. Never returns.
pub async fn run_links(state: Arc<ForwardState>, port: u16) {
    let mut reach = state.watch_reach();
    loop {
        let wanted = state.dispatcher.lock().fleet.list_relays();
        drop_unwanted_links(&state, &wanted, port);
        for (centre, peers) in wanted {
            if !state.links.links.lock().contains_key(&centre) {
                open_link(&state, centre, &peers, port).await;
            }
        }
        let linked_regions = state.links.list_regions();
        state
            .dispatcher
            .lock()
            .fleet
            .set_linked_regions(linked_regions);
        // The state holds the sender, so a change is the only other outcome.
        drop(timeout(RECONCILE_INTERVAL, reach.changed()).await);
    }
}

/// Drops links to entries that are no longer candidates.
fn drop_unwanted_links(
    state: &ForwardState,
    wanted: &BTreeMap<CentreName, Vec<SocketAddr>>,
    port: u16,
) {
    let now = state.clock.now();
    state.links.avoided.lock().retain(|_, until| now < *until);
    state.links.links.lock().retain(|centre, link| {
        let peers = wanted.get(centre);
        let still_wanted = peers.is_some_and(|peers| {
            let mut addresses = peers.iter().map(|peer| SocketAddr::new(peer.ip(), port));
            addresses.any(|address| address == link.address)
        });
        if !still_wanted {
            state.log_peer(link.address, false);
        }
        still_wanted
    });
}

/// Opens a link to the first candidate that is not being avoided.
async fn open_link(state: &ForwardState, centre: CentreName, peers: &[SocketAddr], port: u16) {
    let addresses = peers.iter().map(|peer| SocketAddr::new(peer.ip(), port));
    let first = {
        let avoided = state.links.avoided.lock();
        let mut candidates = addresses.filter(|address| !avoided.contains_key(address));
        candidates.next()
    };
    let Some(address) = first else {
        return;
    };
    let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connect else {
        state.links.drop_link(state.clock.now(), address);
        return;
    };
    // Without TCP_NODELAY the link is slower but works.
    drop(stream.set_nodelay(true));
    let transport = Transport::from((stream, Bincode::default()));
    let client = RelayLinkClient::new(client::Config::default(), transport).spawn();
    let last_reply = Arc::new(AtomicU64::new(0));
    let region = {
        let dispatcher = state.dispatcher.lock();
        dispatcher.fleet.location().region_of(&centre).cloned()
    };
    let link = PeerLink {
        address,
        region,
        client,
        sent_heads: Arc::default(),
        last_reply,
    };
    state.log_peer(address, true);
    state.links.links.lock().insert(centre, link);
}
