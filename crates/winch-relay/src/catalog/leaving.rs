//! Replicas that say in their replies that they leave, or that they want no requests for a while.

use super::{Catalog, Entry, Key, Transition};
use crate::prelude::*;

/// A replica that has said that it leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// Its id.
    pub id: Name,
    /// Start time of its incarnation, in Unix milliseconds, if stated.
    pub started_at_ms: Option<u64>,
}

impl From<&Replica> for Leaving {
    fn from(replica: &Replica) -> Self {
        Self { id: replica.id.clone(), started_at_ms: replica.started_at_ms }
    }
}

impl Entry {
    /// Whether the replica wants no requests of this daemon at `now`.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Whether the replica leaves, but may still serve what no other one can serve.
    fn is_last_resort(&self, now: Instant) -> bool {
        self.last_resort_until.is_some_and(|until| now < until)
    }
}

impl Catalog {
    /// Marks a replica as draining that has said that it leaves; `None` if that is known, or if
    /// this incarnation is not.
    ///
    /// Only another incarnation ends it: an older list may call the replica ready.
    pub fn mark_leaving(
        &mut self,
        leaving: &Leaving,
        last_resort_until: Instant,
    ) -> Option<Transition> {
        let entry = self.entries.get_mut(*self.by_id.get(&leaving.id)?)?;
        if entry.replica.draining || entry.replica.started_at_ms != leaving.started_at_ms {
            return None;
        }
        entry.says_leaving = true;
        entry.last_resort_until = Some(last_resort_until);
        entry.replica = Replica { draining: true, ..(*entry.replica).clone() }.into();
        Some(Transition::Draining(entry.replica.clone()))
    }

    /// The replicas that have said that they leave, and that the list does not call draining yet.
    pub fn unlisted_leaving(&self) -> impl Iterator<Item = Leaving> {
        let leaving = self.entries.values().filter(|entry| entry.says_leaving);
        leaving.map(|entry| Leaving::from(&*entry.replica))
    }

    /// Sends nothing to a replica before `until`, unless another incarnation is known.
    pub fn pause(&mut self, replica: &Replica, until: Instant) {
        if self.is_listed(replica)
            && let Some(key) = self.key(&replica.id)
        {
            self.entries[key].paused_until = Some(until);
        }
    }

    /// Replicas of a service that may get a request at `now`, including ejected ones: those that
    /// serve and want requests, or, if all leave, those that have only just said so.
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
