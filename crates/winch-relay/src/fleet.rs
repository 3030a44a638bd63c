//! Size of the fleet and of the services, as far as a daemon's share of a common limit depends
//! on them.
//!
//! The daemon that reads the store counts its followers, and the seeds among them report theirs.
//! It sends the sum to all.

use std::collections::HashMap;

use slotmap::{SlotMap, new_key_type};

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

/// What a daemon knows of the size of the fleet.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The followers of this daemon, with the number of followers that each reported.
    followers: SlotMap<FollowerKey, u32>,
    /// Number of daemons as the followed daemon told it.
    told: Option<u32>,
    /// The highest recent count, and when it was found.
    held: Option<(u32, Instant)>,
    /// Number of replicas of each service in the whole list, as the followed daemon told it.
    services: HashMap<Name, u32>,
}

impl Fleet {
    /// Adds a follower.
    pub fn add_follower(&mut self) -> FollowerKey {
        self.followers.insert(0)
    }

    /// Records the number of followers that a follower reported.
    pub fn report(&mut self, follower: FollowerKey, followers: u32) {
        if let Some(count) = self.followers.get_mut(follower) {
            *count = followers;
        }
    }

    /// Removes a follower that has disconnected.
    pub fn remove_follower(&mut self, follower: FollowerKey) {
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
        let counted = self.followers.values().fold(1, |sum, followers| sum + 1 + followers);
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
