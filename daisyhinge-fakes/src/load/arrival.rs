//! Open-loop arrivals, generated from the seed before the run.

use std::time::Duration;

use daisyhinge::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::load::fault::FaultKind;
use crate::load::scenario::LoadScenario;

/// Arrival of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadArrival {
    /// Scheduled send time, from the start of the run.
    pub at: Duration,
    /// Index of the service in the scenario.
    pub service: usize,
    /// Index of the caller that sends the request.
    pub caller: usize,
    /// Number of the request, unique within the run.
    pub number: u64,
}

/// A period with a constant request rate.
#[derive(Clone, Copy, Debug)]
struct RatePeriod {
    from: Duration,
    to: Duration,
    per_second: f64,
}

/// Generates all arrivals of a scenario in order of time: a Poisson process for each service.
pub fn plan_arrivals(scenario: &LoadScenario) -> Vec<LoadArrival> {
    let callers = scenario.data_centres.len() * scenario.callers.per_centre as usize;
    let mut arrivals = (0..scenario.services.len())
        .flat_map(|service| plan_service(scenario, service, callers))
        .collect::<Vec<_>>();
    arrivals.sort_by_key(|arrival| arrival.at);
    for (number, arrival) in (0..).zip(&mut arrivals) {
        arrival.number = number;
    }
    arrivals
}

fn plan_service(scenario: &LoadScenario, service: usize, callers: usize) -> Vec<LoadArrival> {
    let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
    random.set_stream(service as u64);
    let mut arrivals = Vec::new();
    let periods = list_periods(scenario, &scenario.services[service].name);
    for period in periods.iter().filter(|period| period.per_second > 0.0) {
        let mut at = period.from;
        loop {
            let uniform: f64 = random.random_range(f64::EPSILON..1.0);
            at += Duration::from_secs_f64(-uniform.ln() / period.per_second);
            if at >= period.to {
                break;
            }
            let caller = random.random_range(0..callers);
            arrivals.push(LoadArrival {
                at,
                service,
                caller,
                number: 0,
            });
        }
    }
    arrivals
}

fn list_periods(scenario: &LoadScenario, name: &ServiceName) -> Vec<RatePeriod> {
    let first = scenario
        .find_service(name)
        .map_or(0.0, |service| service.rate_per_second);
    let mut changes = vec![(Duration::ZERO, first)];
    changes.extend(
        scenario
            .faults
            .iter()
            .filter_map(|fault| match &fault.fault {
                FaultKind::Rate {
                    service,
                    per_second,
                } if service == name => Some((Duration::from_millis(fault.at_ms), *per_second)),
                _ => None,
            }),
    );
    let end = Duration::from_millis(scenario.duration_ms);
    let period_ends = changes
        .iter()
        .skip(1)
        .map(|change| change.0)
        .chain([end])
        .collect::<Vec<_>>();
    changes
        .into_iter()
        .zip(period_ends)
        .map(|((from, per_second), to)| RatePeriod {
            from,
            to: to.min(end),
            per_second,
        })
        .collect()
}
