//! Tells a slow stream from a lost one by its own pace.

use crate::prelude::*;

/// Silence that starts a check, as a multiple of the stream's mean gap.
const CHECK_GAPS: f64 = 2.5;
/// Least silence that starts a check.
const CHECK_MIN: Duration = Duration::from_millis(140);
/// Part of the longest allowed pause after which the stream goes on elsewhere.
const MOVE_SHARE: f64 = 0.62;
/// Longest silence of a stream on a route that states no pause.
const DEFAULT_PAUSE: Duration = Duration::from_millis(2_000);
/// Weight of the newest gap in the mean.
const SAMPLE_WEIGHT: f64 = 0.15;

/// The pace of one stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Detector {
    last: Instant,
    mean_ms: Option<f64>,
    pause: Duration,
}

impl Detector {
    /// The pace of a stream whose pauses may last `pause`.
    pub fn new(pause: Option<Duration>, now: Instant) -> Self {
        Self { last: now, mean_ms: None, pause: pause.unwrap_or(DEFAULT_PAUSE) }
    }

    /// Notes an event.
    pub fn record_event(&mut self, now: Instant) {
        let gap = now.duration_since(self.last).as_secs_f64() * 1_000.0;
        let mean = self.mean_ms.unwrap_or(gap);
        self.mean_ms = Some(mean + SAMPLE_WEIGHT * (gap - mean));
        self.last = now;
    }

    /// Mean time between events.
    pub fn mean_gap(&self) -> Option<Duration> {
        self.mean_ms.map(|ms| Duration::from_secs_f64(ms / 1_000.0))
    }

    /// When the replica is asked whether it lives, if no event comes.
    pub fn probe_at(&self) -> Instant {
        let usual = self.mean_ms.unwrap_or_default() * CHECK_GAPS;
        let usual = Duration::from_secs_f64(usual / 1_000.0);
        self.last + usual.clamp(CHECK_MIN, self.pause.mul_f64(MOVE_SHARE / 2.0).max(CHECK_MIN))
    }

    /// When the stream goes on elsewhere although its replica lives.
    pub fn failover_at(&self) -> Instant {
        self.last + self.pause.mul_f64(MOVE_SHARE)
    }

    /// Time since the last event.
    pub fn idle_time(&self, now: Instant) -> Duration {
        now.duration_since(self.last)
    }
}
