//! Validation of settings files: complete error lists and arbitrary input.

#[path = "support/fixed_config.rs"]
mod fixed_config;

use daisyhinge::prelude::*;
use daisyhinge::setting::{SETTINGS_MAX_BYTES, check_control_settings, check_entry_settings};
use daisyhinge::shell::setting::read_settings;
use daisyhinge::vocabulary::field_error::FieldError;
use fixed_config::fixed_config;
use proptest::prelude::*;

const ENTRY_SETTINGS: &str = r#"{
    "vm": "entry-1", "environment": "production", "data_centre": "lagos-1",
    "caller_address": "10.0.0.1:7000", "peer_address": "10.0.0.1:7001",
    "metrics_address": "0.0.0.0:7002", "control": ["10.0.0.7:7100", "10.0.0.8:7100"],
    "limits": {"body_max_bytes": 65536}
}"#;

const CONTROL_SETTINGS: &str = r#"{
    "vm": "control-1", "address": "10.0.0.7:7100", "operator_address": "10.0.0.7:7101",
    "metrics_address": "10.0.0.7:7102", "data_folder": "data", "token_file": "token",
    "voters": [{"vm": "control-1", "address": "10.0.0.7:7100"},
               {"vm": "control-2", "address": "10.0.0.8:7100"}]
}"#;

fn paths_and_codes(errors: &[FieldError]) -> Vec<(&str, ResultCode)> {
    errors
        .iter()
        .map(|error| (error.path.as_str(), error.code))
        .collect()
}

#[test]
fn valid_settings_are_accepted() {
    let entry = check_entry_settings(ENTRY_SETTINGS.as_bytes()).unwrap();
    assert_eq!(entry.limits.body_max_bytes, 65_536);
    assert_eq!(entry.limits.shutdown_max_ms, 90_000);
    let control = check_control_settings(CONTROL_SETTINGS.as_bytes()).unwrap();
    assert_eq!(control.voters.len(), 2);
}

#[test]
fn all_entry_errors_are_reported() {
    let text = r#"{
        "vm": "", "environment": "pro duction",
        "caller_address": "0.0.0.0:7000", "peer_address": "10.0.0.1:7000",
        "metrics_address": "localhost:7002",
        "control": ["10.0.0.7:7100", "10.0.0.7:7100", "10.0.0.1:7000", "10.0.0.8:0", 5],
        "limits": {"body_max_bytes": 0, "running_max": "many", "color": 1},
        "data_center": "lagos-1"
    }"#;
    let errors = check_entry_settings(text.as_bytes()).unwrap_err();
    let expected = [
        ("$.data_center", ResultCode::UnknownField),
        ("$.vm", ResultCode::OutOfRange),
        ("$.environment", ResultCode::BadName),
        ("$.data_centre", ResultCode::MissingField),
        ("$.caller_address", ResultCode::OutOfRange),
        ("$.metrics_address", ResultCode::OutOfRange),
        ("$.peer_address", ResultCode::SettingsContradict),
        ("$.control[4]", ResultCode::WrongType),
        ("$.control[1]", ResultCode::DuplicateName),
        ("$.control[2]", ResultCode::SettingsContradict),
        ("$.control[3]", ResultCode::OutOfRange),
        ("$.limits.color", ResultCode::UnknownField),
        ("$.limits.body_max_bytes", ResultCode::OutOfRange),
        ("$.limits.running_max", ResultCode::WrongType),
    ];
    assert_eq!(paths_and_codes(&errors), expected);
}

#[test]
fn all_control_errors_are_reported() {
    let text = r#"{
        "vm": "control-9", "address": "10.0.0.7:7100", "operator_address": "10.0.0.7:7100",
        "metrics_address": "10.0.0.7:7102", "data_folder": "", "events_max": 0,
        "voters": [{"vm": "control-1", "address": "10.0.0.7:7100"},
                   {"vm": "control-1", "address": "10.0.0.7:7100", "weight": 2}]
    }"#;
    let errors = check_control_settings(text.as_bytes()).unwrap_err();
    let expected = [
        ("$.operator_address", ResultCode::SettingsContradict),
        ("$.data_folder", ResultCode::OutOfRange),
        ("$.token_file", ResultCode::MissingField),
        ("$.events_max", ResultCode::OutOfRange),
        ("$.voters[1].weight", ResultCode::UnknownField),
        ("$.voters[1].vm", ResultCode::DuplicateName),
        ("$.voters[1].address", ResultCode::DuplicateName),
        ("$.voters", ResultCode::SettingsContradict),
    ];
    assert_eq!(paths_and_codes(&errors), expected);
}

#[test]
fn own_voter_must_match_the_address() {
    let text = CONTROL_SETTINGS.replace(
        "\"address\": \"10.0.0.7:7100\", \"op",
        "\"address\": \"10.0.0.7:7109\", \"op",
    );
    let errors = check_control_settings(text.as_bytes()).unwrap_err();
    let expected = [("$.voters[0].address", ResultCode::SettingsContradict)];
    assert_eq!(paths_and_codes(&errors), expected);
}

#[test]
fn port_zero_never_conflicts() {
    let text = ENTRY_SETTINGS
        .replace("10.0.0.1:7000", "127.0.0.1:0")
        .replace("10.0.0.1:7001", "127.0.0.1:0");
    check_entry_settings(text.as_bytes()).unwrap();
}

#[test]
fn settings_file_size_is_limited() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.json");
    let missing = read_settings(&path, check_entry_settings).unwrap_err();
    assert_eq!(missing[0].code, ResultCode::StorageFailed);
    std::fs::write(&path, ENTRY_SETTINGS).unwrap();
    read_settings(&path, check_entry_settings).unwrap();
    std::fs::write(&path, " ".repeat(SETTINGS_MAX_BYTES + 9)).unwrap();
    let large = read_settings(&path, check_entry_settings).unwrap_err();
    assert_eq!(large[0].code, ResultCode::DocumentTooLarge);
}

proptest! {
    #![proptest_config(fixed_config())]

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        prop_assert!(check_entry_settings(&bytes).is_err());
        prop_assert!(check_control_settings(&bytes).is_err());
    }

    #[test]
    fn mutated_settings_are_accepted_or_refused(
        at in any::<prop::sample::Index>(),
        byte in prop_oneof![Just(b'0'), Just(b'"'), Just(b','), Just(b'}'), any::<u8>()],
        insert in any::<bool>(),
    ) {
        for template in [ENTRY_SETTINGS, CONTROL_SETTINGS] {
            let mut text = template.as_bytes().to_vec();
            let index = at.index(text.len());
            if insert {
                text.insert(index, byte);
            } else {
                text[index] = byte;
            }
            if let Ok(settings) = check_entry_settings(&text) {
                let serialized = serde_json::to_vec(&settings).unwrap();
                prop_assert_eq!(check_entry_settings(&serialized), Ok(settings));
            }
            if let Ok(settings) = check_control_settings(&text) {
                let serialized = serde_json::to_vec(&settings).unwrap();
                prop_assert_eq!(check_control_settings(&serialized), Ok(settings));
            }
        }
    }
}
