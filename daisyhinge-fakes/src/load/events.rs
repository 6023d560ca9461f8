//! Selects the events of the system that help to explain a result.

use std::collections::HashSet;

use daisyhinge::prelude::*;
use daisyhinge::vocabulary::clock::duration_to_micros;
use daisyhinge::vocabulary::event::EventKind;

use crate::load::fleet::FleetServer;
use crate::load::outcome::{RequestEnd, RequestOutcome};
use crate::load::run::LoadRun;
use crate::load::system::SystemEvent;
use crate::server::{SubRecord, read_wall_us};

/// Number of slowest requests, and of refused ones, whose events are listed.
const REQUESTS_MAX: usize = 5;

/// Lists events that belong to no single request, and those of the slowest and of some refused
/// requests.
pub(crate) fn list_events(run: &LoadRun, outcomes: &[RequestOutcome]) -> Vec<String> {
    let Some(system) = &run.system else {
        return Vec::new();
    };
    let start = *run.start.lock();
    let selected = select_requests(outcomes);
    let is_listed = |event: &&SystemEvent| {
        let request = event.event.request.as_ref();
        event.at >= start
            && request.map_or(is_rare(event.event.kind), |request| {
                selected.contains(request)
            })
    };
    let events = system.events.lock();
    events
        .iter()
        .filter(is_listed)
        .map(|event| {
            let text = serde_json::to_string(&event.event).unwrap_or_default();
            let at_ms = event.at.duration_since(start).as_millis();
            format!("at_ms={at_ms} vm={} {text}", event.vm)
        })
        .chain(list_arrivals(run, &selected))
        .collect()
}

/// Lists arrivals of the selected requests at the fake servers.
fn list_arrivals(run: &LoadRun, selected: &HashSet<RequestId>) -> Vec<String> {
    let start_us = read_wall_us().saturating_sub(duration_to_micros(run.elapsed()));
    let list_server = |server: &FleetServer| {
        let replica = server.server.replica().clone();
        let log = server.server.record().log;
        log.into_iter()
            .filter(|sub| selected.contains(&sub.request))
            .map(move |sub| {
                let at_ms = sub.at_us.saturating_sub(start_us) / 1_000;
                let SubRecord {
                    request, attempt, ..
                } = sub;
                format!("at_ms={at_ms} replica={replica} arrived {request} attempt={attempt}")
            })
            .collect::<Vec<_>>()
    };
    run.fleet.servers.iter().flat_map(list_server).collect()
}

fn select_requests(outcomes: &[RequestOutcome]) -> HashSet<RequestId> {
    let mut slowest = outcomes.iter().collect::<Vec<_>>();
    slowest.sort_by_key(|outcome| std::cmp::Reverse(outcome.latency));
    let refused = outcomes
        .iter()
        .filter(|outcome| matches!(outcome.end, RequestEnd::Refused { .. }));
    slowest
        .into_iter()
        .take(REQUESTS_MAX)
        .chain(refused.take(REQUESTS_MAX))
        .map(|outcome| outcome.request.clone())
        .collect()
}

/// Whether events of `kind` are rare enough to list all those that belong to no request.
fn is_rare(kind: EventKind) -> bool {
    !matches!(
        kind,
        EventKind::ChangeCommitted
            | EventKind::ClaimLost
            | EventKind::ClaimWon
            | EventKind::QueueFull
            | EventKind::SubCancelled
            | EventKind::SubFailed
    )
}
