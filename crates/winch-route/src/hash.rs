//! Rendezvous hashing, which gives all daemons the same order without communication.

pub use winch_hash::{bytes, mix, name};

/// Rendezvous score of `node` for `key`; the node with the highest score ranks first.
pub fn score(key: u64, node: u64) -> u64 {
    mix(key ^ node.rotate_left(32))
}

/// Returns the `size` nodes with the highest scores for `key`, or all if there are fewer, best
/// first.
///
/// `nodes` yields the hash of each node with its value. Adding or removing a
/// node changes at most one member of the subset.
pub fn subset<T: Copy>(key: u64, nodes: impl Iterator<Item = (u64, T)>, size: usize) -> Vec<T> {
    let mut scored: Vec<(u64, T)> = nodes.map(|(hash, node)| (score(key, hash), node)).collect();
    if size < scored.len() && size > 0 {
        scored.select_nth_unstable_by(size - 1, |a, b| b.0.cmp(&a.0));
    }
    scored.truncate(size);
    scored.sort_unstable_by_key(|node| std::cmp::Reverse(node.0));
    scored.into_iter().map(|(_, node)| node).collect()
}
