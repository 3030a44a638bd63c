//! Shares of a rate limit that many daemons obey together without consulting each other.
//!
//! Each daemon sends in slots of its own, which recur evenly from a random start. A slot that is
//! not used soon is lost: otherwise all daemons could use the slots of an idle time at once. Slots
//! bind only while the demand for the service, spread over its upstreams, comes near the limit.

use std::time::Duration;

/// Share of a limit that the daemons use together; the rest absorbs slots that fall together.
const USED_SHARE: f64 = 0.7;
/// Time from the start of a slot until it is lost.
const SLOT_LENGTH: Duration = Duration::from_millis(500);
/// Share of a limit up to which the mean demand for an upstream needs no slots.
const FREE_SHARE: f64 = 0.5;
/// Time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(5);
/// Interval of slots under a limit of zero.
const LONGEST_INTERVAL: Duration = Duration::from_secs(3_600);

/// One daemon's share of a limit. Times are measured from an origin of the user's choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Throttle {
    /// Demand of one daemon for one upstream up to which no slots are needed, in requests a second.
    free_rate: f64,
    interval: Duration,
    /// Start of the next slot, or of one that may still be used or may be lost.
    next: Duration,
}

/// The rate of one daemon's requests for a service: a moving average with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    rate: f64,
    at: Duration,
}

impl Demand {
    /// Requests a second at `now`.
    pub fn rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at);
        self.rate * (-age.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp()
    }

    /// Counts a request at `now`.
    pub fn record(&mut self, now: Duration) {
        self.rate = self.rate(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.at = now;
    }
}

/// Demand of one daemon for one upstream up to which it needs no slots.
fn free_rate(limit: f64, sharers: f64) -> f64 {
    limit * FREE_SHARE / sharers.max(1.0)
}

/// Interval of one daemon's slots under a `limit` in requests a second that `sharers` daemons obey.
fn interval(limit: f64, sharers: f64) -> Duration {
    let seconds = sharers.max(1.0) / (limit * USED_SHARE);
    Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_INTERVAL).min(LONGEST_INTERVAL)
}

impl Throttle {
    /// Creates the share of a daemon that learns of a limit at `now`.
    ///
    /// `limit` is in requests a second, `sharers` the number of daemons that obey it, and `phase`
    /// a random number from 0 to 1.
    pub fn new(limit: f64, sharers: f64, now: Duration, phase: f64) -> Self {
        let interval = interval(limit, sharers);
        let free_rate = free_rate(limit, sharers);
        Self { free_rate, interval, next: now + interval.mul_f64(phase) }
    }

    /// Adapts the share to a changed limit or number of daemons; see [`Self::new`].
    pub fn adjust(&mut self, limit: f64, sharers: f64, now: Duration, phase: f64) {
        self.free_rate = free_rate(limit, sharers);
        let changed = interval(limit, sharers);
        if changed != self.interval {
            self.interval = changed;
            self.next = self.next.min(now + changed.mul_f64(phase));
        }
    }

    /// Start of the first slot that is not lost at `now`; it may lie in the future.
    fn slot(&self, now: Duration) -> Duration {
        let lost_before = now.saturating_sub(SLOT_LENGTH);
        let lost_time = lost_before.saturating_sub(self.next);
        let lost = lost_time.as_nanos().div_ceil(self.interval.as_nanos().max(1));
        let lost = u32::try_from(lost).unwrap_or(u32::MAX);
        self.next.saturating_add(self.interval.saturating_mul(lost))
    }

    /// Whether slots bind this daemon: its `demand` for the upstream, in requests a second, is more
    /// than its part of a share of the limit.
    pub fn binds(&self, demand: f64) -> bool {
        demand > self.free_rate
    }

    /// Whether the daemon has a slot at `now`.
    pub fn is_open(&self, now: Duration) -> bool {
        self.slot(now) <= now
    }

    /// Uses a slot; false if none is open.
    pub fn take(&mut self, now: Duration) -> bool {
        let slot = self.slot(now);
        if slot > now {
            return false;
        }
        self.next = slot.saturating_add(self.interval);
        true
    }
}
