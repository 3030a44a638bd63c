//! Size of the fleet and of the services, as far as a daemon's share of a common limit depends
//! on them, and daemons to which requests can be passed on.
//!
//! The daemon that reads the store counts its followers, and the seeds among them report theirs.
//! It sends the sum to all. Each daemon tells its followers a few of the others.

use std::{collections::HashMap, net::SocketAddr};

use slotmap::{SlotMap, new_key_type};

use winch_route::hash;

use crate::prelude::*;

/// Number of daemons that one assumes before it was told.
const ASSUMED_DAEMONS: u32 = 32;
/// Time for which a count is kept when a lower one follows: the count of a restarted seed is too
/// low until its followers are back.
const HOLD_TIME: Duration = Duration::from_secs(60);

new_key_type! {
    /// Key of a follower.
    pub struct FollowerKey;
}

/// Number of daemons that a follower is told to pass requests on to.
const MAX_RELAYS: usize = 16;

/// A daemon that follows this one.
#[derive(Debug)]
struct Follower {
    /// Address for other daemons; `None` if the follower is of an earlier release.
    address: Option<SocketAddr>,
    /// Hash of the address.
    hash: u64,
    /// Number of its own followers.
    followers: u32,
}

/// What a daemon knows of the fleet.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The followers of this daemon.
    followers: SlotMap<FollowerKey, Follower>,
    /// Number of changes of the followers so far.
    revision: u64,
    /// Daemons to which requests may be passed on, as the followed daemon told it.
    relays: Vec<SocketAddr>,
    /// Daemons that read the store for others because no seed does.
    readers: Vec<SocketAddr>,
    /// Number of daemons as the followed daemon told it.
    told: Option<u32>,
    /// The highest recent count, and when it was found.
    held: Option<(u32, Instant)>,
    /// Number of replicas of each service in the whole list, as the followed daemon told it.
    services: HashMap<Name, u32>,
}

fn hash_address(address: SocketAddr) -> u64 {
    hash::name(&address.to_string())
}

impl Fleet {
    /// Adds a follower; `address` is its address for other daemons if it states one.
    pub fn add_follower(&mut self, address: Option<SocketAddr>) -> FollowerKey {
        self.revision += 1;
        let hash = address.map_or(0, hash_address);
        self.followers.insert(Follower { address, hash, followers: 0 })
    }

    /// Number of changes of the followers so far, on which [`Self::choose_relays()`] depends.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// A few daemons to which the one with this address passes requests on; the same ones for as
    /// long as they follow.
    pub fn choose_relays(&self, of: SocketAddr) -> Vec<SocketAddr> {
        let followers = self.followers.values();
        let hashed = followers.filter_map(|follower| Some((follower.hash, follower.address?)));
        let others = hashed.filter(|(_, address)| *address != of);
        hash::subset(hash_address(of), others, MAX_RELAYS)
    }

    /// Records the daemons to which requests may be passed on.
    pub fn set_relays(&mut self, relays: Vec<SocketAddr>) {
        self.relays = relays;
    }

    /// Daemons to which requests may be passed on: those that were told, and the followers.
    pub fn relays(&self) -> Vec<SocketAddr> {
        let followers = self.followers.values().filter_map(|follower| follower.address);
        self.relays.iter().copied().chain(followers).collect()
    }

    /// Records the daemons that read the store for others because no seed does; none once a seed does.
    pub fn set_readers(&mut self, readers: Vec<SocketAddr>) {
        self.readers = readers;
    }

    /// Daemons that read the store for others because no seed does, as far as this one was told.
    pub fn readers(&self) -> &[SocketAddr] {
        &self.readers
    }

    /// Records the number of followers that a follower reported.
    pub fn report(&mut self, follower: FollowerKey, followers: u32) {
        if let Some(follower) = self.followers.get_mut(follower) {
            follower.followers = followers;
        }
    }

    /// Removes a follower that has disconnected.
    pub fn remove_follower(&mut self, follower: FollowerKey) {
        self.revision += 1;
        self.followers.remove(follower);
    }

    /// Number of this daemon's own followers.
    pub fn followers(&self) -> u32 {
        u32::try_from(self.followers.len()).unwrap_or(u32::MAX)
    }

    /// Records what the followed daemon told: the number of daemons, zero if it does not tell, and
    /// changed sizes of services.
    pub fn apply(&mut self, daemons: u32, services: impl IntoIterator<Item = (Name, u32)>) {
        if daemons > 0 {
            self.told = Some(daemons);
        }
        self.services.extend(services);
    }

    /// Number of daemons; `counts` tells whether this daemon counts them for others.
    pub fn daemons(&mut self, counts: bool, now: Instant) -> u32 {
        let counted = self.followers.values().fold(1, |sum, follower| sum + 1 + follower.followers);
        let current = if counts { counted } else { self.told.unwrap_or(ASSUMED_DAEMONS) };
        match self.held {
            Some((held, at)) if held > current && now < at + HOLD_TIME => held,
            _ => {
                self.held = Some((current, now));
                current
            }
        }
    }

    /// Number of replicas of a service in the whole list; `None` if it was not told.
    pub fn replicas(&self, service: &str) -> Option<u32> {
        self.services.get(service).copied()
    }
}
