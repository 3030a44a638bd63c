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

/// Whether requests with these parts are refused.
fn refuses(ledger: &Ledger, parts: &[Part], now: Duration) -> bool {
    ledger.find_quarantined(parts, now).is_some()
}

/// A ledger in which `FIRST` and `BAD` are quarantined together at 3 s.
fn quarantined() -> Ledger {
    let mut ledger = Ledger::new(Options::default());
    for number in 1..=3 {
        strike(&mut ledger, number, &[FIRST, BAD], at(number));
    }
    assert!(refuses(&ledger, &[FIRST, BAD], at(3)));
    ledger
}

#[test]
fn third_request_quarantines() {
    let mut ledger = Ledger::new(Options::default());
    let is_found = |finding: &Finding| !finding.quarantined.is_empty();
    assert!(!is_found(&strike(&mut ledger, 1, &[FIRST, BAD], at(1))));
    assert!(!is_found(&strike(&mut ledger, 2, &[FIRST, BAD], at(2))));
    let finding = strike(&mut ledger, 3, &[FIRST, BAD], at(3));
    assert_eq!(finding.quarantined, [FIRST, BAD], "there is the same evidence against both");
    assert_eq!(finding.explained, [Crash(1), Crash(2), Crash(3)]);
    assert!(refuses(&ledger, &[FIRST, BAD, Part(9)], at(3)));
}

// Guards against sound requests that are refused for a part which they share with the culprit.
#[test]
fn others_without_culprit_served() {
    let (style, form) = (Part(3), Part(4));
    let mut ledger = Ledger::new(Options::default());
    for number in 1..=9 {
        strike(&mut ledger, number, &[style, BAD, form], at(number));
    }
    assert!(refuses(&ledger, &[style, BAD, form], at(9)));
    for sound in [&[style, form][..], &[style], &[form], &[style, form, Part(5)]] {
        assert!(!refuses(&ledger, sound, at(9)), "{sound:?}");
    }
    ledger.clear(&[style, form], at(9));
    assert!(refuses(&ledger, &[BAD], at(9)), "the evidence is left for it alone");
}

// Guards against a culprit that each tenant pays for anew (review/15).
#[test]
fn culprit_of_many_tenants() {
    let mut ledger = Ledger::new(Options::default());
    for number in 1..=3 {
        strike(&mut ledger, number, &[Part(10), BAD, Part(11)], at(number));
    }
    let parts = [Part(20), BAD, Part(21)];
    assert!(!refuses(&ledger, &parts, at(4)));
    assert_eq!(strike(&mut ledger, 4, &parts, at(4)).quarantined, [BAD]);
    assert!(refuses(&ledger, &[Part(30), BAD, Part(31)], at(4)));
    assert!(!refuses(&ledger, &[Part(10), Part(11)], at(4)));
}

// Guards against a sound request on the crashed engine whose strike comes first.
#[test]
fn bystander_struck_first() {
    let (style, form) = (Part(3), Part(4));
    let mut ledger = Ledger::new(Options::default());
    for number in 1..=3 {
        ledger.record_strike(Fingerprint(50 + number), Crash(number), &[style], at(number));
        strike(&mut ledger, number, &[style, BAD, form], at(number));
    }
    assert!(refuses(&ledger, &[style, BAD, form], at(3)));
    assert!(!refuses(&ledger, &[style, Part(9)], at(3)));
    // It is at the engine of one more crash.
    ledger.record_strike(Fingerprint(54), Crash(4), &[style], at(4));
    strike(&mut ledger, 4, &[style, BAD, form], at(4));
    assert!(refuses(&ledger, &[style, BAD, form], at(4)));
    assert!(!refuses(&ledger, &[style, Part(9)], at(4)));
}

#[test]
fn rivals_refused_late() {
    let (style, sound) = (Part(3), Part(4));
    let mut ledger = Ledger::new(Options::default());
    for number in 1..=6 {
        assert!(!refuses(&ledger, &[style, BAD], at(number)), "{number}");
        ledger.record_strike(Fingerprint(50 + number), Crash(number), &[style, sound], at(number));
        strike(&mut ledger, number, &[style, BAD], at(number));
    }
    assert!(refuses(&ledger, &[style, BAD], at(6)), "either explains six crashes");
    ledger.clear(&[style, sound], at(7));
    assert!(!refuses(&ledger, &[style, sound], at(7)));
    assert!(refuses(&ledger, &[BAD], at(7)));
}

// Guards against a follower that knows a strike without its parts, or with some of them.
#[test]
fn told_parts_merge() {
    let mut ledger = Ledger::new(Options::default());
    for (number, parts) in [(1, &[][..]), (2, &[FIRST]), (3, &[BAD])] {
        strike(&mut ledger, number, parts, at(number));
    }
    for number in 1..=3 {
        assert!(strike(&mut ledger, number, &[FIRST, BAD], at(number)).is_new);
        assert!(!strike(&mut ledger, number, &[BAD], at(number)).is_new);
    }
    assert!(refuses(&ledger, &[FIRST, BAD], at(3)));
}

