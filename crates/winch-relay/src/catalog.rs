//! Replicas known to this daemon, with the state that decides which of them take requests.
//!
//! The catalog applies changes of the platform's list of replicas and the results
//! of this daemon's own requests. It returns the [`Transition`]s that follow, and
//! the replicas of a service that may be used.

mod departed;
mod drain;
mod expiry;
mod health;
mod latencies;
mod limits;
mod recovery;
mod speeds;
mod transition;
mod typical;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

use slotmap::{SlotMap, new_key_type};
use winch_route::{
    engine::Typical,
    throttle::{Demand, Throttle},
};

use self::{departed::Departed, health::Full, latencies::Latencies, recovery::Gap};
pub use self::{
    drain::Drain,
    recovery::{Recovery, Verdict},
    transition::Transition,
};
use crate::{prelude::*, store::Change};

/// Time after an outage of the store within which removed entries of the list may be written
/// again.
pub const REMOVAL_GRACE: Duration = Duration::from_millis(2_500);
/// Time after the beginning of an era of the store for which entries of replicas that had left
/// before are not believed. Longer than the store keeps the entry of a replica that is silent.
pub const RETURN_DELAY: Duration = Duration::from_secs(8);
/// Longest time for which an unlisted replica is used while the store is reachable.
const UNLISTED_TTL: Duration = Duration::from_secs(5);

new_key_type! {
    /// Key of a replica in the catalog.
    pub struct Key;
}

/// One replica and the results of this daemon's own requests to it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The replica as it was last listed; once it drains, it stays draining.
    pub replica: Arc<Replica>,
    /// Number of this daemon's requests that the replica is running.
    pub in_flight: u32,
    /// Number of this daemon's streams that wait for their first event from the replica.
    pub starting: u32,
    /// Moving average of the time to a complete answer, in milliseconds; `None` before the
    /// first measurement.
    pub latency_ms: Option<f64>,
    /// When `latency_ms` last got a sample; `None` if it comes from an earlier incarnation.
    latency_at: Option<Instant>,
    /// Moving average of the share of answers that were failures, 0 to 1.
    pub failure_rate: f64,
    /// See [`Catalog::slowness()`].
    slowness: f64,
    ejected_until: Option<Instant>,
    /// Number of queued requests in the replica's last report; zero before the first one.
    waiting: u32,
    /// The replica's last refusal because it was full, until its queue has moved up.
    full: Option<Full>,
    /// Failures since the last answer, except those while the replica was ejected.
    consecutive_failures: u32,
    /// Whether the replica's entry in the list was removed during an outage of the store or in
    /// the first read after it, and was not written again since.
    removed_in_outage: bool,
    /// Whether the daemon that this one follows holds the removal of the replica back.
    held_by_source: bool,
    /// This daemon's share of the limit that the replica names; `None` if it names none.
    throttle: Option<Throttle>,
    /// When the replica was inserted before it was listed; `None` if it is listed.
    unlisted_since: Option<Instant>,
    /// Whether the replica has announced that it drains, and the list does not say so yet.
    announces_drain: bool,
    /// Until when the replica serves what no other one can serve although it drains.
    last_resort_until: Option<Instant>,
    /// Until when the replica wants no requests of this daemon.
    paused_until: Option<Instant>,
}

impl Entry {
    fn new(replica: Replica) -> Self {
        Self {
            replica: replica.into(),
            in_flight: 0,
            starting: 0,
            latency_ms: None,
            latency_at: None,
            failure_rate: 0.0,
            slowness: 1.0,
            ejected_until: None,
            waiting: 0,
            full: None,
            consecutive_failures: 0,
            removed_in_outage: false,
            held_by_source: false,
            throttle: None,
            unlisted_since: None,
            announces_drain: false,
            last_resort_until: None,
            paused_until: None,
        }
    }

    /// Whether the replica names a limit of the requests that it takes.
    pub fn is_limited(&self) -> bool {
        self.throttle.is_some()
    }
}

