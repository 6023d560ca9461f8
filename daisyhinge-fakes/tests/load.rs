//! Tests of the load generator: arrivals, statistics, oracle, results and reports.

use std::path::Path;
use std::time::Duration;

use daisyhinge::prelude::*;
use daisyhinge_fakes::compare::compare_results;
use daisyhinge_fakes::load::arrival::plan_arrivals;
use daisyhinge_fakes::load::oracle::check_answer;
use daisyhinge_fakes::load::outcome::{AnswerCheck, AnswerViolation, RequestEnd, RequestOutcome};
use daisyhinge_fakes::load::stats::{LatencyHistogram, summarize_service};
use daisyhinge_fakes::load::wire::WireAnswer;
use daisyhinge_fakes::load::{LoadResult, LoadScenario, LoadTarget, run};
use daisyhinge_fakes::report::build_page;
use daisyhinge_fakes::server::answer::format_crc;
use daisyhinge_fakes::server::{FakeRecord, SubRecord};
use serde_json::json;

fn open_scenario(name: &str) -> LoadScenario {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    LoadScenario::open(&folder.join(format!("{name}.json"))).unwrap()
}

fn small_scenario() -> LoadScenario {
    let mut scenario = open_scenario("overload-capacity");
    scenario.duration_ms = 1_000;
    scenario.warmup_ms = 0;
    scenario.services[0].rate_per_second = 30.0;
    scenario
}

#[test]
fn every_scenario_is_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let mut count = 0;
    for file in std::fs::read_dir(folder).unwrap() {
        LoadScenario::open(&file.unwrap().path()).unwrap();
        count += 1;
    }
    assert!(count >= 12);
}

#[test]
fn arrivals_depend_on_the_seed_and_match_the_rate() {
    let scenario = open_scenario("search-usual");
    let arrivals = plan_arrivals(&scenario);
    assert_eq!(arrivals, plan_arrivals(&scenario));
    let other = LoadScenario {
        seed: 7,
        ..scenario.clone()
    };
    assert_ne!(arrivals, plan_arrivals(&other));
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
    // 40 per second for 20 s: 800 expected, with a standard deviation of 28.
    assert!((700..900).contains(&arrivals.len()), "{}", arrivals.len());
}

#[test]
fn latency_quantiles_match_the_recorded_values() {
    let mut histogram = LatencyHistogram::new();
    (1..=1_000).for_each(|value| histogram.record(Duration::from_millis(value)));
    let result = histogram.finish();
    assert_eq!(result.count, 1_000);
    assert!((499_000..=501_000).contains(&result.p50_us));
    assert!((989_000..=991_000).contains(&result.p99_us));
    assert!((998_000..=1_000_000).contains(&result.p999_us));
}

/// Guards against coordinated omission: requests scheduled while the servers are slow must count
/// with their full latency, measured from the scheduled send time.
#[tokio::test]
async fn slow_servers_show_in_the_latency_tail() {
    let mut scenario = small_scenario();
    scenario.services[0].rate_per_second = 100.0;
    scenario.services[0].replicas = 1;
    scenario.services[0].slots = 1;
    scenario.services[0].service_us = 1_000;
    scenario.services[0].deadline_ms = 10_000;
    scenario.services[0].connections = 200;
    scenario.services[0].queue_max = 200;
    scenario.faults = serde_json::from_value(json!([
        { "at_ms": 200, "fault": { "slow": { "times": 40.0 } } },
        { "at_ms": 400, "fault": { "slow": { "times": 1.0 } } },
    ]))
    .unwrap();
    let result = run(&scenario, LoadTarget::Naive).await.unwrap();
    let service = &result.services[0];
    assert_eq!(service.offered, plan_arrivals(&scenario).len() as u64);
    assert_eq!(service.answered, service.offered);
    let slow = service.seconds[0].p99_us;
    assert!(slow >= 150_000, "p99 of {slow} µs hides the slow period");
}

