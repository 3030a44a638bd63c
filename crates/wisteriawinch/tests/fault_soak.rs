//! Daemons as separate processes under random faults from outside.
//!
//! `SOAK_SEED` plays one seed, `SOAK_SEEDS` a range such as `1..51`; without
//! either the seeds of `soak/regression.txt` and a fixed one are played.

#[path = "soak/caller.rs"]
mod caller;
#[path = "../../../platform/tests/common/mod.rs"]
mod common;
#[path = "soak/fault.rs"]
mod fault;
#[path = "soak/fleet.rs"]
mod fleet;

use std::{sync::Arc, time::Duration};

use fleet::Fleet;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::{sync::watch, task::JoinSet};

/// Callers that work at the same time.
const CALLERS: u64 = 6;
/// Faults of one seed.
const FAULTS: usize = 12;
/// Seeds that are always played.
const FIXED_SEEDS: [u64; 2] = [1, 15];
/// Longest time of one seed; only a hang reaches it.
const SEED_TIMEOUT: Duration = Duration::from_secs(120);

fn seeds() -> Vec<u64> {
    let parse = |text: &str| text.trim().parse::<u64>().expect("a seed is a number");
    if let Ok(seed) = std::env::var("SOAK_SEED") {
        return vec![parse(&seed)];
    }
    if let Ok(range) = std::env::var("SOAK_SEEDS") {
        let (first, end) = range.split_once("..").expect("a range such as 1..51");
        return (parse(first)..parse(end)).collect();
    }
    let kept = include_str!("soak/regression.txt").lines();
    let kept =
        kept.filter_map(|line| line.split_whitespace().next()).filter(|w| !w.starts_with('#'));
    kept.map(parse).chain(FIXED_SEEDS).collect()
}

/// Plays one seed; the promises that were broken.
async fn play(seed: u64) -> Vec<String> {
    let fleet = Arc::new(Fleet::start().await);
    fleet.all_serve().await;
    let (stop, stopped) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let rng = SmallRng::seed_from_u64(seed * 1_000 + number);
        callers.spawn(caller::run(fleet.clone(), number, rng, stopped.clone()));
    }
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut broken = Vec::new();
    for _ in 0..FAULTS {
        broken.extend(fault::strike(&fleet, &mut rng).await);
    }
    broken.extend(fault::heal(&fleet).await);
    stop.send_replace(true);
    let mut served = 0;
    while let Some(report) = callers.join_next().await {
        let report = report.expect("a caller does not panic");
        broken.extend(report.broken);
        served += report.served;
    }
    broken.extend(fleet.orders_ran_twice());
    fleet.all_serve().await;
    eprintln!("seed {seed}: {served} served, {} promises broken", broken.len());
    broken
}

#[tokio::test]
async fn promises_hold() {
    let mut red = Vec::new();
    for seed in seeds() {
        let played = tokio::time::timeout(SEED_TIMEOUT, play(seed)).await;
        let broken = played.unwrap_or_else(|_| vec!["the seed does not end".to_owned()]);
        red.extend(broken.into_iter().map(|what| format!("seed {seed}: {what}")));
    }
    assert!(red.is_empty(), "{}", red.join("\n"));
}
