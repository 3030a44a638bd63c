//! The strikes against one part.

use std::collections::{HashMap, HashSet};

use super::Strike;
use crate::suspect::{Crash, Fingerprint};

/// Largest number of strikes that are kept for one part.
const MAX_STRIKES: usize = 32;

/// The strikes against one part, in the order in which they were recorded.
#[derive(Debug, Default)]
pub(super) struct Case(Vec<Strike>);

impl Case {
    /// Adds a strike, in place of the first one if there are many; returns the one that was dropped.
    pub(super) fn add(&mut self, strike: Strike) -> Option<Strike> {
        let dropped = (self.0.len() == MAX_STRIKES).then(|| self.0.remove(0));
        self.0.push(strike);
        dropped
    }

    /// The strikes.
    pub(super) fn strikes(&self) -> &[Strike] {
        &self.0
    }

    /// Whether there is no strike.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes the strikes for which `is_removed` holds, and returns them.
    pub(super) fn remove(&mut self, is_removed: impl Fn(&Strike) -> bool) -> Vec<Strike> {
        self.0.extract_if(.., |strike| is_removed(strike)).collect()
    }

    /// Number of crashes that count: those for which `is_open` holds, each one once, and only some
    /// of each request.
    pub(super) fn evidence(
        &self,
        is_open: impl Fn(Crash) -> bool,
        crashes_per_request: usize,
    ) -> usize {
        let mut crashes = HashSet::new();
        let mut requests = HashMap::<Fingerprint, usize>::new();
        for strike in self.0.iter().filter(|strike| is_open(strike.crash)) {
            let count = requests.entry(strike.request).or_default();
            if *count < crashes_per_request && crashes.insert(strike.crash) {
                *count += 1;
            }
        }
        crashes.len()
    }
}
