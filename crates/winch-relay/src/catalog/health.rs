//! What the daemon's own requests show of each replica: failures, refusals and latencies.

use super::{Catalog, Entry, Key};
use crate::prelude::*;

/// Shortest ejection of a replica, after its first failure.
const EJECTION_MIN: Duration = Duration::from_millis(400);
/// Longest ejection of a replica, after repeated failures.
const EJECTION_MAX: Duration = Duration::from_millis(1_600);
/// Shortest time for which a replica counts as full after it has refused a request.
const FULL_MIN: Duration = Duration::from_millis(50);
/// Longest time for which a replica counts as full after it has refused a request.
const FULL_MAX: Duration = Duration::from_secs(1);
/// Time without a sample after which a latency is outdated. A replica that was slow once would
/// otherwise get no request, and so no sample, for good.
const LATENCY_TTL: Duration = Duration::from_secs(5);
/// Weight of the newest sample in moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

impl Entry {
    /// Whether the replica is ejected at `now` because of a failure.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the latency is so old that it says nothing of the replica any more.
    pub fn has_outdated_latency(&self, now: Instant) -> bool {
        self.latency_at.is_some_and(|at| now >= at + LATENCY_TTL)
    }

    /// Whether the replica has just refused a request because it was full.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }
}

impl Catalog {
    /// Ejects a replica after a failure; it then normally gets requests only if no other
    /// replica can serve them.
    ///
    /// Returns the length of the ejection, which doubles with consecutive failures up to a
    /// limit; `None` if the replica was removed.
    pub fn eject(&mut self, key: Key, now: Instant) -> Option<Duration> {
        let entry = self.entries.get_mut(key)?;
        let length =
            (EJECTION_MIN * 2_u32.pow(entry.consecutive_failures.min(4))).min(EJECTION_MAX);
        if !entry.is_ejected(now) {
            entry.consecutive_failures += 1;
        }
        entry.ejected_until = Some(now + length);
        Some(length)
    }

    /// Records that a replica has refused a request because it was full. It counts as full for the
    /// time that a request takes there, after which the requests of its queue have moved up.
    pub fn record_full(&mut self, key: Key, now: Instant) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let latency_ms = entry.latency_ms.unwrap_or_default();
        let latency = Duration::from_secs_f64(latency_ms / 1_000.0);
        entry.full_until = Some(now + latency.clamp(FULL_MIN, FULL_MAX));
    }

    /// Records an answer, which ends an ejection even if the answer is a failure.
    ///
    /// `latency` is the time to the complete answer; `None` leaves the average as it is.
    pub fn record_answer(
        &mut self,
        key: Key,
        latency: Option<Duration>,
        is_failure: bool,
        now: Instant,
    ) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.consecutive_failures = 0;
        entry.ejected_until = None;
        entry.failure_rate +=
            SAMPLE_WEIGHT * (f64::from(u8::from(is_failure)) - entry.failure_rate);
        if let Some(latency) = latency {
            let sample_ms = latency.as_secs_f64() * 1_000.0;
            let is_outdated = entry.has_outdated_latency(now);
            let mean_ms = entry.latency_ms.filter(|_| !is_outdated).unwrap_or(sample_ms);
            entry.latency_at = Some(now);
            entry.latency_ms = Some(mean_ms + SAMPLE_WEIGHT * (sample_ms - mean_ms));
        }
    }
}
