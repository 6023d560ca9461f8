//! The documentation for operators and callers agrees with the program.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use bytes::Bytes;
use daisyhinge::environment::{check_change, check_document};
use daisyhinge::prelude::*;
use daisyhinge::setting::{check_control_settings, check_entry_settings};
use daisyhinge::shell::entry::response::{write_answer, write_refusal};
use daisyhinge::shell::operator::OperatorRefusal;
use daisyhinge::timeline::EventPage;
use daisyhinge::vocabulary::announcement::{AnnounceReply, ReplicaAnnouncement, ReplicaDeparture};
use daisyhinge::vocabulary::answer::{
    AddressAnswer, AnswerPart, MissingShard, QueryAnswer, QueryRefusal,
};
use daisyhinge::vocabulary::change::CommittedChange;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

fn read_page(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../docs")
        .join(name);
    fs::read_to_string(path).unwrap()
}

/// One row of the documented table of result codes.
#[derive(Debug, Eq, PartialEq)]
struct CodeRow {
    name: String,
    status: String,
    meaning: String,
}

fn read_rows(page: &str) -> BTreeMap<u16, CodeRow> {
    let mut rows = BTreeMap::new();
    for line in page.lines().filter(|line| line.starts_with("| ")) {
        let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        let Ok(number) = cells[0].parse() else {
            continue;
        };
        assert_eq!(cells.len(), 5, "{line}");
        assert!(!cells[4].is_empty(), "no remedy is given in: {line}");
        let row = CodeRow {
            name: cells[1].to_owned(),
            status: cells[2].to_owned(),
            meaning: cells[3].to_owned(),
        };
        assert!(rows.insert(number, row).is_none(), "duplicate row: {line}");
    }
    rows
}

#[test]
fn result_code_table_matches_program() {
    let expected: BTreeMap<_, _> = ResultCode::ALL
        .iter()
        .map(|code| {
            let row = CodeRow {
                name: code.name().to_owned(),
                status: code.http_status().to_string(),
                meaning: code.to_string(),
            };
            (code.number(), row)
        })
        .collect();
    let found = read_rows(&read_page("ERRORS.md"));
    let missing: Vec<_> = expected
        .keys()
        .filter(|key| !found.contains_key(key))
        .collect();
    assert!(missing.is_empty(), "not in docs/ERRORS.md: {missing:?}");
    assert_eq!(found, expected);
}

/// Returns the texts of the fenced blocks of `page` that are labelled `label`.
fn read_blocks(page: &str, label: &str) -> Vec<String> {
    let opening = format!("```{label}\n");
    page.split(&opening)
        .skip(1)
        .map(|rest| rest.split("```").next().unwrap().to_owned())
        .collect()
}

#[test]
fn settings_examples_are_valid() {
    let page = read_page("SETTINGS.md");
    let blocks = read_blocks(&page, "json");
    assert_eq!(
        blocks.len(),
        3,
        "settings of an entry, settings of a control VM, and a document"
    );
    check_entry_settings(blocks[0].as_bytes()).unwrap();
    check_control_settings(blocks[1].as_bytes()).unwrap();
    check_document(blocks[2].as_bytes()).unwrap();
}

#[test]
fn every_settings_field_is_documented() {
    let page = read_page("SETTINGS.md");
    for block in read_blocks(&page, "json") {
        let value: Value = serde_json::from_str(&block).unwrap();
        let mut names = Vec::new();
        list_fields(&value, &mut names);
        for name in names {
            assert!(page.contains(&format!("| `{name}` |")), "{name} has no row");
        }
    }
}

fn list_fields(value: &Value, names: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                names.push(name.clone());
                list_fields(value, names);
            }
        }
        Value::Array(items) => items.iter().for_each(|item| list_fields(item, names)),
        _ => {}
    }
}

/// Parses an example as its type and checks that the value serializes to the same JSON.
fn check_example<T: DeserializeOwned + Serialize>(text: &str) -> T {
    let value: T = serde_json::from_str(text).unwrap_or_else(|error| panic!("{error}: {text}"));
    let found = serde_json::to_value(&value).unwrap();
    assert_eq!(found, serde_json::from_str::<Value>(text).unwrap());
    value
}

#[test]
fn message_examples_match_their_types() {
    let page = read_page("INTERFACE.md");
    let blocks = read_blocks(&page, "json");
    assert_eq!(blocks.len(), 10);
    check_example::<AddressAnswer>(&blocks[0]);
    let announcement: ReplicaAnnouncement = check_example(&blocks[3]);
    let code = daisyhinge::keeper::check::check_announcement(&announcement);
    assert_eq!(code, ResultCode::Ok);
    check_example::<AnnounceReply>(&blocks[4]);
    check_example::<ReplicaDeparture>(&blocks[5]);
    check_change(blocks[6].as_bytes()).unwrap();
    check_example::<CommittedChange>(&blocks[7]);
    check_example::<OperatorRefusal>(&blocks[8]);
    check_example::<EventPage>(&blocks[9]);
}

#[test]
fn answer_examples_match_entry_output() {
    let page = read_page("INTERFACE.md");
    let blocks = read_blocks(&page, "json");
    let answer = QueryAnswer {
        request: RequestId::from("r-81"),
        snapshot: SnapshotNumber(4_711),
        answered_weight: 900,
        whole_weight: 1_000,
        missing: vec![MissingShard {
            shard: ShardNumber(7),
            code: ResultCode::ShardLate,
        }],
        parts: vec![AnswerPart {
            shard: ShardNumber(0),
            body: Bytes::from_static(b"{\"found\": 3}"),
        }],
        resent: false,
    };
    assert_same_json(&write_answer(&answer).unwrap(), &blocks[1]);
    let refusal = QueryRefusal {
        request: RequestId::from("r-81"),
        code: ResultCode::Overloaded,
        run: RunState::NotRun,
        retry_ms: Some(250),
        addresses: vec!["10.0.0.3:7000".parse().unwrap()],
    };
    assert_same_json(&write_refusal(&refusal).unwrap(), &blocks[2]);
}

fn assert_same_json(written: &[u8], example: &str) {
    let written: Value = serde_json::from_slice(written).unwrap();
    assert_eq!(written, serde_json::from_str::<Value>(example).unwrap());
}
