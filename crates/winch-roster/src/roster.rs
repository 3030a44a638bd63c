//! The complete list of replicas, as a daemon that serves others holds it.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use crate::{
    Name,
    interest::Interest,
    position::Position,
    replica::Replica,
    ring::{self, Entry, Ring},
};

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A replica was added or has changed.
    Put(Arc<Replica>),
    /// The replica with this id is no longer listed, but may only have expired in an outage of
    /// the store. It is removed or put later.
    Held(Name),
    /// The replica with this id was removed.
    Removed(Name),
}

/// Where an entry is kept.
#[derive(Clone, Debug)]
struct Location {
    address: SocketAddr,
    service: Name,
    dc: Name,
    position: ring::Position,
}

/// The replicas of one service, by data centre.
type Rings = BTreeMap<Name, Ring>;

/// The complete list of replicas.
#[derive(Debug, Default)]
pub struct Roster {
    locations: HashMap<Name, Location>,
    /// Id of the replica at each address.
    by_address: HashMap<SocketAddr, Name>,
    services: BTreeMap<Name, Rings>,
    revision: u64,
    position: Position,
    is_whole: bool,
}

impl Roster {
    /// Applies one change.
    pub fn apply(&mut self, change: Change) {
        self.revision += 1;
        match change {
            Change::Put(replica) => self.put(replica),
            Change::Held(id) => self.hold(&id),
            Change::Removed(id) => self.remove(&id),
        }
    }

    /// Records that the list was read up to `position` of the store; `is_whole` tells whether
    /// it is the whole list or a subset. Positions only rise.
    pub fn confirm(&mut self, position: Position, is_whole: bool) {
        self.position = self.position.max(position);
        self.is_whole = is_whole;
    }

    /// Position from which the changes of the store continue the list; `None` if the list has to
    /// be read whole.
    pub fn resume_position(&self) -> Option<Position> {
        (self.is_whole && self.position.version > 0).then_some(self.position)
    }

    /// Position of the store up to which the list was read; version zero if it was never read.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Id of the replica at `address`; `None` if none is listed there.
    pub fn id_at(&self, address: SocketAddr) -> Option<&Name> {
        self.by_address.get(&address)
    }

    /// Number of changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of replicas.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether the list has no replica.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// The services with their number of replicas.
    pub fn services(&self) -> impl Iterator<Item = (&Name, usize)> {
        let size = |rings: &Rings| rings.values().map(Ring::len).sum();
        self.services.iter().map(move |(service, rings)| (service, size(rings)))
    }

    fn put(&mut self, replica: Arc<Replica>) {
        self.remove(&replica.id);
        let address = replica.address;
        // Only one replica can listen on an address.
        if let Some(displaced) = self.by_address.insert(address, replica.id.clone()) {
            self.remove_entry(&displaced);
        }
        let position = ring::position(address, &replica.id);
        let (service, dc) = (replica.service.clone(), replica.dc.clone());
        let location = Location {
            address,
            service: service.clone(),
            dc: dc.clone(),
            position: position.clone(),
        };
        self.locations.insert(replica.id.clone(), location);
        let ring = self.services.entry(service).or_default().entry(dc).or_default();
        ring.insert(position, Entry { replica, revision: self.revision, is_held: false });
    }

    fn hold(&mut self, id: &str) {
        let Some(location) = self.locations.get(id) else { return };
        let rings = self.services.get_mut(&location.service);
        let ring = rings.and_then(|rings| rings.get_mut(&location.dc));
        if let Some(entry) = ring.and_then(|ring| ring.get_mut(&location.position)) {
            entry.is_held = true;
            entry.revision = self.revision;
        }
    }

    fn remove(&mut self, id: &str) {
        let Some(location) = self.locations.get(id) else { return };
        self.by_address.remove(&location.address);
        self.remove_entry(id);
    }

    /// Removes an entry from its ring, but not its address.
    fn remove_entry(&mut self, id: &str) {
        let Some(location) = self.locations.remove(id) else { return };
        let Some(rings) = self.services.get_mut(&location.service) else { return };
        if let Some(ring) = rings.get_mut(&location.dc) {
            ring.remove(&location.position);
        }
        rings.retain(|_, ring| ring.len() > 0);
        if rings.is_empty() {
            self.services.remove(&location.service);
        }
    }

    /// The entries that `interest` selects. `was_sent` tells which were sent before; of the
    /// services for which `is_unlimited` holds all are selected.
    pub(crate) fn select<'a>(
        &'a self,
        interest: &'a Interest,
        is_unlimited: impl Fn(&str) -> bool,
        was_sent: impl Fn(&Replica) -> bool + Copy + 'a,
    ) -> Vec<&'a Entry> {
        let mut selected = Vec::new();
        for (service, rings) in &self.services {
            let limit = interest.limit.filter(|_| !is_unlimited(service));
            let remote_count = remote_count(rings, &interest.dc);
            for (dc, ring) in rings {
                match limit {
                    None => selected.extend(ring.walk(interest.position)),
                    Some(limit) => {
                        let count = if *dc == interest.dc {
                            limit
                        } else {
                            (limit * ring.len()).div_ceil(remote_count)
                        };
                        selected.extend(ring.select(interest.position, count, was_sent));
                    }
                }
            }
        }
        selected
    }
}

/// Number of replicas outside data centre `dc`.
fn remote_count(rings: &Rings, dc: &Name) -> usize {
    rings.iter().filter(|(other, _)| *other != dc).map(|(_, ring)| ring.len()).sum()
}
