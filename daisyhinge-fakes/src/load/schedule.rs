//! Injection of a scenario's faults at their scheduled times.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::clock::duration_to_millis;
use daisyhinge::vocabulary::environment::CentreState;
use tokio::time::{Instant, sleep, sleep_until};

use crate::load::caller::CallerRequest;
use crate::load::fault::{FaultKind, ScheduledFault};
use crate::load::outcome::RequestEnd;
use crate::load::result::FaultRecord;
use crate::load::run::LoadRun;
use crate::server::FaultSettings;

/// Delay after each attempt of a request that crashes servers.
const POISON_INTERVAL: Duration = Duration::from_millis(400);

/// Injects all faults in order of time.
pub(crate) async fn run_faults(run: Arc<LoadRun>) {
    let start = *run.start.lock();
    let mut faults = run.scenario.faults.clone();
    faults.sort_by_key(|fault| fault.at_ms);
    for fault in faults {
        sleep_until(start + Duration::from_millis(fault.at_ms)).await;
        let at_ms = duration_to_millis(run.elapsed());
        let outcome = apply(&run, &fault).await;
        let fault_json = serde_json::to_string(&fault.fault).unwrap_or_default();
        let (code, remark) = match outcome {
            Ok(remark) => (ResultCode::Ok, remark),
            Err(code) => (code, code.to_string()),
        };
        run.fault_records.lock().push(FaultRecord {
            at_ms,
            done_ms: duration_to_millis(run.elapsed()),
            fault: fault_json,
            code: code.number(),
            remark,
        });
    }
}

async fn apply(run: &Arc<LoadRun>, fault: &ScheduledFault) -> Result<String, ResultCode> {
    match &fault.fault {
        FaultKind::TakeOut { data_centre } => {
            change_centre(run, data_centre, CentreState::Out).await?;
            run.fleet.mark_centre(data_centre);
        }
        FaultKind::ReturnCentre { data_centre } => {
            record_work_while_out(run, data_centre);
            change_centre(run, data_centre, CentreState::In).await?;
        }
        FaultKind::KillEntry { vm } => end_entry(run, vm, true).await?,
        FaultKind::StopEntry { vm } => end_entry(run, vm, false).await?,
        FaultKind::Poison {
            service,
            count,
            sends,
        } => {
            return send_poison(run, service, *count, *sends).await;
        }
        other => run.fleet.apply(&run.scenario, &fault.servers, other).await,
    }
    Ok(String::new())
}

/// Records the sub-requests that the servers of a data centre received while it was out of service.
fn record_work_while_out(run: &LoadRun, centre: &CentreName) {
    let records = run
        .fleet
        .servers
        .iter()
        .filter(|server| server.data_centre == *centre)
        .map(|server| server.server.record());
    let (mut count, mut last) = (0, 0);
    for record in records {
        count += record.after_mark;
        last = last.max(record.last_after_mark_us);
    }
    run.fault_records.lock().push(FaultRecord {
        at_ms: duration_to_millis(run.elapsed()),
        done_ms: duration_to_millis(run.elapsed()),
        fault: format!("work-while-out {centre}"),
        code: ResultCode::Ok.number(),
        remark: format!("sub_requests={count} last_after_acceptance_us={last}"),
    });
}

async fn change_centre(
    run: &LoadRun,
    centre: &CentreName,
    state: CentreState,
) -> Result<(), ResultCode> {
    let hook = run
        .system
        .as_ref()
        .and_then(|system| system.change_centre.as_ref());
    hook.ok_or(ResultCode::UnknownPath)?(centre.clone(), state).await
}

async fn end_entry(run: &LoadRun, vm: &VmName, immediate: bool) -> Result<(), ResultCode> {
    let hook = run
        .system
        .as_ref()
        .and_then(|system| system.end_entry.as_ref());
    hook.ok_or(ResultCode::UnknownPath)?(vm.clone(), immediate).await
}

/// Sends requests that crash servers, each through the entries in turn.
async fn send_poison(
    run: &LoadRun,
    service: &ServiceName,
    count: u32,
    sends: u32,
) -> Result<String, ResultCode> {
    let plan = run
        .scenario
        .find_service(service)
        .ok_or(ResultCode::UnknownService)?;
    let system = run.system.as_ref().ok_or(ResultCode::UnknownPath)?;
    let marker = FaultSettings::default().crash_marker;
    let mut outcomes = Vec::new();
    for number in 0..count {
        let request = RequestId::from(format!("poison-{number}"));
        let body = Bytes::from(format!("{{\"query\":\"{marker} {number}\"}}"));
        let request = CallerRequest {
            request,
            body,
            due: Instant::now(),
        };
        for (attempt, entry) in (0..sends).zip(system.entries.iter().cycle()) {
            let started = Instant::now();
            let end = run.callers[0]
                .send_to(plan, &request, entry.address, attempt)
                .await;
            outcomes.push(format!(
                "{}@{}ms",
                format_end(&end),
                started.elapsed().as_millis()
            ));
            sleep(POISON_INTERVAL).await;
        }
    }
    Ok(outcomes.join(" "))
}

fn format_end(end: &RequestEnd) -> String {
    match end {
        RequestEnd::Answered(check) => format!("answered:{:.2}", check.coverage),
        RequestEnd::Refused { code, .. } => format!("refused:{}", code.number()),
        RequestEnd::Lost => String::from("lost"),
        RequestEnd::Garbled => String::from("garbled"),
    }
}
