//! Evidence about a version: counts, their collection, and a sequential test.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

/// Counts about one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Attempts that ended well.
    pub good: u64,
    /// Attempts that failed; a dead replica counts as [`CRASH_WEIGHT`].
    pub failed: u64,
    /// Attempts, of either kind, that were unusually slow.
    pub slow: u64,
}

/// Failures that one dead replica stands for.
pub const CRASH_WEIGHT: u64 = 2;

impl Tally {
    /// All attempts.
    pub fn total(&self) -> u64 {
        self.good + self.failed
    }

    /// The sum of two tallies.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            failed: self.failed + other.failed,
            slow: self.slow + other.slow,
        }
    }
}

/// Error rates and effect sizes of the test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Chance that a good version is called bad.
    pub false_alarm_rate: f64,
    /// Chance that a bad version is called good.
    pub miss_rate: f64,
    /// Least rise of the failure rate that must be found.
    pub failure_rate_increase: f64,
    /// Least rise of the part of slow attempts that must be found.
    pub slow_rate_increase: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            false_alarm_rate: 0.001,
            miss_rate: 0.01,
            failure_rate_increase: 0.04,
            slow_rate_increase: 0.25,
        }
    }
}

impl Options {
    /// The test of one stage: gross faults first, finer ones as the share grows.
    ///
    /// A small share gives few counts, which suffice for a gross fault; a fine
    /// fault does little harm at a small share and is found at a larger one.
    #[must_use]
    pub fn at_stage(self, stage: u32) -> Self {
        let factor = match stage {
            0 | 1 => 4.0,
            2 => 2.5,
            3 => 1.5,
            _ => 1.0,
        };
        Self { failure_rate_increase: self.failure_rate_increase * factor, ..self }
    }
}

/// What the evidence says so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Not enough to tell.
    Open,
    /// As good as the old version.
    Good,
    /// More failures than the old version.
    Failing,
    /// Slower than the old version.
    Slow,
}

/// Tests a new version against the old one.
///
/// Wald's sequential probability ratio test of two Bernoulli rates, once for
/// failures and once for slowness; `daemons` that test on their own share the
/// false-alarm rate between them (Bonferroni).
pub fn test(new: Tally, old: Tally, options: &Options, daemons: usize) -> Finding {
    let alpha = options.false_alarm_rate / daemons.max(1) as f64;
    let reject = ((1.0 - options.miss_rate) / alpha).ln();
    let accept = (options.miss_rate / (1.0 - alpha)).ln();
    let failing = rate(old.failed, old.total(), 0.005);
    let slow = rate(old.slow, old.total(), 0.1);
    let failing = ratio(
        new.failed,
        new.total(),
        failing,
        failing + options.failure_rate_increase.max(failing),
    );
    let slow = ratio(new.slow, new.total(), slow, (slow + options.slow_rate_increase).min(0.95));
    if failing >= reject {
        Finding::Failing
    } else if slow >= reject {
        Finding::Slow
    } else if failing <= accept && slow <= accept {
        Finding::Good
    } else {
        Finding::Open
    }
}

/// An observed rate, drawn towards `usual` while there are few counts.
fn rate(hits: u64, total: u64, usual: f64) -> f64 {
    const PRIOR: f64 = 50.0;
    let observed = (hits as f64 + usual * PRIOR) / (total as f64 + PRIOR);
    observed.clamp(usual / 2.0, 0.6)
}

/// Logarithm of the likelihood ratio of `bad` over `usual`.
fn ratio(hits: u64, total: u64, usual: f64, bad: f64) -> f64 {
    let bad = bad.clamp(usual + 0.01, 0.99);
    let misses = total.saturating_sub(hits) as f64;
    hits as f64 * (bad / usual).ln() + misses * ((1.0 - bad) / (1.0 - usual)).ln()
}

/// Running estimate of a quantile by stochastic approximation (Robbins, Monro 1951).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantile {
    part: f64,
    value: f64,
    count: u64,
}

impl Quantile {
    /// An estimate of the quantile `part`.
    pub fn new(part: f64) -> Self {
        Self { part, value: 0.0, count: 0 }
    }

    /// Takes in one sample.
    pub fn add(&mut self, sample: f64) {
        self.count += 1;
        if self.count == 1 {
            self.value = sample;
            return;
        }
        let step = self.value.abs().max(1e-6) * (1.0 / self.count as f64).max(0.02);
        let up = if sample > self.value { self.part } else { self.part - 1.0 };
        self.value += step * up;
    }

    /// The estimate, once there are enough samples.
    pub fn get(&self) -> Option<f64> {
        const ENOUGH: u64 = 30;
        (self.count >= ENOUGH).then_some(self.value)
    }
}

/// Which version an observation is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cohort {
    /// The version moved to.
    New,
    /// The version moved from.
    Old,
}

/// Collects one daemon's evidence about one move.
///
/// Attempts that break when a replica dies count once for the replica; a death
/// on the new side that falls together with one on the old side has a cause
/// that both share, and does not count at all.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    /// Counts of the new version in the present stage.
    pub new: Tally,
    /// Counts of the old version in the present stage.
    pub old: Tally,
    failures: VecDeque<(u64, Duration)>,
    pending: Vec<Duration>,
    old_death: Option<Duration>,
}

impl Collector {
    /// Failures on one replica closer together than this count once.
    const BURST: Duration = Duration::from_secs(2);

    /// Starts a new stage with fresh counts.
    pub fn reset(&mut self) {
        (self.new, self.old) = (Tally::default(), Tally::default());
    }

    fn side(&mut self, side: Cohort) -> &mut Tally {
        match side {
            Cohort::New => &mut self.new,
            Cohort::Old => &mut self.old,
        }
    }

    /// Counts an attempt that ended well.
    pub fn record_success(&mut self, side: Cohort, slow: bool) {
        let tally = self.side(side);
        tally.good += 1;
        tally.slow += u64::from(slow);
    }

    /// Counts an attempt that failed on replica `replica`.
    pub fn record_failure(&mut self, side: Cohort, replica: u64, now: Duration) {
        let horizon = now.saturating_sub(Self::BURST);
        while self.failures.front().is_some_and(|(_, at)| *at < horizon) {
            self.failures.pop_front();
        }
        if self.failures.iter().any(|(other, _)| *other == replica) {
            return;
        }
        self.failures.push_back((replica, now));
        self.side(side).failed += 1;
    }

    /// Counts a failure that a live replica answered with.
    pub fn record_error_reply(&mut self, side: Cohort) {
        self.side(side).failed += 1;
    }

    /// Counts the death of a replica.
    pub fn record_crash(&mut self, side: Cohort, now: Duration) {
        match side {
            Cohort::New => self.pending.push(now),
            Cohort::Old => {
                self.old_death = Some(now);
                self.old.failed += CRASH_WEIGHT;
            }
        }
    }

    /// Counts the deaths that stood alone. Call it about once a second.
    pub fn count_crashes(&mut self, now: Duration) {
        let old = self.old_death;
        let alone = |at: Duration| old.is_none_or(|old| old.abs_diff(at) > Self::BURST);
        let due: Vec<Duration> =
            self.pending.extract_if(.., |at| now.saturating_sub(*at) > Self::BURST).collect();
        let counted = due.into_iter().filter(|at| alone(*at)).count() as u64;
        self.new.failed += counted * CRASH_WEIGHT;
    }
}
