//! Runs daemons as separate processes and injects random faults from outside.
//!
//! A seed determines a series of faults and the choices of the callers. `guarantees_hold` fails if
//!
//! - an order runs twice, or an order or stream runs after a refusal;
//! - a stream has a gap, a success has no signature, or an answer belongs to another request;
//! - an order gets no word before its caller stops waiting;
//! - a daemon exits by itself, does not stop when told, or does not serve after the faults;
//! - in the two last series, without faults of the network, a begun stream is cut; in the one with
//!   planned stops and changes also if a request has no answer, or a lookup that a sound replica
//!   could have answered fails.
//!
//! `hop_guarantees_hold` lets one daemon lose its paths to the replicas while others keep theirs. It
//! fails also if an order begins long after its caller was told its end.
//!
//! docs/developers.md tells the variables that select seeds, sizes and programs. Without any, the
//! seeds of `soak/regression.txt` and [`FIXED_SEEDS`] are run.

#[path = "soak/caller.rs"]
mod caller;
#[path = "../../../platform/tests/common/mod.rs"]
mod common;
#[path = "soak/cut.rs"]
mod cut;
mod entry;
#[path = "soak/excuse.rs"]
mod excuse;
#[path = "soak/fault.rs"]
mod fault;
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/hop.rs"]
mod hop;
#[path = "soak/ledger.rs"]
mod ledger;
#[path = "soak/pause.rs"]
mod pause;
#[path = "soak/planned.rs"]
mod planned;
#[path = "soak/series.rs"]
mod series;
#[path = "soak/silence.rs"]
mod silence;
#[path = "soak/size.rs"]
mod size;
#[path = "soak/upgrade.rs"]
mod upgrade;

use std::{
    path::{Path, PathBuf},
    sync::{Arc, LazyLock},
    time::Duration,
};

use fleet::Fleet;
use rand::{SeedableRng, rngs::SmallRng};
use size::Size;
use tokio::{
    sync::{Mutex, watch},
    task::JoinSet,
};

/// Number of concurrent callers.
const CALLERS: u64 = 6;
/// Number of faults injected per seed.
const FAULTS: usize = 12;
/// Seeds that run when neither variable is set.
const FIXED_SEEDS: [u64; 2] = [1, 15];
/// Tells the generator of the series of silences from the others of a seed.
const SERIES_SEED: u64 = 1 << 40;
/// The same for the replacements beside the faults and for the planned series.
const ROLL_SEED: u64 = 1 << 41;
const PLANNED_SEED: u64 = 1 << 42;
const PAUSE_SEED: u64 = 1 << 43;
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
    let lines = include_str!("soak/regression.txt").lines();
    let regression = lines
        .filter_map(|line| line.split_whitespace().next())
        .filter(|word| !word.starts_with('#'));
    regression.map(parse).chain(FIXED_SEEDS).collect()
}

/// Program that the soak is about; this build's own if `SOAK_PROGRAM` is not set.
fn program() -> &'static Path {
    static PROGRAM: LazyLock<PathBuf> = LazyLock::new(|| {
        std::env::var_os("SOAK_PROGRAM").map_or_else(|| entry::program().into(), PathBuf::from)
    });
    &PROGRAM
}

/// Program of the build that is replaced; [`program()`] if `SOAK_FORMER` is not set.
fn former() -> PathBuf {
    std::env::var_os("SOAK_FORMER").map_or_else(|| program().into(), PathBuf::from)
}

/// Runs one seed and returns the violated guarantees.
async fn run_seed(seed: u64) -> Vec<String> {
    let fleet = Arc::new(Fleet::start(Size::from_env(), former()).await);
    fleet.wait_serving().await;
    // Generators of their own, so that the series of faults of a seed stays as it was.
    let mut series_rng = SmallRng::seed_from_u64(seed ^ SERIES_SEED);
    let mut planned_rng = SmallRng::seed_from_u64(seed ^ PLANNED_SEED);
    let mut pause_rng = SmallRng::seed_from_u64(seed ^ PAUSE_SEED);
    let mut violations = Vec::new();
    if fleet.size.capacity.is_none() {
        violations.extend(run_faults(&fleet, seed).await);
    }
    violations.extend(planned::run(&fleet, &mut planned_rng, &mut pause_rng).await);
    violations.extend(silence::run(&fleet, &mut series_rng, &mut pause_rng).await);
    violations.extend(fault::clear(&fleet).await);
    violations.extend(fault::refused_removal(&fleet).await);
    violations.extend(fleet.run_violations());
    fleet.wait_serving().await;
    eprintln!("seed {seed}: {} guarantees violated", violations.len());
    if !violations.is_empty() {
        fleet.keep_logs();
    }
    violations
}

/// Injects faults beside replacements and returns the violated guarantees.
async fn run_faults(fleet: &Arc<Fleet>, seed: u64) -> Vec<String> {
    let (stop, stopped) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let rng = SmallRng::seed_from_u64(seed * 1_000 + number);
        callers.spawn(caller::run(fleet.clone(), number, rng, stopped.clone()));
    }
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut violations = Vec::new();
    let mut silence_rng = SmallRng::seed_from_u64(!seed);
    let mut roll_rng = SmallRng::seed_from_u64(seed ^ ROLL_SEED);
    let faults = async {
        for number in 0..FAULTS {
            if number == FAULTS / 2 {
                violations.extend(fault::silence(fleet, &mut silence_rng).await);
            }
            violations.extend(fault::inject(fleet, &mut rng).await);
        }
    };
    let ((), rolls) = tokio::join!(faults, upgrade::there_and_back(fleet, &mut roll_rng));
    violations.extend(rolls);
    violations.extend(fault::clear(fleet).await);
    stop.send_replace(true);
    let mut served = 0;
    while let Some(report) = callers.join_next().await {
        let report = report.expect("a caller does not panic");
        violations.extend(report.violations);
        served += report.served;
    }
    eprintln!("seed {seed}: {served} served beside faults");
    violations
}

/// Runs all seeds, and fails with the guarantees that were violated. One test runs at a time, because
/// the pauses of one stop this process.
async fn run_seeds(run: impl AsyncFn(u64) -> Vec<String>) {
    static TURN: Mutex<()> = Mutex::const_new(());
    let _turn = TURN.lock().await;
    let mut failures = Vec::new();
    for seed in seeds() {
        let result = tokio::time::timeout(SEED_TIMEOUT, run(seed)).await;
        let violations =
            result.unwrap_or_else(|_| vec![format!("not finished after {SEED_TIMEOUT:?}")]);
        failures
            .extend(violations.into_iter().map(|violation| format!("seed {seed}: {violation}")));
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[tokio::test]
async fn guarantees_hold() {
    run_seeds(run_seed).await;
}

#[tokio::test]
async fn hop_guarantees_hold() {
    run_seeds(hop::run).await;
}
