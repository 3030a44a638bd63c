//! Removal of replicas that have left, and return of those that the list still has.

use super::{Catalog, Transition, UNLISTED_TTL};
use crate::prelude::*;

impl Catalog {
    /// Removes replicas whose entries are still missing after the grace period, and
    /// replicas that were unlisted for too long. Adds those that were listed in spite of an earlier
    /// departure until now.
    ///
    /// Changes nothing during an outage of the store and during the grace period.
    pub fn expire(&mut self, now: Instant) -> Vec<Transition> {
        self.departed.expire(now);
        self.latencies.expire(now);
        if !self.is_settled(now) {
            return Vec::new();
        }
        let overdue = |since| now >= since + UNLISTED_TTL;
        let expired = self
            .entries
            .values()
            .filter(|entry| entry.removed_in_outage || entry.unlisted_since.is_some_and(overdue));
        let ids: Vec<Name> = expired.map(|entry| entry.replica.id.clone()).collect();
        let removed: Vec<_> = ids.iter().filter_map(|id| self.depart(id)).collect();
        removed.into_iter().chain(self.admit_returning(now)).collect()
    }

    /// Whether the store is reachable and no grace period is running.
    pub(super) fn is_settled(&self, now: Instant) -> bool {
        !self.in_outage && self.grace_until.is_none_or(|at| now >= at)
    }

    /// Whether the entry says less than what is known: the store may have it from an older copy.
    pub(super) fn is_outdated(&self, replica: &Replica) -> bool {
        if self.returns_at.is_none() {
            return false;
        }
        match self.by_id.get(&replica.id).map(|key| &self.entries[*key].replica) {
            Some(known) => known.started_at_ms > replica.started_at_ms,
            None => self.departed.has_left_before(replica, self.era.unwrap_or(0)),
        }
    }

    /// Applies the entries in `returning` if the store has kept them long enough.
    pub(super) fn admit_returning(&mut self, now: Instant) -> Vec<Transition> {
        if self.returns_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.returns_at = None;
        let returning = std::mem::take(&mut self.returning);
        returning.into_values().filter_map(|replica| self.put(replica)).collect()
    }

    /// Removes a replica that has left.
    pub(super) fn depart(&mut self, id: &Name) -> Option<Transition> {
        let transition = self.remove(id)?;
        self.departed.insert(transition.replica(), self.era.unwrap_or(0));
        Some(transition)
    }
}
