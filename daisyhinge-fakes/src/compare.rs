//! Comparison of two results, service by service.

use std::fmt::Write;

use crate::load::result::{LoadResult, ServiceResult};

/// One row of the comparison: its label and the value that it compares.
struct CompareRow {
    name: &'static str,
    read: fn(&ServiceResult) -> f64,
}

const ROWS: [CompareRow; 14] = [
    CompareRow {
        name: "offered",
        read: |service| service.offered as f64,
    },
    CompareRow {
        name: "answered",
        read: |service| service.answered as f64,
    },
    CompareRow {
        name: "whole",
        read: |service| service.whole as f64,
    },
    CompareRow {
        name: "coverage_mean_percent",
        read: |service| service.coverage_mean_ppm as f64 / 10_000.0,
    },
    CompareRow {
        name: "refused",
        read: |service| service.count_refused() as f64,
    },
    CompareRow {
        name: "lost",
        read: |service| service.lost as f64,
    },
    CompareRow {
        name: "late",
        read: |service| service.late as f64,
    },
    CompareRow {
        name: "doubled",
        read: |service| service.doubled as f64,
    },
    CompareRow {
        name: "false_not_run",
        read: |service| service.false_not_run as f64,
    },
    CompareRow {
        name: "p50_ms",
        read: |service| service.latency.p50_us as f64 / 1_000.0,
    },
    CompareRow {
        name: "p99_ms",
        read: |service| service.latency.p99_us as f64 / 1_000.0,
    },
    CompareRow {
        name: "p99.9_ms",
        read: |service| service.latency.p999_us as f64 / 1_000.0,
    },
    CompareRow {
        name: "extra_load_percent",
        read: |service| service.extra_percent(),
    },
    CompareRow {
        name: "refused_within_5ms",
        read: |service| service.refused_within_5ms as f64,
    },
];

/// Formats a table of both results with the quotient of the second by the first.
pub fn compare_results(first: &LoadResult, second: &LoadResult) -> String {
    let mut text = String::new();
    for service in &first.services {
        let Some(other) = second.find_service(&service.service) else {
            continue;
        };
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "{:<22} {:>14} {:>14} {:>9}",
            service.service, first.system, second.system, "quotient"
        );
        for row in &ROWS {
            let (one, two) = ((row.read)(service), (row.read)(other));
            let quotient = if one == 0.0 {
                String::from("-")
            } else {
                format!("{:.3}", two / one)
            };
            let _ = writeln!(
                text,
                "  {:<20} {one:>14.3} {two:>14.3} {quotient:>9}",
                row.name
            );
        }
    }
    text
}
