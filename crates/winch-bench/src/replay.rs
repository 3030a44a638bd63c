//! Replays of load and faults through the relay's choice of replicas.
//!
//! Streams arrive at daemons that choose a replica each and see only reports of
//! some age. A lost replica's streams go on from their copy where there is one;
//! else their prompt is read again. Without faults in the network or the daemons.

pub mod choose;
pub mod engine;
pub mod outcome;
pub mod pattern;
mod world;

use self::{choose::Policy, outcome::Outcome, pattern::Pattern, world::World};
use crate::table::Table;

/// How long a caller waits, in seconds.
const PATIENCE: f64 = 25.0;

/// Plays a pattern.
pub fn play(pattern: &Pattern, policy: Policy, seed: u64) -> Outcome {
    let mut world = World::new(pattern, policy, seed);
    world.play();
    Outcome::of(&world)
}

/// The mean outcome of several seeds.
pub fn mean(pattern: &Pattern, policy: Policy, seeds: std::ops::Range<u64>) -> Outcome {
    let count = (seeds.end - seeds.start) as f64;
    let mut sum = Outcome::default();
    for seed in seeds {
        let one = play(pattern, policy, seed);
        sum.worth += one.worth / count;
        sum.worst += one.worst / count;
        sum.late += one.late / count;
        sum.failed += one.failed / count;
        sum.duration += one.duration / count;
        sum.reread += one.reread / count;
    }
    sum
}

/// Plays all patterns with all policies.
pub fn run(seeds: std::ops::Range<u64>) -> Table {
    let columns =
        ["pattern", "policy", "worth", "worst 2 s", "late", "failed", "duration s", "reread"];
    let mut table = Table::new("replay", &columns);
    for pattern in pattern::all() {
        for policy in Policy::ALL {
            let outcome = mean(&pattern, policy, seeds.clone());
            let figure = |value: f64| format!("{value:.3}");
            table.row(&[
                pattern.name.clone(),
                policy.name().to_owned(),
                figure(outcome.worth),
                figure(outcome.worst),
                figure(outcome.late),
                figure(outcome.failed),
                figure(outcome.duration),
                figure(outcome.reread),
            ]);
        }
    }
    table
}
