//! What a change adds, changes and removes is told field by field.

use winch_config::{
    change::{Change, parse},
    difference::between_sets,
    set::Set,
};

fn set(text: &str) -> Set {
    let edit = parse(text).expect("the text parses");
    Set::default().preview(&Change { puts: edit.puts, ..Change::default() })
}

#[test]
fn changes_by_field() {
    let old = set(r#"{"objects": [
        {"kind": "service", "name": "kept"},
        {"kind": "service", "name": "s", "timeout_ms": 100},
        {"kind": "version", "name": "v1", "model": "m"},
        {"kind": "route", "name": "r", "prefix": "/a", "service": "s"}
    ]}"#);
    let new = set(r#"{"objects": [
        {"kind": "service", "name": "kept", "dedupes": false},
        {"kind": "service", "name": "s", "timeout_ms": 250},
        {"kind": "version", "name": "v2", "model": "m"},
        {"kind": "route", "name": "r", "model": "m", "version": "v2"}
    ]}"#);
    let differences: Vec<String> =
        between_sets(&old, &new).iter().map(ToString::to_string).collect();
    let expected = [
        "changed route/r prefix: \"/a\" -> null",
        "changed route/r service: \"s\" -> null",
        "changed route/r model: null -> \"m\"",
        "changed route/r version: null -> \"v2\"",
        "changed service/s timeout_ms: 100 -> 250",
        "removed version/v1",
        "added version/v2",
    ];
    assert_eq!(differences, expected);
    assert_eq!(between_sets(&new, &new), []);
}
