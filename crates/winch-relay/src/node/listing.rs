//! Changes of the list of replicas, and how old the state is.

use winch_roster::roster;

use super::{Node, lock};
use crate::{
    catalog::{Recovery, Transition},
    counter,
    prelude::*,
    replica,
    store::{Change, Listing},
    watch::Topic,
};

/// When a state of the list was read, and by whom.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// As of when the state is known.
    pub read_at: Instant,
    /// See [`Recovery::steady_since`].
    pub steady_since: Option<Instant>,
}

impl Reading {
    /// A read of the store that began at `read_at`.
    pub fn of_store(read_at: Instant) -> Self {
        Self { read_at, steady_since: Some(read_at) }
    }
}

/// Checks the entries, and logs those that name no replica to use.
fn check(changes: Vec<Change>) -> Vec<Change> {
    let changes: Vec<Change> = changes.into_iter().map(Change::checked).collect();
    for change in &changes {
        if let Change::Unreadable { id, fault } = change {
            emit!(Event::ReplicaEntryInvalid, replica = id, fault = fault);
        }
    }
    changes
}

impl<P: Protocol> Node<P> {
    /// Marks the store as reachable, as shown by a state of the list that is yet to be applied and
    /// confirmed.
    pub fn mark_store_reachable(&self, reading: Reading) {
        let Reading { read_at, steady_since } = reading;
        let confirmed_at = lock(&self.confirmed)[Topic::Replicas as usize];
        let renewal_interval = self.tuning().renewal_interval;
        let recovery = Recovery { read_at, confirmed_at, steady_since, renewal_interval };
        let verdict = self.catalog().mark_store_reachable(&recovery, Instant::now());
        if let Some(verdict) = verdict {
            let gap = confirmed_at.map(|at| read_at.saturating_duration_since(at).as_millis());
            let gap_ms = gap.map_or("-".to_owned(), |gap| gap.to_string());
            emit!(Event::OutageEnded, verdict = verdict.name(), gap_ms = gap_ms);
            counter::outage_ended(verdict);
        }
    }

    /// Applies a listing, which replaces the known replicas if it is complete; see
    /// [`Catalog::replace`](crate::catalog::Catalog::replace). `is_whole` tells whether this daemon then knows all replicas, and
    /// not only a subset.
    pub fn apply_listing(&self, listing: Listing, is_whole: bool) {
        let Listing { changes, position, is_complete } = listing;
        let mut changes = check(changes);
        let now = Instant::now();
        let mut catalog = self.catalog();
        if position.version > 0 {
            catalog.enter_era(position.era, now);
        }
        if catalog.is_empty() {
            changes = changes.into_iter().map(Change::assume_alive).collect();
        }
        let mut transitions: Vec<Transition> = if is_complete {
            catalog.replace(changes)
        } else {
            changes.into_iter().filter_map(|change| catalog.apply(change)).collect()
        };
        transitions.extend(catalog.expire(now));
        catalog.finish_read();
        drop(catalog);
        self.record(transitions);
        if position.version > 0 {
            self.roster().confirm(position, is_whole);
        }
    }

    /// Applies the part of a list that could be read. The list does not count as read: nobody is
    /// removed, and it is read again from its beginning.
    pub fn apply_part(&self, part: Listing) {
        let Listing { changes, position, .. } = part;
        let changes = check(changes);
        let mut catalog = self.catalog();
        catalog.enter_era(position.era, Instant::now());
        let present = changes.into_iter().filter(|change| !matches!(change, Change::Removed(_)));
        let transitions = present.filter_map(|change| catalog.apply(change)).collect();
        drop(catalog);
        self.record(transitions);
    }

    /// Removes replicas that are no longer listed; see [`Catalog::expire`](crate::catalog::Catalog::expire).
    pub fn expire(&self) {
        let transitions = self.catalog().expire(Instant::now());
        self.record(transitions);
    }

    /// Inserts a replica that is not listed yet; see [`Catalog::insert_unlisted`](crate::catalog::Catalog::insert_unlisted).
    pub fn insert_unlisted(&self, replica: Replica) {
        if replica::encode_id(&replica.id).is_none() {
            return;
        }
        let transition = self.catalog().insert_unlisted(replica, Instant::now());
        self.record(transition.into_iter().collect());
    }

    /// Records transitions for followers, announces and logs them.
    pub(super) fn record(&self, transitions: Vec<Transition>) {
        if transitions.is_empty() {
            return;
        }
        let mut roster = self.roster();
        for transition in &transitions {
            let replica = transition.replica();
            roster.apply(match transition {
                Transition::Held(_) => roster::Change::Held(replica.id.clone()),
                Transition::Removed(_) => roster::Change::Removed(replica.id.clone()),
                _ => roster::Change::Put(replica.clone()),
            });
        }
        drop(roster);
        self.changed.send_replace(());
        self.log(transitions);
    }

    /// Records that the store confirmed the state of a topic at `at`, unless a later
    /// confirmation is known or `at` is `None`.
    pub fn confirm(&self, topic: Topic, at: Option<Instant>) {
        let mut confirmed = lock(&self.confirmed);
        let is_first = confirmed[topic as usize].is_none() && at.is_some();
        confirmed[topic as usize] = confirmed[topic as usize].max(at);
        drop(confirmed);
        if is_first {
            self.changed.send_replace(());
        }
    }

    /// Completes when the store has confirmed every topic at least once.
    pub async fn wait_confirmed(&self) {
        let mut changes = self.subscribe();
        while self.state_age_ms().is_none() {
            // Cannot fail: this node owns the sender.
            let _ = changes.changed().await;
        }
    }

    /// Time for which the list has been known without a gap in which entries of live replicas can have
    /// expired, in milliseconds; `None` if that is not known.
    pub fn steady_ms(&self) -> Option<u64> {
        let steady_since = self.catalog().steady_since()?;
        u64::try_from(steady_since.elapsed().as_millis()).ok()
    }

    /// Time since the store last confirmed the topic whose confirmation is oldest, in
    /// milliseconds; `None` if any topic was never confirmed.
    pub fn state_age_ms(&self) -> Option<u64> {
        let confirmed = *lock(&self.confirmed);
        // `None` sorts before every time, so one topic without confirmation makes this `None`.
        let oldest = confirmed.into_iter().min().flatten();
        let age = oldest?.elapsed();
        u64::try_from(age.as_millis()).ok()
    }

    /// Logs transitions, and closes the idle connections to replicas that drain or were
    /// removed.
    fn log(&self, transitions: Vec<Transition>) {
        for transition in transitions {
            match transition {
                Transition::Added(replica) => emit!(
                    Event::ReplicaUpdated,
                    replica = replica.id,
                    service = replica.service,
                    address = replica.address,
                    dc = replica.dc
                ),
                Transition::Changed(_) | Transition::Held(_) => {}
                Transition::Draining(replica) | Transition::Removed(replica) => {
                    self.pool.evict(replica.address);
                    emit!(
                        Event::ReplicaLeaving,
                        replica = replica.id,
                        service = replica.service,
                        draining = replica.draining
                    );
                }
            }
        }
    }
}
