//! A running digest of the tokens of an answer.

use std::fmt;

/// Digest of a prompt and the tokens after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Digest(pub u64);

impl Digest {
    /// Digest of a prompt without any tokens.
    pub fn of(prompt: &[u8]) -> Self {
        let hash = blake3::hash(prompt);
        Self(u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("eight bytes")))
    }

    /// The digest after one more token.
    ///
    /// FNV-1a over the token, followed by the finaliser of SplitMix64, so that
    /// token boundaries count as well as text.
    #[must_use]
    pub fn push(self, token: &str) -> Self {
        const PRIME: u64 = 0x0000_0100_0000_01b3;
        let folded = token.bytes().fold(self.0, |h, b| (h ^ u64::from(b)).wrapping_mul(PRIME));
        Self(mix(folded))
    }
}

fn mix(mut z: u64) -> u64 {
    z = z.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
