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

/// A refusal of a replica that was full.
#[derive(Clone, Copy, Debug)]
pub(super) struct Full {
    /// When the requests of its queue will have moved up.
    until: Instant,
    /// Number of queued requests in the report before the refusal.
    waiting: u32,
}

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
        self.full.is_some_and(|full| now < full.until)
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
    /// time that a request, or the prompt of a stream, takes there, after which the requests of its
    /// queue have moved up; or until a [report](Self::record_waiting()) shows that they have.
    pub fn record_full(&mut self, key: Key, now: Instant) {
        let Some(entry) = self.entries.get(key) else { return };
        let time = entry.latency_ms.map_or_else(
            || self.prompt_time(entry),
            |latency_ms| Duration::from_secs_f64(latency_ms / 1_000.0),
        );
        let full = Full { until: now + time.clamp(FULL_MIN, FULL_MAX), waiting: entry.waiting };
        self.update(key, |entry| entry.full = Some(full));
    }

    /// Time in which the replica prefills a mean prompt; zero before the first measurement.
    fn prompt_time(&self, entry: &Entry) -> Duration {
        let typical = self.typical(&entry.replica.service);
        if !typical.is_measured() {
            return Duration::ZERO;
        }
        let seconds = typical.prompt_time().as_secs_f64() * entry.slowness;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Records the number of queued requests in a report. A replica that was full is not any more
    /// if its queue is shorter than before it refused a request.
    pub fn record_waiting(&mut self, key: Key, waiting: u32) {
        self.update(key, |entry| {
            entry.waiting = waiting;
            entry.full = entry.full.filter(|full| waiting >= full.waiting);
        });
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
