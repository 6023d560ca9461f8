//! Routes, splits, shares, budgets and the merge.

use daisyhinge::dispatch::budget::{BudgetLimits, RepeatBudget, SlackShare};
use daisyhinge::dispatch::merge::{RECORD_BYTES, merge_parts};
use daisyhinge::dispatch::share::{EntryCount, find_share};
use daisyhinge::routing::{RouteTable, SplitTurn};
use daisyhinge::vocabulary::site::{GatherPlan, RouteKind, SplitPart};
use proptest::prelude::*;

use crate::support::{LIMITS, at, config, route, shard_name, single};

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

#[test]
fn a_split_keeps_exact_proportions() {
    let parts: Vec<SplitPart> = [("a", 90), ("b", 10), ("c", 0)]
        .into_iter()
        .map(|(service, weight)| SplitPart {
            service: service.into(),
            weight,
        })
        .collect();
    let mut turn = SplitTurn::default();
    let mut counts = [0; 3];
    for _ in 0..200 {
        counts[turn.next_part(&parts)] += 1;
    }
    assert_eq!(counts, [180, 20, 0]);
}

#[test]
fn the_least_count_of_shards_is_rounded_up() {
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
        let mut budgets = vec![RepeatBudget::open(LIMITS); entries];
        let mut first = 0_u32;
        let mut extra = 0_u32;
        // All of it within one window.
        for round in 0..2_000 {
            let budget = &mut budgets[round % entries];
            let now = at(round as u64 * 5);
            budget.earn(now, SlackShare::OneOf(entries));
            first += 1;
            while budget.take(now) {
                extra += 1;
            }
        }
        let allowed = f64::from(first) * LIMITS.ratio + LIMITS.slack;
        // An entry that never sent anything may still send one extra request.
        assert!(
            f64::from(extra) <= allowed.max(entries as f64),
            "{entries}: {extra}"
        );
    }
}

/// Trouble that lasts: half of the requests are retried for a minute. Each window has its slack.
#[test]
fn slack_comes_back_over_the_window() {
    let entries = 4;
    let mut budgets = vec![RepeatBudget::open(LIMITS); entries];
    let window_ms = 10_000;
    let mut granted: Vec<u64> = Vec::new();
    for round in 0..2_400_usize {
        let now = round as u64 * 25;
        let budget = &mut budgets[round % entries];
        budget.earn(at(now), SlackShare::OneOf(entries));
        if (round / 4) % 2 == 0 && budget.take(at(now)) {
            granted.push(now);
        }
    }
    let allowed = 400.0 * LIMITS.ratio + LIMITS.slack;
    let within = |from: u64| {
        let inside = granted
            .iter()
            .filter(|at| (from..from + window_ms).contains(at));
        inside.count() as f64
    };
    for from in (0..50_000).step_by(500) {
        assert!(within(from) <= allowed, "{} from {from}", within(from));
    }
    // Without what comes back, the ratio alone would be left: 68.
    assert!(within(40_000) >= 80.0, "{}", within(40_000));
}

/// All entries are killed and start again while a service takes as many extra requests as it may,
/// and forget what they have used: no window holds more than it may.
#[test]
fn entries_that_start_again_stay_within_the_window() {
    let limits = BudgetLimits {
        slack: 192.0,
        ..LIMITS
    };
    let entries = 24;
    let open = || vec![RepeatBudget::open(limits); entries];
    let mut budgets = open();
    let mut granted: Vec<u64> = Vec::new();
    for round in 0..4_000_usize {
        let now = round as u64 * 10;
        if now == 15_000 {
            budgets = open();
        }
        let budget = &mut budgets[round % entries];
        budget.earn(at(now), SlackShare::OneOf(entries));
        while budget.take(at(now)) {
            granted.push(now);
        }
    }
    let allowed = 1_000.0 * limits.ratio + limits.slack;
    for from in (0..30_000).step_by(250) {
        let inside = granted
            .iter()
            .filter(|at| (from..from + 10_000).contains(*at));
        let count = inside.count() as f64;
        assert!(count <= allowed, "{count} of {allowed} from {from}");
    }
}

/// An entry that callers are not sent to uses no slack.
#[test]
fn an_entry_without_a_share_lives_on_the_ratio() {
    let mut budget = RepeatBudget::open(LIMITS);
    let mut extra = 0;
    for round in 0..100 {
        budget.earn(at(round * 100), SlackShare::None);
        extra += u32::from(budget.take(at(round * 100)));
    }
    assert!(extra <= 20, "{extra}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::with_cases(400)
    })]

    /// The shares of all entries never add up to more than the replica accepts.
    #[test]
    fn shares_add_up_to_the_connections(most in 1_u32..200, near in 0_u32..120, far in 0_u32..120) {
        let count = EntryCount { near, far };
        let near_sum: u32 = (0..near).map(|rank| find_share(most, count, true, rank)).sum();
        let far_sum: u32 = (0..far).map(|rank| find_share(most, count, false, rank)).sum();
        prop_assert!(near_sum + far_sum <= most);
    }

    /// The merge gives what sorting all records gives.
    #[test]
    fn a_merge_is_the_head_of_the_sorted_whole(
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
