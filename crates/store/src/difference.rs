//! Field-by-field comparison of two values of an object.

use {
    serde::Serialize,
    serde_json::Value,
    std::{collections::BTreeMap, fmt},
};

/// Metadata fields, which every edit changes.
const EDIT_METADATA: [&str; 2] = ["generation", "edit"];

/// A field whose value differs between the operator's table and the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Field {
    /// Path of the field, such as `upstreams.dispatch-3.weight`.
    pub path: String,
    /// Value of the operator's table; absent if it has no such field.
    pub mine: Option<Value>,
    /// Value of the store; absent if it has no such field.
    pub theirs: Option<Value>,
}

/// Returns the fields in which two values differ, apart from their generation and edit ID.
pub fn differing_fields(mine: &Value, theirs: &Value) -> Vec<Field> {
    let (mine, theirs) = (flatten(mine), flatten(theirs));
    let mut paths: Vec<&String> = mine.keys().chain(theirs.keys()).collect();
    paths.sort();
    paths.dedup();
    let differing = paths
        .into_iter()
        .filter(|path| mine.get(*path) != theirs.get(*path));
    let field = |path: &String| Field {
        path: path.clone(),
        mine: mine.get(path).cloned(),
        theirs: theirs.get(path).cloned(),
    };
    differing.map(field).collect()
}

/// Returns whether two values are equal apart from their generation and edit ID. The order of upstreams matters.
pub fn is_same(mine: &Value, theirs: &Value) -> bool {
    without_metadata(mine) == without_metadata(theirs)
}

fn without_metadata(value: &Value) -> Value {
    let mut value = value.clone();
    if let Value::Object(object) = &mut value {
        object.retain(|key, _| !EDIT_METADATA.contains(&&**key));
    }
    value
}

fn flatten(value: &Value) -> BTreeMap<String, Value> {
    let mut fields = BTreeMap::new();
    let stripped = without_metadata(value);
    match &stripped {
        Value::Object(_) => collect_leaves("", &stripped, &mut fields),
        _ => collect_leaves("value", &stripped, &mut fields),
    }
    fields
}

fn collect_leaves(path: &str, value: &Value, fields: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                collect_leaves(&join_path(path, key), value, fields);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                let name = item.get("name").and_then(Value::as_str);
                let key = name.map_or_else(|| index.to_string(), str::to_owned);
                collect_leaves(&join_path(path, &key), item, fields);
            }
        }
        leaf => {
            fields.insert(path.to_owned(), leaf.clone());
        }
    }
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}

impl fmt::Display for Field {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Field { path, mine, theirs } = self;
        let text = |value: &Option<Value>| value.as_ref().map_or("absent".into(), Value::to_string);
        write!(
            formatter,
            "{path}: table {}, store {}",
            text(mine),
            text(theirs)
        )
    }
}