/// All known replicas, and whether the store is reachable.
#[derive(Debug, Default)]
pub struct Catalog {
    entries: SlotMap<Key, Entry>,
    by_id: HashMap<Name, Key>,
    by_address: HashMap<SocketAddr, Key>,
    /// Start of the time that throttles and demands use; set with the first of them.
    origin: Option<Instant>,
    /// This daemon's demand for each service.
    demands: HashMap<Name, Demand>,
    /// Averages over this daemon's streams, by service.
    typicals: HashMap<Name, Typical>,
    /// Whether the store is unreachable.
    in_outage: bool,
    /// Set from the end of an outage until the first read after it is applied.
    first_read_pending: bool,
    /// End of the grace period of the last outage.
    grace_until: Option<Instant>,
    /// The last outage of the store that has ended, as far as this daemon has seen it.
    last_outage: Option<Gap>,
    /// See [`Self::steady_since()`].
    steady_since: Option<Instant>,
    /// Era of the store in which the list was last read; `None` before the first read.
    era: Option<u64>,
    departed: Departed,
    latencies: Latencies,
    /// Services and relative slowness of replicas that are not typical, by address.
    slowness: HashMap<SocketAddr, (Name, f64)>,
    /// Entries that the store may only have from an older copy, by the ids of their replicas.
    returning: HashMap<Name, Replica>,
    /// When entries in `returning` are believed; `None` if no era has begun recently.
    returns_at: Option<Instant>,
}

impl Catalog {
    /// Marks the store as unreachable.
    pub fn mark_store_unreachable(&mut self) {
        self.in_outage = true;
    }

    /// Records the era of the store in which a listing was read, before the listing is applied.
    ///
    /// A new era begins with an older copy of the list. Entries that it lacks may be written again,
    /// as after an outage, and those of replicas that have left are not believed for a while.
    pub fn enter_era(&mut self, era: u64, now: Instant) {
        if self.era.is_some_and(|last| last < era) {
            self.first_read_pending = true;
            self.grace_until = Some(now + REMOVAL_GRACE);
            self.returns_at = Some(now + RETURN_DELAY);
            self.steady_since = Some(now);
        }
        self.era = self.era.max(Some(era));
    }

    /// Marks a read of the list as completely applied.
    ///
    /// While the store is reachable, later removals then take effect immediately.
    pub fn finish_read(&mut self) {
        self.first_read_pending = false;
    }

    /// Applies a complete listing; removes the replicas of earlier listings that it lacks.
    ///
    /// Replicas that were inserted before they are listed stay until they expire.
    pub fn replace(&mut self, changes: Vec<Change>) -> Vec<Transition> {
        let listed: HashSet<Name> = changes.iter().map(|change| change.id().clone()).collect();
        self.returning.retain(|id, _| listed.contains(id));
        let known = self.entries.values().filter(|entry| entry.unlisted_since.is_none());
        let known = known.map(|entry| entry.replica.id.clone());
        let missing: Vec<Name> = known.filter(|id| !listed.contains(id)).collect();
        let removals = missing.into_iter().map(Change::Removed);
        changes.into_iter().chain(removals).filter_map(|change| self.apply(change)).collect()
    }

    /// Applies one change of the list and returns the transition that follows, if any.
    pub fn apply(&mut self, change: Change) -> Option<Transition> {
        if let Change::Removed(id) = &change {
            self.returning.remove(id);
        }
        match change {
            Change::Put(replica) if self.is_outdated(&replica) => {
                self.returning.insert(replica.id.clone(), replica);
                None
            }
            Change::Put(replica) => self.put(replica),
            // Entries of live replicas that expired in an outage are written again soon after it.
            // A removal takes effect immediately unless an outage can have caused it.
            Change::Removed(id) if !self.in_outage && !self.first_read_pending => self.depart(&id),
            Change::Removed(id) => {
                let entry = &mut self.entries[*self.by_id.get(&id)?];
                let was_held = std::mem::replace(&mut entry.removed_in_outage, true);
                (!was_held).then(|| Transition::Held(entry.replica.clone()))
            }
            // A daemon that does not know the replica may have seen it leave.
            Change::Held(replica) => {
                let entry = &mut self.entries[*self.by_id.get(&replica.id)?];
                let was_held = std::mem::replace(&mut entry.held_by_source, true);
                (!was_held).then(|| Transition::Held(entry.replica.clone()))
            }
            // The entry may come from another kind of writer, so the known replica stays.
            Change::Unreadable { .. } => None,
        }
    }

    /// Inserts a replica that answers at a known address but is not listed yet.
    ///
    /// `None` if its id is known, or if the replica at its address was started later.
    pub fn insert_unlisted(&mut self, replica: Replica, now: Instant) -> Option<Transition> {
        if self.by_id.contains_key(&replica.id) {
            return None;
        }
        let id = replica.id.clone();
        let transition = self.put(replica);
        if let Some(&key) = self.by_id.get(&id) {
            self.entries[key].unlisted_since = Some(now);
        }
        transition
    }

