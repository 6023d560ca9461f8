//! Callers of the demonstration.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyhinge_fakes::http::{HttpCaller, build_caller, send_request};
use http_body_util::Full;
use hyper::Request;
use serde::Deserialize;

use crate::demo::tally::DemoTally;

const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
const BODY: &[u8] = b"{\"ingredient\":\"groundnut\"}";

/// Sends queries to the entries in turn.
#[derive(Debug)]
pub struct DemoCaller {
    http: HttpCaller,
    entries: Vec<SocketAddr>,
    next: AtomicUsize,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub enum DemoReply {
    /// An answer.
    Answer(DemoAnswer),
    /// A refusal with its number.
    Refusal(u16),
    /// Nothing.
    Lost,
}

/// An answer as the interface has it.
#[derive(Clone, Debug, Deserialize)]
pub struct DemoAnswer {
    /// The caller's request.
    pub request: String,
    /// The snapshot.
    pub snapshot: u64,
    /// What it covers.
    pub coverage: DemoCoverage,
    /// Whether it is whole.
    pub complete: bool,
    /// Whether it is the recorded outcome of an earlier request.
    pub resent: bool,
    /// Its parts.
    pub parts: Vec<DemoPart>,
}

/// Coverage as the interface has it.
#[derive(Clone, Debug, Deserialize)]
pub struct DemoCoverage {
    /// Weight of the parts.
    pub answered_weight: u64,
    /// Weight of the snapshot.
    pub whole_weight: u64,
}

/// One part of an answer.
#[derive(Clone, Debug, Deserialize)]
pub struct DemoPart {
    /// The shard.
    pub shard: u32,
    /// What the fake backend server says of itself.
    pub body: DemoEcho,
}

/// What the fake backend server says of itself.
#[derive(Clone, Debug, Deserialize)]
pub struct DemoEcho {
    /// The shard that it answered for.
    pub shard: u32,
    /// The snapshot that it answered from.
    pub snapshot: u64,
    /// The request that it answered.
    pub request: String,
}

#[derive(Debug, Deserialize)]
struct RefusalNumber {
    code: u16,
}

impl DemoCaller {
    /// A caller of the given entries.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            http: build_caller(),
            entries,
            next: AtomicUsize::new(0),
        }
    }

    /// Sends one query to the next entry.
    pub async fn query(&self, service: &str, request: &str) -> DemoReply {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let entry = self.entries[turn % self.entries.len()];
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

impl DemoTally {
    /// Counts what a request brought. `shards` is how many parts a whole answer has.
    pub fn count(&mut self, request: &str, reply: &DemoReply, begun: Instant, shards: u32) {
        self.requests += 1;
        match reply {
            DemoReply::Lost => self.lost += 1,
            DemoReply::Refusal(_) => self.refused += 1,
            DemoReply::Answer(answer) => {
                let micros = u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX);
                self.latencies_us.push(micros);
                self.count_answer(request, answer, shards);
            }
        }
    }

    fn count_answer(&mut self, request: &str, answer: &DemoAnswer, shards: u32) {
        if answer.complete {
            self.whole += 1;
        } else {
            self.partial += 1;
        }
        if !answer.resent {
            self.wanted_subs += answer.parts.len() as u64;
        }
        let mixed = answer
            .parts
            .iter()
            .any(|part| part.body.snapshot != answer.snapshot);
        self.snapshot_mixed += u64::from(mixed);
        let parts = answer.parts.len() as u64;
        let covered = answer.coverage.answered_weight * u64::from(shards);
        let false_weight = covered != answer.coverage.whole_weight * parts;
        let foreign = answer.request != request
            || answer
                .parts
                .iter()
                .any(|part| part.body.request != request || part.body.shard != part.shard);
        self.false_answers += u64::from(false_weight || foreign);
    }
}
