//! Stalls are found in time, and busy engines are not taken for stalled ones.

use std::time::Duration;

use assert_matches::assert_matches;
use proptest::prelude::*;
use winch_generation::stall::{Action, Baseline, Detector, Mode, Options};

/// Output must go on within two seconds; choice and prefill need the other half.
const DETECTION_LIMIT: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn norm(gap: Duration) -> Baseline {
    let mut norm = Baseline::default();
    (0..2_000).for_each(|_| norm.observe_gap(gap));
    norm
}

fn first_alarm(
    detector: &mut Detector,
    norm: &Baseline,
    options: &Options,
    from: Duration,
) -> Duration {
    let mut now = from;
    loop {
        match detector.check(now, norm, options) {
            Action::Wait(until) => now = until,
            Action::Hedge | Action::Replace => return now,
        }
    }
}

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn freeze_found(gap in 5..200_u64, tokens in 1..50_u64) {
        let (options, norm) = (Options::default(), norm(ms(gap)));
        let mut detector = Detector::new(ms(0));
        (1..=tokens).for_each(|n| { detector.record_token(ms(n * gap)); });
        let last = ms(tokens * gap);
        let alarm = first_alarm(&mut detector, &norm, &options, last);
        prop_assert!(alarm - last <= DETECTION_LIMIT);
        prop_assert!(alarm - last >= options.min_idle);
    }

    #[test]
    fn steady_trusted(gap in 5..79_u64, jitter in prop::collection::vec(0..150_u64, 200)) {
        let (options, norm) = (Options::default(), norm(ms(gap)));
        let mut detector = Detector::new(ms(0));
        let mut now = ms(0);
        for extra in jitter {
            now += ms(gap + extra);
            prop_assert!(matches!(detector.check(now, &norm, &options), Action::Wait(_)));
            detector.record_token(now);
        }
    }
}

#[test]
fn signs_count() {
    let (options, norm) = (Options::default(), norm(ms(20)));
    let mut detector = Detector::new(ms(0));
    detector.record_token(ms(20));
    // A loaded engine shows load but no token for longer than the silent bound.
    for at in [200, 400, 600, 800] {
        detector.record_activity(ms(at));
        assert_matches!(detector.check(ms(at), &norm, &options), Action::Wait(_));
    }
    // Crawling is found all the same.
    (900..3_000).step_by(100).for_each(|at| detector.record_activity(ms(at)));
    assert_matches!(detector.check(ms(3_000), &norm, &options), Action::Hedge);
}

#[test]
fn hedge_then_replace() {
    let (options, norm) = (Options::default(), norm(ms(20)));
    let mut detector = Detector::new(ms(0));
    detector.record_token(ms(20));
    assert_matches!(detector.check(ms(1_500), &norm, &options), Action::Hedge);
    assert_matches!(detector.check(ms(1_501), &norm, &options), Action::Wait(_) | Action::Replace);
    assert_matches!(detector.check(ms(9_000), &norm, &options), Action::Replace);
}

#[test]
fn one_reprieve() {
    let (options, norm) = (Options::default(), norm(ms(20)));
    let mut detector = Detector::new(ms(0));
    detector.record_token(ms(20));
    assert_matches!(detector.check(ms(1_200), &norm, &options), Action::Hedge);
    detector.record_token(ms(1_250));
    assert_matches!(detector.check(ms(1_300), &norm, &options), Action::Wait(_));
    assert_matches!(detector.check(ms(2_500), &norm, &options), Action::Replace);
}

#[test]
fn fixed_bound() {
    let options = Options { mode: Mode::Fixed { idle_timeout: ms(700) }, ..Options::default() };
    let mut detector = Detector::new(ms(0));
    detector.record_token(ms(100));
    assert_matches!(detector.check(ms(799), &Baseline::default(), &options), Action::Wait(_));
    assert_matches!(detector.check(ms(800), &Baseline::default(), &options), Action::Replace);
}
