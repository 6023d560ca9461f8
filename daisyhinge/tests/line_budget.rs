//! Limits on the log lines of a process.

use std::time::{Duration, Instant};

use daisyhinge::shell::line_budget::{DroppedLines, LineBudget, LineClass};

/// Records of many replicas at once left no room for the lines of failed requests.
#[test]
fn no_class_of_lines_displaces_another() {
    let now = Instant::now();
    let mut budget = LineBudget::open(now);
    let state = (0..500).filter(|_| budget.take(LineClass::State)).count();
    let requests = (0..70).filter(|_| budget.take(LineClass::Request)).count();
    let ordinary = (0..9).filter(|_| budget.take(LineClass::Ordinary)).count();
    assert_eq!((state, requests, ordinary), (60, 60, 2));
    budget.count_queued();
    assert_eq!(budget.roll(now + Duration::from_millis(999)), None);
    let dropped = DroppedLines {
        ordinary: 7,
        requests: 10,
        state: 440,
        queued: 1,
    };
    assert_eq!(budget.roll(now + Duration::from_secs(1)), Some(dropped));
    assert_eq!(dropped.notable(), 451);
    assert!(budget.take(LineClass::State), "a new interval");
    assert_eq!(budget.roll(now + Duration::from_secs(3)), None);
}
