//! Callers: they ask which entries to use, keep the answer, and resend after a loss.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::answer::AddressAnswer;
use http_body_util::Full;
use hyper::Request;
use parking_lot::Mutex;
use tokio::time::{Instant, sleep};

use crate::http::{HttpCaller, WholeResponse, build_caller_from, get_path, send_request};
use crate::load::oracle::check_answer;
use crate::load::outcome::RequestEnd;
use crate::load::scenario::{CallerPlan, ServicePlan};
use crate::load::system::EntryPoint;
use crate::load::wire::{WireAnswer, WireRefusal};

/// Wait before a request is sent again after a loss.
const RESEND_PAUSE: Duration = Duration::from_millis(10);
/// Longest wait for an address answer.
const ADDRESS_LIMIT: Duration = Duration::from_millis(500);

/// Addresses that a caller keeps for one service.
#[derive(Clone, Debug)]
struct KeptAddresses {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

/// One caller.
#[derive(Debug)]
pub(crate) struct LoadCaller {
    data_centre: CentreName,
    plan: CallerPlan,
    entries: Arc<[EntryPoint]>,
    http: HttpCaller,
    kept: Mutex<HashMap<ServiceName, KeptAddresses>>,
}

/// A request that a caller sends.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub request: RequestId,
    pub body: Bytes,
    /// When it was due.
    pub due: Instant,
}

/// How a caller's request ended, resends included.
#[derive(Debug)]
pub(crate) struct CallerEnd {
    pub end: RequestEnd,
    pub resends: u32,
    pub clean: bool,
    pub exchange: Duration,
}

/// One sending of a request.
enum TryEnd {
    Final(RequestEnd),
    /// Refused, and sent again once the time to come back has passed.
    Refused(WireRefusal),
    Lost,
}

impl LoadCaller {
    /// The caller with that index; each has a loopback address of its own.
    pub fn new(
        index: usize,
        data_centre: &CentreName,
        plan: &CallerPlan,
        entries: &Arc<[EntryPoint]>,
    ) -> Self {
        Self {
            data_centre: data_centre.clone(),
            plan: plan.clone(),
            entries: Arc::clone(entries),
            http: build_caller_from(Some(loopback_source(index))),
            kept: Mutex::new(HashMap::new()),
        }
    }

    /// Sends a request until it is answered, refused for good, or lost.
    pub async fn send(&self, service: &ServicePlan, request: &CallerRequest) -> CallerEnd {
        let mut sent = CallerEnd {
            end: RequestEnd::Lost,
            resends: 0,
            clean: true,
            exchange: Duration::ZERO,
        };
        let mut target = self.find_addresses(&service.name).await.first().copied();
        loop {
            let Some(address) = target else { return sent };
            let (tried, exchange) = self.try_once(service, request, address, sent.resends).await;
            sent.exchange = exchange;
            let more = sent.resends < self.plan.resends_max;
            match tried {
                TryEnd::Final(end) => sent.end = end,
                TryEnd::Refused(refusal) => {
                    sent.end = RequestEnd::Refused {
                        code: refusal.code,
                        run: refusal.run,
                    };
                    if let Some(wait) = self.find_return(&refusal).filter(|_wait| more) {
                        sent.clean &= refusal.run == RunState::NotRun;
                        sleep(wait).await;
                        target = refusal.addresses.first().copied();
                        if target.is_none() {
                            target = self.next_address(&service.name, address).await;
                        }
                        sent.resends += 1;
                        continue;
                    }
                }
                TryEnd::Lost if more => {
                    sent.clean = false;
                    sleep(RESEND_PAUSE).await;
                    target = self.next_address(&service.name, address).await;
                    sent.resends += 1;
                    continue;
                }
                TryEnd::Lost => sent.end = RequestEnd::Lost,
            }
            return sent;
        }
    }

    /// Sends a request once to `address`, for a request that is sent through given entries.
    pub async fn send_to(
        &self,
        service: &ServicePlan,
        request: &CallerRequest,
        address: SocketAddr,
        resends: u32,
    ) -> RequestEnd {
        match self.try_once(service, request, address, resends).await.0 {
            TryEnd::Final(end) => end,
            TryEnd::Refused(refusal) => RequestEnd::Refused {
                code: refusal.code,
                run: refusal.run,
            },
            TryEnd::Lost => RequestEnd::Lost,
        }
    }

