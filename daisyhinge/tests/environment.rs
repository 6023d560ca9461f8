//! Validation of environment documents: complete error lists, arbitrary input, round trips.

#[path = "support/fixed_config.rs"]
mod fixed_config;

use daisyhinge::environment::{DOCUMENT_MAX_BYTES, check_document, diff_documents};
use daisyhinge::prelude::*;
use daisyhinge::vocabulary::environment::{
    AddressPolicy, CentreEntry, CentreState, EnvironmentDocument, RegionEntry, ServiceEntry,
};
use daisyhinge::vocabulary::query::AnswerPreference;
use fixed_config::fixed_config;
use proptest::prelude::*;

const VALID_DOCUMENT: &str = r#"{
    "regions": [
        {"name": "lagos", "data_centres": [{"name": "lagos-1", "power_cap": 400}]},
        {"name": "kano", "data_centres": [{"name": "kano-1", "state": "out"}]}
    ],
    "services": [
        {"name": "card-view", "repeatable": true},
        {"name": "print-queue", "repeatable": false, "deadline_ms": 3000, "preference": "coverage"}
    ],
    "addresses": {"keep_ms": 2000, "count": 2}
}"#;

#[test]
fn valid_document_is_accepted() {
    let document = check_document(VALID_DOCUMENT.as_bytes()).unwrap();
    assert_eq!(document.services.len(), 2);
    assert_eq!(document.addresses.count, 2);
    let centre = document.find_centre(&CentreName::from("kano-1")).unwrap();
    assert_eq!(centre.state, CentreState::Out);
}

#[test]
fn all_errors_are_reported_with_their_paths() {
    let text = r#"{
        "regions": [
            {"name": "lagos", "data_centres": [
                {"name": "lagos-1", "power_cap": 0},
                {"name": "lagos-1", "state": "away"}]},
            {"name": "lagos", "data_centres": [], "colour": "red"}
        ],
        "services": [
            {"name": "card view", "repeatable": "yes"},
            {"name": "a", "repeatable": true, "deadline_ms": -5, "preference": 3},
            {"repeatable": true, "minimum_coverage_ppm": 1000001, "repeatable": false},
            7
        ],
        "addresses": {"keep_ms": 1, "count": 1.5},
        "service": []
    }"#;
    let errors = check_document(text.as_bytes()).unwrap_err();
    let found: Vec<_> = errors
        .iter()
        .map(|error| (error.path.as_str(), error.code))
        .collect();
    let expected = [
        ("$.service", ResultCode::UnknownField),
        (
            "$.regions[0].data_centres[0].power_cap",
            ResultCode::OutOfRange,
        ),
        (
            "$.regions[0].data_centres[1].name",
            ResultCode::DuplicateName,
        ),
        ("$.regions[0].data_centres[1].state", ResultCode::OutOfRange),
        ("$.regions[1].colour", ResultCode::UnknownField),
        ("$.regions[1].name", ResultCode::DuplicateName),
        ("$.regions[1].data_centres", ResultCode::OutOfRange),
        ("$.services[0].name", ResultCode::BadName),
        ("$.services[0].repeatable", ResultCode::WrongType),
        ("$.services[1].deadline_ms", ResultCode::OutOfRange),
        ("$.services[1].preference", ResultCode::WrongType),
        ("$.services[2].repeatable", ResultCode::DuplicateName),
        ("$.services[2].name", ResultCode::MissingField),
        ("$.services[2].minimum_coverage_ppm", ResultCode::OutOfRange),
        ("$.services[3]", ResultCode::WrongType),
        ("$.addresses.keep_ms", ResultCode::OutOfRange),
        ("$.addresses.count", ResultCode::OutOfRange),
    ];
    assert_eq!(found, expected);
}

#[test]
fn invalid_input_is_refused_with_a_result_code() {
    let too_large = vec![b' '; DOCUMENT_MAX_BYTES + 1];
    let deep = "[".repeat(100_000);
    for (text, code) in [
        (&b""[..], ResultCode::NotJson),
        (b"{\"regions\": [}", ResultCode::NotJson),
        (b"\xff\xfe", ResultCode::NotJson),
        (b"null", ResultCode::WrongType),
        (&too_large, ResultCode::DocumentTooLarge),
        (deep.as_bytes(), ResultCode::NotJson),
    ] {
        let errors = check_document(text).unwrap_err();
        assert_eq!(errors[0].code, code);
    }
}

#[test]
fn error_list_is_bounded() {
    let items = vec!["7"; 20_000].join(",");
    let text = format!("{{\"regions\": [{items}], \"services\": [{items}]}}");
    let errors = check_document(text.as_bytes()).unwrap_err();
    assert_eq!(errors.len(), daisyhinge::check::fault_list::ERRORS_MAX);
}

