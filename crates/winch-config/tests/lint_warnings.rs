//! A set without faults is searched for objects without effect and for contradictions.

use winch_config::{
    change::{Change, Edit, parse},
    check::check,
    lint::{Code, Warning, lint, lint_edit},
    set::Set,
};

fn edit(text: &str) -> Edit {
    parse(text).expect("the text parses")
}

fn set(text: &str) -> Set {
    let set = Set::default().preview(&Change { puts: edit(text).puts, ..Change::default() });
    assert_eq!(check(&set), [], "the set has no faults");
    set
}

fn keys(warnings: &[Warning]) -> Vec<(&str, &str, Code)> {
    warnings.iter().map(|w| (w.object.as_str(), w.field.as_str(), w.code)).collect()
}

/// A deployment that is as it should be gets no warning, or the operators ignore them all.
#[test]
fn sound_set_silent() {
    let text = r#"{"objects": [
        {"kind": "version", "name": "v1", "model": "m"},
        {"kind": "version", "name": "v2", "model": "m"},
        {"kind": "service", "name": "s", "idempotent": ["GET"]},
        {"kind": "route", "name": "r", "model": "m", "version": "v1"},
        {"kind": "route", "name": "o", "prefix": "/orders", "service": "s"},
        {"kind": "upstream", "name": "u1", "address": "127.0.0.1:1", "dc": "a", "runs": {"version": "v1"}},
        {"kind": "upstream", "name": "u2", "address": "127.0.0.1:2", "dc": "a", "runs": {"version": "v2"}},
        {"kind": "upstream", "name": "u3", "address": "127.0.0.1:3", "dc": "a", "runs": {"service": "s"},
         "fencing": "honoured"},
        {"kind": "move", "name": "mv", "route": "r", "from": "v1", "to": "v2", "start": 0, "deadline": 60}
    ]}"#;
    assert_eq!(lint(&set(text)), []);
    assert_eq!(lint_edit(&edit(text)), []);
}

#[test]
fn unused_objects_found() {
    let text = r#"{"objects": [
        {"kind": "version", "name": "v1", "model": "m"},
        {"kind": "service", "name": "s", "idempotent": ["GET", "GET"]},
        {"kind": "upstream", "name": "u1", "address": "127.0.0.1:1", "dc": "a", "runs": {"version": "v1"}}
    ]}"#;
    let warnings = lint(&set(text));
    let expected = [
        ("version/v1", "", Code::Unused),
        ("service/s", "", Code::Unused),
        ("upstream/u1", "runs", Code::Unused),
        ("service/s", "idempotent", Code::Unused),
    ];
    assert_eq!(keys(&warnings), expected);
    assert_eq!(warnings[0].to_string(), "321 version/v1: no route and no move uses it");
}

/// A team with such a digest is refused although its key is right.
#[test]
fn digest_case_found() {
    let (lower, upper) = ("ab".repeat(32), "AB".repeat(32));
    let text = format!(
        r#"{{"objects": [{{"kind": "team", "name": "t1", "key_digest": "{lower}"}},
            {{"kind": "team", "name": "t2", "key_digest": "{upper}"}}]}}"#
    );
    let warnings = lint(&set(&text));
    let hidden = ("team/t2", "key_digest", Code::Hidden);
    assert_eq!(keys(&warnings), [hidden, hidden]);
}

#[test]
fn unserved_and_short_move_found() {
    let text = r#"{"objects": [
        {"kind": "version", "name": "v1", "model": "m"},
        {"kind": "version", "name": "v2", "model": "m"},
        {"kind": "version", "name": "v3", "model": "n"},
        {"kind": "version", "name": "v4", "model": "n"},
        {"kind": "service", "name": "s"},
        {"kind": "route", "name": "r", "model": "m", "version": "v1"},
        {"kind": "route", "name": "q", "model": "n", "version": "v3"},
        {"kind": "route", "name": "o", "prefix": "/orders", "service": "s"},
        {"kind": "upstream", "name": "u1", "address": "127.0.0.1:1", "dc": "a", "runs": {"version": "v1"}},
        {"kind": "upstream", "name": "u2", "address": "127.0.0.1:2", "dc": "a", "runs": {"version": "v2"},
         "slots": 4},
        {"kind": "upstream", "name": "u3", "address": "127.0.0.1:3", "dc": "a", "runs": {"version": "v3"},
         "leaving": true},
        {"kind": "move", "name": "few", "route": "r", "from": "v1", "to": "v2", "start": 0, "deadline": 14},
        {"kind": "move", "name": "none", "route": "q", "from": "v3", "to": "v4", "start": 0, "deadline": 60}
    ]}"#;
    let warnings = lint(&set(text));
    let expected = [
        ("route/o", "service", Code::Unserved),
        ("route/q", "version", Code::Unserved),
        ("move/few", "to", Code::Limits),
        ("move/few", "deadline", Code::Limits),
        ("move/none", "to", Code::Unserved),
    ];
    assert_eq!(keys(&warnings), expected);
}

/// Of two objects with one name in a file, only the last takes effect.
#[test]
fn replaced_in_file_found() {
    let text = r#"{"objects": [
        {"kind": "service", "name": "s", "timeout_ms": 1},
        {"kind": "service", "name": "s", "timeout_ms": 2},
        {"kind": "service", "name": "kept"}
    ], "deletes": [{"kind": "service", "name": "kept"}]}"#;
    let warnings = lint_edit(&edit(text));
    let expected = [("service/s", "", Code::Hidden), ("service/kept", "", Code::Hidden)];
    assert_eq!(keys(&warnings), expected);
}
