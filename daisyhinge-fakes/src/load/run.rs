//! Runs a scenario: starts the fake servers, sends the requests, injects the faults and collects
//! the result.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::prelude::*;
use indicatif::{ProgressBar, ProgressStyle};
use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::load::arrival::{LoadArrival, plan_arrivals};
use crate::load::caller::{CallerEnd, CallerRequest, LoadCaller};
use crate::load::collect::build_result;
use crate::load::fleet::FakeFleet;
use crate::load::naive::NaiveTier;
use crate::load::outcome::{RequestEnd, RequestOutcome};
use crate::load::result::{FaultRecord, LoadResult};
use crate::load::scenario::{LoadScenario, ServicePlan};
use crate::load::schedule::run_faults;
use crate::load::system::SystemHandle;

/// Timeout for each service to answer completely before the run starts.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks of whether a service answers completely.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum duration of a run that shows a progress bar.
const PROGRESS_MIN_DURATION: Duration = Duration::from_secs(10);
/// Update interval of the progress bar.
const PROGRESS_STEP: Duration = Duration::from_millis(250);

/// System to which the load is applied.
#[derive(Debug)]
pub enum LoadTarget {
    /// A running system.
    System(SystemHandle),
    /// The baseline: a uniformly random replica of each shard, without hedges or limits.
    Naive,
}

/// State shared by the tasks of a run.
#[derive(Debug)]
pub(crate) struct LoadRun {
    pub scenario: Arc<LoadScenario>,
    pub fleet: FakeFleet,
    pub system: Option<SystemHandle>,
    pub callers: Vec<LoadCaller>,
    pub naive: Option<NaiveTier>,
    pub start: Mutex<Instant>,
    pub outcomes: Mutex<Vec<RequestOutcome>>,
    pub fault_records: Mutex<Vec<FaultRecord>>,
    max_send_delay: Mutex<Duration>,
}

/// Runs `scenario` against `target` and returns its result.
///
/// # Errors
///
/// `BindFailed` if a fake server cannot listen, `NoReplica` if a service does not answer completely
/// before the run starts.
pub async fn run(scenario: &LoadScenario, target: LoadTarget) -> Result<LoadResult, ResultCode> {
    let run = Arc::new(LoadRun::prepare(scenario, target).await?);
    for index in 0..scenario.services.len() {
        run.wait_ready(index).await?;
    }
    *run.start.lock() = Instant::now();
    let faults = tokio::spawn(run_faults(Arc::clone(&run)));
    let progress = tokio::spawn(show_progress(Duration::from_millis(scenario.duration_ms)));
    send_all(&run).await;
    drop(faults.await);
    drop(progress.await);
    Ok(build_result(&run))
}

impl LoadRun {
    async fn prepare(scenario: &LoadScenario, target: LoadTarget) -> Result<Self, ResultCode> {
        let (system, naive) = match target {
            LoadTarget::System(system) => (Some(system), None),
            LoadTarget::Naive => (None, Some(NaiveTier::new(scenario.seed, &scenario.callers))),
        };
        let entries = system
            .as_ref()
            .map(|system| system.entries.clone())
            .unwrap_or_default();
        let fleet = FakeFleet::spawn(scenario, &entries).await?;
        let entries: Arc<[_]> = entries.into();
        let callers = scenario
            .data_centres
            .iter()
            .flat_map(|centre| (0..scenario.callers.per_centre).map(|_index| &centre.name))
            .enumerate()
            .map(|(index, centre)| LoadCaller::new(index, centre, &scenario.callers, &entries))
            .collect();
        Ok(Self {
            scenario: Arc::new(scenario.clone()),
            fleet,
            system,
            callers,
            naive,
            start: Mutex::new(Instant::now()),
            outcomes: Mutex::new(Vec::new()),
            fault_records: Mutex::new(Vec::new()),
            max_send_delay: Mutex::new(Duration::ZERO),
        })
    }

