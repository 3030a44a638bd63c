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
    /// Mean number of streams that arrive per second, if `kinds` is empty.
    #[serde(default)]
    pub streams: f64,
    /// Kinds of streams; if empty, all streams are of the default kind.
    #[serde(default)]
    pub kinds: Vec<Kind>,
    /// Periodic change of the rate of streams.
    #[serde(default)]
    pub wave: Wave,
    /// Mean length of a prompt in tokens.
    pub prompt: f64,
    /// Mean length of an answer in tokens.
    pub answer: f64,
    /// Tokens per event of a stream.
    #[serde(default = "default_event_tokens")]
    pub event_tokens: u64,
    /// Age of load reports in seconds.
    pub report_lag: f64,
    /// Engines of the replicas.
    #[serde(default)]
    pub engine: Model,
    /// Factors on the duration of steps, which the replicas have in turn; 1 for all if empty.
    #[serde(default)]
    pub step_factors: Vec<f64>,
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

impl Pattern {
    /// Returns the kinds of streams, which are at least one.
    pub fn kinds(&self) -> Vec<Kind> {
        match self.kinds.is_empty() {
            true => vec![Kind { streams: self.streams, ..Kind::default() }],
            false => self.kinds.clone(),
        }
    }
}

fn default_event_tokens() -> u64 {
    6
}

/// A kind of streams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Kind {
    /// Name used in tables and bursts.
    pub name: String,
    /// Priority at the replicas; 0 is the most urgent.
    pub priority: u8,
    /// Mean number of streams that arrive per second.
    pub streams: f64,
    /// Longest time to the first event of a stream that is on time, in seconds.
    pub target: f64,
    /// Value of a stream that completes on time.
    pub value: f64,
    /// Value of a stream that completes late.
    pub late: f64,
}

impl Default for Kind {
    fn default() -> Self {
        Self {
            name: "all".to_owned(),
            priority: 0,
            streams: 0.0,
            target: 4.5,
            value: 1.0,
            late: 0.03,
        }
    }
}

/// Sinusoidal change of the rate of streams.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Wave {
    /// Largest relative deviation from the mean rate.
    pub amplitude: f64,
    /// Period in seconds.
    pub period: f64,
}

impl Default for Wave {
    fn default() -> Self {
        Self { amplitude: 0.0, period: 1.0 }
    }
}

/// Properties of an engine.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Model {
    /// Number of runs in the batch from which on no queued run is admitted.
    pub slots: usize,
    /// Capacity of the KV cache in tokens.
    pub kv_tokens: u64,
    /// Duration of a step with an empty batch, in seconds.
    pub step: f64,
    /// Whether runs take KV cache as they grow, are preempted when it runs out, and are admitted
    /// only while no other run is in prefill. Otherwise a run is admitted when there is KV cache
    /// for the whole of it, which it reserves.
    pub on_demand: bool,
}

impl Default for Model {
    fn default() -> Self {
        Self { slots: 64, kv_tokens: 88_000, step: 0.004_63, on_demand: false }
    }
}

/// A period of higher load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start in seconds.
    pub at: f64,
    /// Duration in seconds.
    pub lasts: f64,
    /// Name of the only kind of streams that it affects; empty for all kinds.
    #[serde(default)]
    pub kind: String,
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
        include_str!("../../patterns/competing-burst.toml"),
        include_str!("../../patterns/triple-load.toml"),
        include_str!("../../patterns/sixfold-load.toml"),
        include_str!("../../patterns/unequal-replicas.toml"),
    ];
    texts.map(|text| toml::from_str(text).expect("the pattern file is valid")).into()
}
