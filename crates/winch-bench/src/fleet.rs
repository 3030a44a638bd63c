//! Measures gossip by fleet size and message loss: the time in which a change
//! reaches the daemons, traffic, CPU time, memory and false deaths.

use std::time::{Duration, Instant};

use winch_gossip::{
    facts::Fact,
    node::Options,
    simulation::{Conditions, Network},
};

use crate::table::Table;

/// Settings of the measurement.
#[derive(Clone, Debug)]
pub struct Config {
    /// Fleet sizes, in daemons.
    pub sizes: Vec<usize>,
    /// Shares of messages lost.
    pub losses: Vec<f64>,
    /// Size of a published change in bytes.
    pub change_bytes: usize,
    /// Seed of the simulated network.
    pub seed: u64,
    /// Changes published in each fleet.
    pub spreads: u64,
}

/// Resolution of the spread times.
const STEP: Duration = Duration::from_millis(50);
/// Simulated time without changes, over which traffic and CPU time are summed.
const IDLE_PERIOD: Duration = Duration::from_secs(30);
/// Simulated time after which a change that has not reached all daemons is given up.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Measures all sizes and losses, and returns one row for each pair.
pub fn run(config: &Config) -> Table {
    let columns = [
        "daemons",
        "loss",
        "spread_95_ms",
        "spread_all_ms",
        "spread_all_max_ms",
        "idle_bytes_s",
        "idle_bytes_s_max",
        "bytes_per_change",
        "cpu_us_per_s",
        "kib_per_daemon",
        "false_deaths",
    ];
    let mut table = Table::new("fleet", &columns);
    for size in &config.sizes {
        for loss in &config.losses {
            table.row(&measure(config, *size, *loss));
        }
    }
    table
}

/// Measures one fleet and returns its row.
fn measure(config: &Config, size: usize, loss: f64) -> Vec<String> {
    let kib_before = resident_kib();
    let conditions = Conditions { loss, ..Conditions::default() };
    let mut network = Network::new(size, Options::default(), conditions, config.seed);
    network.run(Duration::from_secs(5));
    let (idle_bytes_per_s, cpu_us) = measure_idle(&mut network);
    let kib_per_daemon = resident_kib().saturating_sub(kib_before) as f64 / size as f64;
    let bytes_before = bytes(&network);
    let spread_times: Vec<(Duration, Duration)> =
        (0..config.spreads).map(|number| measure_spread(config, &mut network, number)).collect();
    let elapsed: Duration = spread_times.iter().map(|(_, all)| *all).sum();
    let transferred_bytes: f64 = total(&bytes(&network)) - total(&bytes_before);
    let idle_bytes = mean(&idle_bytes_per_s) * elapsed.as_secs_f64() * size as f64;
    let bytes_per_change =
        ((transferred_bytes - idle_bytes) / size as f64 / config.spreads as f64).max(0.0);
    let mean_ms = |pick: fn(&(Duration, Duration)) -> Duration| {
        spread_times.iter().map(|s| pick(s).as_millis() as f64).sum::<f64>()
            / spread_times.len() as f64
    };
    let max_ms = spread_times.iter().map(|(_, all)| all.as_millis()).max().unwrap_or(0);
    // All nodes are up. A node that misses others has falsely declared them dead, and counts
    // once.
    let false_deaths = (0..size).filter(|index| network.alive(*index).len() + 1 != size).count();
    vec![
        size.to_string(),
        format!("{loss}"),
        format!("{:.0}", mean_ms(|s| s.0)),
        format!("{:.0}", mean_ms(|s| s.1)),
        max_ms.to_string(),
        format!("{:.0}", mean(&idle_bytes_per_s)),
        format!("{:.0}", idle_bytes_per_s.iter().copied().fold(0.0, f64::max)),
        format!("{bytes_per_change:.0}"),
        format!("{cpu_us:.0}"),
        format!("{kib_per_daemon:.0}"),
        false_deaths.to_string(),
    ]
}

/// Runs the network without changes. Returns the bytes per second that each node sends and
/// receives, and the CPU time per node and second in microseconds. The CPU time is the wall
/// time of the simulation.
fn measure_idle(network: &mut Network) -> (Vec<f64>, f64) {
    let before = bytes(network);
    let started = Instant::now();
    network.run(IDLE_PERIOD);
    let cpu_us =
        started.elapsed().as_micros() as f64 / IDLE_PERIOD.as_secs_f64() / network.len() as f64;
    let bytes_per_s = bytes(network)
        .iter()
        .zip(&before)
        .map(|(after, before)| (after - before) / IDLE_PERIOD.as_secs_f64())
        .collect();
    (bytes_per_s, cpu_us)
}

/// Publishes one change; returns the times until 95 % of the live nodes and until all of
/// them hold it, each at most [`SPREAD_TIMEOUT`].
fn measure_spread(config: &Config, network: &mut Network, number: u64) -> (Duration, Duration) {
    let version = number + 1;
    let body = vec![b'x'; config.change_bytes];
    let origin = (number as usize * 7) % network.len();
    let start = network.now();
    network.publish(origin, Fact::new("config", version, body));
    let mut time_to_95_percent = None;
    while network.now() - start < SPREAD_TIMEOUT {
        network.run(STEP);
        let holders = network.holders("config", version);
        if holders * 100 >= network.up() * 95 {
            time_to_95_percent.get_or_insert(network.now() - start);
        }
        if holders == network.up() {
            break;
        }
    }
    let time_to_all = network.now() - start;
    (time_to_95_percent.unwrap_or(time_to_all), time_to_all)
}

/// Returns the sum of the bytes sent and received by each node so far.
fn bytes(network: &Network) -> Vec<f64> {
    (0..network.len())
        .map(|index| {
            let (sent, received) = network.bytes(index);
            (sent + received) as f64
        })
        .collect()
}

fn total(values: &[f64]) -> f64 {
    values.iter().sum()
}

fn mean(values: &[f64]) -> f64 {
    total(values) / values.len().max(1) as f64
}

/// Returns the resident memory of this process in KiB, or 0 if it can't be read.
pub fn resident_kib() -> u64 {
    const PAGE_KIB: u64 = 4;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|word| word.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_KIB
}
