//! Recent changes of the catalog, so that followers receive changes instead of whole lists.

use std::collections::{HashMap, VecDeque};

use crate::{catalog::Transition, prelude::*};

/// Number of changes that are kept.
const MAX_CHANGES: usize = 2_048;

/// One transition of the catalog, with its position in the changelog.
#[derive(Debug)]
struct NumberedChange {
    /// Sequence number of the change in this daemon, counted from one.
    number: u64,
    /// Version of the store up to which the list was read.
    version: u64,
    transition: Transition,
}

/// The changes that are kept; older ones have to be read from the store.
#[derive(Debug, Default)]
pub struct Changelog {
    changes: VecDeque<NumberedChange>,
    number: u64,
    version: u64,
    /// Lowest version from which all changes are kept.
    oldest_version: u64,
}

impl Changelog {
    /// Appends the changes that followed from a read of the list up to `version`, which is zero
    /// if they follow from no read.
    pub fn record(&mut self, transitions: &[Transition], version: u64) {
        if self.version == 0 {
            self.oldest_version = version;
        }
        self.version = self.version.max(version);
        for transition in transitions {
            self.number += 1;
            let (number, version) = (self.number, self.version);
            self.changes.push_back(NumberedChange {
                number,
                version,
                transition: transition.clone(),
            });
        }
        while self.changes.len() > MAX_CHANGES {
            if let Some(change) = self.changes.pop_front() {
                self.oldest_version = change.version + 1;
            }
        }
    }

    /// Version of the store up to which the list was read; zero if it was never read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Sequence number of the last change; zero if there was none.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The last change of each replica since the list was read at `version`, by id;
    /// `None` if some are no longer kept, or if this daemon's list was never read.
    ///
    /// Changes at `version` itself are included, because a daemon can also receive
    /// changes between two versions.
    pub fn since_version(&self, version: u64) -> Option<HashMap<Name, &Transition>> {
        let is_kept = self.version > 0 && version >= self.oldest_version;
        is_kept.then(|| self.last_changes(|change| change.version >= version))
    }

    /// The last change of each replica after the change `number`, by id; `None` if some
    /// are no longer kept.
    pub fn since_number(&self, number: u64) -> Option<HashMap<Name, &Transition>> {
        let first = self.changes.front().map_or(self.number + 1, |change| change.number);
        (number + 1 >= first).then(|| self.last_changes(|change| change.number > number))
    }

    fn last_changes(
        &self,
        is_newer: impl Fn(&NumberedChange) -> bool,
    ) -> HashMap<Name, &Transition> {
        let mut last = HashMap::new();
        for change in self.changes.iter().rev().take_while(|change| is_newer(change)) {
            last.entry(change.transition.replica().id.clone()).or_insert(&change.transition);
        }
        last
    }
}
