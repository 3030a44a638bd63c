//! Patterns of load and faults, parsed from the TOML files of this crate.

use serde::Deserialize;

/// Load of a fleet over time, and the faults in it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pattern {
    /// Name used in tables.
    pub name: String,
    /// Time during which streams arrive, in seconds.
    pub seconds: f64,
    /// Number of replicas in each data centre.
    pub replicas: Vec<usize>,
    /// Number of daemons, which are distributed over the data centres in turn.
    pub daemons: usize,
    /// Mean number of streams that arrive per second.
    pub streams: f64,
    /// Mean length of a prompt in tokens.
    pub prompt: f64,
    /// Mean length of an answer in tokens.
    pub answer: f64,
    /// Age of load reports in seconds.
    pub report_lag: f64,
    /// Periods of higher load.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Losses of replicas, which lose their runs and their copies of KV caches.
    #[serde(default)]
    pub losses: Vec<Loss>,
    /// Periods in which replicas are slow.
    #[serde(default)]
    pub slow: Vec<Slow>,
    /// Restarts of daemons, which lose their streams and what they have recorded of the
    /// replicas.
    #[serde(default)]
    pub restarts: Vec<Restart>,
}

/// A period of higher load.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start in seconds.
    pub at: f64,
    /// Duration in seconds.
    pub lasts: f64,
    /// Factor on the rate of streams.
    #[serde(default = "one")]
    pub streams: f64,
    /// Factor on the length of prompts.
    #[serde(default = "one")]
    pub prompt: f64,
}

fn one() -> f64 {
    1.0
}

/// A loss of replicas in one data centre. They return idle and without copies.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Loss {
    /// Start in seconds.
    pub at: f64,
    /// Duration in seconds.
    pub lasts: f64,
    /// Index of the data centre.
    pub dc: usize,
    /// Share of the replicas in the data centre that are lost.
    pub share: f64,
    /// Whether the connections to the lost replicas are not reset, so that daemons detect
    /// the loss only by a timeout.
    #[serde(default)]
    pub dark: bool,
}

/// A period in which replicas are slow.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slow {
    /// Start in seconds.
    pub at: f64,
    /// Duration in seconds.
    pub lasts: f64,
    /// Share of all replicas that are slow: every n-th replica is, where n is the rounded
    /// reciprocal of the share.
    pub share: f64,
    /// Factor on the duration of their steps.
    pub factor: f64,
}

/// A restart of daemons.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Restart {
    /// Time of the restart in seconds.
    pub at: f64,
    /// Share of all daemons that restart, rounded down to a whole number of daemons.
    pub share: f64,
}

/// Returns the patterns of this crate.
///
/// # Panics
/// If a pattern can't be parsed; a test checks all of them.
pub fn all() -> Vec<Pattern> {
    let texts = [
        include_str!("../../patterns/calm.toml"),
        include_str!("../../patterns/dc-lost.toml"),
        include_str!("../../patterns/long-prompts.toml"),
        include_str!("../../patterns/slow-replicas.toml"),
        include_str!("../../patterns/restarts.toml"),
    ];
    texts.map(|text| toml::from_str(text).expect("the pattern file is valid")).into()
}