fn answer(crc: &str, snapshot: u64, answered: u64) -> WireAnswer {
    let part = |shard: u32, snapshot: u64| {
        let body = json!({ "replica": "r", "shard": shard, "snapshot": snapshot,
            "request": "q", "echo_crc": crc });
        json!({ "shard": shard, "body": body })
    };
    serde_json::from_value(json!({
        "request": "q", "snapshot": 1, "complete": false, "resent": false,
        "coverage": { "answered_weight": answered, "whole_weight": 300,
            "missing": [{ "shard": 2, "code": 3018, "name": "ShardLate" }] },
        "parts": [part(0, 1), part(1, snapshot)],
    }))
    .unwrap()
}

#[test]
fn oracle_detects_violations() {
    let request = RequestId::from("q");
    let crc = format_crc(b"body");
    let check = |answer: &WireAnswer| check_answer(answer, &request, b"body", 3).violations;
    assert_eq!(check(&answer(&crc, 1, 200)), []);
    assert_eq!(check(&answer(&crc, 2, 200)), [AnswerViolation::Mixed]);
    assert_eq!(
        check(&answer(&crc, 1, 300)),
        [AnswerViolation::CoverageFalse]
    );
    assert_eq!(check(&answer("00000000", 1, 200)), [AnswerViolation::Wrong]);
}

fn refusal(request: &str, earlier_not_run: bool) -> RequestOutcome {
    RequestOutcome {
        service: 0,
        request: RequestId::from(request),
        at: Duration::ZERO,
        latency: Duration::from_millis(10),
        exchange: Duration::from_millis(1),
        resends: 0,
        earlier_not_run,
        end: RequestEnd::Refused {
            code: ResultCode::Overloaded,
            run: RunState::NotRun,
        },
    }
}

#[test]
fn false_not_run_refusals_and_doubled_runs_are_counted() {
    let mut record = FakeRecord::default();
    for shard in [0, 0] {
        record.log.push(SubRecord {
            at_us: 0,
            request: RequestId::from("ran"),
            attempt: String::from("1-1"),
            snapshot: SnapshotNumber(1),
            shard: ShardNumber(shard),
        });
    }
    let mut other = FakeRecord::default();
    record.single_runs.insert(RequestId::from("print"), 1);
    other.single_runs.insert(RequestId::from("print"), 1);
    let outcomes = [
        refusal("ran", true),
        refusal("ran", false),
        refusal("idle", true),
    ];
    let result = summarize_service(&small_scenario(), 0, &outcomes, &[&record, &other]);
    assert_eq!(result.false_not_run, 1);
    assert_eq!(result.doubled, 1);
    assert_eq!((result.sub_requests, result.primary), (2, 1));
    assert_eq!(result.count_code(ResultCode::Overloaded), 3);
    assert_eq!(result.refused_within_5ms, 3);
}

#[test]
fn coverage_and_late_answers_are_aggregated() {
    let answered = |coverage, exchange| RequestOutcome {
        exchange: Duration::from_millis(exchange),
        end: RequestEnd::Answered(AnswerCheck {
            coverage,
            ..AnswerCheck::default()
        }),
        ..refusal("a", true)
    };
    let outcomes = [answered(1.0, 10), answered(0.5, 10), answered(1.0, 301)];
    let result = summarize_service(&small_scenario(), 0, &outcomes, &[]);
    assert_eq!((result.answered, result.whole, result.late), (3, 2, 1));
    assert_eq!(result.coverage_mean_ppm, 833_333);
    assert_eq!(result.coverage_least_ppm, 500_000);
}

#[tokio::test]
async fn result_round_trips_through_json_and_renders_as_a_report() {
    let result = run(&small_scenario(), LoadTarget::Naive).await.unwrap();
    assert_eq!(result.services[0].whole, result.services[0].offered);
    assert!(result.services[0].sub_requests >= result.services[0].offered);
    let text = serde_json::to_string(&result).unwrap();
    assert_eq!(serde_json::from_str::<LoadResult>(&text).unwrap(), result);
    let page = build_page(&result);
    assert_eq!(page.matches("<svg").count(), 2);
    assert!(compare_results(&result, &result).contains("1.000"));
}
