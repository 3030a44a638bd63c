//! Stalls are found in time, and busy engines are not taken for stalled ones.

use std::time::Duration;

use assert_matches::assert_matches;
use proptest::prelude::*;
use winch_generation::stall::{Mode, Norm, Options, Verdict, Watch};

/// Output must go on within two seconds; choice and prefill need the other half.
const DETECTION_LIMIT: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn norm(gap: Duration) -> Norm {
    let mut norm = Norm::default();
    (0..2_000).for_each(|_| norm.observe_gap(gap));
    norm
}

fn first_alarm(watch: &mut Watch, norm: &Norm, options: &Options, from: Duration) -> Duration {
    let mut now = from;
    loop {
        match watch.judge(now, norm, options) {
            Verdict::Wait(until) => now = until,
            Verdict::Hedge | Verdict::Replace => return now,
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
        let mut watch = Watch::new(ms(0));
        (1..=tokens).for_each(|n| { watch.token(ms(n * gap)); });
        let last = ms(tokens * gap);
        let alarm = first_alarm(&mut watch, &norm, &options, last);
        prop_assert!(alarm - last <= DETECTION_LIMIT);
        prop_assert!(alarm - last >= options.floor);
    }

    #[test]
    fn steady_trusted(gap in 5..79_u64, jitter in prop::collection::vec(0..150_u64, 200)) {
        let (options, norm) = (Options::default(), norm(ms(gap)));
        let mut watch = Watch::new(ms(0));
        let mut now = ms(0);
        for extra in jitter {
            now += ms(gap + extra);
            prop_assert!(matches!(watch.judge(now, &norm, &options), Verdict::Wait(_)));
            watch.token(now);
        }
    }
}

#[test]
fn signs_count() {
    let (options, norm) = (Options::default(), norm(ms(20)));
    let mut watch = Watch::new(ms(0));
    watch.token(ms(20));
    // A loaded engine shows load but no token for longer than the silent bound.
    for at in [200, 400, 600, 800] {
        watch.sign(ms(at));
        assert_matches!(watch.judge(ms(at), &norm, &options), Verdict::Wait(_));
    }
    // Crawling is found all the same.
    (900..3_000).step_by(100).for_each(|at| watch.sign(ms(at)));
    assert_matches!(watch.judge(ms(3_000), &norm, &options), Verdict::Hedge);
}

#[test]
fn hedge_then_replace() {
    let (options, norm) = (Options::default(), norm(ms(20)));
    let mut watch = Watch::new(ms(0));
    watch.token(ms(20));
    assert_matches!(watch.judge(ms(1_500), &norm, &options), Verdict::Hedge);
    assert_matches!(watch.judge(ms(1_501), &norm, &options), Verdict::Wait(_) | Verdict::Replace);
    assert_matches!(watch.judge(ms(9_000), &norm, &options), Verdict::Replace);
}

#[test]
fn one_reprieve() {
    let (options, norm) = (Options::default(), norm(ms(20)));
    let mut watch = Watch::new(ms(0));
    watch.token(ms(20));
    assert_matches!(watch.judge(ms(1_200), &norm, &options), Verdict::Hedge);
    watch.token(ms(1_250));
    assert_matches!(watch.judge(ms(1_300), &norm, &options), Verdict::Wait(_));
    assert_matches!(watch.judge(ms(2_500), &norm, &options), Verdict::Replace);
}

#[test]
fn fixed_bound() {
    let options = Options { mode: Mode::Fixed { silence: ms(700) }, ..Options::default() };
    let mut watch = Watch::new(ms(0));
    watch.token(ms(100));
    assert_matches!(watch.judge(ms(799), &Norm::default(), &options), Verdict::Wait(_));
    assert_matches!(watch.judge(ms(800), &Norm::default(), &options), Verdict::Replace);
}
