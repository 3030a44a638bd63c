//! Detects stalled attempts, whose engine hangs, generates too slowly or lost
//! its connection without an error.
//!
//! [`Baseline`] estimates the normal times of a version from the observed ones;
//! [`Detector`] takes in the times of one attempt's tokens, compares them with the
//! baseline, and returns whether to wait, to start a hedge or to replace the attempt.

use std::time::Duration;

/// How a stall is detected and handled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Replace an attempt after a fixed time without a token.
    Fixed {
        /// Longest time without a token.
        idle_timeout: Duration,
    },
    /// Replace an attempt that is idle for longer than is normal for the version.
    Adaptive,
    /// Like `Adaptive`, but first run a second attempt as a hedge.
    Hedged,
}

/// Settings of stall detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// How stalls are detected and handled.
    pub mode: Mode,
    /// Shortest idle time after the first token that is a stall.
    pub min_idle: Duration,
    /// Longest idle time after the first token that is not a stall, for an engine
    /// without other activity. Also the shortest idle time before the first token
    /// that is a stall, and the time after a stall at which a hedged attempt is replaced.
    pub max_idle: Duration,
    /// Idle time after the first token that counts as a stall, in mean absolute
    /// deviations above the mean gap.
    pub gap_deviations: f64,
    /// Idle time before the first token that counts as a stall, in mean absolute
    /// deviations above the mean prefill time.
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

/// The normal gaps between tokens and prefill times of one version.
///
/// Keeps an exponentially weighted mean and mean absolute deviation of each, as
/// RFC 6298 does for round-trip times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Baseline {
    gap: Estimate,
    prefill: Estimate,
}

/// Running mean and mean absolute deviation, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

impl Estimate {
    /// Weight of a sample in the mean, from RFC 6298.
    const ALPHA: f64 = 1.0 / 8.0;
    /// Weight of a sample in the deviation, from RFC 6298.
    const BETA: f64 = 1.0 / 4.0;

    /// Updates the estimate with a sample whose weight is scaled by `weight`.
    fn add(&mut self, sample: f64, weight: f64) {
        let error = (sample - self.mean).abs();
        self.deviation += Self::BETA * weight * (error - self.deviation);
        self.mean += Self::ALPHA * weight * (sample - self.mean);
    }

    /// The time that lies `deviations` mean absolute deviations above the mean, in seconds.
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
    /// Weight of one gap, relative to a sample in RFC 6298. It is small because
    /// thousands of gaps are observed each second.
    const GAP_WEIGHT: f64 = 0.02;

    /// Updates the estimate with a gap between two tokens.
    pub fn observe_gap(&mut self, gap: Duration) {
        self.gap.add(gap.as_secs_f64(), Self::GAP_WEIGHT);
    }

    /// Updates the estimate with the time from submission to the first token of an attempt.
    pub fn observe_prefill(&mut self, time: Duration) {
        self.prefill.add(time.as_secs_f64(), 1.0);
    }

    /// The mean gap between tokens.
    pub fn mean_gap(&self) -> Duration {
        Duration::from_secs_f64(self.gap.mean.max(0.0))
    }
}

/// What to do about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Keep the attempt as it is; check again at this time.
    Wait(Duration),
    /// Start a second attempt as a hedge and keep this one.
    Hedge,
    /// Replace this attempt.
    Replace,
}

/// Detects a stall of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Detector {
    started: Duration,
    /// Time of the last token, `None` before the first one.
    last_token: Option<Duration>,
    /// Time of the last token or other activity.
    last_activity: Duration,
    /// Whether a hedge runs because this attempt stalled.
    is_hedged: bool,
    /// Whether this attempt has yielded a token while a hedge ran.
    has_won_hedge: bool,
    /// When the attempt was first kept although it was to be replaced, since its last token.
    kept_since: Option<Duration>,
    /// Time until which it is kept.
    kept_until: Duration,
}