#[test]
fn diff_matches_elements_by_name() {
    let before = check_document(VALID_DOCUMENT.as_bytes()).unwrap();
    let mut after = before.clone();
    after.services.swap(0, 1);
    after.regions[1].data_centres[0].state = CentreState::In;
    after.services.push(ServiceEntry {
        name: ServiceName::from("menu-sync"),
        ..after.services[0].clone()
    });
    let paths: Vec<_> = diff_documents(&before, &after)
        .into_iter()
        .map(|difference| difference.path)
        .collect();
    assert_eq!(paths[0], "$.regions[kano].data_centres[kano-1].state");
    assert_eq!(paths.len(), 8);
    assert!(
        paths[1..]
            .iter()
            .all(|path| path.starts_with("$.services[menu-sync]."))
    );
    assert!(diff_documents(&before, &before).is_empty());
}

fn centre_strategy() -> impl Strategy<Value = CentreEntry> {
    let cap = proptest::option::of(1..=1_000_000_u32);
    (any::<bool>(), cap).prop_map(|(is_out, power_cap)| CentreEntry {
        name: CentreName::from(""),
        state: if is_out {
            CentreState::Out
        } else {
            CentreState::In
        },
        power_cap,
    })
}

fn service_strategy() -> impl Strategy<Value = ServiceEntry> {
    let numbers = (
        1..=600_000_u64,
        0..=1_000_000_u32,
        0..=1_000_000_u32,
        1..=1_000_000_u32,
    );
    (any::<bool>(), any::<bool>(), numbers).prop_map(|(repeatable, prefers_coverage, numbers)| {
        ServiceEntry {
            name: ServiceName::from(""),
            repeatable,
            deadline_ms: numbers.0,
            minimum_coverage_ppm: numbers.1,
            preference: if prefers_coverage {
                AnswerPreference::Coverage
            } else {
                AnswerPreference::Latency
            },
            extra_work_ppm: numbers.2,
            running_max: numbers.3,
        }
    })
}

/// Any valid document. Names are numbered to make them unique.
fn document_strategy() -> impl Strategy<Value = EnvironmentDocument> {
    let regions = prop::collection::vec(prop::collection::vec(centre_strategy(), 1..5), 1..5);
    let services = prop::collection::vec(service_strategy(), 0..8);
    (regions, services, 100..=60_000_u64, 1..=64_u32).prop_map(
        |(regions, mut services, keep_ms, count)| {
            for (index, service) in services.iter_mut().enumerate() {
                service.name = ServiceName::from(format!("s{index}"));
            }
            let regions = regions.into_iter().enumerate().map(name_region).collect();
            EnvironmentDocument {
                regions,
                services,
                addresses: AddressPolicy { keep_ms, count },
            }
        },
    )
}

fn name_region((index, mut data_centres): (usize, Vec<CentreEntry>)) -> RegionEntry {
    for (number, centre) in data_centres.iter_mut().enumerate() {
        centre.name = CentreName::from(format!("r{index}-{number}"));
    }
    RegionEntry {
        name: RegionName::from(format!("r{index}")),
        data_centres,
    }
}

proptest! {
    #![proptest_config(fixed_config())]

    #[test]
    fn valid_documents_round_trip(document in document_strategy()) {
        let text = serde_json::to_vec_pretty(&document).unwrap();
        prop_assert_eq!(check_document(&text), Ok(document));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        if let Err(errors) = check_document(&bytes) {
            prop_assert!(!errors.is_empty());
        }
    }

    /// A truncated or modified document, or one with an extra byte, is either accepted with the
    /// same value as serde gives or refused with at least one error.
    #[test]
    fn mutated_documents_are_accepted_or_refused(
        document in document_strategy(),
        at in any::<prop::sample::Index>(),
        byte in prop_oneof![Just(b'0'), Just(b'"'), Just(b','), Just(b'}'), Just(b'-'), any::<u8>()],
        mutation in 0..3_usize,
    ) {
        let mut text = serde_json::to_vec(&document).unwrap();
        let index = at.index(text.len());
        match mutation {
            0 => text.truncate(index),
            1 => text[index] = byte,
            _ => text.insert(index, byte),
        }
        let deserialized = serde_json::from_slice::<EnvironmentDocument>(&text);
        match check_document(&text) {
            Ok(checked) => prop_assert_eq!(checked, deserialized.unwrap()),
            Err(errors) => prop_assert!(!errors.is_empty()),
        }
    }
}