// Guards against a daemon that blames one part because it was told of this one first.
#[test]
fn merged_parts_widen() {
    let mut ledger = Ledger::new(Options::default());
    for number in 1..=3 {
        strike(&mut ledger, number, &[FIRST], at(number));
    }
    assert!(refuses(&ledger, &[FIRST], at(3)));
    for number in 1..=3 {
        strike(&mut ledger, number, &[FIRST, BAD], at(number));
    }
    assert!(!refuses(&ledger, &[FIRST], at(3)));
    assert!(refuses(&ledger, &[FIRST, BAD], at(3)));
}

// Guards against a quarantine for crashes that were none.
#[test]
fn retracted_crash_releases() {
    let mut ledger = quarantined();
    strike(&mut ledger, 4, &[FIRST, BAD], at(4));
    ledger.retract(Crash(1));
    assert!(refuses(&ledger, &[FIRST, BAD], at(4)), "three crashes are left");
    ledger.retract(Crash(2));
    assert!(!refuses(&ledger, &[FIRST, BAD], at(4)));
    assert!(!ledger.explains(Crash(3)), "what is left explains nothing");
    strike(&mut ledger, 5, &[FIRST, BAD], at(5));
    assert!(refuses(&ledger, &[FIRST, BAD], at(5)), "it is found again");
}

#[test]
fn explained_crash_counts_once() {
    let other = Part(3);
    for shared in [&[FIRST][..], &[FIRST, other]] {
        let mut ledger = quarantined();
        for number in 4..20 {
            strike(&mut ledger, number, &[FIRST, BAD], at(number));
            // Another request was at the same engine.
            let bystander = Fingerprint(100 + number);
            ledger.record_strike(bystander, Crash(number), shared, at(number));
        }
        assert!(!refuses(&ledger, shared, at(20)), "{shared:?}");
    }
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
    assert!(!refuses(&ledger, &[FIRST], at(9)), "two of its three crashes are explained");
}

#[test]
fn true_culprit_found() {
    // The first requests with the bad part happen to share a later part, too.
    let (later, mut ledger) = (Part(3), Ledger::new(Options::default()));
    for number in 1..=3 {
        strike(&mut ledger, number, &[FIRST, BAD, later], at(number));
    }
    assert!(!refuses(&ledger, &[FIRST, BAD], at(4)));
    let finding = strike(&mut ledger, 4, &[FIRST, BAD], at(4));
    assert_eq!(finding.quarantined, [FIRST, BAD], "the earlier crashes count against them");
    ledger.clear(&[FIRST, later], at(5));
    assert!(refuses(&ledger, &[BAD], at(5)));
    assert!(!refuses(&ledger, &[FIRST, later], at(5)));
}

#[test]
fn culprit_left_by_survivor() {
    let (later, mut ledger) = (Part(3), Ledger::new(Options::default()));
    for number in 1..=3 {
        strike(&mut ledger, number, &[FIRST, BAD, later], at(number));
    }
    assert!(refuses(&ledger, &[FIRST, BAD, later], at(3)));
    ledger.clear(&[FIRST, later], at(4));
    assert!(refuses(&ledger, &[BAD], at(4)), "the earlier crashes count against it alone");
    strike(&mut ledger, 4, &[FIRST, BAD, later], at(5));
    assert!(refuses(&ledger, &[BAD], at(5)));
    assert!(!refuses(&ledger, &[FIRST, later], at(5)));
}

#[test]
fn lone_request_spares_parts() {
    let mut ledger = Ledger::new(Options::default());
    for number in 1..=9 {
        ledger.record_strike(Fingerprint(7), Crash(number), &[FIRST, BAD], at(number));
    }
    assert!(!refuses(&ledger, &[FIRST, BAD], at(9)), "the request crashes engines by itself");
}

#[test]
fn survivor_clears() {
    let mut ledger = quarantined();
    assert_eq!(ledger.clear(&[FIRST, BAD], at(4)), [FIRST, BAD]);
    assert!(!refuses(&ledger, &[FIRST, BAD], at(4)));
    for number in 4..30 {
        strike(&mut ledger, number, &[BAD], at(number));
    }
    assert!(!refuses(&ledger, &[BAD], at(30)), "nor is it struck for a while");
}

#[test]
fn survival_expires() {
    let mut ledger = Ledger::new(Options::default());
    ledger.clear(&[BAD], at(0));
    for number in 31..=33 {
        strike(&mut ledger, number, &[BAD], at(number));
    }
    assert!(refuses(&ledger, &[BAD], at(33)), "a part may crash engines that it did not before");
}

