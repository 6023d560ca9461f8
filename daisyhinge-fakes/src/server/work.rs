//! Processing of one sub-request by a fake backend server.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::prelude::*;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use tokio::time::{Instant, sleep, sleep_until};

use crate::server::answer::{build_answer, build_empty_response};
use crate::server::fault::DamageKind;
use crate::server::plan::{AdmissionOutcome, WorkEnd, WorkPlan};
use crate::server::shared::{ServerRun, ServerShared};
use crate::server::task::SubTask;

/// Retry delay that a shed response requests, in milliseconds.
const SHED_RETRY_MS: &str = "20";

/// Handles a sub-request and returns the response. Never completes if the server crashes meanwhile;
/// the connection is reset instead.
pub(crate) async fn serve_sub_request(
    shared: &Arc<ServerShared>,
    task: SubTask,
) -> Response<Full<Bytes>> {
    let arrived = Instant::now();
    let link = Duration::from_micros(shared.settings.link_us);
    if !link.is_zero() {
        sleep(link).await;
    }
    let run = shared.run.lock().clone();
    let outcome = shared.core.lock().admit(&task, arrived + task.expires);
    let response = match outcome {
        AdmissionOutcome::Run(plan) => run_detached(shared, &run, task, plan, arrived).await,
        AdmissionOutcome::Crash => {
            crash_server(shared);
            pending().await
        }
        AdmissionOutcome::Collapse => {
            collapse_server(shared, &task);
            pending().await
        }
        AdmissionOutcome::Shed => {
            let mut response = build_empty_response(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(("daisyhinge-shed", "true")),
            );
            let retry = hyper::header::HeaderValue::from_static(SHED_RETRY_MS);
            response.headers_mut().insert("daisyhinge-retry-ms", retry);
            response
        }
        AdmissionOutcome::NotHeld => build_empty_response(StatusCode::CONFLICT, None),
        AdmissionOutcome::Misdirected => build_empty_response(StatusCode::NOT_FOUND, None),
        AdmissionOutcome::Fail => build_empty_response(StatusCode::INTERNAL_SERVER_ERROR, None),
        AdmissionOutcome::Cancelled => build_empty_response(
            StatusCode::GATEWAY_TIMEOUT,
            Some(("daisyhinge-cancelled", "true")),
        ),
    };
    if !link.is_zero() {
        sleep(link).await;
    }
    response
}

/// Runs the work in a separate task, so that it continues after the sender's connection is closed.
async fn run_detached(
    shared: &Arc<ServerShared>,
    run: &ServerRun,
    task: SubTask,
    plan: WorkPlan,
    arrived: Instant,
) -> Response<Full<Bytes>> {
    let work = run_work(Arc::clone(shared), run.clone(), task, plan, arrived);
    match tokio::spawn(work).await {
        Ok(Some(response)) => response,
        _ => pending().await,
    }
}

async fn run_work(
    shared: Arc<ServerShared>,
    run: ServerRun,
    task: SubTask,
    plan: WorkPlan,
    arrived: Instant,
) -> Option<Response<Full<Bytes>>> {
    let late = plan.damage == DamageKind::Late;
    let expiry = arrived + task.expires;
    let slots = Arc::clone(&run.slots);
    let work = async {
        let slot = slots.acquire_owned().await;
        sleep(plan.service).await;
        drop(slot);
    };
    let end = tokio::select! {
        biased;
        () = run.end.cancelled() => WorkEnd::Lost,
        () = plan.cancel.cancelled() => WorkEnd::Cancelled,
        () = sleep_until(expiry), if !late => WorkEnd::Expired,
        () = work => WorkEnd::Answered,
    };
    let incarnation = {
        let mut core = shared.core.lock();
        core.finish(&task.attempt, end);
        if end == WorkEnd::Answered {
            core.record_service_time(plan.service);
        } else if end != WorkEnd::Cancelled {
            core.record_sign();
        }
        core.incarnation
    };
    if late {
        sleep_until(expiry + plan.late).await;
    }
    match end {
        WorkEnd::Answered => Some(finish_answer(&shared, &task, incarnation, plan.damage)),
        WorkEnd::Cancelled => Some(build_empty_response(
            StatusCode::GATEWAY_TIMEOUT,
            Some(("daisyhinge-cancelled", "true")),
        )),
        WorkEnd::Expired => Some(build_empty_response(StatusCode::GATEWAY_TIMEOUT, None)),
        WorkEnd::Lost => None,
    }
}

fn finish_answer(
    shared: &ServerShared,
    task: &SubTask,
    incarnation: IncarnationNumber,
    damage: DamageKind,
) -> Response<Full<Bytes>> {
    let previous = shared.previous.lock().replace(task.clone());
    build_answer(task, previous.as_ref(), incarnation, damage)
}

/// Resets all connections, discards all work and restarts the server after a delay.
pub(crate) fn crash_server(shared: &Arc<ServerShared>) {
    let delay = {
        let mut core = shared.core.lock();
        core.record.crashes += 1;
        core.record_sign();
        Duration::from_millis(core.faults.restart_ms)
    };
    take_down(shared, delay, true);
}

/// Resets all connections and discards all work for the duration of a collapse; the incarnation is
/// unchanged and the server stays cold.
fn collapse_server(shared: &Arc<ServerShared>, task: &SubTask) {
    let delay = {
        let mut core = shared.core.lock();
        core.finish(&task.attempt, WorkEnd::Lost);
        core.record_sign();
        core.collapse_duration()
    };
    take_down(shared, delay, false);
}

fn take_down(shared: &Arc<ServerShared>, delay: Duration, restart: bool) {
    shared.set_down(true);
    shared.core.lock().discard_work();
    shared.end_run();
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        sleep(delay).await;
        if restart {
            shared.core.lock().restart();
        }
        shared.set_down(false);
        shared.announce.notify_one();
    });
}
