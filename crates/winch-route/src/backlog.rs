//! Requests that wait in a daemon until an upstream has room.
//!
//! A daemon does not see the requests that wait in others. It estimates the wait of a new one from
//! the intervals between the starts of its own: those lengthen when all daemons compete for the
//! same upstreams.

use std::time::Duration;

/// Weight of the newest interval in the moving average.
const INTERVAL_WEIGHT: f64 = 0.3;

/// The waiting requests of one daemon for one service. All times have the
/// same origin.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    waiting: u32,
    /// Moving average of the time between two starts while requests wait; `None` before the first.
    interval: Option<Duration>,
    /// When the last request has started, or the first one has begun to wait.
    since: Duration,
}

impl Backlog {
    /// Time until a request that arrives now starts, behind those that wait.
    ///
    /// While none starts, the time since the last start counts as the interval if that is longer.
    pub fn expected_wait(&self, now: Duration) -> Duration {
        if self.waiting == 0 {
            return Duration::ZERO;
        }
        let idle = now.saturating_sub(self.since);
        let interval = self.interval.map_or(idle, |interval| interval.max(idle));
        interval.saturating_mul(self.waiting + 1)
    }

    /// Counts a request that begins to wait.
    pub fn enter(&mut self, now: Duration) {
        if self.waiting == 0 {
            self.since = now;
        }
        self.waiting += 1;
    }

    /// Counts the start of a waiting request.
    pub fn start(&mut self, now: Duration) {
        let sample = now.saturating_sub(self.since);
        let mean = self.interval.unwrap_or(sample).as_secs_f64();
        let updated = mean + INTERVAL_WEIGHT * (sample.as_secs_f64() - mean);
        self.interval = Some(Duration::from_secs_f64(updated.max(0.0)));
        self.since = now;
    }

    /// Counts a request that no longer waits, whether it has started or not.
    pub fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
        if self.waiting == 0 {
            self.interval = None;
        }
    }
}
