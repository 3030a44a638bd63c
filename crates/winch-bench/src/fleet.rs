//! Spread time, bytes, processor time and memory of the control side by fleet size.

use std::time::{Duration, Instant};

use winch_gossip::{
    facts::Fact,
    node::Options,
    simulation::{Conditions, Network},
};

use crate::table::Table;

/// What is measured.
#[derive(Clone, Debug)]
pub struct Config {
    /// Fleet sizes.
    pub sizes: Vec<usize>,
    /// Parts of the messages that are lost.
    pub losses: Vec<f64>,
    /// Bytes of one change.
    pub change_bytes: usize,
    /// Seed of the first run.
    pub seed: u64,
    /// Spreads in each fleet.
    pub spreads: u64,
}

const STEP: Duration = Duration::from_millis(50);
const STEADY: Duration = Duration::from_secs(30);
const LIMIT: Duration = Duration::from_secs(30);

/// Runs the measurement.
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

fn measure(config: &Config, size: usize, loss: f64) -> Vec<String> {
    let before = resident_kib();
    let conditions = Conditions { loss, ..Conditions::default() };
    let mut network = Network::new(size, Options::default(), conditions, config.seed);
    network.run(Duration::from_secs(5));
    let (idle, cpu) = steady(&mut network);
    let memory = resident_kib().saturating_sub(before) as f64 / size as f64;
    let start = bytes(&network);
    let spreads: Vec<(Duration, Duration)> =
        (0..config.spreads).map(|number| spread(config, &mut network, number)).collect();
    let elapsed: Duration = spreads.iter().map(|(_, all)| *all).sum();
    let sent: f64 = total(&bytes(&network)) - total(&start);
    let idle_part = mean(&idle) * elapsed.as_secs_f64() * size as f64;
    let per_change = ((sent - idle_part) / size as f64 / config.spreads as f64).max(0.0);
    let ms = |pick: fn(&(Duration, Duration)) -> Duration| {
        spreads.iter().map(|s| pick(s).as_millis() as f64).sum::<f64>() / spreads.len() as f64
    };
    let max = spreads.iter().map(|(_, all)| all.as_millis()).max().unwrap_or(0);
    let wrong = (0..size).filter(|index| network.alive(*index).len() + 1 != size).count();
    vec![
        size.to_string(),
        format!("{loss}"),
        format!("{:.0}", ms(|s| s.0)),
        format!("{:.0}", ms(|s| s.1)),
        max.to_string(),
        format!("{:.0}", mean(&idle)),
        format!("{:.0}", idle.iter().copied().fold(0.0, f64::max)),
        format!("{per_change:.0}"),
        format!("{cpu:.0}"),
        format!("{memory:.0}"),
        wrong.to_string(),
    ]
}

/// Bytes per second of each node, sent and received, and microseconds of processor time per second.
fn steady(network: &mut Network) -> (Vec<f64>, f64) {
    let before = bytes(network);
    let started = Instant::now();
    network.run(STEADY);
    let cpu = started.elapsed().as_micros() as f64 / STEADY.as_secs_f64() / network.len() as f64;
    let rates = bytes(network)
        .iter()
        .zip(&before)
        .map(|(after, before)| (after - before) / STEADY.as_secs_f64())
        .collect();
    (rates, cpu)
}

/// Publishes one change and lets it spread; times until 95 % and all nodes hold it.
fn spread(config: &Config, network: &mut Network, number: u64) -> (Duration, Duration) {
    let version = number + 1;
    let body = vec![b'x'; config.change_bytes];
    let origin = (number as usize * 7) % network.len();
    let start = network.now();
    network.publish(origin, Fact::new("config", version, body));
    let mut most = None;
    while network.now() - start < LIMIT {
        network.run(STEP);
        let holders = network.holders("config", version);
        if holders * 100 >= network.up() * 95 {
            most.get_or_insert(network.now() - start);
        }
        if holders == network.up() {
            break;
        }
    }
    let all = network.now() - start;
    (most.unwrap_or(all), all)
}

/// Bytes sent and received by each node.
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

/// Resident memory of this process.
pub fn resident_kib() -> u64 {
    const PAGE_KIB: u64 = 4;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|word| word.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_KIB
}