    fn put(&mut self, replica: Replica) -> Option<Transition> {
        if let Some(&key) = self.by_id.get(&replica.id) {
            let entry = &mut self.entries[key];
            let was_held = std::mem::take(&mut entry.removed_in_outage)
                | std::mem::take(&mut entry.held_by_source);
            entry.unlisted_since = None;
            let same_incarnation = entry.replica.started_at_ms == replica.started_at_ms
                && entry.replica.address == replica.address;
            let starts_draining = !entry.replica.draining && replica.draining;
            if same_incarnation {
                entry.announces_drain &= !replica.draining;
                // An incarnation that drains never takes new requests again.
                let draining = replica.draining || entry.replica.draining;
                let replica = Replica { draining, ..replica };
                if *entry.replica == replica {
                    return was_held.then(|| Transition::Changed(entry.replica.clone()));
                }
                entry.replica = replica.into();
                let replica = entry.replica.clone();
                return Some(if starts_draining {
                    Transition::Draining(replica)
                } else {
                    Transition::Changed(replica)
                });
            }
            self.remove(&replica.id);
        }
        // Only one replica can listen on an address: the one that was started last.
        if let Some(&other) = self.by_address.get(&replica.address) {
            let other = &self.entries[other].replica;
            if other.started_at_ms > replica.started_at_ms {
                return None;
            }
            let id = other.id.clone();
            self.remove(&id);
        }
        let (id, address) = (replica.id.clone(), replica.address);
        let latency_ms = self.latencies.take(&replica);
        let slowness = self.slowness_of(&replica);
        let key = self.entries.insert(Entry { latency_ms, slowness, ..Entry::new(replica) });
        self.by_id.insert(id, key);
        self.by_address.insert(address, key);
        let replica = self.entries[key].replica.clone();
        Some(if replica.draining {
            Transition::Draining(replica)
        } else {
            Transition::Added(replica)
        })
    }

    fn remove(&mut self, id: &Name) -> Option<Transition> {
        let key = self.by_id.remove(id)?;
        let entry = self.entries.remove(key)?;
        if self.by_address.get(&entry.replica.address) == Some(&key) {
            self.by_address.remove(&entry.replica.address);
        }
        self.latencies.insert(&entry);
        Some(Transition::Removed(entry.replica))
    }

    /// The entry with `key`; `None` if the replica was removed.
    pub fn get(&self, key: Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Service of the replica at `address`; `None` if none is known there.
    pub fn service_at(&self, address: SocketAddr) -> Option<&Name> {
        let key = self.by_address.get(&address)?;
        Some(&self.entries.get(*key)?.replica.service)
    }

    /// Changes the entry with `key`, unless the replica was removed.
    pub fn update(&mut self, key: Key, change: impl FnOnce(&mut Entry)) {
        if let Some(entry) = self.entries.get_mut(key) {
            change(entry);
        }
    }

    /// The key of the replica with this id; `None` if the replica is not known.
    pub fn key(&self, id: &str) -> Option<Key> {
        self.by_id.get(id).copied()
    }

    /// Whether this incarnation of `replica` is known; false once it has left the list.
    pub fn is_listed(&self, replica: &Replica) -> bool {
        let entry = self.key(&replica.id).and_then(|key| self.get(key));
        entry.is_some_and(|entry| {
            entry.replica.started_at_ms == replica.started_at_ms
                && entry.replica.address == replica.address
        })
    }

    /// Replicas of a service that take new requests: neither draining nor ejected, and not paused.
    pub fn usable<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = (Key, &'a Entry)> {
        let is_usable = move |entry: &Entry| !entry.is_ejected(now) && !entry.is_paused(now);
        self.serving(service).filter(move |(_, entry)| is_usable(entry))
    }

    /// Replicas of a service that are not draining, including ejected ones.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (Key, &'a Entry)> {
        let entries = self.entries.iter();
        entries.filter(move |(_, e)| *e.replica.service == *service && !e.replica.draining)
    }

    /// All replicas.
    pub fn replicas(&self) -> impl Iterator<Item = &Arc<Replica>> {
        self.entries.values().map(|entry| &entry.replica)
    }

    /// Number of replicas.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no replica is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
