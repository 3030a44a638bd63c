//! Changes to the configuration, and the parser of configuration files.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    check::{Code, Fault},
    object::{Id, Object},
};

/// A change that is, or is about to be, committed as one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that the change creates.
    pub revision: u64,
    /// Random number that identifies the change. The publisher recognises its own
    /// commit by it when the table's response was lost.
    pub nonce: u64,
    /// Objects created or replaced.
    pub puts: Vec<Arc<Object>>,
    /// Objects removed.
    pub deletes: Vec<Id>,
}

/// A change requested by an operator, as read from a configuration file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Objects created or replaced.
    pub puts: Vec<Arc<Object>>,
    /// Objects removed.
    pub deletes: Vec<Id>,
}

impl Edit {
    /// Returns the identifiers of all objects that the edit puts or deletes.
    pub fn ids(&self) -> impl Iterator<Item = Id> {
        self.puts.iter().map(|object| object.id()).chain(self.deletes.iter().cloned())
    }
}

/// Parses the text of a configuration file: `{"objects": [...], "deletes": [...]}`.
///
/// # Errors
/// Returns every fault of the text, not only the first.
pub fn parse(text: &str) -> Result<Edit, Vec<Fault>> {
    let value: Value = serde_json::from_str(text)
        .map_err(|e| vec![Fault::new("file", "", Code::Syntax, e.to_string())])?;
    let mut faults = Vec::new();
    let fields = value.as_object().cloned().unwrap_or_else(|| {
        faults.push(Fault::new("file", "", Code::Syntax, "expected an object with `objects`"));
        serde_json::Map::new()
    });
    for field in fields.keys().filter(|key| !["objects", "deletes"].contains(&key.as_str())) {
        faults.push(Fault::new("file", field, Code::UnknownField, "use `objects` or `deletes`"));
    }
    let puts = decode_list(&fields, "objects", &mut faults);
    let deletes = decode_list(&fields, "deletes", &mut faults);
    if faults.is_empty() { Ok(Edit { puts, deletes }) } else { Err(faults) }
}

/// Decodes the list in `field`, which is empty if the field is absent. Adds a fault for
/// each item that cannot be decoded.
fn decode_list<T: for<'de> Deserialize<'de>>(
    fields: &serde_json::Map<String, Value>,
    field: &str,
    faults: &mut Vec<Fault>,
) -> Vec<T> {
    let Some(value) = fields.get(field) else {
        return Vec::new();
    };
    let Some(values) = value.as_array() else {
        faults.push(Fault::new("file", field, Code::Syntax, "expected a list"));
        return Vec::new();
    };
    let mut items = Vec::new();
    for (index, value) in values.iter().enumerate() {
        match serde_json::from_value(value.clone()) {
            Ok(item) => items.push(item),
            Err(error) => {
                let label = object_label(value, field, index);
                faults.push(Fault::new(label, "", Code::of(&error), error.to_string()));
            }
        }
    }
    items
}

/// Returns the label of an item in a fault: its kind and name, or its position if either
/// is missing.
fn object_label(value: &Value, field: &str, index: usize) -> String {
    match (value["kind"].as_str(), value["name"].as_str()) {
        (Some(kind), Some(name)) => format!("{kind}/{name}"),
        _ => format!("{field}[{index}]"),
    }
}
