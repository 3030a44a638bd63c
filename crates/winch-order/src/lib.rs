//! Orders that run at most once, by means of a ledger in the table.
//!
//! The ledger has one record for each team and idempotency key.
//! [`claim`](claim::claim) claims a key before the first byte is sent upstream, and
//! [`settle`](settle::settle) records the outcome once it is known. A daemon may
//! crash between any two steps, so the ledger's record alone decides how a later
//! call with the same key is answered.

pub mod claim;
pub mod record;
pub mod settle;

/// Returns the digest of a request's method, path and body, in hexadecimal.
///
/// Each part is hashed with its length, so that parts cannot run into each other.
pub fn body_digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().as_str()[..32].to_owned()
}
