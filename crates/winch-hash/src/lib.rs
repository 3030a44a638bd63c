//! Hash functions whose results are the same in every process and release.
//!
//! None of them resists deliberate collisions. Where these matter, use a keyed BLAKE3 hash
//! instead.

/// Offset basis of 64-bit FNV-1a, the `start` of a new hash in [`fnv`].
pub const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Computes 64-bit FNV-1a over `bytes`, continuing from the state `start`.
pub fn fnv(start: u64, bytes: impl IntoIterator<Item = u8>) -> u64 {
    bytes.into_iter().fold(start, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// Returns the output of one step of the SplitMix64 generator (Steele, Lea, Flood 2014) from the
/// state `z`.
pub fn mix(mut z: u64) -> u64 {
    z = z.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Hashes a name with FNV-1a and mixes the result.
pub fn name(text: &str) -> u64 {
    bytes(text.as_bytes())
}

/// Hashes bytes with FNV-1a and mixes the result.
pub fn bytes(bytes: &[u8]) -> u64 {
    mix(fnv(FNV_OFFSET, bytes.iter().copied()))
}
