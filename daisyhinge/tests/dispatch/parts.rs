//! Routes, splits, shares, retry budgets and the merge.

use std::sync::Arc;

use daisyhinge::dispatch::budget::{BudgetLimits, RetryBudget, SlackShare};
use daisyhinge::dispatch::merge::{RECORD_BYTES, merge_parts};
use daisyhinge::dispatch::share::{EntryCount, connection_share};
use daisyhinge::routing::{RouteTable, WeightedRoundRobin};
use daisyhinge::vocabulary::site::{GatherPlan, RouteKind, RouteTarget, SplitPart};
use proptest::prelude::*;

use crate::support::{LIMITS, at, config, dispatcher, route, shard_name, single};

fn prefixed(name: &str, prefix: &str) -> daisyhinge::vocabulary::site::SiteRoute {
    let mut route = route(name, RouteKind::Safe, single("s"));
    route.path_prefix = prefix.into();
    route
}

#[test]
fn the_longest_prefix_of_the_host_selects_the_route() {
    let routes = vec![prefixed("short", "/a/"), prefixed("long", "/a/b/")];
    let table = RouteTable::open(&config(&[], routes));
    let find = |host, path| {
        table
            .find_route(host, path)
            .map(|route| route.name.to_string())
    };
    assert_eq!(find("labels.example", "/a/b/c"), Some("long".to_owned()));
    assert_eq!(find("labels.example:80", "/a/x"), Some("short".to_owned()));
    assert_eq!(find("labels.example", "/a"), None);
    assert_eq!(find("other.example", "/a/b/c"), None);
}

fn split_parts(weights: &[(&str, u32)]) -> Arc<[SplitPart]> {
    let parts = weights.iter().map(|(service, weight)| SplitPart {
        service: (*service).into(),
        weight: *weight,
    });
    parts.collect()
}

// Credits in units of the former weights sent every request to one part for a long time.
#[test]
fn changed_weights_apply_from_the_next_request_on() {
    let mut round_robin = WeightedRoundRobin::default();
    round_robin.next_part(&split_parts(&[("a", 50_000), ("b", 50_000)]));
    let changed = split_parts(&[("a", 700), ("b", 300)]);
    let mut counts = [0; 2];
    for _ in 0..20 {
        counts[round_robin.next_part(&changed)] += 1;
    }
    assert_eq!(counts, [14, 6]);
}

#[test]
fn a_split_keeps_exact_proportions() {
    let parts = split_parts(&[("a", 90), ("b", 10), ("c", 0)]);
    let mut round_robin = WeightedRoundRobin::default();
    let mut counts = [0; 3];
    for _ in 0..200 {
        counts[round_robin.next_part(&parts)] += 1;
    }
    assert_eq!(counts, [180, 20, 0]);
}

#[test]
fn minimum_shard_count_is_rounded_up() {
    let plan = |shards: usize, min_coverage| GatherPlan {
        shards: (0..shards).map(shard_name).collect(),
        top_records: 1,
        min_coverage,
    };
    assert_eq!(plan(10, 0.89).min_shards(), 9);
    assert_eq!(plan(10, 0.9).min_shards(), 9);
    assert_eq!(plan(15, 0.75).min_shards(), 12);
    assert_eq!(plan(36, 0.95).min_shards(), 35);
    assert_eq!(plan(3, 0.0).min_shards(), 1);
}

#[test]
fn extra_requests_of_all_entries_stay_within_ratio_and_slack() {
    for entries in [1_usize, 6, 83] {
        let mut budgets = vec![RetryBudget::open(LIMITS); entries];
        let mut first = 0_u32;
        let mut extra = 0_u32;
        // All requests fall into one window.
        for round in 0..2_000 {
            let budget = &mut budgets[round % entries];
            let now = at(round as u64 * 5);
            budget.deposit(now, SlackShare::OneOf(entries));
            first += 1;
            while budget.withdraw_retry(now) {
                extra += 1;
            }
        }
        let allowed = f64::from(first) * LIMITS.ratio + LIMITS.slack;
        // Even an entry without earlier requests may send one extra request.
        assert!(
            f64::from(extra) <= allowed.max(entries as f64),
            "{entries}: {extra}"
        );
    }
}

