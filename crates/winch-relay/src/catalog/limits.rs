//! Limits that replicas name, and this daemon's share of each.

use winch_route::throttle::Throttle;

use super::{Catalog, Entry, Key};
use crate::prelude::*;

impl Catalog {
    fn since_origin(&self, now: Instant) -> Duration {
        self.origin.map_or(Duration::ZERO, |origin| now.saturating_duration_since(origin))
    }

    /// Sets or removes the limit of a replica, in requests a second, which `sharers` daemons obey
    /// together; returns whether it had one. `phase` is a random number from 0 to 1.
    pub fn set_limit(
        &mut self,
        key: Key,
        limit: Option<f64>,
        sharers: f64,
        now: Instant,
        phase: f64,
    ) -> bool {
        self.origin.get_or_insert(now);
        let at = self.since_origin(now);
        let Some(entry) = self.entries.get_mut(key) else { return limit.is_some() };
        let was_limited = entry.is_limited();
        match (limit, &mut entry.throttle) {
            (None, throttle) => *throttle = None,
            (Some(limit), Some(throttle)) => throttle.adjust(limit, sharers, at, phase),
            (Some(limit), throttle) => *throttle = Some(Throttle::new(limit, sharers, at, phase)),
        }
        was_limited
    }

    /// Whether the replica may get a request at `now` under the limit that it names.
    pub fn has_slot(&self, entry: &Entry, now: Instant) -> bool {
        entry.throttle.is_none_or(|throttle| throttle.is_open(self.since_origin(now)))
    }

    /// Takes the right to send one request to a replica under the limit that it names; false if
    /// there is none at `now`, or if the replica was removed.
    pub fn take_slot(&mut self, key: Key, now: Instant) -> bool {
        let at = self.since_origin(now);
        let Some(entry) = self.entries.get_mut(key) else { return false };
        entry.throttle.as_mut().is_none_or(|throttle| throttle.take(at))
    }
}
