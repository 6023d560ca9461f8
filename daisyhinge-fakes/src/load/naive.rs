//! The baseline: each request is scattered directly to a uniformly random replica of each shard,
//! without hedges, retries or limits.

use std::time::Duration;

use bytes::Bytes;
use daisyhinge::prelude::*;
use futures::future::join_all;
use http_body_util::Full;
use hyper::Request;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};

use crate::http::{HttpClient, build_client, header_text, send_request};
use crate::load::caller::CallerRequest;
use crate::load::fleet::FleetServer;
use crate::load::outcome::{AnswerCheck, RequestEnd};
use crate::load::scenario::{CallerPlan, ServicePlan};
use crate::server::EchoPayload;
use crate::server::answer::format_crc;

/// Scatters the requests of all callers in the baseline.
#[derive(Debug)]
pub(crate) struct NaiveTier {
    http: HttpClient,
    plan: CallerPlan,
    random: Mutex<ChaCha8Rng>,
    origin: u64,
}

impl NaiveTier {
    pub fn new(seed: u64, plan: &CallerPlan) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let origin = random.random();
        Self {
            http: build_client(),
            plan: plan.clone(),
            random: Mutex::new(random),
            origin,
        }
    }

    /// Scatters one request. `servers` contains all servers of the service.
    pub async fn send(
        &self,
        service: &ServicePlan,
        servers: &[&FleetServer],
        request: &CallerRequest,
    ) -> RequestEnd {
        sleep(Duration::from_micros(self.plan.near_us)).await;
        let deadline = Duration::from_millis(service.deadline_ms);
        let started = Instant::now();
        let parts = (0..service.shards).map(|shard| {
            let server = self.draw_server(servers, shard);
            async move {
                let remaining = deadline.saturating_sub(started.elapsed());
                match server {
                    Some(server) => {
                        self.query_server(server, service, shard, request, remaining)
                            .await
                    }
                    None => false,
                }
            }
        });
        let answered = join_all(parts)
            .await
            .into_iter()
            .filter(|part| *part)
            .count();
        sleep(Duration::from_micros(self.plan.near_us)).await;
        if answered == 0 {
            let code = ResultCode::CoverageTooLow;
            return RequestEnd::Refused {
                code,
                run: RunState::Unknown,
            };
        }
        RequestEnd::Answered(AnswerCheck {
            coverage: answered as f64 / f64::from(service.shards),
            ..AnswerCheck::default()
        })
    }

    fn draw_server<'a>(&self, servers: &[&'a FleetServer], shard: u32) -> Option<&'a FleetServer> {
        let replicas = servers
            .iter()
            .filter(|server| server.shard == shard)
            .collect::<Vec<_>>();
        if replicas.is_empty() {
            return None;
        }
        let index = self.random.lock().random_range(0..replicas.len());
        Some(replicas[index])
    }

    async fn query_server(
        &self,
        server: &FleetServer,
        service: &ServicePlan,
        shard: u32,
        request: &CallerRequest,
        remaining: Duration,
    ) -> bool {
        let sequence = self.random.lock().random::<u64>();
        let attempt = AttemptId {
            origin: self.origin,
            sequence,
        };
        let remaining_us = remaining.as_micros().to_string();
        let message = Request::post(format!("http://{}/v1/sub-request", server.server.address()))
            .header("daisyhinge-request", request.request.as_str())
            .header("daisyhinge-attempt", attempt.to_string())
            .header("daisyhinge-service", service.name.as_str())
            .header("daisyhinge-replica", server.server.replica().as_str())
            .header("daisyhinge-shard", shard)
            .header("daisyhinge-snapshot", "1")
            .header("daisyhinge-deadline-us", &remaining_us)
            .header("daisyhinge-expires-us", &remaining_us)
            .header("daisyhinge-repeatable", service.repeatable.to_string())
            .body(Full::new(request.body.clone()));
        let Ok(message) = message else { return false };
        match send_request(&self.http, message, remaining).await {
            Ok(response) => {
                let echoed_request = header_text(&response.headers, "daisyhinge-request");
                response.status == 200
                    && echoed_request == Some(request.request.as_str())
                    && echoes_body(&response.body, &request.body)
            }
            Err(_lost) => false,
        }
    }
}

fn echoes_body(answer: &Bytes, body: &Bytes) -> bool {
    serde_json::from_slice::<EchoPayload>(answer)
        .is_ok_and(|payload| payload.echo_crc == format_crc(body))
}
