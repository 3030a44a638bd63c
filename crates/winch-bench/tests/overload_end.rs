//! Checks that calls are served in time under steady load, and again after an overload.

use winch_bench::route::{Config, Scenario, goodput};

fn config(seed: u64) -> Config {
    Config { replicas: 12, daemons: 6, seconds: 720, loads: Vec::new(), seed, seeds: 1 }
}

/// Share of calls that must be served in time.
const MIN_GOODPUT: f64 = 0.95;

/// The spike ends at 360 s. Long generations admitted during the spike run for up to 200 s
/// and keep their slots, so only calls that arrive from 576 s on count.
#[test]
fn recovers_after_spike() {
    for seed in 1..4 {
        let after = goodput(&config(seed), Scenario::Spike, 0.7);
        assert!(after >= MIN_GOODPUT, "seed {seed}: expected {MIN_GOODPUT}, got {after}");
    }
}

#[test]
fn serves_steady_load() {
    assert!(goodput(&config(1), Scenario::None, 0.7) >= MIN_GOODPUT);
}
