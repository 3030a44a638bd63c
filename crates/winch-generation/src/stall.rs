//! Detection of engines that froze, crawl or lost their connection silently.

use std::time::Duration;

/// How a stall is recognised and answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Replace an attempt after a fixed silence.
    Fixed {
        /// Longest silence.
        idle_timeout: Duration,
    },
    /// Replace an attempt after a silence that is unusual for the version.
    Adaptive,
    /// Like `Adaptive`, but run the new attempt beside the suspected one.
    Hedged,
}

/// Limits of the adaptive bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// How stalls are answered.
    pub mode: Mode,
    /// Least silence that counts as a stall.
    pub min_idle: Duration,
    /// Silence that always counts as a stall once tokens have flowed.
    pub max_idle: Duration,
    /// Deviations above the mean gap that count as unusual.
    pub gap_deviations: f64,
    /// Silence allowed before the first token of an attempt, per known prefill time.
    pub prefill_deviations: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            mode: Mode::Hedged,
            min_idle: Duration::from_millis(400),
            max_idle: Duration::from_millis(1_000),
            gap_deviations: 8.0,
            prefill_deviations: 3.0,
        }
    }
}

/// What is normal for one version: gaps between tokens and prefill times.
///
/// Exponentially weighted mean and mean absolute deviation, as RFC 6298
/// estimates round-trip times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Baseline {
    gap: Estimate,
    prefill: Estimate,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

impl Estimate {
    const ALPHA: f64 = 1.0 / 8.0;
    const BETA: f64 = 1.0 / 4.0;

    fn add(&mut self, sample: f64, weight: f64) {
        let error = (sample - self.mean).abs();
        self.deviation += Self::BETA * weight * (error - self.deviation);
        self.mean += Self::ALPHA * weight * (sample - self.mean);
    }

    fn bound(&self, deviations: f64) -> f64 {
        self.mean + deviations * self.deviation
    }
}

impl Default for Baseline {
    fn default() -> Self {
        Self {
            gap: Estimate { mean: 0.05, deviation: 0.02 },
            prefill: Estimate { mean: 0.3, deviation: 0.15 },
        }
    }
}

impl Baseline {
    /// Weight of one gap: thousands arrive each second, so each counts little.
    const GAP_WEIGHT: f64 = 0.02;

    /// Counts a gap between two tokens.
    pub fn observe_gap(&mut self, gap: Duration) {
        self.gap.add(gap.as_secs_f64(), Self::GAP_WEIGHT);
    }

    /// Counts the time from submission to the first token of an attempt.
    pub fn observe_prefill(&mut self, time: Duration) {
        self.prefill.add(time.as_secs_f64(), 1.0);
    }

    /// Mean gap between tokens.
    pub fn gap(&self) -> Duration {
        Duration::from_secs_f64(self.gap.mean.max(0.0))
    }
}

/// What an attempt's silence means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing unusual; look again at this time.
    Wait(Duration),
    /// Start another attempt beside this one.
    Hedge,
    /// Replace this attempt.
    Replace,
}

/// Watches one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Detector {
    started: Duration,
    last_token: Option<Duration>,
    last_sign: Duration,
    /// True while a second attempt runs because of this silence.
    hedged: bool,
    /// True once this attempt won against a second one.
    reprieved: bool,
}

impl Detector {
    /// Watches an attempt submitted at `now`.
    pub fn new(now: Duration) -> Self {
        Self { started: now, last_token: None, last_sign: now, hedged: false, reprieved: false }
    }

    /// Notes a token, and returns the gap before it, if another came earlier.
    pub fn record_token(&mut self, now: Duration) -> Option<Duration> {
        let gap = self.last_token.map(|last| now.saturating_sub(last));
        self.last_token = Some(now);
        self.last_sign = now;
        self.reprieved |= std::mem::take(&mut self.hedged);
        gap
    }

    /// Notes a sign of life without a token, such as a load report.
    pub fn record_activity(&mut self, now: Duration) {
        self.last_sign = now;
    }

    /// Whether no token has come yet.
    pub fn in_prefill(&self) -> bool {
        self.last_token.is_none()
    }

    /// Whether a second attempt was started because of this one's silence.
    pub fn is_hedged(&self) -> bool {
        self.hedged
    }

    /// Time since submission.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started)
    }

    /// Judges the silence at `now`.
    ///
    /// An engine that shows signs of life but no tokens is overloaded or
    /// crawls; it gets `CRAWL_FACTOR` times the bound of a silent one.
    pub fn check(&mut self, now: Duration, norm: &Baseline, options: &Options) -> Action {
        let due = self.due(norm, options);
        if now < due {
            return Action::Wait(due);
        }
        match options.mode {
            Mode::Fixed { .. } | Mode::Adaptive => Action::Replace,
            Mode::Hedged if self.hedged => self.after_hedge(now, due, options),
            // An engine that crawls would win against every second attempt, one token at a time.
            Mode::Hedged if self.reprieved => Action::Replace,
            Mode::Hedged => {
                self.hedged = true;
                Action::Hedge
            }
        }
    }

    fn after_hedge(&self, now: Duration, due: Duration, options: &Options) -> Action {
        let end = due + options.max_idle;
        if now < end { Action::Wait(end) } else { Action::Replace }
    }

    fn due(&self, norm: &Baseline, options: &Options) -> Duration {
        const CRAWL_FACTOR: u32 = 3;
        let bound = match options.mode {
            Mode::Fixed { idle_timeout } => {
                return self.last_token.unwrap_or(self.started) + idle_timeout;
            }
            Mode::Adaptive | Mode::Hedged => self.bound(norm, options),
        };
        let since_token = self.last_token.unwrap_or(self.started);
        (self.last_sign + bound).min(since_token + bound * CRAWL_FACTOR).max(since_token + bound)
    }

    fn bound(&self, norm: &Baseline, options: &Options) -> Duration {
        if self.in_prefill() {
            let usual = norm.prefill.bound(options.prefill_deviations);
            return Duration::from_secs_f64(usual.max(options.max_idle.as_secs_f64()));
        }
        let usual = norm.gap.bound(options.gap_deviations);
        Duration::from_secs_f64(usual).clamp(options.min_idle, options.max_idle)
    }
}
