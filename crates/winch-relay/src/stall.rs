//! Detects stalled streams by the mean gap between their own events.
//!
//! If a stream is idle for several mean gaps, its replica is probed; if it is idle for most
//! of the longest allowed gap, it is resumed at another replica. The module takes the times
//! of the events and returns the times of both steps; it sends no probe itself.

use crate::prelude::*;

/// Idle time before the replica is probed, in mean gaps of the stream.
const PROBE_GAPS: f64 = 2.5;
/// Shortest idle time before the replica is probed.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(140);
/// Share of the longest allowed gap after which the stream is resumed at another replica.
const FAILOVER_SHARE: f64 = 0.62;
/// Longest allowed gap on a route that states none.
const DEFAULT_MAX_GAP: Duration = Duration::from_millis(2_000);
/// Weight of the newest gap in the moving average.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Detects the stalls of one stream, across its attempts at several replicas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Detector {
    last_event_at: Instant,
    mean_gap_ms: Option<f64>,
    max_gap: Duration,
}

impl Detector {
    /// A detector for a stream that starts at `now`; `max_gap` is the longest gap that
    /// the route allows, `None` if it states none.
    pub fn new(max_gap: Option<Duration>, now: Instant) -> Self {
        Self { last_event_at: now, mean_gap_ms: None, max_gap: max_gap.unwrap_or(DEFAULT_MAX_GAP) }
    }

    /// Records an event that arrived at `now`.
    pub fn record_event(&mut self, now: Instant) {
        let gap_ms = now.duration_since(self.last_event_at).as_secs_f64() * 1_000.0;
        let mean_ms = self.mean_gap_ms.unwrap_or(gap_ms);
        self.mean_gap_ms = Some(mean_ms + SAMPLE_WEIGHT * (gap_ms - mean_ms));
        self.last_event_at = now;
    }

    /// Moving average of the time between events; `None` before the first event. The time
    /// from the start to the first event counts as the first gap.
    pub fn mean_gap(&self) -> Option<Duration> {
        self.mean_gap_ms.map(|ms| Duration::from_secs_f64(ms / 1_000.0))
    }

    /// When to probe the replica if no event arrives before then.
    pub fn probe_at(&self) -> Instant {
        let delay_ms = self.mean_gap_ms.unwrap_or_default() * PROBE_GAPS;
        let delay = Duration::from_secs_f64(delay_ms / 1_000.0);
        let max_delay = self.max_gap.mul_f64(FAILOVER_SHARE / 2.0).max(MIN_PROBE_DELAY);
        self.last_event_at + delay.clamp(MIN_PROBE_DELAY, max_delay)
    }

    /// When to resume the stream at another replica even though its own is alive.
    pub fn failover_at(&self) -> Instant {
        self.last_event_at + self.max_gap.mul_f64(FAILOVER_SHARE)
    }

    /// Time since the last event.
    pub fn idle_time(&self, now: Instant) -> Duration {
        now.duration_since(self.last_event_at)
    }
}
