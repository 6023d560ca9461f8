//! The event ring buffer, its clock, its filters and the merge of the events of several processes.

#[path = "support/fixed_config.rs"]
mod fixed_config;

use daisyhinge::prelude::*;
use daisyhinge::timeline::clock::MAX_AHEAD_US;
use daisyhinge::timeline::line::KindText;
use daisyhinge::timeline::{EventFilter, EventLine, EventRing, merge_records};
use daisyhinge::vocabulary::event::{EventDraft, EventKind, HybridTimestamp};
use fixed_config::fixed_config;
use proptest::prelude::*;

fn open_ring(vm: &str, events_max: u32) -> EventRing {
    EventRing::new(VmName::from(vm), events_max)
}

#[test]
fn full_ring_drops_the_oldest() {
    let mut ring = open_ring("a", 3);
    for value in 0..5 {
        ring.record(
            EventDraft::new(EventKind::SubHedged).with_value(value),
            1_000 + value,
        );
    }
    let page = ring.select(&EventFilter::default());
    let values: Vec<_> = page
        .events
        .iter()
        .map(|record| record.event.value)
        .collect();
    assert_eq!(values, [2, 3, 4]);
    assert_eq!(page.dropped, 2);
    assert!(!page.truncated);
}

#[test]
fn limit_selects_the_newest() {
    let mut ring = open_ring("a", 8);
    for value in 0..5 {
        ring.record(EventDraft::new(EventKind::SubHedged).with_value(value), 7);
    }
    let filter = EventFilter {
        limit: 2,
        ..EventFilter::default()
    };
    let page = ring.select(&filter);
    assert!(page.truncated);
    assert_eq!(page.events[0].event.value, 3);
}

#[test]
fn filters_by_every_field() {
    let mut ring = open_ring("a", 8);
    let request = RequestId::from("r1");
    let replica = ReplicaName::from("p1");
    let centre = CentreName::from("kano");
    let full = EventDraft::new(EventKind::SubFailed)
        .with_request(&request)
        .with_replica(&replica)
        .with_centre(&centre);
    ring.record(full, 100);
    ring.record(EventDraft::new(EventKind::LeaseLost), 200);
    for query in [
        "request=r1",
        "replica=p1",
        "data_centre=kano",
        "until_us=200",
        "kind=sub-failed",
    ] {
        let page = ring.select(&EventFilter::parse(query).unwrap());
        assert_eq!(page.events.len(), 1, "{query}");
        assert_eq!(page.events[0].event.kind, EventKind::SubFailed, "{query}");
    }
    let page = ring.select(&EventFilter::parse("since_us=200").unwrap());
    assert_eq!(page.events[0].event.kind, EventKind::LeaseLost);
    let none = EventFilter::parse("request=r1&kind=lease-lost").unwrap();
    assert!(ring.select(&none).events.is_empty());
}

#[test]
fn all_query_errors_are_reported() {
    let errors = EventFilter::parse("kind=nothing&request=%20&since_us=x&colour=red").unwrap_err();
    let codes: Vec<_> = errors.iter().map(|error| error.code).collect();
    assert_eq!(
        codes,
        [
            ResultCode::UnknownReference,
            ResultCode::BadName,
            ResultCode::OutOfRange,
            ResultCode::UnknownField
        ]
    );
}

#[test]
fn merge_sorts_effect_after_cause_despite_clock_skew() {
    let mut ahead = open_ring("ahead", 8);
    let mut behind = open_ring("behind", 8);
    let cause = ahead.record(EventDraft::new(EventKind::SubDispatched), 5_000);
    assert!(behind.observe(cause.stamp, 1_000));
    behind.record(EventDraft::new(EventKind::ColdStarted), 1_000);
    let all = EventFilter::default();
    let merged = merge_records(vec![
        behind.select(&all),
        ahead.select(&all),
        ahead.select(&all),
    ]);
    let kinds: Vec<_> = merged.iter().map(|record| record.event.kind).collect();
    assert_eq!(kinds, [EventKind::SubDispatched, EventKind::ColdStarted]);
}

#[test]
fn stamp_far_ahead_of_the_wall_clock_is_ignored() {
    let mut ring = open_ring("a", 8);
    let far_ahead = HybridTimestamp {
        wall_us: 1_000 + MAX_AHEAD_US + 1,
        count: 0,
    };
    assert!(!ring.observe(far_ahead, 1_000));
    let record = ring.record(EventDraft::new(EventKind::LeaseLost), 1_000);
    assert_eq!(record.stamp.wall_us, 1_000);
}

#[test]
fn line_cannot_be_forged_by_a_value() {
    let mut ring = open_ring("a", 1);
    let request = RequestId::from("x\nevent=lease-gained y");
    let draft = EventDraft::new(EventKind::RequestRefused)
        .with_request(&request)
        .with_code(ResultCode::Overloaded);
    let line = EventLine(&ring.record(draft, 9)).to_string();
    assert!(!line.contains('\n'));
    assert!(line.starts_with("event=request-refused stamp=9.0 vm=a request=\"x\\nevent="));
    assert!(line.ends_with(" code=2001 reason=Overloaded value=0"));
}

fn filter_strategy() -> impl Strategy<Value = EventFilter> {
    let name = || proptest::option::of("[A-Za-z0-9._-]{1,64}");
    let time = || proptest::option::of(any::<u64>());
    let kind = proptest::option::of(prop_oneof![
        Just(EventKind::SubHedged),
        Just(EventKind::CrashRecorded)
    ]);
    (name(), name(), name(), time(), time(), kind, any::<u32>()).prop_map(
        |(request, replica, centre, since_us, until_us, kind, limit)| EventFilter {
            request: request.map(RequestId::from),
            replica: replica.map(ReplicaName::from),
            data_centre: centre.map(CentreName::from),
            since_us,
            until_us,
            kind,
            limit,
        },
    )
}

proptest! {
    #![proptest_config(fixed_config())]

    #[test]
    fn query_round_trips(filter in filter_strategy()) {
        prop_assert_eq!(EventFilter::parse(&filter.to_query()), Ok(filter));
    }

    #[test]
    fn any_query_is_parsed_or_rejected(query in "([a-z_]{0,12}=?[ -~]{0,8}&?){0,8}|.{0,64}") {
        if let Err(errors) = EventFilter::parse(&query) {
            prop_assert!(!errors.is_empty());
        }
    }

    #[test]
    fn timestamps_strictly_increase(
        steps in prop::collection::vec((any::<bool>(), 0..2_000_u64), 1..64)
    ) {
        let mut ring = open_ring("a", 64);
        let mut last = HybridTimestamp::default();
        for (observe, wall_us) in steps {
            if observe {
                ring.observe(HybridTimestamp { wall_us, count: u32::MAX }, 0);
            } else {
                let kind = EventKind::LeaseGained;
                let timestamp = ring.record(EventDraft::new(kind), wall_us).stamp;
                prop_assert!(timestamp > last);
                prop_assert!(timestamp.wall_us >= wall_us);
                last = timestamp;
            }
        }
    }
}

#[test]
fn event_kinds_round_trip_through_text() {
    for kind in [
        EventKind::SubHedged,
        EventKind::PowerCapped,
        EventKind::KeepWaiting,
    ] {
        let text = KindText(kind).to_string();
        assert_eq!(daisyhinge::timeline::filter::find_kind(&text), Some(kind));
    }
}
