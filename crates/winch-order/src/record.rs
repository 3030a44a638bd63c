//! The ledger's record of one order with an idempotency key.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The state of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// The key is claimed; the order may have been sent.
    Pending,
    /// An upstream replied.
    Done(StoredReply),
    /// The order certainly did not reach an upstream; the key may be claimed again.
    NotRun,
    /// The order may have run, and its outcome can no longer be determined.
    Unknown,
}

/// An upstream's reply, stored for later calls with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredReply {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, empty if there was none.
    pub content_type: String,
    /// Reply body.
    #[serde(with = "latin1")]
    pub body: Vec<u8>,
}

/// One row of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Digest of method, path and body; see [`request_digest`](crate::request_digest).
    pub digest: String,
    /// Random number of the claim. If the table's response to the claim is lost, the
    /// claiming daemon recognises its stored claim by it.
    pub nonce: u64,
    /// The daemon that claimed the key, with its incarnation.
    pub daemon: Arc<str>,
    /// Time of the claim, in seconds since the Unix epoch. Operators read it, and
    /// pending records expire by it.
    pub claimed_at: u64,
    /// The state of the order.
    #[serde(flatten)]
    pub state: State,
}

/// Returns the key of the table row for a team's idempotency key.
pub fn row_key(team: &str, key: &str) -> String {
    format!("order/{team}/{key}")
}

/// Stores bytes as text with one character per byte (Latin-1), so that JSON bodies stay readable
/// in the table.
mod latin1 {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], out: S) -> Result<S::Ok, S::Error> {
        let text: String = bytes.iter().map(|byte| char::from(*byte)).collect();
        out.serialize_str(&text)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(input)?;
        let bytes = text.chars().map(|c| u8::try_from(u32::from(c)));
        bytes
            .collect::<Result<_, _>>()
            .map_err(|_| D::Error::custom("expected only characters up to U+00FF"))
    }
}
