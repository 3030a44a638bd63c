//! Stalls are detected in time, and busy engines are not mistaken for stalled ones.

use std::time::Duration;

use assert_matches::assert_matches;
use proptest::prelude::*;
use winch_generation::stall::{Action, Baseline, Detector, Mode, Options};

/// Half of the two seconds within which output must resume; placement and prefill need the rest.
const DETECTION_LIMIT: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn baseline(gap: Duration) -> Baseline {
    let mut baseline = Baseline::default();
    (0..2_000).for_each(|_| baseline.observe_gap(gap));
    baseline
}

/// Returns the first time at which the detector asks for another attempt.
fn stall_time(
    detector: &mut Detector,
    baseline: &Baseline,
    options: &Options,
    from: Duration,
) -> Duration {
    let mut now = from;
    loop {
        match detector.check(now, baseline, options) {
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
    fn hang_detected(gap in 5..200_u64, tokens in 1..50_u64) {
        let (options, baseline) = (Options::default(), baseline(ms(gap)));
        let mut detector = Detector::new(ms(0));
        (1..=tokens).for_each(|n| { detector.record_token(ms(n * gap)); });
        let last = ms(tokens * gap);
        let stalled_at = stall_time(&mut detector, &baseline, &options, last);
        prop_assert!(stalled_at - last <= DETECTION_LIMIT);
        prop_assert!(stalled_at - last >= options.min_idle);
    }

    #[test]
    fn steady_not_stalled(gap in 5..79_u64, jitter in prop::collection::vec(0..150_u64, 200)) {
        let (options, baseline) = (Options::default(), baseline(ms(gap)));
        let mut detector = Detector::new(ms(0));
        let mut now = ms(0);
        for extra in jitter {
            now += ms(gap + extra);
            prop_assert!(matches!(detector.check(now, &baseline, &options), Action::Wait(_)));
            detector.record_token(now);
        }
    }
}

#[test]
fn activity_extends_bound() {
    let (options, baseline) = (Options::default(), baseline(ms(20)));
    let mut detector = Detector::new(ms(0));
    detector.record_token(ms(20));
    // A busy engine reports its load but yields no token for longer than the idle bound.
    for at in [200, 400, 600, 800] {
        detector.record_activity(ms(at));
        assert_matches!(detector.check(ms(at), &baseline, &options), Action::Wait(_));
    }
    // Activity without tokens still ends in a stall.
    (900..3_000).step_by(100).for_each(|at| detector.record_activity(ms(at)));
    assert_matches!(detector.check(ms(3_000), &baseline, &options), Action::Hedge);
}

#[test]
fn hedge_then_replace() {
    let (options, baseline) = (Options::default(), baseline(ms(20)));
    let mut detector = Detector::new(ms(0));
    detector.record_token(ms(20));
    assert_matches!(detector.check(ms(1_500), &baseline, &options), Action::Hedge);
    assert_matches!(
        detector.check(ms(1_501), &baseline, &options),
        Action::Wait(_) | Action::Replace
    );
    assert_matches!(detector.check(ms(9_000), &baseline, &options), Action::Replace);
}

#[test]
fn hedged_only_once() {
    let (options, baseline) = (Options::default(), baseline(ms(20)));
    let mut detector = Detector::new(ms(0));
    detector.record_token(ms(20));
    assert_matches!(detector.check(ms(1_200), &baseline, &options), Action::Hedge);
    detector.record_token(ms(1_250));
    assert_matches!(detector.check(ms(1_300), &baseline, &options), Action::Wait(_));
    assert_matches!(detector.check(ms(2_500), &baseline, &options), Action::Replace);
}

#[test]
fn fixed_bound() {
    let options = Options { mode: Mode::Fixed { idle_timeout: ms(700) }, ..Options::default() };
    let mut detector = Detector::new(ms(0));
    detector.record_token(ms(100));
    assert_matches!(detector.check(ms(799), &Baseline::default(), &options), Action::Wait(_));
    assert_matches!(detector.check(ms(800), &Baseline::default(), &options), Action::Replace);
}
