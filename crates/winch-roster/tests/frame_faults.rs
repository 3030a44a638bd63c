//! A frame that cannot be used has a numbered fault.

use assert_matches::assert_matches;
use winch_roster::frame::{Delta, Entry, Error, FORMAT};

fn delta(entry: Entry) -> Delta {
    Delta { format: FORMAT, names: vec!["s".to_owned()], put: vec![entry], ..Delta::default() }
}

fn entry() -> Entry {
    Entry { id: "i-1".to_owned(), ip: vec![10, 0, 0, 1].into(), port: 80, ..Entry::default() }
}

#[test]
fn unknown_format() {
    let decoded = Delta { format: FORMAT + 1, ..Delta::default() }.decode_delta();
    assert_matches!(decoded, Err(Error::Format { found }) if found == FORMAT + 1);
}

#[test]
fn unlisted_name() {
    let decoded = delta(Entry { dc: 1, ..entry() }).decode_delta();
    assert_matches!(&decoded, Err(Error::Name { index: 1, .. }));
    assert_eq!(decoded.unwrap_err().code(), 702);
}

#[test]
fn invalid_address() {
    for entry in [Entry { ip: vec![10, 0, 1].into(), ..entry() }, Entry { port: 70_000, ..entry() }]
    {
        assert_matches!(delta(entry).decode_delta(), Err(Error::Address { .. }));
    }
    assert_matches!(delta(entry()).decode_delta(), Ok(_));
}

#[test]
fn texts_begin_with_codes() {
    let id = "i-1".to_owned();
    let faults = [
        Error::Format { found: 2 },
        Error::Name { id: id.clone(), index: 1 },
        Error::Address { id },
    ];
    for (fault, code) in faults.iter().zip(Error::CODES) {
        assert_eq!(fault.code(), *code);
        assert!(fault.to_string().starts_with(&format!("{code}: ")), "{fault}");
    }
}
