//! The caller of the demonstration, and the recording of its replies in the statistics.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyhinge_fakes::http::{HttpClient, build_client, send_request};
use http_body_util::Full;
use hyper::Request;
use serde::Deserialize;

use crate::demo::stats::DemoStats;

const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
const BODY: &[u8] = b"{\"ingredient\":\"groundnut\"}";

/// Sends queries to the entries in round-robin order.
#[derive(Debug)]
pub struct DemoCaller {
    http: HttpClient,
    entries: Vec<SocketAddr>,
    next: AtomicUsize,
}

/// Result of a query as the caller sees it.
#[derive(Clone, Debug)]
pub enum DemoReply {
    /// The entry answered, completely or partially.
    Answer(DemoAnswer),
    /// A refusal, with the number of its result code.
    Refusal(u16),
    /// No reply, or a reply that cannot be decoded.
    Lost,
}

/// JSON body of an answer.
#[derive(Clone, Debug, Deserialize)]
pub struct DemoAnswer {
    /// Request id that the caller sent.
    pub request: String,
    /// Snapshot that all parts must come from.
    pub snapshot: u64,
    /// Coverage that the entry reports; checked against the parts.
    pub coverage: DemoCoverage,
    /// Whether every shard of the snapshot answered.
    pub complete: bool,
    /// Whether the answer is the recorded outcome of an earlier request.
    pub resent: bool,
    /// Parts of the answer, one per shard.
    pub parts: Vec<DemoPart>,
}

/// Coverage of an answer, as weights of shards.
#[derive(Clone, Debug, Deserialize)]
pub struct DemoCoverage {
    /// Total weight of the shards that answered.
    pub answered_weight: u64,
    /// Total weight of all shards of the snapshot.
    pub whole_weight: u64,
}

/// One part of an answer.
#[derive(Clone, Debug, Deserialize)]
pub struct DemoPart {
    /// Number of the shard that the part belongs to.
    pub shard: u32,
    /// Body that the fake backend server returned.
    pub body: DemoEcho,
}

/// Sub-request as the fake backend server echoes it.
#[derive(Clone, Debug, Deserialize)]
pub struct DemoEcho {
    /// Number of the shard in the sub-request; must be the shard of the part.
    pub shard: u32,
    /// Number of the snapshot in the sub-request; must be the snapshot of the answer.
    pub snapshot: u64,
    /// Request id in the sub-request; must be the id that the caller sent.
    pub request: String,
}

#[derive(Debug, Deserialize)]
struct RefusalNumber {
    code: u16,
}

impl DemoCaller {
    /// Creates a caller that sends its requests to `entries` in turn.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            http: build_client(),
            entries,
            next: AtomicUsize::new(0),
        }
    }

    /// Sends one query to the next entry in turn.
    pub async fn query(&self, service: &str, request: &str) -> DemoReply {
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        let entry = self.entries[index % self.entries.len()];
        let message = Request::post(format!("http://{entry}/v1/services/{service}/query"))
            .header("daisyhinge-request", request)
            .body(Full::new(Bytes::from_static(BODY)));
        let Ok(message) = message else {
            return DemoReply::Lost;
        };
        let Ok(reply) = send_request(&self.http, message, REPLY_TIMEOUT).await else {
            return DemoReply::Lost;
        };
        if reply.status == 200 {
            return reply.read_json().map_or(DemoReply::Lost, DemoReply::Answer);
        }
        let number = reply.read_json::<RefusalNumber>();
        number.map_or(DemoReply::Lost, |refusal| DemoReply::Refusal(refusal.code))
    }
}

impl DemoStats {
    /// Records the reply to a request that was sent at `sent_at`. A complete answer has `shards`
    /// parts.
    pub fn record_reply(
        &mut self,
        request: &str,
        reply: &DemoReply,
        sent_at: Instant,
        shards: u32,
    ) {
        self.requests += 1;
        match reply {
            DemoReply::Lost => self.lost += 1,
            DemoReply::Refusal(_) => self.refused += 1,
            DemoReply::Answer(answer) => {
                let micros = u64::try_from(sent_at.elapsed().as_micros()).unwrap_or(u64::MAX);
                self.latencies_us.push(micros);
                self.record_answer(request, answer, shards);
            }
        }
    }

    fn record_answer(&mut self, request: &str, answer: &DemoAnswer, shards: u32) {
        if answer.complete {
            self.whole += 1;
        } else {
            self.partial += 1;
        }
        if !answer.resent {
            self.needed_sub_requests += answer.parts.len() as u64;
        }
        let mixed = answer
            .parts
            .iter()
            .any(|part| part.body.snapshot != answer.snapshot);
        self.snapshot_mixed += u64::from(mixed);
        let parts = answer.parts.len() as u64;
        let covered = answer.coverage.answered_weight * u64::from(shards);
        let wrong_weight = covered != answer.coverage.whole_weight * parts;
        let wrong_request = answer.request != request
            || answer
                .parts
                .iter()
                .any(|part| part.body.request != request || part.body.shard != part.shard);
        self.false_answers += u64::from(wrong_weight || wrong_request);
    }
}
