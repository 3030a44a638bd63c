//! Detection of stalled streams by the mean gap between their own events.
//!
//! A stream that is idle for several mean gaps is probed; one that is idle for most
//! of the longest allowed gap is resumed at another replica.

use crate::prelude::*;

/// Idle time before the replica is probed, in mean gaps of the stream.
const PROBE_GAPS: f64 = 2.5;
/// Least idle time before the replica is probed.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(140);
/// Share of the longest allowed gap after which the stream is resumed elsewhere.
const FAILOVER_SHARE: f64 = 0.62;
/// Longest allowed gap on a route that states none.
const DEFAULT_MAX_GAP: Duration = Duration::from_millis(2_000);
/// Weight of the newest gap in the moving average.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Event times of one stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Detector {
    last_event_at: Instant,
    mean_gap_ms: Option<f64>,
    max_gap: Duration,
}

impl Detector {
    /// A detector for a stream that starts at `now`; `max_gap` is the longest gap that
    /// the route allows.
    pub fn new(max_gap: Option<Duration>, now: Instant) -> Self {
        Self { last_event_at: now, mean_gap_ms: None, max_gap: max_gap.unwrap_or(DEFAULT_MAX_GAP) }
    }

    /// Records an event that arrived at `now`.
    pub fn record_event(&mut self, now: Instant) {
        let gap = now.duration_since(self.last_event_at).as_secs_f64() * 1_000.0;
        let mean = self.mean_gap_ms.unwrap_or(gap);
        self.mean_gap_ms = Some(mean + SAMPLE_WEIGHT * (gap - mean));
        self.last_event_at = now;
    }

    /// Moving average of the time between events; `None` before the first event.
    pub fn mean_gap(&self) -> Option<Duration> {
        self.mean_gap_ms.map(|ms| Duration::from_secs_f64(ms / 1_000.0))
    }

    /// When to probe the replica if no event arrives before.
    pub fn probe_at(&self) -> Instant {
        let delay = self.mean_gap_ms.unwrap_or_default() * PROBE_GAPS;
        let delay = Duration::from_secs_f64(delay / 1_000.0);
        let max_delay = self.max_gap.mul_f64(FAILOVER_SHARE / 2.0).max(MIN_PROBE_DELAY);
        self.last_event_at + delay.clamp(MIN_PROBE_DELAY, max_delay)
    }

    /// When to resume the stream elsewhere even though its replica is alive.
    pub fn failover_at(&self) -> Instant {
        self.last_event_at + self.max_gap.mul_f64(FAILOVER_SHARE)
    }

    /// Time since the last event.
    pub fn idle_time(&self, now: Instant) -> Duration {
        now.duration_since(self.last_event_at)
    }
}