    /// Time after which a refused request is sent again, if it is.
    fn find_return(&self, refusal: &WireRefusal) -> Option<Duration> {
        let elsewhere = matches!(refusal.code, ResultCode::NoLease | ResultCode::ShuttingDown);
        let wait = Duration::from_millis(refusal.retry_ms?);
        (elsewhere || self.plan.resend_refused).then_some(wait)
    }

    async fn try_once(
        &self,
        service: &ServicePlan,
        request: &CallerRequest,
        address: SocketAddr,
        resends: u32,
    ) -> (TryEnd, Duration) {
        let link = self.find_link(address);
        sleep(link).await;
        let age = request.due.elapsed();
        let Some(message) = build_query(service, request, address, resends, age) else {
            return (TryEnd::Final(RequestEnd::Garbled), Duration::ZERO);
        };
        let limit = Duration::from_millis(service.deadline_ms + self.plan.patience_ms);
        let started = Instant::now();
        let response = send_request(&self.http, message, limit).await;
        let exchange = started.elapsed();
        sleep(link).await;
        let end = match response {
            Ok(response) => read_response(&response, service, request),
            Err(_lost) => TryEnd::Lost,
        };
        (end, exchange)
    }

    fn find_link(&self, address: SocketAddr) -> Duration {
        let near = self
            .entries
            .iter()
            .any(|entry| entry.address == address && entry.data_centre == self.data_centre);
        Duration::from_micros(if near {
            self.plan.near_us
        } else {
            self.plan.far_us
        })
    }

    async fn next_address(&self, service: &ServiceName, failed: SocketAddr) -> Option<SocketAddr> {
        self.drop_address(service, failed);
        self.find_addresses(service).await.first().copied()
    }

    fn drop_address(&self, service: &ServiceName, failed: SocketAddr) {
        if let Some(kept) = self.kept.lock().get_mut(service) {
            kept.addresses.retain(|address| *address != failed);
        }
    }

    async fn find_addresses(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let kept = self.kept.lock().get(service).cloned();
        if let Some(kept) =
            kept.filter(|kept| kept.until > Instant::now() && !kept.addresses.is_empty())
        {
            return kept.addresses;
        }
        self.ask_addresses(service).await
    }

    /// Asks the entries of its own data centre first, then the others.
    async fn ask_addresses(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let (near, far): (Vec<_>, Vec<_>) = self
            .entries
            .iter()
            .partition(|entry| entry.data_centre == self.data_centre);
        let path = format!("/v1/addresses?service={service}");
        for entry in near.iter().chain(&far) {
            let link = self.find_link(entry.address);
            sleep(link * 2).await;
            if let Ok(response) = get_path(&self.http, entry.address, &path, ADDRESS_LIMIT).await
                && let Some(answer) = response.read_json::<AddressAnswer>()
                && !answer.addresses.is_empty()
            {
                let until = Instant::now() + Duration::from_millis(answer.keep_ms);
                let kept = KeptAddresses {
                    addresses: answer.addresses.clone(),
                    until,
                };
                self.kept.lock().insert(service.clone(), kept);
                return answer.addresses;
            }
        }
        Vec::new()
    }
}

/// A loopback address for the caller with that index.
fn loopback_source(index: usize) -> IpAddr {
    let [.., high, low] = (index + 1).to_be_bytes();
    IpAddr::from([127, 1, high, low])
}

fn build_query(
    service: &ServicePlan,
    request: &CallerRequest,
    address: SocketAddr,
    resends: u32,
    age: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::post(format!(
        "http://{address}/v1/services/{}/query",
        service.name
    ))
    .header("content-type", "application/json")
    .header("daisyhinge-request", request.request.as_str())
    .header("daisyhinge-deadline-ms", service.deadline_ms);
    if resends > 0 {
        builder = builder.header("daisyhinge-age-ms", age.as_millis().to_string());
    }
    builder.body(Full::new(request.body.clone())).ok()
}

fn read_response(
    response: &WholeResponse,
    service: &ServicePlan,
    request: &CallerRequest,
) -> TryEnd {
    if response.status == 200 {
        return TryEnd::Final(response.read_json::<WireAnswer>().map_or(
            RequestEnd::Garbled,
            |answer| {
                let shards = service.shards;
                RequestEnd::Answered(check_answer(
                    &answer,
                    &request.request,
                    &request.body,
                    shards,
                ))
            },
        ));
    }
    match response.read_json::<WireRefusal>() {
        Some(refusal) => TryEnd::Refused(refusal),
        None => TryEnd::Final(RequestEnd::Garbled),
    }
}
