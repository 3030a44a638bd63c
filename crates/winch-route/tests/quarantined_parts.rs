//! Parts of prompts on which engines crash are found, and parts that sound requests hold stay
//! usable.

use std::time::Duration;

use proptest::prelude::*;
use winch_route::{
    hash,
    quarantine::{Finding, Ledger, Options, Part},
    suspect::{Crash, Fingerprint},
};

const FIRST: Part = Part(1);
const BAD: Part = Part(2);

fn at(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn strike(ledger: &mut Ledger, number: u64, parts: &[Part], now: Duration) -> Finding {
    ledger.record_strike(Fingerprint(number), Crash(number), parts, now)
}

/// A ledger in which `BAD` is quarantined at 3 s.
fn quarantined() -> Ledger {
    let mut ledger = Ledger::new(Options::default());
    for number in 1..=3 {
        strike(&mut ledger, number, &[FIRST, BAD], at(number));
    }
    assert!(ledger.is_quarantined(BAD, at(3)));
    ledger
}

#[test]
fn third_request_quarantines() {
    let mut ledger = Ledger::new(Options::default());
    assert_eq!(strike(&mut ledger, 1, &[FIRST, BAD], at(1)), Finding::default());
    assert_eq!(strike(&mut ledger, 2, &[FIRST, BAD], at(2)), Finding::default());
    let finding = strike(&mut ledger, 3, &[FIRST, BAD], at(3));
    assert_eq!(finding.quarantined, Some(BAD), "of two parts the one that fewer requests hold");
    assert_eq!(finding.explained, [Crash(1), Crash(2), Crash(3)]);
    assert!(!ledger.is_quarantined(FIRST, at(3)));
}

// Guards against a quarantine for crashes that were none.
#[test]
fn retracted_crash_releases() {
    let mut ledger = quarantined();
    strike(&mut ledger, 4, &[FIRST, BAD], at(4));
    ledger.retract(Crash(1));
    assert!(ledger.is_quarantined(BAD, at(4)), "three crashes are left");
    ledger.retract(Crash(2));
    assert!(!ledger.is_quarantined(BAD, at(4)));
    assert!(!ledger.explains(Crash(3)), "what is left explains nothing");
    strike(&mut ledger, 5, &[FIRST, BAD], at(5));
    assert!(ledger.is_quarantined(BAD, at(5)), "it is found again");
}

#[test]
fn explained_crash_counts_once() {
    let mut ledger = quarantined();
    for number in 4..20 {
        strike(&mut ledger, number, &[FIRST, BAD], at(number));
        // Another request was at the same engine.
        ledger.record_strike(Fingerprint(100 + number), Crash(number), &[FIRST], at(number));
    }
    assert!(!ledger.is_quarantined(FIRST, at(20)));
}

#[test]
fn early_bystander_pardoned() {
    let mut ledger = Ledger::new(Options::default());
    for number in 1..=2 {
        ledger.record_strike(Fingerprint(100 + number), Crash(number), &[FIRST], at(number));
        strike(&mut ledger, number, &[BAD], at(number));
    }
    strike(&mut ledger, 3, &[BAD], at(3));
    ledger.record_strike(Fingerprint(200), Crash(9), &[FIRST], at(9));
    assert!(!ledger.is_quarantined(FIRST, at(9)), "two of its three crashes are explained");
}

#[test]
fn true_culprit_found() {
    // The first requests with the bad part happen to share a later part, too.
    let (later, mut ledger) = (Part(3), Ledger::new(Options::default()));
    for number in 1..=3 {
        strike(&mut ledger, number, &[FIRST, BAD, later], at(number));
    }
    assert!(ledger.is_quarantined(later, at(3)));
    ledger.clear(&[FIRST, later], at(4));
    let finding = strike(&mut ledger, 4, &[FIRST, BAD, later], at(5));
    assert_eq!(finding.quarantined, Some(BAD), "the earlier crashes count against it again");
}

#[test]
fn lone_request_spares_parts() {
    let mut ledger = Ledger::new(Options::default());
    for number in 1..=9 {
        ledger.record_strike(Fingerprint(7), Crash(number), &[FIRST, BAD], at(number));
    }
    assert!(!ledger.is_quarantined(BAD, at(9)), "the request crashes engines by itself");
}

#[test]
fn survivor_clears() {
    let mut ledger = quarantined();
    assert_eq!(ledger.clear(&[FIRST, BAD], at(4)), [FIRST, BAD]);
    assert!(!ledger.is_quarantined(BAD, at(4)));
    for number in 4..30 {
        strike(&mut ledger, number, &[BAD], at(number));
    }
    assert!(!ledger.is_quarantined(BAD, at(30)), "nor is it struck for a while");
}

#[test]
fn survival_expires() {
    let mut ledger = Ledger::new(Options::default());
    ledger.clear(&[BAD], at(0));
    for number in 31..=33 {
        strike(&mut ledger, number, &[BAD], at(number));
    }
    assert!(ledger.is_quarantined(BAD, at(33)), "a part may crash engines that it did not before");
}

#[test]
fn trials_grow_rare() {
    let mut ledger = quarantined();
    assert!(!ledger.start_trial(BAD, at(32)));
    assert!(ledger.start_trial(BAD, at(33)));
    strike(&mut ledger, 4, &[BAD], at(34));
    assert!(!ledger.start_trial(BAD, at(93)));
    assert!(ledger.start_trial(BAD, at(94)));
    assert!(!ledger.start_trial(FIRST, at(94)), "it is not quarantined");
}

#[test]
fn quarantine_expires() {
    let ledger = quarantined();
    assert!(ledger.is_quarantined(BAD, at(602)));
    assert!(!ledger.is_quarantined(BAD, at(603)));
}

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(24), ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Requests with the bad part arrive among sound ones that share all their other parts, and
    /// each crash also strikes the sound requests at the engine.
    #[test]
    fn bad_part_found_among_sound(seed: u64, bystanders in 0..6_u64) {
        let mut ledger = Ledger::new(Options::default());
        let mut crashes = 0;
        for round in 0..40 {
            let now = at(round);
            let middle = Part(10 + hash::mix(seed ^ round) % 4);
            if ledger.is_quarantined(BAD, now) {
                break;
            }
            crashes += 1;
            for number in 0..bystanders {
                let request = Fingerprint(1_000 + round * 10 + number);
                ledger.record_strike(request, Crash(round), &[FIRST, middle], now);
            }
            ledger.record_strike(Fingerprint(round), Crash(round), &[FIRST, BAD, middle], now);
            ledger.clear(&[FIRST, Part(10 + round % 4)], now);
        }
        prop_assert!(crashes <= 8, "{crashes} engines crashed");
        prop_assert!(!ledger.is_quarantined(FIRST, at(40)));
    }

    /// Engines crash together, and the requests there have nothing in common but parts that
    /// other requests hold, too.
    #[test]
    fn shared_cause_quarantines_nothing(seed: u64, engines in 4..40_u64) {
        let mut ledger = Ledger::new(Options::default());
        ledger.clear(&[FIRST], at(0));
        for engine in 0..engines {
            for request in 0..8 {
                let own = hash::mix(seed ^ (engine * 8 + request));
                let parts = [FIRST, Part(own)];
                ledger.record_strike(Fingerprint(own), Crash(engine), &parts, at(1));
                prop_assert!(!parts.iter().any(|part| ledger.is_quarantined(*part, at(1))));
            }
        }
    }
}