impl Detector {
    /// Creates a detector for an attempt that is submitted at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            started: now,
            last_token: None,
            last_activity: now,
            is_hedged: false,
            has_won_hedge: false,
            kept_since: None,
            kept_until: Duration::ZERO,
        }
    }

    /// Records a token and returns the gap since the previous one, `None` for the first.
    ///
    /// If the attempt is hedged, it has won against the hedge.
    pub fn record_token(&mut self, now: Duration) -> Option<Duration> {
        let gap = self.last_token.map(|last| now.saturating_sub(last));
        self.last_token = Some(now);
        self.last_activity = now;
        self.kept_since = None;
        self.has_won_hedge |= std::mem::take(&mut self.is_hedged);
        gap
    }

    /// Records activity other than a token, such as a load report.
    pub fn record_activity(&mut self, now: Duration) {
        self.last_activity = now;
    }

    /// Whether the attempt has not yielded a token yet.
    pub fn in_prefill(&self) -> bool {
        self.last_token.is_none()
    }

    /// Whether a hedge was started because this attempt stalled, and the attempt has yielded no
    /// token since.
    pub fn is_hedged(&self) -> bool {
        self.is_hedged
    }

    /// The time since submission.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started)
    }

    /// Keeps an attempt that is to be replaced until `now + time`; false if it has already been kept
    /// for `longest` since its last token.
    pub fn keep(&mut self, now: Duration, time: Duration, longest: Duration) -> bool {
        let since = *self.kept_since.get_or_insert(now);
        self.kept_until = now + time;
        now < since + longest
    }

    /// Decides what to do about the attempt at `now`. [`Action::Hedge`] marks the
    /// attempt as hedged until its next token.
    ///
    /// An engine that shows activity but yields no tokens may be overloaded
    /// rather than stalled, so its idle time may reach three times the bound
    /// of an engine without activity.
    pub fn check(&mut self, now: Duration, baseline: &Baseline, options: &Options) -> Action {
        let stalled_at = self.stalled_at(baseline, options);
        if now < stalled_at {
            return Action::Wait(stalled_at);
        }
        if now < self.kept_until {
            return Action::Wait(self.kept_until);
        }
        match options.mode {
            Mode::Fixed { .. } | Mode::Adaptive => Action::Replace,
            Mode::Hedged if self.is_hedged => self.check_hedged(now, stalled_at, options),
            // A slow engine could win against every hedge, one token at a time.
            Mode::Hedged if self.has_won_hedge => Action::Replace,
            Mode::Hedged => {
                self.is_hedged = true;
                Action::Hedge
            }
        }
    }

    /// Replaces a hedged attempt that has been stalled for [`Options::max_idle`].
    fn check_hedged(&self, now: Duration, stalled_at: Duration, options: &Options) -> Action {
        let replace_at = stalled_at + options.max_idle;
        if now < replace_at { Action::Wait(replace_at) } else { Action::Replace }
    }

    /// The time from which the attempt counts as stalled.
    fn stalled_at(&self, baseline: &Baseline, options: &Options) -> Duration {
        /// Longest idle time of an engine with activity, relative to the bound without activity.
        const ACTIVE_IDLE_FACTOR: u32 = 3;
        let bound = match options.mode {
            Mode::Fixed { idle_timeout } => {
                return self.last_token.unwrap_or(self.started) + idle_timeout;
            }
            Mode::Adaptive | Mode::Hedged => self.idle_bound(baseline, options),
        };
        let idle_since = self.last_token.unwrap_or(self.started);
        (self.last_activity + bound)
            .min(idle_since + bound * ACTIVE_IDLE_FACTOR)
            .max(idle_since + bound)
    }

    /// The idle time that counts as a stall for an engine without activity.
    fn idle_bound(&self, baseline: &Baseline, options: &Options) -> Duration {
        if self.in_prefill() {
            let normal = baseline.prefill.bound(options.prefill_deviations);
            return Duration::from_secs_f64(normal.max(options.max_idle.as_secs_f64()));
        }
        let normal = baseline.gap.bound(options.gap_deviations);
        Duration::from_secs_f64(normal).clamp(options.min_idle, options.max_idle)
    }
}
