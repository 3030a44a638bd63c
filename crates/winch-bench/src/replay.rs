//! Replays patterns of load and faults against the relay's choice of replicas.
//!
//! Streams of several kinds arrive at daemons, which choose a replica for each by the policy under
//! test. Replicas may be lost or slow and daemons may restart; the network has no faults. A stream
//! whose replica is lost resumes from the copy of its KV cache, or from its prompt.
//!
//! The result gives, for each kind and for all, the shares of streams by their end, their value and
//! duration, the preempted runs and the wasted tokens.

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
        sum.add(&simulate(pattern, policy, seed), 1.0 / count);
    }
    sum
}

/// Simulates all patterns with all policies.
///
/// Returns one row for each pair, and one for each kind of streams if the pattern has several,
/// with its shares and the value that it made.
pub fn run(seeds: std::ops::Range<u64>) -> Table {
    let columns = [
        "pattern",
        "policy",
        "kind",
        "worth",
        "worst 2 s",
        "late",
        "failed",
        "duration s",
        "reread",
        "in time",
        "refused",
        "value",
        "preemptions",
        "wasted",
    ];
    let mut table = Table::new("replay", &columns);
    let format_value = |value: f64| format!("{value:.3}");
    for pattern in pattern::all() {
        for policy in Policy::ALL {
            let outcome = mean(&pattern, policy, seeds.clone());
            let mut row = |kind: &str, values: [Option<f64>; 11]| {
                let mut cells =
                    vec![pattern.name.clone(), policy.name().to_owned(), kind.to_owned()];
                cells.extend(values.map(|value| value.map_or("-".to_owned(), format_value)));
                table.row(&cells);
            };
            row(
                "all",
                [
                    Some(outcome.worth),
                    Some(outcome.worst),
                    Some(outcome.late),
                    Some(outcome.failed),
                    Some(outcome.duration),
                    Some(outcome.reread),
                    Some(1.0 - outcome.late - outcome.failed - outcome.refused),
                    Some(outcome.refused),
                    Some(outcome.kinds.iter().map(|kind| kind.value).sum()),
                    Some(outcome.preemptions),
                    Some(outcome.wasted),
                ],
            );
            if outcome.kinds.len() < 2 {
                continue;
            }
            for (kind, result) in pattern.kinds().iter().zip(&outcome.kinds) {
                let share = |count: f64| Some(count / result.streams.max(1.0));
                row(
                    &kind.name,
                    [
                        share(result.value / kind.value),
                        None,
                        share(result.late),
                        share(result.failed),
                        None,
                        None,
                        share(result.in_time),
                        share(result.refused),
                        Some(result.value),
                        None,
                        None,
                    ],
                );
            }
        }
    }
    table
}
