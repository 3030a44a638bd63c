//! The sequential test keeps its stated error rates, and faults that both versions share
//! do not count against the new one.

use std::time::Duration;

use proptest::prelude::*;
use winch_move::{
    evidence::{
        CRASH_WEIGHT, Cohort, Collector, Finding, Options, Quantile, Tally, sequential_test,
    },
    schedule::{LAST_STAGE, is_in_share, replica_count, share},
};

/// A reproducible source of random events.
struct Random(u64);

impl Random {
    /// Returns true with this probability.
    fn hit(&mut self, probability: f64) -> bool {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 11) as f64) < probability * (1_u64 << 53) as f64
    }
}

/// Tests a version with these rates of failed and slow attempts until there is a finding, for at
/// most `max_attempts` attempts.
fn run_test(failure_rate: f64, slow_rate: f64, seed: u64, max_attempts: u64) -> Finding {
    let old = Tally { good: 9_950, failed: 50, slow: 1_000 };
    let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut new = Tally::default();
    for _ in 0..max_attempts {
        if random.hit(failure_rate) {
            new.failed += 1;
        } else {
            new.good += 1;
        }
        new.slow += u64::from(random.hit(slow_rate));
        match sequential_test(new, old, &Options::default(), 1) {
            Finding::Open => {}
            finding => return finding,
        }
    }
    Finding::Open
}

/// The fraction of findings that `is_counted` accepts.
fn fraction(findings: impl Iterator<Item = Finding>, is_counted: fn(Finding) -> bool) -> f64 {
    let findings: Vec<Finding> = findings.collect();
    findings.iter().filter(|finding| is_counted(**finding)).count() as f64 / findings.len() as f64
}

#[test]
fn error_rates() {
    let is_faulty = |finding| matches!(finding, Finding::Failing | Finding::Slow);
    let is_good = |finding| finding == Finding::Good;
    let runs = 2_000;
    // The options state 0.001 false alarms and 0.01 misses; the bounds allow for the
    // variance of a finite number of runs.
    let false_alarms = fraction((0..runs).map(|seed| run_test(0.005, 0.1, seed, 2_000)), is_faulty);
    assert!(false_alarms <= 0.004, "false alarms {false_alarms}");
    let missed = fraction((0..runs).map(|seed| run_test(0.1, 0.1, seed, 2_000)), is_good);
    assert!(missed <= 0.02, "failing versions missed {missed}");
    let missed = fraction((0..runs).map(|seed| run_test(0.005, 0.5, seed, 2_000)), is_good);
    assert!(missed <= 0.02, "slow versions missed {missed}");
}

#[test]
fn shared_failures_ignored() {
    // Both versions fail at the same rate, so the new version is not at fault.
    let old = Tally { good: 800, failed: 200, slow: 300 };
    let new = Tally { good: 80, failed: 20, slow: 30 };
    let finding = sequential_test(new, old, &Options::default(), 1);
    assert!(!matches!(finding, Finding::Failing | Finding::Slow), "{finding:?}");
}

#[test]
fn crash_counts_once() {
    let mut collector = Collector::default();
    let now = Duration::from_secs(10);
    (0..16).for_each(|_| collector.record_failure(Cohort::New, 7, now));
    assert_eq!(collector.new.failed, 1);
    collector.record_crash(Cohort::New, now);
    collector.count_crashes(now + Duration::from_secs(3));
    assert_eq!(collector.new.failed, 1 + CRASH_WEIGHT);
}

#[test]
fn shared_crash_ignored() {
    let mut collector = Collector::default();
    collector.record_crash(Cohort::New, Duration::from_secs(10));
    collector.record_crash(Cohort::Old, Duration::from_secs(11));
    collector.count_crashes(Duration::from_secs(13));
    assert_eq!(collector.new.failed, 0);
}

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn shares_increase(old in 1..2_000_usize, new in 1..2_000_usize) {
        let shares: Vec<f64> = (0..=LAST_STAGE).map(|stage| share(stage, old)).collect();
        prop_assert!(shares.windows(2).all(|pair| pair[0] <= pair[1]));
        prop_assert!(shares[1] <= 0.05, "the first stage exceeds 5 %");
        prop_assert_eq!((shares[0], shares[5]), (0.0, 1.0));
        for stage in 1..=LAST_STAGE {
            prop_assert!((1..=new).contains(&replica_count(stage, old, new)));
        }
    }

    #[test]
    fn share_respected(share in 0.0..1.0_f64) {
        let hits = (0..4_000_u64).filter(|n| is_in_share(n.wrapping_mul(0x9e37_79b9_7f4a_7c15), share));
        let measured = hits.count() as f64 / 4_000.0;
        prop_assert!((measured - share).abs() < 0.05);
    }

    #[test]
    fn quantile_converges(level in 0.5..0.95_f64, seed in any::<u64>()) {
        let mut quantile = Quantile::new(level);
        let mut state = seed;
        for _ in 0..5_000 {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            quantile.add(1.0 + (state >> 11) as f64 / (1_u64 << 53) as f64);
        }
        let estimate = quantile.get().unwrap();
        prop_assert!((estimate - 1.0 - level).abs() < 0.2, "estimate {} for level {}", estimate, level);
    }
}
