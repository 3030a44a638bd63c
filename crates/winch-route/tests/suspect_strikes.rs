//! Requests that crash engines are found. Innocent requests are not refused, and crashes with a
//! shared cause are attributed to no request.

use std::time::Duration;

use proptest::prelude::*;
use winch_route::{
    hash,
    suspect::{Crash, Disposition, Fingerprint, Options, Tracker, fingerprint},
};

/// Largest number of engines in the whole fleet that one request may crash.
const MAX_ENGINES_LOST: u64 = 3;

fn at(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Runs a request that crashes every engine it runs on, with a tracker per daemon.
///
/// Each engine also runs `innocents` other requests. Every strike reaches all trackers. Returns
/// the number of crashes until the request is refused, and how often an innocent request was
/// refused.
fn engines_lost(daemons: usize, innocents: usize, seed: u64) -> (u64, usize) {
    let mut trackers: Vec<Tracker> =
        (0..daemons).map(|_| Tracker::new(Options::default())).collect();
    let poison = fingerprint("team", "m", "poison");
    let mut refused_innocents = 0;
    for round in 0..20 {
        let now = at(10 * round + 1);
        let daemon = (hash::mix(seed ^ round) as usize) % daemons;
        if trackers[daemon].disposition(poison, now) == Disposition::Refused {
            return (round, refused_innocents);
        }
        let running: Vec<Fingerprint> = (0..innocents)
            .map(|n| Fingerprint(hash::mix(round * 100 + n as u64)))
            .chain([poison])
            .collect();
        let crash = Crash(hash::mix(seed + round));
        let struck = trackers[daemon].record_crash(crash, &running, now);
        for tracker in &mut trackers {
            struck.iter().for_each(|fingerprint| {
                tracker.record_crash(crash, &[*fingerprint], now);
            });
        }
        let is_refused = |fingerprint: &&Fingerprint| {
            trackers[0].disposition(**fingerprint, now) == Disposition::Refused
        };
        refused_innocents +=
            running.iter().filter(|request| **request != poison).filter(is_refused).count();
    }
    (20, refused_innocents)
}

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(15), ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn loss_bounded(daemons in 1..13_usize, innocents in 0..20_usize, seed in any::<u64>()) {
        let (lost, refused_innocents) = engines_lost(daemons, innocents, seed);
        prop_assert!(lost <= MAX_ENGINES_LOST);
        prop_assert_eq!(refused_innocents, 0);
    }

    #[test]
    fn duplicate_strike(times in 1..9_usize) {
        let mut tracker = Tracker::new(Options::default());
        (0..times).for_each(|_| { tracker.record_strike(Fingerprint(1), Crash(1), at(1)); });
        prop_assert_eq!(tracker.disposition(Fingerprint(1), at(1)), Disposition::Struck);
    }
}

#[test]
fn rack_loss_not_attributed() {
    // All engines of a rack crash at once, each with different requests.
    let mut tracker = Tracker::new(Options::default());
    let running = |rack: u64| (0..16).map(move |n| Fingerprint(rack * 100 + n));
    for rack in 0..6 {
        let fingerprints: Vec<Fingerprint> = running(rack).collect();
        tracker.record_crash(Crash(rack), &fingerprints, Duration::from_millis(1_000 + rack * 100));
    }
    for fingerprint in (0..6).flat_map(running) {
        assert_eq!(tracker.disposition(fingerprint, at(2)), Disposition::Clear);
    }
}

#[test]
fn poison_found_in_burst() {
    // One request crashes several engines within the shared window, each of which runs an
    // innocent request too.
    let mut tracker = Tracker::new(Options::default());
    for crash in 0..6 {
        let running = [Fingerprint(1), Fingerprint(100 + crash)];
        tracker.record_crash(Crash(crash), &running, Duration::from_millis(1_000 + crash * 10));
    }
    assert_eq!(tracker.disposition(Fingerprint(1), at(2)), Disposition::Refused);
    for crash in 0..6 {
        assert_eq!(tracker.disposition(Fingerprint(100 + crash), at(2)), Disposition::Clear);
    }
}

#[test]
fn bad_version_not_attributed() {
    // All engines of a version crash while the same requests are resumed from one to the next.
    let mut tracker = Tracker::new(Options::default());
    let running: Vec<Fingerprint> = (0..16).map(Fingerprint).collect();
    for crash in 0..6 {
        tracker.record_crash(Crash(crash), &running, Duration::from_millis(1_000 + crash * 100));
    }
    for fingerprint in running {
        assert_eq!(tracker.disposition(fingerprint, at(2)), Disposition::Clear);
    }
}

#[test]
fn crash_retracted() {
    let mut tracker = Tracker::new(Options::default());
    tracker.record_crash(Crash(1), &[Fingerprint(1)], at(1));
    tracker.retract(Crash(1));
    assert_eq!(tracker.disposition(Fingerprint(1), at(1)), Disposition::Clear);
    assert!(tracker.is_empty());
}

#[test]
fn white_space_folded() {
    let seat_plan = fingerprint("team", "m", "seat  plan\nrow 7");
    assert_eq!(seat_plan, fingerprint("team", "m", " seat plan row 7 "));
    assert_ne!(seat_plan, fingerprint("team", "m", "seat plan row 8"));
    assert_ne!(seat_plan, fingerprint("other", "m", "seat plan row 7"));
}

#[test]
fn strikes_expire() {
    let options = Options::default();
    let mut tracker = Tracker::new(options);
    tracker.record_strike(Fingerprint(1), Crash(1), at(1));
    tracker.record_strike(Fingerprint(1), Crash(2), at(20));
    assert_eq!(tracker.disposition(Fingerprint(1), at(21)), Disposition::Isolated);
    assert_eq!(tracker.disposition(Fingerprint(1), at(1) + options.lifetime), Disposition::Struck);
    assert_eq!(tracker.disposition(Fingerprint(1), at(20) + options.lifetime), Disposition::Clear);
}

#[test]
fn completion_clears() {
    let mut tracker = Tracker::new(Options::default());
    tracker.record_strike(Fingerprint(1), Crash(1), at(1));
    tracker.record_strike(Fingerprint(1), Crash(2), at(2));
    tracker.record_completion(Fingerprint(1));
    assert_eq!(tracker.disposition(Fingerprint(1), at(3)), Disposition::Clear);
}

#[test]
fn memory_bounded() {
    let options = Options { max_fingerprints: 100, ..Options::default() };
    let mut tracker = Tracker::new(options);
    for number in 0..10_000 {
        tracker.record_strike(Fingerprint(number), Crash(number), at(1));
    }
    assert!(tracker.len() <= options.max_fingerprints);
}
