//! Evidence about the two versions of a move: counts of attempts, their
//! collection on one daemon, and a sequential test that compares the versions.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

/// Counts of attempts on one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Successful attempts.
    pub good: u64,
    /// Failed attempts; the crash of a replica counts as [`CRASH_WEIGHT`].
    pub failed: u64,
    /// Attempts that were unusually slow; a [`Collector`] counts only successful ones.
    pub slow: u64,
}

/// Number of failures that the crash of one replica counts as.
pub const CRASH_WEIGHT: u64 = 2;

impl Tally {
    /// The number of successful and failed attempts.
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

/// Error rates and effect sizes of the sequential test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Probability that a good version is found faulty.
    pub false_alarm_rate: f64,
    /// Probability that a faulty version is found good.
    pub miss_rate: f64,
    /// Smallest increase of the failure rate that the test must detect.
    pub failure_rate_increase: f64,
    /// Smallest increase of the fraction of slow attempts that the test must
    /// detect.
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
    /// The options of one stage, which detect smaller increases of the failure rate as the
    /// new version's share of traffic grows.
    ///
    /// The few counts of a small share suffice to detect a large fault. A small
    /// fault does little harm at a small share and is detected at a larger one.
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

/// The result of the test on the evidence so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// There is not enough evidence yet.
    Open,
    /// The new version is as good as the old one.
    Good,
    /// The new version fails more often than the old one.
    Failing,
    /// The new version is slower than the old one.
    Slow,
}

/// Failure rate assumed of the old version while there are few counts.
const PRIOR_FAILURE_RATE: f64 = 0.005;
/// Fraction of slow attempts assumed of the old version while there are few
/// counts.
const PRIOR_SLOW_RATE: f64 = 0.1;

/// Tests a new version against the old one.
///
/// Applies Wald's sequential probability ratio test of two Bernoulli rates, once
/// to failures and once to slow attempts. When `daemons` daemons test
/// independently, they divide the false-alarm rate among them (Bonferroni
/// correction).
pub fn sequential_test(new: Tally, old: Tally, options: &Options, daemons: usize) -> Finding {
    let alpha = false_alarm_rate(options, daemons);
    let faulty_threshold = faulty_threshold(options, daemons);
    let good_threshold = (options.miss_rate / (1.0 - alpha)).ln();
    let failure_rate = smoothed_rate(old.failed, old.total(), PRIOR_FAILURE_RATE);
    let failure_log_ratio = log_likelihood_ratio(
        new.failed as f64,
        new.total() as f64,
        failure_rate,
        failure_rate + options.failure_rate_increase.max(failure_rate),
    );
    let slow_log_ratio = slow_log_ratio(new.slow as f64, new.total() as f64, old, options);
    if failure_log_ratio >= faulty_threshold {
        Finding::Failing
    } else if slow_log_ratio >= faulty_threshold {
        Finding::Slow
    } else if failure_log_ratio <= good_threshold && slow_log_ratio <= good_threshold {
        Finding::Good
    } else {
        Finding::Open
    }
}

/// Whether `slow` of `total` independent attempts on the new version show that it is slower than
/// the old one. The numbers may be fractions of attempts.
pub(crate) fn shows_slowness(
    slow: f64,
    total: f64,
    old: Tally,
    options: &Options,
    daemons: usize,
) -> bool {
    slow_log_ratio(slow, total, old, options) >= faulty_threshold(options, daemons)
}

/// The false-alarm rate of each of `daemons` that test independently.
fn false_alarm_rate(options: &Options, daemons: usize) -> f64 {
    options.false_alarm_rate / daemons.max(1) as f64
}

/// The logarithm of the likelihood ratio from which on the new version is found faulty.
fn faulty_threshold(options: &Options, daemons: usize) -> f64 {
    ((1.0 - options.miss_rate) / false_alarm_rate(options, daemons)).ln()
}

/// Logarithm of the likelihood ratio of a slow new version over a good one.
fn slow_log_ratio(slow: f64, total: f64, old: Tally, options: &Options) -> f64 {
    let slow_rate = smoothed_rate(old.slow, old.total(), PRIOR_SLOW_RATE);
    let faulty = (slow_rate + options.slow_rate_increase).min(0.95);
    log_likelihood_ratio(slow, total, slow_rate, faulty)
}

/// The observed rate, smoothed towards `prior` while there are few counts, and kept between half
/// of `prior` and 0.6.
fn smoothed_rate(hits: u64, total: u64, prior: f64) -> f64 {
    /// Number of attempts that `prior` weighs as much as.
    const PRIOR_ATTEMPTS: f64 = 50.0;
    let smoothed = (hits as f64 + prior * PRIOR_ATTEMPTS) / (total as f64 + PRIOR_ATTEMPTS);
    smoothed.clamp(prior / 2.0, 0.6)
}

