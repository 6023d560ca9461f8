//! The entry that asks: one link to an entry of each data centre of other regions.

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

use super::head::write_head;
use super::table::PeerLink;
use super::{HeadRef, RelayAsk, RelayLinkClient, RelayPart, RelayReply};
use crate::dispatch::fleet::ReplicaIndex;
use crate::dispatch::request::AttemptEnd;
use crate::prelude::*;
use crate::shell::forward::connection::WholeAnswer;
use crate::shell::forward::outgoing::OutgoingRequest;
use crate::shell::forward::state::ForwardState;
use crate::vocabulary::clock::duration_to_micros;

/// Time between looks.
const LOOK_SPAN: Duration = Duration::from_millis(250);
/// Longest wait for a link.
const CONNECT_SPAN: Duration = Duration::from_millis(400);
/// Time without any answer after which a link that was asked counts as hanging: longer than a
/// replica pauses.
const HANG_SPAN: Duration = Duration::from_millis(300);

/// Sends a request to a replica through the entry at the other end.
pub(in crate::shell::forward) async fn try_relay(
    state: &ForwardState,
    link: &PeerLink,
    request: &OutgoingRequest,
    top_records: usize,
    replica: ReplicaIndex,
) -> Result<(AttemptEnd, WholeAnswer), AttemptEnd> {
    let number = request.number;
    let text = || build_head(state, request);
    let head = link.sent_heads.lock().refer(number, text);
    let ask = build_ask(state, request, top_records, replica, head);
    let ask = ask.ok_or(AttemptEnd::Withdrawn)?;
    let mut reply = call_link(state, link, request, ask.clone()).await?;
    if reply.head_unknown {
        let text = text();
        let head = HeadRef::Whole { number, text };
        reply = call_link(state, link, request, RelayAsk { head, ..ask }).await?;
    }
    let answer = reply.part.and_then(|part| read_part(state, part));
    match answer {
        Some(answer) => Ok((reply.end, answer)),
        None if reply.end == AttemptEnd::Answered => Err(AttemptEnd::Lost),
        None => Err(reply.end),
    }
}

/// Calls the other end, and leaves the link if it hangs.
async fn call_link(
    state: &ForwardState,
    link: &PeerLink,
    request: &OutgoingRequest,
    ask: RelayAsk,
) -> Result<RelayReply, AttemptEnd> {
    let mut context = context::current();
    context.deadline = Instant::now() + request.ends.since(state.clock.now());
    let sent = state.clock.now();
    let mut call = std::pin::pin!(link.client.relay(context, ask));
    let reply = loop {
        tokio::select! {
            reply = &mut call => break reply,
            () = tokio::time::sleep(HANG_SPAN) => {
                if link.heard.load(Ordering::Relaxed) < sent.0 {
                    state.note_peer(link.address, false);
                    state.links.drop_link(state.clock.now(), link.address);
                    return Err(AttemptEnd::Lost);
                }
            }
        }
    };
    let Ok(reply) = reply else {
        state.note_peer(link.address, false);
        state.links.drop_link(state.clock.now(), link.address);
        return Err(AttemptEnd::Lost);
    };
    link.heard.store(state.clock.now().0, Ordering::Relaxed);
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

fn build_ask(
    state: &ForwardState,
    request: &OutgoingRequest,
    top_records: usize,
    replica: ReplicaIndex,
    head: HeadRef,
) -> Option<RelayAsk> {
    let left_ms = duration_to_micros(request.ends.since(state.clock.now())) / 1_000;
    let replica = {
        let dispatcher = state.dispatcher.lock();
        dispatcher.fleet.replica(replica)?.record.name.clone()
    };
    Some(RelayAsk {
        replica,
        left_ms: u32::try_from(left_ms).ok().filter(|left| *left > 0)?,
        top_records: u32::try_from(top_records).ok()?,
        head,
    })
}

fn read_part(state: &ForwardState, part: RelayPart) -> Option<WholeAnswer> {
    let signature = HeaderValue::from_maybe_shared::<Bytes>(part.signature).ok()?;
    let mut headers = HeaderMap::new();
    headers.insert(state.names.signature.clone(), signature);
    Some(WholeAnswer {
        status: 200,
        headers,
        body: part.records,
    })
}

/// Keeps a link to an entry of each data centre of other regions, time and again; entries listen
/// for them on `port`.
pub async fn run_links(state: Arc<ForwardState>, port: u16) {
    loop {
        let wanted = state.dispatcher.lock().fleet.list_relays();
        keep_wanted(&state, &wanted, port);
        for (centre, peers) in wanted {
            if !state.links.links.lock().contains_key(&centre) {
                open_first(&state, centre, &peers, port).await;
            }
        }
        let linked = state.links.list_regions();
        state.dispatcher.lock().fleet.set_linked_regions(linked);
        tokio::time::sleep(LOOK_SPAN).await;
    }
}

/// Drops links to entries that are no longer wanted.
fn keep_wanted(state: &ForwardState, wanted: &BTreeMap<CentreName, Vec<SocketAddr>>, port: u16) {
    let now = state.clock.now();
    state.links.avoided.lock().retain(|_, until| now < *until);
    state.links.links.lock().retain(|centre, link| {
        let peers = wanted.get(centre);
        let listed = peers.is_some_and(|peers| {
            let mut addresses = peers.iter().map(|peer| SocketAddr::new(peer.ip(), port));
            addresses.any(|address| address == link.address)
        });
        if !listed {
            state.note_peer(link.address, false);
        }
        listed
    });
}

/// Opens a link to the first entry that is not avoided.
async fn open_first(state: &ForwardState, centre: CentreName, peers: &[SocketAddr], port: u16) {
    let addresses = peers.iter().map(|peer| SocketAddr::new(peer.ip(), port));
    let first = {
        let avoided = state.links.avoided.lock();
        let mut open = addresses.filter(|address| !avoided.contains_key(address));
        open.next()
    };
    let Some(address) = first else {
        return;
    };
    let connect = timeout(CONNECT_SPAN, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connect else {
        state.links.drop_link(state.clock.now(), address);
        return;
    };
    // A link without it is slower, not wrong.
    drop(stream.set_nodelay(true));
    let transport = Transport::from((stream, Bincode::default()));
    let client = RelayLinkClient::new(client::Config::default(), transport).spawn();
    let heard = Arc::new(AtomicU64::new(0));
    let region = {
        let dispatcher = state.dispatcher.lock();
        dispatcher.fleet.place().region_of(&centre).cloned()
    };
    let link = PeerLink {
        address,
        region,
        client,
        sent_heads: Arc::default(),
        heard,
    };
    state.note_peer(address, true);
    state.links.links.lock().insert(centre, link);
}
