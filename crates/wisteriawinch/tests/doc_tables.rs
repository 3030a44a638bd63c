//! The tables in the documentation match the code.

use std::collections::BTreeMap;

use winch_config::{check, lint};
use winch_relay::code as relay;
use winch_roster::frame;
use wisteriawinch::{
    code::{Code, Ran},
    event::Event,
};

/// Returns the rows of a page's tables, keyed by the number in their first cell.
fn rows(page: &str) -> BTreeMap<u16, Vec<String>> {
    let cells = |line: &str| -> Vec<String> {
        line.trim_matches('|').split('|').map(|cell| cell.trim().to_owned()).collect()
    };
    let rows = page.lines().filter(|line| line.starts_with('|')).map(cells);
    rows.filter_map(|row| Some((row[0].parse().ok()?, row))).collect()
}

#[test]
fn code_table() {
    let rows = rows(include_str!("../../../docs/codes.md"));
    for code in Code::ALL {
        let row = &rows[&(*code as u16)];
        let ran = match code.ran() {
            Ran::No => "true",
            Ran::Yes => "false",
            Ran::Unknown => "unknown",
        };
        let expected = [
            format!("`{}`", code.name()),
            code.status().to_string(),
            ran.into(),
            code.retry().to_string(),
        ];
        assert_eq!(row[1..5], expected);
    }
    for code in relay::Code::ALL {
        let row = &rows[&(*code as u16)];
        let not_run = if code.may_have_run() { "unknown" } else { "true" };
        let expected =
            [format!("`{}`", code.name()), code.status().as_u16().to_string(), not_run.into()];
        assert_eq!(row[1..4], expected);
    }
    let relay = |number: u16| relay::Code::ALL.iter().any(|code| *code as u16 == number);
    for number in rows.keys().filter(|number| **number >= 100 && !relay(**number)) {
        let fault = check::Code::ALL.iter().any(|fault| u16::from(*fault) == *number);
        let warning = lint::Code::ALL.iter().any(|code| *code as u16 == *number);
        let is_known = fault || warning || frame::Error::CODES.contains(number);
        assert!(is_known || Code::from_number(*number).is_some(), "{number} is not in the code");
    }
    for number in frame::Error::CODES {
        assert!(rows.contains_key(number), "{number} is not in the table");
    }
    for fault in check::Code::ALL {
        assert!(rows.contains_key(&u16::from(fault)));
    }
    for warning in lint::Code::ALL {
        assert!(rows.contains_key(&(warning as u16)), "{warning:?} is not in the table");
    }
}

#[test]
fn event_table() {
    let rows = rows(include_str!("../../../docs/events.md"));
    assert_eq!(rows.len(), Event::ALL.len());
    for event in Event::ALL {
        let row = &rows[&(*event as u16)];
        assert_eq!(row[1], event.level().to_string().to_lowercase());
        assert_eq!(row[2], event.text());
    }
}

#[test]
fn code_names_unique() {
    let names: BTreeMap<&str, Code> = Code::ALL.iter().map(|code| (code.name(), *code)).collect();
    assert_eq!(names.len(), Code::ALL.len());
}

#[test]
fn not_run_matches_code() {
    for code in Code::ALL {
        let body = code.body("x");
        assert_eq!(body["error"]["not_run"] == true, code.ran() == Ran::No);
    }
}