/// Lasting failures: half of the requests are retried for a minute. Every window gets its slack.
#[test]
fn slack_is_refilled_over_the_window() {
    let entries = 4;
    let mut budgets = vec![RetryBudget::open(LIMITS); entries];
    let window_ms = 10_000;
    let mut granted: Vec<u64> = Vec::new();
    for round in 0..2_400_usize {
        let now = round as u64 * 25;
        let budget = &mut budgets[round % entries];
        budget.deposit(at(now), SlackShare::OneOf(entries));
        if (round / 4) % 2 == 0 && budget.withdraw_retry(at(now)) {
            granted.push(now);
        }
    }
    let allowed = 400.0 * LIMITS.ratio + LIMITS.slack;
    let granted_in_window = |from: u64| {
        let in_window = granted
            .iter()
            .filter(|at| (from..from + window_ms).contains(at));
        in_window.count() as f64
    };
    for from in (0..50_000).step_by(500) {
        assert!(
            granted_in_window(from) <= allowed,
            "{} from {from}",
            granted_in_window(from)
        );
    }
    // Without the refill, only the ratio would remain: 68.
    assert!(
        granted_in_window(40_000) >= 80.0,
        "{}",
        granted_in_window(40_000)
    );
}

/// All entries are killed and restarted while a service gets the maximum of extra requests. The
/// restarted entries don't know what they have used, and still no window may exceed the limit.
#[test]
fn restarted_entries_stay_within_the_window_limit() {
    let limits = BudgetLimits {
        slack: 192.0,
        ..LIMITS
    };
    let entries = 24;
    let open = || vec![RetryBudget::open(limits); entries];
    let mut budgets = open();
    let mut granted: Vec<u64> = Vec::new();
    for round in 0..4_000_usize {
        let now = round as u64 * 10;
        if now == 15_000 {
            budgets = open();
        }
        let budget = &mut budgets[round % entries];
        budget.deposit(at(now), SlackShare::OneOf(entries));
        while budget.withdraw_retry(at(now)) {
            granted.push(now);
        }
    }
    let allowed = 1_000.0 * limits.ratio + limits.slack;
    for from in (0..30_000).step_by(250) {
        let in_window = granted
            .iter()
            .filter(|at| (from..from + 10_000).contains(*at));
        let count = in_window.count() as f64;
        assert!(count <= allowed, "{count} of {allowed} from {from}");
    }
}

/// An entry to which callers are not sent uses no slack.
#[test]
fn an_inactive_entry_gets_only_the_ratio() {
    let mut budget = RetryBudget::open(LIMITS);
    let mut extra = 0;
    for round in 0..100 {
        budget.deposit(at(round * 100), SlackShare::None);
        extra += u32::from(budget.withdraw_retry(at(round * 100)));
    }
    assert!(extra <= 20, "{extra}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::with_cases(400)
    })]

    /// The shares of all entries never exceed the replica's connection limit.
    #[test]
    fn shares_never_exceed_the_connection_limit(
        limit in 1_u32..200,
        local in 0_u32..120,
        remote in 0_u32..120,
    ) {
        let count = EntryCount { local, remote };
        let local_sum: u32 =
            (0..local).map(|rank| connection_share(limit, count, true, rank)).sum();
        let remote_sum: u32 =
            (0..remote).map(|rank| connection_share(limit, count, false, rank)).sum();
        prop_assert!(local_sum + remote_sum <= limit);
    }

    /// Merging gives the same result as sorting all records and truncating.
    #[test]
    fn merge_equals_sorting_and_truncating(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..8),
        top in 0_usize..30,
    ) {
        let mut all: Vec<&[u8]> =
            parts.iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
        all.sort_by(|a, b| b.cmp(a));
        all.truncate(top);
        prop_assert_eq!(merge_parts(parts.iter().map(Vec::as_slice), top), all.concat());
    }
}

/// Guards against routes of the same name that take turns in one split.
#[test]
fn routes_of_the_same_name_keep_their_own_proportions() {
    let parts = ["a", "b"].map(|service| SplitPart {
        service: service.into(),
        weight: 1,
    });
    let split = || RouteTarget::Split(Arc::from(parts.clone()));
    let routes = ["/a/", "/b/"].map(|prefix| {
        let mut route = route("same", RouteKind::Safe, split());
        route.path_prefix = prefix.into();
        route
    });
    let mut dispatcher = dispatcher(1);
    let mut counts = [0; 2];
    for _ in 0..100 {
        for (route, count) in routes.iter().zip(&mut counts) {
            let targets = dispatcher.pick_targets(route);
            *count += u32::from(targets[0].as_str() == "a");
        }
    }
    assert_eq!(counts, [50, 50]);
}
