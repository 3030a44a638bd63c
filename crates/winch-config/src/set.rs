//! The objects of the configuration at one revision.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::{
    change::Change,
    object::{Id, Kind, Move, Object, Route, Service, Team, Upstream, Version},
};

/// All objects of the configuration at one revision. Clones share the objects.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Set {
    revision: u64,
    objects: BTreeMap<Id, Arc<Object>>,
}

/// The serialised form of a [`Set`], as stored in snapshots.
#[derive(Debug, Serialize, Deserialize)]
pub struct Stored {
    /// The set's revision.
    pub revision: u64,
    /// All its objects.
    pub objects: Vec<Arc<Object>>,
}

/// A change could not be applied, because its revision is not the one after the set's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("revision {got} does not follow revision {have}"))]
pub struct Gap {
    /// The set's revision.
    pub have: u64,
    /// The change's revision.
    pub got: u64,
}

impl Set {
    /// Returns the revision; zero for a set without any committed change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a committed change in place.
    ///
    /// # Errors
    /// Returns a [`Gap`] unless the change is the next revision. The set is then unchanged.
    pub fn apply(&mut self, change: &Change) -> Result<(), Gap> {
        let gap = Gap { have: self.revision, got: change.revision };
        ensure!(change.revision == self.revision + 1, GapSnafu { have: gap.have, got: gap.got });
        self.apply_objects(change);
        self.revision = change.revision;
        Ok(())
    }

    /// Returns the set with the change's objects applied, without a check of its revision.
    /// The copy keeps the revision of this set.
    #[must_use]
    pub fn preview(&self, change: &Change) -> Self {
        let mut next = self.clone();
        next.apply_objects(change);
        next
    }

    fn apply_objects(&mut self, change: &Change) {
        for id in &change.deletes {
            self.objects.remove(id);
        }
        for object in &change.puts {
            self.objects.insert(object.id(), object.clone());
        }
    }

    /// Returns the object with this kind and name.
    pub fn get(&self, id: &Id) -> Option<&Arc<Object>> {
        self.objects.get(id)
    }

    /// Returns all objects, sorted by kind and name.
    pub fn objects(&self) -> impl Iterator<Item = &Arc<Object>> {
        self.objects.values()
    }

    fn find(&self, kind: Kind, name: &str) -> Option<&Object> {
        self.objects.get(&Id { kind, name: name.into() }).map(|object| &**object)
    }
}

macro_rules! accessors {
    ($($kind:ident, $one:ident, $all:ident;)*) => {
        impl Set {
            $(
                #[doc = concat!("Returns the ", stringify!($one), " called `name`.")]
                pub fn $one(&self, name: &str) -> Option<&$kind> {
                    match self.find(Kind::$kind, name) {
                        Some(Object::$kind(object)) => Some(object),
                        _ => None,
                    }
                }

                #[doc = concat!("Returns all objects of kind ", stringify!($one), ".")]
                pub fn $all(&self) -> impl Iterator<Item = &$kind> {
                    self.objects.values().filter_map(|object| match &**object {
                        Object::$kind(object) => Some(object),
                        _ => None,
                    })
                }
            )*
        }
    };
}

accessors! {
    Upstream, upstream, upstreams;
    Version, version, versions;
    Route, route, routes;
    Move, planned_move, moves;
    Team, team, teams;
    Service, service, services;
}

impl From<&Set> for Stored {
    fn from(set: &Set) -> Self {
        Self { revision: set.revision, objects: set.objects.values().cloned().collect() }
    }
}

impl From<Stored> for Set {
    fn from(stored: Stored) -> Self {
        let objects = stored.objects.into_iter().map(|object| (object.id(), object)).collect();
        Self { revision: stored.revision, objects }
    }
}
