//! What differs between two environment documents.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::vocabulary::environment::EnvironmentDocument;

/// One value that differs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentDifference {
    /// Path of the value; elements that have a name go by it: `$.services[card-view].deadline_ms`.
    pub path: String,
    /// The value before; unset if it is new.
    pub before: Option<Value>,
    /// The value after; unset if it is gone.
    pub after: Option<Value>,
}

/// The values that differ, in order of path. Order of services, regions and data centres does
/// not count.
pub fn diff_documents(
    before: &EnvironmentDocument,
    after: &EnvironmentDocument,
) -> Vec<DocumentDifference> {
    let before = list_values(before);
    let mut after = list_values(after);
    let mut differences: Vec<_> = before
        .into_iter()
        .filter_map(|(path, value)| {
            let next = after.remove(&path);
            (next.as_ref() != Some(&value)).then_some(DocumentDifference {
                path,
                before: Some(value),
                after: next,
            })
        })
        .collect();
    differences.extend(after.into_iter().map(|(path, value)| DocumentDifference {
        path,
        before: None,
        after: Some(value),
    }));
    differences.sort_by(|left, right| left.path.cmp(&right.path));
    differences
}

fn list_values(document: &EnvironmentDocument) -> BTreeMap<String, Value> {
    let mut values = BTreeMap::new();
    // A document always has a JSON form; were it not so, it would show as empty.
    let whole = serde_json::to_value(document).unwrap_or_default();
    add_values("$", &whole, &mut values);
    values
}

fn add_values(path: &str, value: &Value, values: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(fields) => fields
            .iter()
            .for_each(|(name, value)| add_values(&format!("{path}.{name}"), value, values)),
        Value::Array(items) => items.iter().enumerate().for_each(|(index, item)| {
            let name = item.get("name").and_then(Value::as_str);
            let key = name.map_or_else(|| index.to_string(), str::to_owned);
            add_values(&format!("{path}[{key}]"), item, values);
        }),
        plain => {
            values.insert(path.to_owned(), plain.clone());
        }
    }
}