/// Logarithm of the likelihood ratio of the rate `faulty` over the rate `normal`, given `hits` in
/// `total` attempts.
fn log_likelihood_ratio(hits: f64, total: f64, normal: f64, faulty: f64) -> f64 {
    let faulty = faulty.clamp(normal + 0.01, 0.99);
    let misses = (total - hits).max(0.0);
    hits * (faulty / normal).ln() + misses * ((1.0 - faulty) / (1.0 - normal)).ln()
}

/// Running estimate of a quantile by stochastic approximation (Robbins, Monro 1951).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantile {
    level: f64,
    value: f64,
    count: u64,
}

impl Quantile {
    /// Creates an estimate of the quantile `level`, between 0 and 1.
    pub fn new(level: f64) -> Self {
        Self { level, value: 0.0, count: 0 }
    }

    /// Updates the estimate with one sample; the first sample becomes the estimate.
    pub fn add(&mut self, sample: f64) {
        self.count += 1;
        if self.count == 1 {
            self.value = sample;
            return;
        }
        let step = self.value.abs().max(1e-6) * (1.0 / self.count as f64).max(0.02);
        let gradient = if sample > self.value { self.level } else { self.level - 1.0 };
        self.value += step * gradient;
    }

    /// The estimate, or `None` while there are fewer than 30 samples.
    pub fn get(&self) -> Option<f64> {
        const MIN_SAMPLES: u64 = 30;
        (self.count >= MIN_SAMPLES).then_some(self.value)
    }
}

/// The version that an observation is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cohort {
    /// The version that traffic moves to.
    New,
    /// The version that traffic moves from.
    Old,
}

/// Collects one daemon's evidence about one move.
///
/// The attempts that fail together when a replica crashes count once for that
/// replica. A crash of a new replica that coincides with a crash of an old one is
/// taken to have a common cause and does not count against the new version.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    /// Counts of the new version in the current stage.
    pub new: Tally,
    /// Counts of the old version in the current stage.
    pub old: Tally,
    /// Replica and time of each failure counted within [`Self::BURST_WINDOW`].
    recent_failures: VecDeque<(u64, Duration)>,
    /// Times of crashes of new replicas that may still coincide with a crash of an old one.
    pending_crashes: Vec<Duration>,
    last_old_crash: Option<Duration>,
}

impl Collector {
    /// Failures on one replica within this time count once; crashes within this
    /// time of each other coincide.
    const BURST_WINDOW: Duration = Duration::from_secs(2);

    /// Clears the counts for a new stage; pending crashes are kept and count in it.
    pub fn reset(&mut self) {
        (self.new, self.old) = (Tally::default(), Tally::default());
    }

    fn tally_mut(&mut self, cohort: Cohort) -> &mut Tally {
        match cohort {
            Cohort::New => &mut self.new,
            Cohort::Old => &mut self.old,
        }
    }

    /// Counts a successful attempt, and whether it was unusually slow.
    pub fn record_success(&mut self, cohort: Cohort, is_slow: bool) {
        let tally = self.tally_mut(cohort);
        tally.good += 1;
        tally.slow += u64::from(is_slow);
    }

    /// Counts an attempt that failed on `replica` without a reply, unless another
    /// failure of that replica was counted shortly before.
    pub fn record_failure(&mut self, cohort: Cohort, replica: u64, now: Duration) {
        let horizon = now.saturating_sub(Self::BURST_WINDOW);
        while self.recent_failures.front().is_some_and(|(_, at)| *at < horizon) {
            self.recent_failures.pop_front();
        }
        if self.recent_failures.iter().any(|(other, _)| *other == replica) {
            return;
        }
        self.recent_failures.push_back((replica, now));
        self.tally_mut(cohort).failed += 1;
    }

    /// Counts an error reply from a live replica.
    pub fn record_error_reply(&mut self, cohort: Cohort) {
        self.tally_mut(cohort).failed += 1;
    }

    /// Records the crash of a replica.
    ///
    /// A crash of an old replica counts immediately; [`Self::count_crashes`] decides
    /// later whether a crash of a new one counts.
    pub fn record_crash(&mut self, cohort: Cohort, now: Duration) {
        match cohort {
            Cohort::New => self.pending_crashes.push(now),
            Cohort::Old => {
                self.last_old_crash = Some(now);
                self.old.failed += CRASH_WEIGHT;
            }
        }
    }

    /// Counts the crashes of new replicas that are older than two seconds and did
    /// not coincide with the last crash of an old one. Called at least once a second.
    pub fn count_crashes(&mut self, now: Duration) {
        let old = self.last_old_crash;
        let is_separate =
            |at: Duration| old.is_none_or(|old| old.abs_diff(at) > Self::BURST_WINDOW);
        let due: Vec<Duration> = self
            .pending_crashes
            .extract_if(.., |at| now.saturating_sub(*at) > Self::BURST_WINDOW)
            .collect();
        let counted = due.into_iter().filter(|at| is_separate(*at)).count() as u64;
        self.new.failed += counted * CRASH_WEIGHT;
    }
}
