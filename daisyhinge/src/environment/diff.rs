//! Differences between two environment documents.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::vocabulary::environment::EnvironmentDocument;

/// A value that differs between two documents.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentDifference {
    /// JSON path of the value. Array elements that have a name are indexed by it:
    /// `$.services[card-view].deadline_ms`.
    pub path: String,
    /// Previous value; `None` if it was added.
    pub before: Option<Value>,
    /// New value; `None` if it was removed.
    pub after: Option<Value>,
}

/// Returns the differing values, sorted by path. The order of services, regions and data centres is
/// not significant.
pub fn diff_documents(
    before: &EnvironmentDocument,
    after: &EnvironmentDocument,
) -> Vec<DocumentDifference> {
    let before = flatten_document(before);
    let mut after = flatten_document(after);
    let mut differences: Vec<_> = before
        .into_iter()
        .filter_map(|(path, value)| {
            let new_value = after.remove(&path);
            (new_value.as_ref() != Some(&value)).then_some(DocumentDifference {
                path,
                before: Some(value),
                after: new_value,
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

fn flatten_document(document: &EnvironmentDocument) -> BTreeMap<String, Value> {
    let mut values = BTreeMap::new();
    // Serializing a document cannot fail; if it did, the document would compare as empty.
    let document_value = serde_json::to_value(document).unwrap_or_default();
    flatten_value("$", &document_value, &mut values);
    values
}

fn flatten_value(path: &str, value: &Value, values: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(fields) => fields
            .iter()
            .for_each(|(name, value)| flatten_value(&format!("{path}.{name}"), value, values)),
        Value::Array(items) => items.iter().enumerate().for_each(|(index, item)| {
            let name = item.get("name").and_then(Value::as_str);
            let key = name.map_or_else(|| index.to_string(), str::to_owned);
            flatten_value(&format!("{path}[{key}]"), item, values);
        }),
        scalar => {
            values.insert(path.to_owned(), scalar.clone());
        }
    }
}
