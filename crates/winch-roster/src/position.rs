//! Positions in the history of the store.

use std::fmt;

/// A version of the store in one of its eras.
///
/// When the store comes back from an older copy, it gives versions out again and a new era begins.
/// Versions of different eras say nothing about each other; a later era follows all positions
/// of the earlier ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Number of the era.
    pub era: u64,
    /// Version within the era; zero if nothing was read yet.
    pub version: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.version)
    }
}
