//! Claims an idempotency key before the first byte of an order is sent upstream.
//!
//! A claim reads the ledger's record of the key. It writes a pending record if there is none or
//! the recorded order did not run, and otherwise reports the state of that order.

use std::sync::Arc;

use snafu::{ResultExt, Snafu};
use winch_platform::table::{self, Commit, Row, Table, Transaction};

use crate::record::{Record, State, StoredReply, row_key};

/// The order that a key is claimed for, and the daemon that claims it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The caller's team.
    pub team: Arc<str>,
    /// Value of the `Idempotency-Key` header.
    pub key: String,
    /// Digest of method, path and body; see [`request_digest`](crate::request_digest).
    pub digest: String,
    /// Random number that identifies this claim among those of the daemon.
    pub nonce: u64,
    /// The claiming daemon, with its incarnation.
    pub daemon: Arc<str>,
    /// The current time, in seconds since the Unix epoch.
    pub now: u64,
    /// Age in seconds above which the outcome of another claim's pending order counts as unknown.
    pub pending_limit_secs: u64,
}

/// What the caller of [`claim`] may do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The key is claimed: send the order, then settle it with this claim.
    Claimed(Claim),
    /// The order already ran; this is its reply.
    Done(StoredReply),
    /// Another order with this key is in progress.
    InProgress,
    /// An earlier order with this key may have run; its outcome is not known.
    Unknown,
}

/// A claimed key, to be settled with [`settle`](crate::settle::settle).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub(crate) row: Arc<str>,
    pub(crate) record: Record,
}

/// Why a key could not be claimed. Nothing was sent upstream.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The key was used with another method, path or body.
    #[snafu(display("the idempotency key was used with another request"))]
    Mismatch,
    /// The table did not confirm the claim, so the order must not be sent.
    #[snafu(display("claiming the idempotency key failed"))]
    Table {
        /// The table client's error.
        source: table::Error,
    },
    /// The record in the table cannot be decoded.
    #[snafu(display("decoding the ledger's record failed"))]
    Record {
        /// The decoder's error.
        source: serde_json::Error,
    },
}

/// Largest number of times that a claim reads the row. It reads the row again after
/// a race or a lost response.
const MAX_READS: usize = 4;

/// Claims a key, or reports the state of the order that claimed it before.
///
/// Calling it again with the same `nonce` and `daemon` finds this request's own claim.
///
/// # Errors
/// An [`Error`] if claiming failed; nothing was sent upstream.
pub async fn claim<T: Table>(table: &T, request: &Request) -> Result<Outcome, Error> {
    let row_key: Arc<str> = row_key(&request.team, &request.key).into();
    let mut last_error =
        table::Error::Lost { reason: "too many concurrent claims of the same key".to_owned() };
    for _ in 0..MAX_READS {
        let row = match table.read(&row_key).await {
            Ok(row) => row,
            Err(error @ table::Error::Unavailable { .. }) => {
                return Err(error).context(TableSnafu);
            }
            Err(error) => {
                last_error = error;
                continue;
            }
        };
        let version = row.as_ref().map(|row| row.version);
        if let Some(outcome) = row.map(|row| outcome_of(&row, request)).transpose()?.flatten() {
            return Ok(outcome);
        }
        match write_claim(table, &row_key, version, request).await {
            Ok(Some(claim)) => return Ok(Outcome::Claimed(claim)),
            Ok(None) => {}
            // The next read shows whether the row has this claim's nonce.
            Err(error) => last_error = error,
        }
    }
    Err(last_error).context(TableSnafu)
}

/// Returns the outcome for an existing record, or `None` if the key may be claimed.
fn outcome_of(row: &Row, request: &Request) -> Result<Option<Outcome>, Error> {
    let record: Record = serde_json::from_str(&row.value).context(RecordSnafu)?;
    if record.digest != request.digest {
        return MismatchSnafu.fail();
    }
    let is_own = record.nonce == request.nonce && record.daemon == request.daemon;
    Ok(match record.state {
        State::Done(reply) => Some(Outcome::Done(reply)),
        State::Unknown => Some(Outcome::Unknown),
        State::NotRun => None,
        State::Pending if is_own => Some(Outcome::Claimed(Claim { row: row.key.clone(), record })),
        State::Pending if record.claimed_at + request.pending_limit_secs < request.now => {
            Some(Outcome::Unknown)
        }
        State::Pending => Some(Outcome::InProgress),
    })
}

/// Writes a pending record if the row still has `version`; returns `None` on a conflict.
async fn write_claim<T: Table>(
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
    let value = serde_json::to_string(&record).expect("a record is representable as JSON");
    let txn = Transaction::default().expect(row.clone(), version).put(row.clone(), value);
    let commit = table.commit(txn).await?;
    Ok((commit == Commit::Committed).then(|| Claim { row: row.clone(), record }))
}
