//! A set is checked as a whole, and every fault is reported at once.

use winch_config::{
    change::{Change, Edit, parse},
    check::{Code, check},
    set::Set,
};

const EXAMPLE: &str = include_str!("../../../examples/donauland.json");

fn set(edit: Edit) -> Set {
    Set::default().preview(&Change { puts: edit.puts, ..Change::default() })
}

#[test]
fn examples_pass() {
    for text in [EXAMPLE, include_str!("../../../examples/valdivieso.json")] {
        let edit = parse(text).expect("the example parses");
        assert_eq!(check(&set(edit)), []);
    }
}

#[test]
fn every_fault() {
    let text = r#"{"objects": [
        {"kind": "version", "name": "v1", "model": "m"},
        {"kind": "route", "name": "r", "model": "m", "version": "v9"},
        {"kind": "upstream", "name": "bad name", "address": "127.0.0.1:1", "dc": "a",
         "runs": {"version": "v1"}, "slots": 0},
        {"kind": "upstream", "name": "u2", "address": "127.0.0.1:1", "dc": "a",
         "runs": {"service": "s9"}},
        {"kind": "team", "name": "t", "key_digest": "xyz", "weight": 0},
        {"kind": "move", "name": "mv", "route": "r", "from": "v1", "to": "v1", "start": 9, "deadline": 9}
    ]}"#;
    let faults = check(&set(parse(text).expect("the text parses")));
    let assert_found = |object: &str, field: &str, code: Code| {
        let is_found =
            faults.iter().any(|f| f.object == object && f.field == field && f.code == code);
        assert!(is_found, "{object} {field} {code:?} is not among {faults:#?}");
    };
    assert_found("route/r", "version", Code::MissingReference);
    assert_found("upstream/bad name", "name", Code::BadName);
    assert_found("upstream/bad name", "slots", Code::OutOfRange);
    assert_found("upstream/u2", "address", Code::Duplicate);
    assert_found("upstream/u2", "runs", Code::MissingReference);
    assert_found("team/t", "key_digest", Code::Syntax);
    assert_found("team/t", "weight", Code::OutOfRange);
    assert_found("move/mv", "deadline", Code::OutOfRange);
    assert_found("move/mv", "to", Code::Contradiction);
}

#[test]
fn unknown_fields() {
    let text = r#"{"objects": [
        {"kind": "version", "name": "v1", "model": "m", "colour": 1},
        {"kind": "route", "name": "r", "model": "m"},
        {"kind": "nothing"}
    ], "extra": 1}"#;
    let faults = parse(text).expect_err("the text has faults");
    let codes: Vec<(&str, Code)> = faults.iter().map(|f| (f.object.as_str(), f.code)).collect();
    assert_eq!(
        codes,
        [
            ("file", Code::UnknownField),
            ("version/v1", Code::UnknownField),
            ("route/r", Code::Syntax),
            ("objects[2]", Code::Syntax),
        ]
    );
}

#[test]
fn one_move_per_route() {
    let text = r#"{"objects": [
        {"kind": "version", "name": "v1", "model": "m"},
        {"kind": "version", "name": "v2", "model": "m"},
        {"kind": "upstream", "name": "u", "address": "127.0.0.1:1", "dc": "a", "runs": {"version": "v1"}},
        {"kind": "route", "name": "r", "model": "m", "version": "v1"},
        {"kind": "move", "name": "a", "route": "r", "from": "v1", "to": "v2", "start": 1, "deadline": 9},
        {"kind": "move", "name": "b", "route": "r", "from": "v1", "to": "v2", "start": 1, "deadline": 9}
    ]}"#;
    let faults = check(&set(parse(text).expect("the text parses")));
    assert_eq!(faults.len(), 1, "{faults:#?}");
    assert_eq!((faults[0].object.as_str(), faults[0].code), ("move/b", Code::Contradiction));
}
