//! Builds the result of a run from the outcomes and the servers' records.

use daisyhinge::vocabulary::clock::duration_to_micros;

use crate::load::events::list_events;
use crate::load::fleet::FleetServer;
use crate::load::oracle::RunOracle;
use crate::load::result::{LoadResult, ServerResult};
use crate::load::run::LoadRun;
use crate::load::stats::summarize_service;
use crate::server::FakeRecord;

pub(crate) fn build_result(run: &LoadRun) -> LoadResult {
    let scenario = &run.scenario;
    let records = run
        .fleet
        .servers
        .iter()
        .map(|server| server.server.record())
        .collect::<Vec<_>>();
    let outcomes = run.outcomes.lock();
    let services = (0..scenario.services.len())
        .map(|service| {
            let service_records = run
                .fleet
                .servers
                .iter()
                .zip(&records)
                .filter(|(server, _record)| server.service == service)
                .map(|(_server, record)| record)
                .collect::<Vec<_>>();
            summarize_service(scenario, service, &outcomes, &service_records)
        })
        .collect();
    LoadResult {
        scenario: scenario.name.clone(),
        system: String::from(if run.naive.is_some() {
            "naive"
        } else {
            "daisyhinge"
        }),
        label: String::new(),
        seed: scenario.seed,
        duration_ms: scenario.duration_ms,
        tool_late_us: duration_to_micros(run.max_send_delay()),
        services,
        servers: run
            .fleet
            .servers
            .iter()
            .zip(&records)
            .map(|(server, record)| build_server_result(server, record))
            .collect(),
        faults: run.fault_records.lock().clone(),
        events: list_events(run, &outcomes),
        marked_servers_max: RunOracle::from_records(records.iter()).max_marked_servers(),
    }
}

fn build_server_result(server: &FleetServer, record: &FakeRecord) -> ServerResult {
    let settings = server.server.settings();
    ServerResult {
        replica: settings.replica.to_string(),
        data_centre: settings.data_centre.to_string(),
        slots: settings.slots,
        connections: settings.connections,
        received: record.received,
        cancelled: record.cancelled,
        shed: record.shed,
        peak_in_hand: record.peak_in_hand,
        slots_exceeded: record.slots_exceeded,
        peak_connections: record.peak_connections,
        connections_exceeded: record.connections_exceeded,
        collapses: record.collapses,
        collapses_after_sign: record.collapses_after_sign,
        cold_exceeded: record.cold_exceeded,
        cold_exceeded_after_sign: record.cold_exceeded_after_sign,
        warm_up_ms: record.warm_at_us.saturating_sub(record.cold_at_us) / 1_000,
        cold_still: record.cold_at_us > 0 && record.warm_at_us == 0,
        crashes: record.crashes,
        after_mark: record.after_mark,
        last_after_mark_ms: record.last_after_mark_us / 1_000,
    }
}
