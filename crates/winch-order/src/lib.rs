//! Orders that run at most once, by means of a ledger in the table.
//!
//! The ledger has one record for each team and idempotency key.
//! [`claim`](claim::claim) claims a key before the first byte is sent upstream, and
//! [`settle`](settle::settle) records the outcome once it is known. The daemon sends
//! the order between the two. It may crash between any two steps, so the ledger's
//! record alone decides how a later call with the same key is answered.

pub mod claim;
pub mod record;
pub mod settle;

/// Returns the digest of a request's method, path and body, 128 bits in hexadecimal.
///
/// Each part is hashed after its length, so that moving bytes from one part to the next changes
/// the digest.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().as_str()[..32].to_owned()
}
