//! Rendezvous hashing: daemons agree on an order without talking.

pub use winch_hash::{mix, name};

/// Weight of `node` for `key`; the highest comes first.
pub fn score(key: u64, node: u64) -> u64 {
    mix(key ^ node.rotate_left(32))
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
