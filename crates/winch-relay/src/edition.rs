//! Identifies one content of one version of the configuration.

/// One content of one version of the configuration.
///
/// After the store has come back from an older copy, a version may be published again with another
/// content. The one that was read in the later era is then in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Edition {
    /// Version of the configuration; zero if there is none.
    pub version: u64,
    /// Latest era of the store in which the content was read.
    pub era: u64,
    /// Hash of the document; zero if it is not known.
    pub digest: u64,
}

impl Edition {
    /// The edition of a document that was read in `era`.
    pub fn new(version: u64, era: u64, document: &[u8]) -> Self {
        Self { version, era, digest: winch_route::hash::bytes(document) }
    }

    /// Whether `other` replaces this edition: it has a higher version, or another content of
    /// the same version that was read in a later era.
    pub fn is_replaced_by(&self, other: &Self) -> bool {
        let is_later = (other.version, other.era) > (self.version, self.era);
        is_later && (other.version != self.version || other.digest != self.digest)
    }

    /// Records that the content was also read in another era.
    pub fn confirm(&mut self, other: &Self) {
        if (self.version, self.digest) == (other.version, other.digest) {
            self.era = self.era.max(other.era);
        }
    }
}
