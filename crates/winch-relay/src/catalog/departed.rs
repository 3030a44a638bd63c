//! Replicas that have left, so that an older copy of the list does not bring them back.

use std::collections::HashMap;

use crate::prelude::*;

/// Time for which a departure is remembered. The copy from which a store comes back is younger.
const MEMORY_TIME: Duration = Duration::from_secs(60);

/// An incarnation of a replica that has left.
#[derive(Debug)]
struct Departure {
    started_at_ms: Option<u64>,
    /// Era of the store in which it left.
    era: u64,
    /// When the departure was first looked at; see [`Departed::expire()`].
    noted_at: Option<Instant>,
}

/// Replicas that have left recently, by their ids.
#[derive(Debug, Default)]
pub(super) struct Departed(HashMap<Name, Departure>);

impl Departed {
    /// Records that `replica` has left in `era`.
    pub(super) fn insert(&mut self, replica: &Replica, era: u64) {
        let started_at_ms = replica.started_at_ms;
        self.0.insert(replica.id.clone(), Departure { started_at_ms, era, noted_at: None });
    }

    /// Whether this incarnation has left in an era before `era`.
    pub(super) fn has_left_before(&self, replica: &Replica, era: u64) -> bool {
        self.0.get(&replica.id).is_some_and(|departure| {
            departure.era < era && departure.started_at_ms == replica.started_at_ms
        })
    }

    /// Forgets departures of long ago.
    pub(super) fn expire(&mut self, now: Instant) {
        self.0.retain(|_, departure| now < *departure.noted_at.get_or_insert(now) + MEMORY_TIME);
    }
}
