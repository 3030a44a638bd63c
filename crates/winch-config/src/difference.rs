//! Differences between two configurations, field by field.

use std::{collections::BTreeMap, fmt};

use serde_json::{Map, Value};

use crate::set::Set;

/// One difference between an old and a new configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Difference {
    /// An object that only the new configuration has.
    Added {
        /// The object, as `kind/name`.
        object: String,
    },
    /// An object that only the old configuration has.
    Removed {
        /// The object, as `kind/name`.
        object: String,
    },
    /// A field whose values differ.
    Changed {
        /// The object, as `kind/name`.
        object: String,
        /// The field.
        field: String,
        /// Its value in the old configuration; `Null` if it has none.
        old: Value,
        /// Its value in the new configuration; `Null` if it has none.
        new: Value,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { object } => write!(f, "added {object}"),
            Self::Removed { object } => write!(f, "removed {object}"),
            Self::Changed { object, field, old, new } => {
                write!(f, "changed {object} {field}: {old} -> {new}")
            }
        }
    }
}

/// The fields of objects by their labels, `kind/name`.
pub type Objects = BTreeMap<String, Map<String, Value>>;

/// Returns the differences between two sets, sorted by object and field.
pub fn between_sets(old: &Set, new: &Set) -> Vec<Difference> {
    between(&objects(old), &objects(new))
}

fn objects(set: &Set) -> Objects {
    let fields = |object| match serde_json::to_value(object) {
        Ok(Value::Object(fields)) => fields,
        _ => Map::new(),
    };
    set.objects().map(|object| (object.id().to_string(), fields(&**object))).collect()
}

/// Returns the differences between two collections of objects, sorted by object and field.
pub fn between(old: &Objects, new: &Objects) -> Vec<Difference> {
    let mut differences = Vec::new();
    for (object, fields) in old {
        match new.get(object) {
            Some(changed) => compare(object, fields, changed, &mut differences),
            None => differences.push(Difference::Removed { object: object.clone() }),
        }
    }
    let added = new.keys().filter(|object| !old.contains_key(*object));
    differences.extend(added.map(|object| Difference::Added { object: object.clone() }));
    differences
}

fn compare(
    object: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    differences: &mut Vec<Difference>,
) {
    let added = new.keys().filter(|field| !old.contains_key(*field));
    for field in old.keys().chain(added) {
        let value = |fields: &Map<String, Value>| fields.get(field).cloned().unwrap_or_default();
        let (old, new) = (value(old), value(new));
        if old != new {
            let (object, field) = (object.to_owned(), field.clone());
            differences.push(Difference::Changed { object, field, old, new });
        }
    }
}
