//! Replays patterns of load and faults against the relay's choice of replicas.
//!
//! Streams arrive at daemons, which choose a replica for each by the policy under
//! test. The relay's policy reads load reports of the age that the pattern sets. When a
//! replica is lost, its streams resume from the copies of their KV caches, or are
//! prefilled again if there is no copy. Replicas may be lost or slow and daemons may
//! restart; the network has no faults.
//!
//! The result is the share of streams that completed, on time or late, with their mean
//! duration and the prompt tokens that had to be prefilled again.

pub mod choose;
pub mod engine;
pub mod outcome;
pub mod pattern;
mod simulation;

use self::{choose::Policy, outcome::Outcome, pattern::Pattern, simulation::Simulation};
use crate::table::Table;

/// Time from the arrival of a stream after which its caller gives up, in seconds.
const CALLER_TIMEOUT_S: f64 = 25.0;

/// Simulates a pattern with a policy. The same seed gives the same outcome.
pub fn simulate(pattern: &Pattern, policy: Policy, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(pattern, policy, seed);
    simulation.run();
    Outcome::of(&simulation)
}

/// Returns the mean outcome over several seeds; all values are 0 if `seeds` is empty.
pub fn mean(pattern: &Pattern, policy: Policy, seeds: std::ops::Range<u64>) -> Outcome {
    let count = (seeds.end - seeds.start) as f64;
    let mut sum = Outcome::default();
    for seed in seeds {
        let outcome = simulate(pattern, policy, seed);
        sum.worth += outcome.worth / count;
        sum.worst += outcome.worst / count;
        sum.late += outcome.late / count;
        sum.failed += outcome.failed / count;
        sum.duration += outcome.duration / count;
        sum.reread += outcome.reread / count;
    }
    sum
}

/// Simulates all patterns with all policies and returns one row for each pair.
pub fn run(seeds: std::ops::Range<u64>) -> Table {
    let columns =
        ["pattern", "policy", "worth", "worst 2 s", "late", "failed", "duration s", "reread"];
    let mut table = Table::new("replay", &columns);
    for pattern in pattern::all() {
        for policy in Policy::ALL {
            let outcome = mean(&pattern, policy, seeds.clone());
            let format_value = |value: f64| format!("{value:.3}");
            table.row(&[
                pattern.name.clone(),
                policy.name().to_owned(),
                format_value(outcome.worth),
                format_value(outcome.worst),
                format_value(outcome.late),
                format_value(outcome.failed),
                format_value(outcome.duration),
                format_value(outcome.reread),
            ]);
        }
    }
    table
}
