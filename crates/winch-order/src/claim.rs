//! Claims a key before the first byte is sent.

use std::sync::Arc;

use snafu::{ResultExt, Snafu};
use winch_platform::table::{self, Commit, Row, Table, Transaction};

use crate::record::{Record, State, StoredReply, row_key};

/// What is claimed, and by whom.
#[derive(Clone, Debug)]
pub struct Request {
    /// The caller's team.
    pub team: Arc<str>,
    /// The `Idempotency-Key`.
    pub key: String,
    /// Digest of method, path and body.
    pub digest: String,
    /// Drawn at random for this claim.
    pub nonce: u64,
    /// The claiming daemon with its incarnation.
    pub daemon: Arc<str>,
    /// Wall-clock seconds.
    pub now: u64,
    /// Seconds after which a pending record of a claimant is taken as unknown.
    pub pending_limit: u64,
}

/// What the call may do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The key is ours: send, then settle with this claim.
    Claimed(Claim),
    /// The call already ran; this is its answer.
    Done(StoredReply),
    /// Another call with this key is under way.
    InProgress,
    /// An earlier call may have run; nothing more will be learnt.
    Unknown,
}

/// Proof that a key was claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub(crate) row: Arc<str>,
    pub(crate) record: Record,
}

/// Why a key could not be claimed. In every case nothing was sent.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The key was used with another body.
    #[snafu(display("the idempotency key was used with another request"))]
    Mismatch,
    /// The table gave no answer, so the call must not be sent.
    #[snafu(display("claiming the idempotency key failed"))]
    Table {
        /// What the table client saw.
        source: table::Error,
    },
    /// The record in the table cannot be read.
    #[snafu(display("the ledger's record is unreadable"))]
    Record {
        /// What the decoder saw.
        source: serde_json::Error,
    },
}

/// How often a claim reads the row again, after a race or a lost answer.
const ROUNDS: usize = 4;

/// Claims a key.
///
/// # Errors
/// An [`Error`]; the call was not run.
pub async fn claim<T: Table>(table: &T, request: &Request) -> Result<Outcome, Error> {
    let row_key: Arc<str> = row_key(&request.team, &request.key).into();
    let mut last = table::Error::Lost { reason: "claim raced too often".to_owned() };
    for _ in 0..ROUNDS {
        let row = match table.read(&row_key).await {
            Ok(row) => row,
            Err(error @ table::Error::Unavailable { .. }) => {
                return Err(error).context(TableSnafu);
            }
            Err(error) => {
                last = error;
                continue;
            }
        };
        let version = row.as_ref().map(|row| row.version);
        if let Some(outcome) = row.map(|row| existing(&row, request)).transpose()?.flatten() {
            return Ok(outcome);
        }
        match insert(table, &row_key, version, request).await {
            Ok(Some(claim)) => return Ok(Outcome::Claimed(claim)),
            Ok(None) => {}
            // The next read tells whether our nonce is in the row.
            Err(error) => last = error,
        }
    }
    Err(last).context(TableSnafu)
}

/// What a record that is already there means; `None` if the key may be claimed.
fn existing(row: &Row, request: &Request) -> Result<Option<Outcome>, Error> {
    let record: Record = serde_json::from_str(&row.value).context(RecordSnafu)?;
    if record.digest != request.digest {
        return MismatchSnafu.fail();
    }
    let mine = record.nonce == request.nonce && record.daemon == request.daemon;
    Ok(match record.state {
        State::Done(kept) => Some(Outcome::Done(kept)),
        State::Unknown => Some(Outcome::Unknown),
        State::NotRun => None,
        State::Pending if mine => Some(Outcome::Claimed(Claim { row: row.key.clone(), record })),
        State::Pending if record.claimed_at + request.pending_limit < request.now => {
            Some(Outcome::Unknown)
        }
        State::Pending => Some(Outcome::InProgress),
    })
}

async fn insert<T: Table>(
    table: &T,
    row: &Arc<str>,
    version: Option<u64>,
    request: &Request,
) -> Result<Option<Claim>, table::Error> {
    let record = Record {
        digest: request.digest.clone(),
        nonce: request.nonce,
        daemon: request.daemon.clone(),
        claimed_at: request.now,
        state: State::Pending,
    };
    let value = serde_json::to_string(&record).expect("a record is plain data");
    let txn = Transaction::default().expect(row.clone(), version).put(row.clone(), value);
    let commit = table.commit(txn).await?;
    Ok((commit == Commit::Committed).then(|| Claim { row: row.clone(), record }))
}
