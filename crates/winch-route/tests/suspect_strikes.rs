//! Requests that kill engines are found; innocents and shared causes are not blamed.

use std::time::Duration;

use proptest::prelude::*;
use winch_route::{
    hash,
    suspect::{Crash, Disposition, Fingerprint, Options, Tracker, fingerprint},
};

/// Engines that one such request may cost the whole fleet.
const ENGINES_LOST: u64 = 3;

fn at(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// A fleet of boards that hear of every strike, and a request that kills what runs it.
fn engines_lost(daemons: usize, beside: usize, seed: u64) -> (u64, usize) {
    let mut boards: Vec<Tracker> = (0..daemons).map(|_| Tracker::new(Options::default())).collect();
    let poison = fingerprint("team", "m", "poison");
    let mut refused_innocents = 0;
    for round in 0..20 {
        let now = at(10 * round + 1);
        let daemon = (hash::mix(seed ^ round) as usize) % daemons;
        if boards[daemon].disposition(poison, now) == Disposition::Refused {
            return (round, refused_innocents);
        }
        let running: Vec<Fingerprint> = (0..beside)
            .map(|n| Fingerprint(hash::mix(round * 100 + n as u64)))
            .chain([poison])
            .collect();
        let death = Crash(hash::mix(seed + round));
        let struck = boards[daemon].record_crash(death, &running, now);
        for board in &mut boards {
            struck.iter().for_each(|print| {
                board.record_crash(death, &[*print], now);
            });
        }
        let refused =
            |print: &&Fingerprint| boards[0].disposition(**print, now) == Disposition::Refused;
        refused_innocents += running.iter().filter(|p| **p != poison).filter(refused).count();
    }
    (20, refused_innocents)
}

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(15), ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn loss_bounded(daemons in 1..13_usize, beside in 0..20_usize, seed in any::<u64>()) {
        let (lost, refused) = engines_lost(daemons, beside, seed);
        prop_assert!(lost <= ENGINES_LOST);
        prop_assert_eq!(refused, 0);
    }

    #[test]
    fn heard_twice(times in 1..9_usize) {
        let mut board = Tracker::new(Options::default());
        (0..times).for_each(|_| { board.record_strike(Fingerprint(1), Crash(1), at(1)); });
        prop_assert_eq!(board.disposition(Fingerprint(1), at(1)), Disposition::Struck);
    }
}

#[test]
fn rack_accuses_nobody() {
    // Every engine of the rack ran requests of its own.
    let mut board = Tracker::new(Options::default());
    let running = |rack: u64| (0..16).map(move |n| Fingerprint(rack * 100 + n));
    for rack in 0..6 {
        let prints: Vec<Fingerprint> = running(rack).collect();
        board.record_crash(Crash(rack), &prints, Duration::from_millis(1_000 + rack * 100));
    }
    for print in (0..6).flat_map(running) {
        assert_eq!(board.disposition(print, at(2)), Disposition::Clear);
    }
}

#[test]
fn burst_keeps_poison() {
    // It kills engine after engine within one window; each death strikes an innocent too.
    let mut board = Tracker::new(Options::default());
    for death in 0..6 {
        let running = [Fingerprint(1), Fingerprint(100 + death)];
        board.record_crash(Crash(death), &running, Duration::from_millis(1_000 + death * 10));
    }
    assert_eq!(board.disposition(Fingerprint(1), at(2)), Disposition::Refused);
    for death in 0..6 {
        assert_eq!(board.disposition(Fingerprint(100 + death), at(2)), Disposition::Clear);
    }
}

#[test]
fn bad_version_accuses_nobody() {
    // Every engine of a version dies, and the requests are carried from one to the next.
    let mut board = Tracker::new(Options::default());
    let running: Vec<Fingerprint> = (0..16).map(Fingerprint).collect();
    for death in 0..6 {
        board.record_crash(Crash(death), &running, Duration::from_millis(1_000 + death * 100));
    }
    for print in running {
        assert_eq!(board.disposition(print, at(2)), Disposition::Clear);
    }
}

#[test]
fn cut_retracted() {
    let mut board = Tracker::new(Options::default());
    board.record_crash(Crash(1), &[Fingerprint(1)], at(1));
    board.retract(Crash(1));
    assert_eq!(board.disposition(Fingerprint(1), at(1)), Disposition::Clear);
    assert!(board.is_empty());
}

#[test]
fn white_space_folded() {
    let print = fingerprint("team", "m", "seat  plan\nrow 7");
    assert_eq!(print, fingerprint("team", "m", " seat plan row 7 "));
    assert_ne!(print, fingerprint("team", "m", "seat plan row 8"));
    assert_ne!(print, fingerprint("other", "m", "seat plan row 7"));
}

#[test]
fn strikes_decay() {
    let options = Options::default();
    let mut board = Tracker::new(options);
    board.record_strike(Fingerprint(1), Crash(1), at(1));
    board.record_strike(Fingerprint(1), Crash(2), at(20));
    assert_eq!(board.disposition(Fingerprint(1), at(21)), Disposition::Isolated);
    assert_eq!(board.disposition(Fingerprint(1), at(1) + options.lifetime), Disposition::Struck);
    assert_eq!(board.disposition(Fingerprint(1), at(20) + options.lifetime), Disposition::Clear);
}

#[test]
fn completion_clears() {
    let mut board = Tracker::new(Options::default());
    board.record_strike(Fingerprint(1), Crash(1), at(1));
    board.record_strike(Fingerprint(1), Crash(2), at(2));
    board.record_completion(Fingerprint(1));
    assert_eq!(board.disposition(Fingerprint(1), at(3)), Disposition::Clear);
}

#[test]
fn memory_bounded() {
    let options = Options { max_fingerprints: 100, ..Options::default() };
    let mut board = Tracker::new(options);
    for print in 0..10_000 {
        board.record_strike(Fingerprint(print), Crash(print), at(1));
    }
    assert!(board.len() <= options.max_fingerprints);
}
