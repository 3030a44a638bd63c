//! Latencies of replicas that were removed, for the next ones at their addresses.

use std::{collections::HashMap, net::SocketAddr};

use super::Entry;
use crate::prelude::*;

/// Time for which a latency is remembered. A replica that restarts is back sooner.
const MEMORY_TIME: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Latency {
    service: Name,
    ms: f64,
    /// When the latency was first looked at; see [`Latencies::expire()`].
    noted_at: Option<Instant>,
}

/// Latencies of replicas that were removed recently, by their addresses.
#[derive(Debug, Default)]
pub(super) struct Latencies(HashMap<SocketAddr, Latency>);

impl Latencies {
    /// Remembers the latency of a replica that was removed, if it is known.
    pub(super) fn insert(&mut self, entry: &Entry) {
        let Some(ms) = entry.latency_ms else { return };
        let service = entry.replica.service.clone();
        self.0.insert(entry.replica.address, Latency { service, ms, noted_at: None });
    }

    /// Takes the latency of the last replica of the same service at the address of `replica`.
    pub(super) fn take(&mut self, replica: &Replica) -> Option<f64> {
        let latency = self.0.remove(&replica.address)?;
        (latency.service == replica.service).then_some(latency.ms)
    }

    /// Forgets what is too old.
    pub(super) fn expire(&mut self, now: Instant) {
        self.0.retain(|_, latency| now < *latency.noted_at.get_or_insert(now) + MEMORY_TIME);
    }
}