// Guards against a quarantine that ends by a survival from long before its crashes.
#[test]
fn late_clearance_cancels_earlier() {
    let mut ledger = Ledger::new(Options::default());
    for number in 41..=43 {
        strike(&mut ledger, number, &[BAD], at(number));
    }
    assert!(!ledger.clear_told(BAD, at(5)), "it is told late");
    assert!(refuses(&ledger, &[BAD], at(43)));
    assert!(ledger.clear_told(BAD, at(13)), "it cancels two of the three");
    assert!(!refuses(&ledger, &[BAD], at(43)));
    strike(&mut ledger, 44, &[BAD], at(44));
    strike(&mut ledger, 45, &[BAD], at(45));
    assert!(refuses(&ledger, &[BAD], at(45)));
}

// Guards against survivors that other daemons are not told of.
#[test]
fn untold_survival_taken_once() {
    let mut ledger = Ledger::new(Options::default());
    assert!(ledger.clear(&[FIRST, BAD], at(1)).is_empty(), "neither had a strike");
    assert_eq!(ledger.take_untold(&[FIRST, BAD], at(2)), [(FIRST, at(1)), (BAD, at(1))]);
    ledger.clear(&[FIRST], at(3));
    assert_eq!(ledger.take_untold(&[FIRST], at(4)), [], "what was told covers the strike");
    assert_eq!(ledger.take_untold(&[FIRST], at(32)), [(FIRST, at(3))]);
    assert_eq!(ledger.take_untold(&[BAD], at(32)), [], "it has survived too long ago");
    ledger.clear(&[BAD], at(40));
    ledger.clear_told(BAD, at(39));
    assert_eq!(ledger.take_untold(&[BAD], at(41)), [], "another daemon has told all");
}

#[test]
fn trials_grow_rare() {
    let mut ledger = quarantined();
    let start_trial = |ledger: &mut Ledger, now| {
        let group = ledger.find_quarantined(&[FIRST, BAD], now).expect("quarantined");
        ledger.start_trial(&group, now)
    };
    assert!(!start_trial(&mut ledger, at(32)));
    assert!(start_trial(&mut ledger, at(33)));
    strike(&mut ledger, 4, &[FIRST, BAD], at(34));
    assert!(!start_trial(&mut ledger, at(93)));
    assert!(start_trial(&mut ledger, at(94)));
    assert!(!refuses(&ledger, &[FIRST], at(94)), "it is not quarantined by itself");
}

#[test]
fn quarantine_expires() {
    let ledger = quarantined();
    assert!(refuses(&ledger, &[FIRST, BAD], at(602)));
    assert!(!refuses(&ledger, &[FIRST, BAD], at(603)));
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
            if refuses(&ledger, &[BAD], now) {
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
        prop_assert!(!refuses(&ledger, &[FIRST], at(40)));
    }

    /// Requests with the bad part arrive while no sound request has survived, and none to all of the
    /// crashes strike a sound request, too, before or after the other one. Three may reach engines
    /// after the fifth crash, and more than half of the sound requests must be served.
    #[test]
    fn bad_part_found_without_survivors(seed: u64, share in 0..=4_u64) {
        let mut ledger = Ledger::new(Options::default());
        let part = |round: u64, column: u64| {
            Part(10 * column + hash::mix(seed ^ round ^ (column << 8)) % 3)
        };
        let mut reached = 0;
        for round in 0..40 {
            let (now, parts) = (at(round), [part(round, 1), BAD, part(round, 2)]);
            if refuses(&ledger, &parts, now) {
                continue;
            }
            reached += 1;
            let is_struck = hash::mix(seed ^ (round << 16)) % 4 < share;
            let bystander = [part(round + 100, 1), part(round + 100, 2)];
            let is_first = hash::mix(seed ^ (round << 24)).is_multiple_of(2);
            let strike_bystander = |ledger: &mut Ledger| {
                ledger.record_strike(Fingerprint(100 + round), Crash(round), &bystander, now);
            };
            if is_struck && is_first {
                strike_bystander(&mut ledger);
            }
            strike(&mut ledger, round, &parts, now);
            if is_struck && !is_first {
                strike_bystander(&mut ledger);
            }
        }
        prop_assert!(reached <= 8, "{reached} requests reached engines");
        let sound = (0..9).map(|number| [Part(10 + number / 3), Part(20 + number % 3)]);
        let refused = sound.filter(|parts| refuses(&ledger, parts, at(40))).count();
        prop_assert!(refused <= if share == 0 { 0 } else { 4 }, "{refused} of 9 are refused");
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
                prop_assert!(!refuses(&ledger, &parts, at(1)));
            }
        }
    }
}
