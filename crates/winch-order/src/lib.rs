//! Calls that run at most once: a ledger in the table, by team and key.
//!
//! [`claim`](claim::claim) comes before the first byte is sent upstream and
//! [`settle`](settle::settle) after the outcome is known. A daemon may die
//! between any two steps; what a later call then gets is decided by the
//! ledger's record alone.

pub mod claim;
pub mod record;
pub mod settle;

/// Digest of a request body.
pub fn body_digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().as_str()[..32].to_owned()
}