    /// Time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.start.lock().elapsed()
    }

    /// Maximum delay of the load generator itself in sending a request.
    pub fn max_send_delay(&self) -> Duration {
        *self.max_send_delay.lock()
    }

    /// Waits until a service answers completely to every caller.
    async fn wait_ready(&self, index: usize) -> Result<(), ResultCode> {
        let service = &self.scenario.services[index];
        let started = Instant::now();
        let mut caller = 0;
        let mut attempt = 0;
        while caller < self.callers.len() {
            let request = RequestId::from(format!("ready-{index}-{caller}-{attempt}"));
            let request = build_request(request, service, Instant::now());
            attempt += 1;
            let end = self.dispatch(index, caller, &request).await.end;
            if matches!(&end, RequestEnd::Answered(check) if check.coverage >= 1.0) {
                caller += 1;
                continue;
            }
            if started.elapsed() > READY_TIMEOUT {
                eprintln!("event=not-ready service={} last=\"{end:?}\"", service.name);
                return Err(ResultCode::NoReplica);
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn dispatch(&self, service: usize, caller: usize, request: &CallerRequest) -> CallerEnd {
        let plan = &self.scenario.services[service];
        let Some(naive) = &self.naive else {
            return self.callers[caller].send(plan, request).await;
        };
        let servers = self.fleet.service_servers(service);
        let started = Instant::now();
        let end = naive.send(plan, &servers, request).await;
        let links = Duration::from_micros(self.scenario.callers.near_us * 2);
        let exchange = started.elapsed().saturating_sub(links);
        CallerEnd {
            end,
            resends: 0,
            earlier_not_run: true,
            exchange,
        }
    }

    async fn send_one(&self, arrival: LoadArrival, due: Instant) {
        let service = &self.scenario.services[arrival.service];
        let request = RequestId::from(format!("load-{}", arrival.number));
        let request = build_request(request, service, due);
        let end = self
            .dispatch(arrival.service, arrival.caller, &request)
            .await;
        self.outcomes.lock().push(RequestOutcome {
            service: arrival.service,
            request: request.request,
            at: arrival.at,
            latency: due.elapsed(),
            exchange: end.exchange,
            resends: end.resends,
            earlier_not_run: end.earlier_not_run,
            end: end.end,
        });
    }
}

/// Builds a request whose body is padded to the length that the scenario states.
pub(crate) fn build_request(
    request: RequestId,
    service: &ServicePlan,
    due: Instant,
) -> CallerRequest {
    let mut body = format!("{{\"query\":\"{request}\",\"pad\":\"");
    let pad = service.body_bytes.saturating_sub(body.len() + 2);
    body.extend(std::iter::repeat_n('x', pad));
    body.push_str("\"}");
    CallerRequest {
        request,
        body: Bytes::from(body),
        due,
    }
}

/// Sends each request at its scheduled time, without waiting for earlier ones (open loop).
async fn send_all(run: &Arc<LoadRun>) {
    let start = *run.start.lock();
    let mut requests = JoinSet::new();
    for arrival in plan_arrivals(&run.scenario) {
        let due = start + arrival.at;
        sleep_until(due).await;
        let delay = due.elapsed();
        let maximum = *run.max_send_delay.lock();
        *run.max_send_delay.lock() = maximum.max(delay);
        let run = Arc::clone(run);
        requests.spawn(async move { run.send_one(arrival, due).await });
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
}

async fn show_progress(duration: Duration) {
    if duration < PROGRESS_MIN_DURATION {
        return;
    }
    let steps = u64::try_from(duration.as_millis() / PROGRESS_STEP.as_millis()).unwrap_or(0);
    let bar = ProgressBar::new(steps);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {elapsed} of run, {eta} left") {
        bar.set_style(style);
    }
    for _step in 0..steps {
        sleep(PROGRESS_STEP).await;
        bar.inc(1);
    }
    bar.finish_and_clear();
}
