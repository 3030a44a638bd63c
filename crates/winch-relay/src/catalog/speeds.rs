//! Speeds of replicas relative to others of their service.

use std::{collections::HashMap, net::SocketAddr};

use super::{Catalog, Key};
use crate::prelude::*;

impl Catalog {
    /// Time that the replica takes for the same work, relative to a typical replica of its service;
    /// 1 if the speeds of the service's replicas are not known to differ.
    pub fn slowness(&self, key: Key) -> f64 {
        self.entries.get(key).map_or(1.0, |entry| entry.slowness)
    }

    /// Sets [`Self::slowness()`] of the replicas that are not typical, with their services, by
    /// address. All others are typical.
    pub fn set_slowness(&mut self, slowness: HashMap<SocketAddr, (Name, f64)>) {
        self.slowness = slowness;
        let keys: Vec<Key> = self.entries.keys().collect();
        for key in keys {
            let slowness = self.slowness_of(&self.entries[key].replica);
            self.entries[key].slowness = slowness;
        }
    }

    pub(super) fn slowness_of(&self, replica: &Replica) -> f64 {
        let known = self.slowness.get(&replica.address);
        known
            .filter(|(service, _)| *service == replica.service)
            .map_or(1.0, |(_, slowness)| *slowness)
    }
}
