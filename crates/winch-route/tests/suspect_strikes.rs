//! Requests that kill engines are found; innocents and shared causes are not blamed.

use std::time::Duration;

use proptest::prelude::*;
use winch_route::{
    hash,
    suspect::{Board, Death, Fingerprint, Options, Standing, fingerprint},
};

/// Engines that one such request may cost the whole fleet.
const ENGINES_LOST: u64 = 3;

fn at(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// A fleet of boards that hear of every strike, and a request that kills what runs it.
fn engines_lost(daemons: usize, beside: usize, seed: u64) -> (u64, usize) {
    let mut boards: Vec<Board> = (0..daemons).map(|_| Board::new(Options::default())).collect();
    let poison = fingerprint("team", "m", "poison");
    let mut refused_innocents = 0;
    for round in 0..20 {
        let now = at(10 * round + 1);
        let daemon = (hash::mix(seed ^ round) as usize) % daemons;
        if boards[daemon].standing(poison, now) == Standing::Refused {
            return (round, refused_innocents);
        }
        let running: Vec<Fingerprint> = (0..beside)
            .map(|n| Fingerprint(hash::mix(round * 100 + n as u64)))
            .chain([poison])
            .collect();
        let death = Death(hash::mix(seed + round));
        let struck = boards[daemon].death(death, &running, now);
        for board in &mut boards {
            struck.iter().for_each(|print| {
                board.death(death, &[*print], now);
            });
        }
        let refused = |print: &&Fingerprint| boards[0].standing(**print, now) == Standing::Refused;
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
        let mut board = Board::new(Options::default());
        (0..times).for_each(|_| { board.strike(Fingerprint(1), Death(1), at(1)); });
        prop_assert_eq!(board.standing(Fingerprint(1), at(1)), Standing::Struck);
    }
}

#[test]
fn rack_accuses_nobody() {
    // Every engine of the rack ran requests of its own.
    let mut board = Board::new(Options::default());
    let running = |rack: u64| (0..16).map(move |n| Fingerprint(rack * 100 + n));
    for rack in 0..6 {
        let prints: Vec<Fingerprint> = running(rack).collect();
        board.death(Death(rack), &prints, Duration::from_millis(1_000 + rack * 100));
    }
    for print in (0..6).flat_map(running) {
        assert_eq!(board.standing(print, at(2)), Standing::Clear);
    }
}

#[test]
fn burst_keeps_poison() {
    // It kills engine after engine within one window; each death strikes an innocent too.
    let mut board = Board::new(Options::default());
    for death in 0..6 {
        let running = [Fingerprint(1), Fingerprint(100 + death)];
        board.death(Death(death), &running, Duration::from_millis(1_000 + death * 10));
    }
    assert_eq!(board.standing(Fingerprint(1), at(2)), Standing::Refused);
    for death in 0..6 {
        assert_eq!(board.standing(Fingerprint(100 + death), at(2)), Standing::Clear);
    }
}

#[test]
fn bad_version_accuses_nobody() {
    // Every engine of a version dies, and the requests are carried from one to the next.
    let mut board = Board::new(Options::default());
    let running: Vec<Fingerprint> = (0..16).map(Fingerprint).collect();
    for death in 0..6 {
        board.death(Death(death), &running, Duration::from_millis(1_000 + death * 100));
    }
    for print in running {
        assert_eq!(board.standing(print, at(2)), Standing::Clear);
    }
}

#[test]
fn cut_retracted() {
    let mut board = Board::new(Options::default());
    board.death(Death(1), &[Fingerprint(1)], at(1));
    board.retract(Death(1));
    assert_eq!(board.standing(Fingerprint(1), at(1)), Standing::Clear);
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
    let mut board = Board::new(options);
    board.strike(Fingerprint(1), Death(1), at(1));
    board.strike(Fingerprint(1), Death(2), at(20));
    assert_eq!(board.standing(Fingerprint(1), at(21)), Standing::Isolated);
    assert_eq!(board.standing(Fingerprint(1), at(1) + options.life), Standing::Struck);
    assert_eq!(board.standing(Fingerprint(1), at(20) + options.life), Standing::Clear);
}

#[test]
fn completion_clears() {
    let mut board = Board::new(Options::default());
    board.strike(Fingerprint(1), Death(1), at(1));
    board.strike(Fingerprint(1), Death(2), at(2));
    board.completed(Fingerprint(1));
    assert_eq!(board.standing(Fingerprint(1), at(3)), Standing::Clear);
}

#[test]
fn memory_bounded() {
    let options = Options { most: 100, ..Options::default() };
    let mut board = Board::new(options);
    for print in 0..10_000 {
        board.strike(Fingerprint(print), Death(print), at(1));
    }
    assert!(board.len() <= options.most);
}
