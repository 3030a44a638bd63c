//! What one follower has of the list, and what it lacks.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use crate::{Name, interest::Interest, replica::Replica, roster::Roster};

/// A replica in a [`Delta`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The replica.
    pub replica: Arc<Replica>,
    /// Whether its entry is missing since an outage of the store, and only its removal is held
    /// back. A follower that knows the replica keeps it; one that does not may know better.
    pub is_held: bool,
}

/// The changes that bring a follower's part of the list up to date.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Whether `put` is all that the follower needs, so that it removes all others.
    pub complete: bool,
    /// Whether the follower has the whole list after the change, and not only a subset.
    pub whole: bool,
    /// New and changed replicas.
    pub put: Vec<Listed>,
    /// Ids of replicas that were removed from the list, or that the follower needs no longer.
    pub removed: Vec<Name>,
}

impl Delta {
    /// Whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        !self.complete && self.put.is_empty() && self.removed.is_empty()
    }
}

/// Remembers what was sent to one follower.
#[derive(Debug)]
pub struct Cursor {
    interest: Interest,
    /// Revision of each entry when it was sent.
    sent: HashMap<Name, u64>,
    /// Revision of the list and the unlimited services at the last delta; `None` before the first.
    last: Option<(u64, BTreeSet<Name>)>,
}

impl Cursor {
    /// Creates the cursor of a follower to which nothing was sent yet.
    pub fn new(interest: Interest) -> Self {
        Self { interest, sent: HashMap::new(), last: None }
    }

    /// Whether the follower has the replica with this id.
    pub fn has(&self, id: &str) -> bool {
        self.sent.contains_key(id)
    }

    /// Returns what the follower lacks, which counts as sent from then on.
    ///
    /// Of the `unlimited` services the follower gets all replicas: a version move compares two
    /// versions by the complete list.
    pub fn advance(&mut self, roster: &Roster, unlimited: &BTreeSet<Name>) -> Delta {
        let is_current = self
            .last
            .as_ref()
            .is_some_and(|(revision, last)| *revision == roster.revision() && last == unlimited);
        if is_current {
            let whole = self.sent.len() == roster.len();
            return Delta { whole, ..Delta::default() };
        }
        let complete = self.last.replace((roster.revision(), unlimited.clone())).is_none();
        let selected = roster.select(
            &self.interest,
            |service| unlimited.contains(service),
            |replica| self.sent.contains_key(&replica.id),
        );
        let revisions: HashMap<Name, u64> =
            selected.iter().map(|entry| (entry.replica.id.clone(), entry.revision)).collect();
        let is_new = |id: &Name, revision| self.sent.get(id) != Some(&revision);
        let put = selected.iter().filter(|entry| is_new(&entry.replica.id, entry.revision));
        let put = put
            .map(|entry| Listed { replica: entry.replica.clone(), is_held: entry.is_held })
            .collect();
        let removed = self.sent.keys().filter(|id| !revisions.contains_key(*id));
        let removed = removed.cloned().collect();
        self.sent = revisions;
        Delta { complete, whole: self.sent.len() == roster.len(), put, removed }
    }
}
