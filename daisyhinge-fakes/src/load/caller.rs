//! Simulated callers: they fetch the addresses of entries, cache them, and resend requests that
//! got no response.

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

use crate::http::{BufferedResponse, HttpClient, build_client_from, get_path, send_request};
use crate::load::oracle::check_answer;
use crate::load::outcome::RequestEnd;
use crate::load::scenario::{CallerPlan, ServicePlan};
use crate::load::system::EntryPoint;
use crate::load::wire::{WireAnswer, WireRefusal};

/// Delay before a request without a response is resent.
const RESEND_DELAY: Duration = Duration::from_millis(10);
/// Timeout for an address answer.
const ADDRESS_TIMEOUT: Duration = Duration::from_millis(500);

/// Entry addresses that a caller caches for one service.
#[derive(Clone, Debug)]
struct CachedAddresses {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

/// A simulated caller.
#[derive(Debug)]
pub(crate) struct LoadCaller {
    data_centre: CentreName,
    plan: CallerPlan,
    entries: Arc<[EntryPoint]>,
    http: HttpClient,
    cached: Mutex<HashMap<ServiceName, CachedAddresses>>,
}

#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub request: RequestId,
    pub body: Bytes,
    /// Scheduled send time.
    pub due: Instant,
}

/// Outcome of a caller's request, resends included.
#[derive(Debug)]
pub(crate) struct CallerEnd {
    pub end: RequestEnd,
    pub resends: u32,
    pub earlier_not_run: bool,
    pub exchange: Duration,
}

/// Outcome of sending a request once.
enum AttemptEnd {
    Final(RequestEnd),
    /// The request was refused; [`LoadCaller::find_resend_delay`] decides whether it is resent.
    Refused(WireRefusal),
    Lost,
}

impl LoadCaller {
    /// Creates the caller number `index`. Each caller connects from its own loopback address.
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
            http: build_client_from(Some(loopback_source(index))),
            cached: Mutex::new(HashMap::new()),
        }
    }

    /// Sends a request until it is answered, finally refused, or lost.
    pub async fn send(&self, service: &ServicePlan, request: &CallerRequest) -> CallerEnd {
        let mut result = CallerEnd {
            end: RequestEnd::Lost,
            resends: 0,
            earlier_not_run: true,
            exchange: Duration::ZERO,
        };
        let mut target = self.find_addresses(&service.name).await.first().copied();
        loop {
            let Some(address) = target else { return result };
            let (attempt_end, exchange) = self
                .send_once(service, request, address, result.resends)
                .await;
            result.exchange = exchange;
            let can_resend = result.resends < self.plan.resends_max;
            match attempt_end {
                AttemptEnd::Final(end) => result.end = end,
                AttemptEnd::Refused(refusal) => {
                    result.end = RequestEnd::Refused {
                        code: refusal.code,
                        run: refusal.run,
                    };
                    if let Some(wait) = self.find_resend_delay(&refusal).filter(|_wait| can_resend)
                    {
                        result.earlier_not_run &= refusal.run == RunState::NotRun;
                        sleep(wait).await;
                        target = refusal.addresses.first().copied();
                        if target.is_none() {
                            target = self.next_address(&service.name, address).await;
                        }
                        result.resends += 1;
                        continue;
                    }
                }
                AttemptEnd::Lost if can_resend => {
                    result.earlier_not_run = false;
                    sleep(RESEND_DELAY).await;
                    target = self.next_address(&service.name, address).await;
                    result.resends += 1;
                    continue;
                }
                AttemptEnd::Lost => result.end = RequestEnd::Lost,
            }
            return result;
        }
    }

    /// Sends a request once, to a chosen entry.
    pub async fn send_to(
        &self,
        service: &ServicePlan,
        request: &CallerRequest,
        address: SocketAddr,
        resends: u32,
    ) -> RequestEnd {
        match self.send_once(service, request, address, resends).await.0 {
            AttemptEnd::Final(end) => end,
            AttemptEnd::Refused(refusal) => RequestEnd::Refused {
                code: refusal.code,
                run: refusal.run,
            },
            AttemptEnd::Lost => RequestEnd::Lost,
        }
    }

    /// Delay after which a refused request is resent; `None` if it is not resent.
    fn find_resend_delay(&self, refusal: &WireRefusal) -> Option<Duration> {
        let retry_elsewhere =
            matches!(refusal.code, ResultCode::NoLease | ResultCode::ShuttingDown);
        let wait = Duration::from_millis(refusal.retry_ms?);
        (retry_elsewhere || self.plan.resend_refused).then_some(wait)
    }

    async fn send_once(
        &self,
        service: &ServicePlan,
        request: &CallerRequest,
        address: SocketAddr,
        resends: u32,
    ) -> (AttemptEnd, Duration) {
        let link = self.link_latency(address);
        sleep(link).await;
        let age = request.due.elapsed();
        let Some(message) = build_query(service, request, address, resends, age) else {
            return (AttemptEnd::Final(RequestEnd::Garbled), Duration::ZERO);
        };
        let timeout = Duration::from_millis(service.deadline_ms + self.plan.patience_ms);
        let started = Instant::now();
        let response = send_request(&self.http, message, timeout).await;
        let exchange = started.elapsed();
        sleep(link).await;
        let end = match response {
            Ok(response) => read_response(&response, service, request),
            Err(_lost) => AttemptEnd::Lost,
        };
        (end, exchange)
    }

    fn link_latency(&self, address: SocketAddr) -> Duration {
        let local = self
            .entries
            .iter()
            .any(|entry| entry.address == address && entry.data_centre == self.data_centre);
        Duration::from_micros(if local {
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
        if let Some(cached) = self.cached.lock().get_mut(service) {
            cached.addresses.retain(|address| *address != failed);
        }
    }

    async fn find_addresses(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let cached = self.cached.lock().get(service).cloned();
        if let Some(cached) =
            cached.filter(|cached| cached.until > Instant::now() && !cached.addresses.is_empty())
        {
            return cached.addresses;
        }
        self.fetch_addresses(service).await
    }

    /// Fetches addresses from the entries of the caller's data centre first, then from the others.
    async fn fetch_addresses(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let (local, remote): (Vec<_>, Vec<_>) = self
            .entries
            .iter()
            .partition(|entry| entry.data_centre == self.data_centre);
        let path = format!("/v1/addresses?service={service}");
        for entry in local.iter().chain(&remote) {
            let link = self.link_latency(entry.address);
            sleep(link * 2).await;
            if let Ok(response) = get_path(&self.http, entry.address, &path, ADDRESS_TIMEOUT).await
                && let Some(answer) = response.read_json::<AddressAnswer>()
                && !answer.addresses.is_empty()
            {
                let until = Instant::now() + Duration::from_millis(answer.keep_ms);
                let cached = CachedAddresses {
                    addresses: answer.addresses.clone(),
                    until,
                };
                self.cached.lock().insert(service.clone(), cached);
                return answer.addresses;
            }
        }
        Vec::new()
    }
}

/// Returns the loopback address that the caller number `index` connects from.
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
    response: &BufferedResponse,
    service: &ServicePlan,
    request: &CallerRequest,
) -> AttemptEnd {
    if response.status == 200 {
        return AttemptEnd::Final(response.read_json::<WireAnswer>().map_or(
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
        Some(refusal) => AttemptEnd::Refused(refusal),
        None => AttemptEnd::Final(RequestEnd::Garbled),
    }
}
