//! All faults of settings are reported, flags take precedence, and secrets are hidden.

use std::collections::HashMap;

use wisteriawinch::settings::{Flags, Settings, Stall};

const SECRET: &str = "a-secret-of-some-length";

fn env(pairs: &[(&str, &str)]) -> HashMap<String, String> {
    pairs.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect()
}

fn complete_env() -> HashMap<String, String> {
    env(&[
        ("WINCH_NAME", "entry-1"),
        ("WINCH_DC", "wien-1"),
        ("WINCH_LISTEN", "127.0.0.1:80"),
        ("WINCH_PEER", "127.0.0.1:81"),
        ("WINCH_PLATFORM", "http://127.0.0.1:82"),
        ("WINCH_FLEET_KEY", SECRET),
        ("WINCH_OPERATOR_TOKEN", SECRET),
    ])
}

#[test]
fn all_missing() {
    let faults = Settings::resolve(&Flags::default(), |_| None).unwrap_err();
    assert_eq!(faults.len(), 7, "{faults:#?}");
}

#[test]
fn flags_take_precedence() {
    let flags = Flags { name: Some("entry-9".into()), ..Flags::default() };
    let env = complete_env();
    let settings = Settings::resolve(&flags, |name| env.get(name).cloned()).unwrap();
    assert_eq!(&*settings.name, "entry-9");
    assert_eq!(settings.stall, Stall::Hedged);
}

#[test]
fn every_fault() {
    let mut env = complete_env();
    let bad = [
        ("WINCH_NAME", "a.b"),
        ("WINCH_LISTEN", "nowhere"),
        ("WINCH_FLEET_KEY", "short"),
        ("WINCH_STALL", "guess"),
        ("WINCH_MAX_BODY", "-1"),
        ("WINCH_SEEDS", "127.0.0.1:1, x"),
    ];
    env.extend(bad.map(|(name, value)| (name.to_owned(), value.to_owned())));
    let faults = Settings::resolve(&Flags::default(), |name| env.get(name).cloned()).unwrap_err();
    for (name, _) in bad {
        let name = name.trim_start_matches("WINCH_");
        assert!(faults.iter().any(|fault| fault.contains(name)), "{name}: {faults:#?}");
    }
}

#[test]
fn secrets_hidden() {
    let env = complete_env();
    let settings = Settings::resolve(&Flags::default(), |name| env.get(name).cloned()).unwrap();
    assert!(!format!("{settings:?}").contains(SECRET));
}
