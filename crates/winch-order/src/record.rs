//! The ledger's record of one keyed call.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Where a call stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// Claimed; it may have been sent.
    Pending,
    /// An upstream answered.
    Done(StoredReply),
    /// Certainly never reached an upstream; the key may be claimed again.
    NotRun,
    /// May have run; its outcome cannot be learnt any more.
    Unknown,
}

/// The kept answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredReply {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty if there was none.
    pub content_type: String,
    /// Body.
    #[serde(with = "latin1")]
    pub body: Vec<u8>,
}

/// One row of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Digest of method, path and body.
    pub digest: String,
    /// Drawn anew for each claim; settles lost answers.
    pub nonce: u64,
    /// The daemon that claimed it, with its incarnation.
    pub daemon: Arc<str>,
    /// Wall-clock seconds of the claim, for operators and expiry.
    pub claimed_at: u64,
    /// Where the call stands.
    #[serde(flatten)]
    pub state: State,
}

/// Key of the row for a team's idempotency key.
pub fn row_key(team: &str, key: &str) -> String {
    format!("order/{team}/{key}")
}

/// Bytes as text, one character a byte, so that JSON bodies stay readable in the table.
mod latin1 {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], out: S) -> Result<S::Ok, S::Error> {
        let text: String = bytes.iter().map(|byte| char::from(*byte)).collect();
        out.serialize_str(&text)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(input)?;
        let bytes = text.chars().map(|c| u8::try_from(u32::from(c)));
        bytes.collect::<Result<_, _>>().map_err(|_| D::Error::custom("not a byte"))
    }
}
