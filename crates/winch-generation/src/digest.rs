//! A running digest of a prompt and the tokens of its answer.

use std::fmt;

/// Digest of a prompt and the tokens after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Digest(pub u64);

impl Digest {
    /// Returns the digest of a prompt without any tokens.
    pub fn of(prompt: &[u8]) -> Self {
        let hash = blake3::hash(prompt);
        Self(u64::from_le_bytes(
            hash.as_bytes()[..8].try_into().expect("a hash is longer than eight bytes"),
        ))
    }

    /// Returns the digest after one more token.
    ///
    /// Applies FNV-1a to the token and then a step of SplitMix64, so that
    /// the digest depends on token boundaries as well as on the text.
    #[must_use]
    pub fn push(self, token: &str) -> Self {
        Self(winch_hash::mix(winch_hash::fnv(self.0, token.bytes())))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
