//! A whole configuration at one revision.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::{
    change::Change,
    object::{Id, Kind, Move, Object, Route, Service, Team, Upstream, Version},
};

/// All objects in force at one revision. Cloning shares the objects.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Set {
    revision: u64,
    objects: BTreeMap<Id, Arc<Object>>,
}

/// The stored form of a [`Set`].
#[derive(Debug, Serialize, Deserialize)]
pub struct Stored {
    /// The set's revision.
    pub revision: u64,
    /// All its objects.
    pub objects: Vec<Arc<Object>>,
}

/// A change that does not follow the set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("revision {got} does not follow revision {have}"))]
pub struct Gap {
    /// The set's revision.
    pub have: u64,
    /// The change's revision.
    pub got: u64,
}

impl Set {
    /// The revision; zero for a set that was never committed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a committed change in place.
    ///
    /// # Errors
    /// A [`Gap`] unless the change is the very next one; the set stays as it was.
    pub fn apply(&mut self, change: &Change) -> Result<(), Gap> {
        let gap = Gap { have: self.revision, got: change.revision };
        ensure!(change.revision == self.revision + 1, GapSnafu { have: gap.have, got: gap.got });
        self.edit(change);
        self.revision = change.revision;
        Ok(())
    }

    /// The set with a change's edits, whatever its revision.
    #[must_use]
    pub fn preview(&self, change: &Change) -> Self {
        let mut next = self.clone();
        next.edit(change);
        next
    }

    fn edit(&mut self, change: &Change) {
        for id in &change.deletes {
            self.objects.remove(id);
        }
        for object in &change.puts {
            self.objects.insert(object.id(), object.clone());
        }
    }

    /// One object.
    pub fn get(&self, id: &Id) -> Option<&Arc<Object>> {
        self.objects.get(id)
    }

    /// All objects in the order of kind and name.
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
                #[doc = concat!("The ", stringify!($one), " called `name`.")]
                pub fn $one(&self, name: &str) -> Option<&$kind> {
                    match self.find(Kind::$kind, name) {
                        Some(Object::$kind(object)) => Some(object),
                        _ => None,
                    }
                }

                #[doc = concat!("All objects of kind ", stringify!($one), ".")]
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
