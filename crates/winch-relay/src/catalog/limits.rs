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

    /// Counts a request for a service.
    pub fn record_demand(&mut self, service: &Name, now: Instant) {
        self.origin.get_or_insert(now);
        let at = self.since_origin(now);
        self.demands.entry(service.clone()).or_default().record(at);
    }

    /// This daemon's demand for one replica of `service`, if the requests are spread evenly, in
    /// requests a second.
    pub fn demand_per_replica(&self, service: &str, now: Instant) -> f64 {
        let at = self.since_origin(now);
        let rate = self.demands.get(service).map_or(0.0, |demand| demand.rate(at));
        rate / self.serving(service).count().max(1) as f64
    }

    /// Whether a limit binds this daemon now, so that it needs a slot; `demand` is that for one
    /// replica.
    pub fn is_bound(&self, entry: &Entry, demand: f64) -> bool {
        entry.throttle.is_some_and(|throttle| throttle.binds(demand))
    }

    /// Whether the replica may get a request at `now` under the limit that it names; `demand` is
    /// that for one replica.
    pub fn has_slot(&self, entry: &Entry, demand: f64, now: Instant) -> bool {
        let is_open = |throttle: Throttle| throttle.is_open(self.since_origin(now));
        !self.is_bound(entry, demand) || entry.throttle.is_none_or(is_open)
    }

    /// Takes the right to send one request to a replica under the limit that it names; false if
    /// there is none at `now`, or if the replica was removed.
    pub fn take_slot(&mut self, key: Key, now: Instant) -> bool {
        let at = self.since_origin(now);
        let Some(entry) = self.entries.get(key) else { return false };
        if !entry.is_limited() {
            return true;
        }
        let demand = self.demand_per_replica(&entry.replica.service, now);
        let is_bound = self.is_bound(entry, demand);
        let throttle = self.entries.get_mut(key).and_then(|entry| entry.throttle.as_mut());
        throttle.is_none_or(|throttle| throttle.take(at) || !is_bound)
    }
}
