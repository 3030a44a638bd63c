//! Replicas that announce in their replies that they drain, or that they want no requests for a
//! while.

use super::{Catalog, Entry, Key, Transition};
use crate::prelude::*;

/// The announcement of a replica that it drains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Its id.
    pub id: Name,
    /// Start time of its incarnation, in Unix milliseconds, if stated.
    pub started_at_ms: Option<u64>,
}

impl From<&Replica> for Drain {
    fn from(replica: &Replica) -> Self {
        Self { id: replica.id.clone(), started_at_ms: replica.started_at_ms }
    }
}

impl Entry {
    /// Whether the replica wants no requests of this daemon at `now`.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Whether the replica drains, but may still serve what no other one can serve.
    fn is_last_resort(&self, now: Instant) -> bool {
        self.last_resort_until.is_some_and(|until| now < until)
    }
}

impl Catalog {
    /// Marks a replica as draining that has announced it; `None` if that is known, or if this
    /// incarnation is not.
    ///
    /// Only another incarnation ends it: an older list may call the replica ready.
    pub fn start_drain(&mut self, drain: &Drain, last_resort_until: Instant) -> Option<Transition> {
        let entry = self.entries.get_mut(*self.by_id.get(&drain.id)?)?;
        if entry.replica.draining || entry.replica.started_at_ms != drain.started_at_ms {
            return None;
        }
        entry.announces_drain = true;
        entry.last_resort_until = Some(last_resort_until);
        entry.replica = Replica { draining: true, ..(*entry.replica).clone() }.into();
        Some(Transition::Draining(entry.replica.clone()))
    }

    /// The announced drains of which the list does not know yet.
    pub fn unlisted_drains(&self) -> impl Iterator<Item = Drain> {
        let draining = self.entries.values().filter(|entry| entry.announces_drain);
        draining.map(|entry| Drain::from(&*entry.replica))
    }

    /// Sends nothing to a replica before `until`, or until a later time that it has named before, unless
    /// another incarnation is known.
    pub fn pause(&mut self, replica: &Replica, until: Instant) {
        if self.is_listed(replica)
            && let Some(key) = self.key(&replica.id)
        {
            let entry = &mut self.entries[key];
            entry.paused_until = entry.paused_until.max(Some(until));
        }
    }

    /// Replicas of a service that may get a request at `now`, including ejected ones: those that
    /// serve and want requests, or, if all drain, those that have only just announced it.
    pub fn accepting<'a>(&'a self, service: &'a str, now: Instant) -> Vec<(Key, &'a Entry)> {
        let mut accepting: Vec<_> = self.serving(service).collect();
        if accepting.is_empty() {
            let is_known = |entry: &Entry| *entry.replica.service == *service;
            let known = self.entries.iter().filter(|(_, entry)| is_known(entry));
            accepting.extend(known.filter(|(_, entry)| entry.is_last_resort(now)));
        }
        accepting.retain(|(_, entry)| !entry.is_paused(now));
        accepting
    }
}
