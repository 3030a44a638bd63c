//! Attempts that one stall delays together are not evidence of as many slow attempts.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use winch_move::{
    evidence::{Options, Tally},
    machine::{Decision, Input, Machine, Window},
    verdict::Verdict,
};

/// Seconds from one decision of the lease holder to the next.
const STEP_SECS: f64 = 0.5;
/// Long enough for the stage to last throughout a run.
const WINDOW: Window = Window { start: 0.0, deadline: 600.0 };
/// A stage in which both versions get half of the requests.
const STAGE: u32 = 4;
/// Decisions in one run.
const STEPS: u32 = 120;

/// Adds the attempts of one step, which are all slow or all not slow.
fn add_attempts(tally: &mut Tally, attempts: u64, is_stalled: bool) {
    tally.good += attempts;
    tally.slow += if is_stalled { attempts } else { 0 };
}

/// Seconds until the new version is found slow, `None` if it is not found so. In each step the old
/// version stalls with probability 0.1, and the new one with `stall_rate`.
fn found_slow_at(stall_rate: f64, seed: u64) -> Option<f64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut machine = Machine::new(WINDOW, Options::default(), STAGE, 0.0);
    // Counts of the stage so far, with the usual fraction of slow attempts.
    let mut old = Tally { good: 500, failed: 0, slow: 50 };
    let mut new = Tally::default();
    (1..=STEPS).find_map(|step| {
        let attempts = rng.random_range(5..20);
        add_attempts(&mut old, attempts, rng.random_bool(0.1));
        add_attempts(&mut new, attempts, rng.random_bool(stall_rate));
        let now = f64::from(step) * STEP_SECS;
        let input = Input { now, new, old, lease_held: true, ..Input::default() };
        let decision = machine.step(&input);
        matches!(decision, Decision::End(Verdict::TakenBack, _)).then_some(now)
    })
}

// Guards against a verdict "it is slower" after one stall of a version that is as fast as the old one.
#[test]
fn stall_counts_once() {
    let runs = 2_000;
    let found = (0..runs).filter(|seed| found_slow_at(0.1, *seed).is_some()).count();
    let false_alarms = found as f64 / runs as f64;
    // As in `error_rates` of `fault_found`.
    assert!(false_alarms <= 0.004, "false alarms {false_alarms}");
}

#[test]
fn frequent_stalls_found() {
    let runs = 2_000;
    let found: Vec<f64> = (0..runs).filter_map(|seed| found_slow_at(0.5, seed)).collect();
    let missed = 1.0 - found.len() as f64 / runs as f64;
    assert!(missed <= 0.02, "slow versions missed {missed}");
}

#[test]
fn steady_slowness_found() {
    let found_at = found_slow_at(1.0, 1).expect("the version is found slow");
    assert!(found_at <= 5.0, "found after {found_at} s");
}
