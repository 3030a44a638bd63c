//! Rendezvous hashing: daemons agree on an order without talking.

/// Hash of a name, stable between processes (FNV-1a with a final mix).
pub fn name(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    mix(text.bytes().fold(OFFSET, |h, b| (h ^ u64::from(b)).wrapping_mul(PRIME)))
}

/// Weight of `node` for `key`; the highest comes first.
pub fn score(key: u64, node: u64) -> u64 {
    mix(key ^ node.rotate_left(32))
}

/// The finaliser of SplitMix64.
pub fn mix(mut z: u64) -> u64 {
    z = z.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The `size` nodes with the highest score for `key`.
///
/// A node that comes or goes changes only its own place.
pub fn subset<T: Copy>(key: u64, nodes: impl Iterator<Item = (u64, T)>, size: usize) -> Vec<T> {
    let mut scored: Vec<(u64, T)> = nodes.map(|(hash, node)| (score(key, hash), node)).collect();
    if size < scored.len() && size > 0 {
        scored.select_nth_unstable_by(size - 1, |a, b| b.0.cmp(&a.0));
    }
    scored.truncate(size);
    scored.sort_unstable_by_key(|node| std::cmp::Reverse(node.0));
    scored.into_iter().map(|(_, node)| node).collect()
}
