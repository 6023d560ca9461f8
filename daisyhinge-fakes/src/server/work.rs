//! How a fake backend server works on one sub-request.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::prelude::*;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use tokio::time::{Instant, sleep, sleep_until};

use crate::server::answer::{build_answer, build_plain};
use crate::server::fault::DamageKind;
use crate::server::plan::{TakeOutcome, WorkEnd, WorkPlan};
use crate::server::share::{FakeShare, ServerLife};
use crate::server::sub::SubTask;

/// Time that the server asks for after it shed a sub-request, in milliseconds.
const SHED_RETRY_MS: &str = "20";

/// Takes a sub-request and answers it. Does not return if the server crashes meanwhile: the
/// connection is reset.
pub(crate) async fn serve_sub(share: &Arc<FakeShare>, task: SubTask) -> Response<Full<Bytes>> {
    let arrived = Instant::now();
    let link = Duration::from_micros(share.settings.link_us);
    if !link.is_zero() {
        sleep(link).await;
    }
    let life = share.life.lock().clone();
    let outcome = share.core.lock().take(&task, arrived + task.expires);
    let response = match outcome {
        TakeOutcome::Run(plan) => run_apart(share, &life, task, plan, arrived).await,
        TakeOutcome::Crash => {
            crash_server(share);
            pending().await
        }
        TakeOutcome::Collapse => {
            collapse_server(share, &task);
            pending().await
        }
        TakeOutcome::Shed => {
            let mut response = build_plain(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(("daisyhinge-shed", "true")),
            );
            let retry = hyper::header::HeaderValue::from_static(SHED_RETRY_MS);
            response.headers_mut().insert("daisyhinge-retry-ms", retry);
            response
        }
        TakeOutcome::NotHeld => build_plain(StatusCode::CONFLICT, None),
        TakeOutcome::Misdirected => build_plain(StatusCode::NOT_FOUND, None),
        TakeOutcome::Fail => build_plain(StatusCode::INTERNAL_SERVER_ERROR, None),
        TakeOutcome::Cancelled => build_plain(
            StatusCode::GATEWAY_TIMEOUT,
            Some(("daisyhinge-cancelled", "true")),
        ),
    };
    if !link.is_zero() {
        sleep(link).await;
    }
    response
}

/// Works in a task of its own, so that it goes on although the sender's connection is gone.
async fn run_apart(
    share: &Arc<FakeShare>,
    life: &ServerLife,
    task: SubTask,
    plan: WorkPlan,
    arrived: Instant,
) -> Response<Full<Bytes>> {
    let work = run_work(Arc::clone(share), life.clone(), task, plan, arrived);
    match tokio::spawn(work).await {
        Ok(Some(response)) => response,
        _ => pending().await,
    }
}

async fn run_work(
    share: Arc<FakeShare>,
    life: ServerLife,
    task: SubTask,
    plan: WorkPlan,
    arrived: Instant,
) -> Option<Response<Full<Bytes>>> {
    let late = plan.damage == DamageKind::Late;
    let expiry = arrived + task.expires;
    let slots = Arc::clone(&life.slots);
    let work = async {
        let slot = slots.acquire_owned().await;
        sleep(plan.service).await;
        drop(slot);
    };
    let end = tokio::select! {
        biased;
        () = life.end.cancelled() => WorkEnd::Lost,
        () = plan.cancel.cancelled() => WorkEnd::Cancelled,
        () = sleep_until(expiry), if !late => WorkEnd::Expired,
        () = work => WorkEnd::Answered,
    };
    let incarnation = {
        let mut core = share.core.lock();
        core.finish(&task.attempt, end);
        if end == WorkEnd::Answered {
            core.note_service(plan.service);
        } else if end != WorkEnd::Cancelled {
            core.note_sign();
        }
        core.incarnation
    };
    if late {
        sleep_until(expiry + plan.late).await;
    }
    match end {
        WorkEnd::Answered => Some(finish_answer(&share, &task, incarnation, plan.damage)),
        WorkEnd::Cancelled => Some(build_plain(
            StatusCode::GATEWAY_TIMEOUT,
            Some(("daisyhinge-cancelled", "true")),
        )),
        WorkEnd::Expired => Some(build_plain(StatusCode::GATEWAY_TIMEOUT, None)),
        WorkEnd::Lost => None,
    }
}

fn finish_answer(
    share: &FakeShare,
    task: &SubTask,
    incarnation: IncarnationNumber,
    damage: DamageKind,
) -> Response<Full<Bytes>> {
    let former = share.former.lock().replace(task.clone());
    build_answer(task, former.as_ref(), incarnation, damage)
}

/// Resets all connections, loses all work and starts anew after a pause.
pub(crate) fn crash_server(share: &Arc<FakeShare>) {
    let pause = {
        let mut core = share.core.lock();
        core.record.crashes += 1;
        core.note_sign();
        Duration::from_millis(core.faults.restart_ms)
    };
    go_down(share, pause, true);
}

/// Resets all connections and loses all work; the incarnation stays and the server stays cold.
fn collapse_server(share: &Arc<FakeShare>, task: &SubTask) {
    let pause = {
        let mut core = share.core.lock();
        core.finish(&task.attempt, WorkEnd::Lost);
        core.note_sign();
        core.collapse_time()
    };
    go_down(share, pause, false);
}

fn go_down(share: &Arc<FakeShare>, pause: Duration, restart: bool) {
    share.set_down(true);
    share.core.lock().lose_work();
    share.end_life();
    let share = Arc::clone(share);
    tokio::spawn(async move {
        sleep(pause).await;
        if restart {
            share.core.lock().restart();
        }
        share.set_down(false);
        share.announce.notify_one();
    });
}
