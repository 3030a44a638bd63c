//! Records the outcome of an order whose key was claimed.

use snafu::{ResultExt, Snafu};
use winch_platform::table::{self, Commit, Table, Transaction};

use crate::{
    claim::Claim,
    record::{Record, State},
};

/// Whether the outcome was recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The outcome is recorded.
    Recorded,
    /// The record is missing or unreadable, belongs to another claim, is already
    /// final or has just changed; this call did not change it.
    Superseded,
}

/// The table did not confirm that the outcome was recorded. Retrying is safe.
#[derive(Debug, Snafu)]
#[snafu(context(name(SettleSnafu)), display("recording the outcome of an order failed"))]
pub struct Error {
    /// The table client's error.
    source: table::Error,
}

/// Records `state` as the outcome of a claimed order. The call is idempotent.
///
/// # Errors
/// An [`Error`] if the table did not confirm the read or the write.
pub async fn settle<T: Table>(table: &T, claim: &Claim, state: State) -> Result<Outcome, Error> {
    let Some(row) = table.read(&claim.row).await.context(SettleSnafu)? else {
        return Ok(Outcome::Superseded);
    };
    let next = Record { state, ..claim.record.clone() };
    let Ok(current) = serde_json::from_str::<Record>(&row.value) else {
        return Ok(Outcome::Superseded);
    };
    if current == next {
        return Ok(Outcome::Recorded);
    }
    let is_own = current.nonce == claim.record.nonce && current.daemon == claim.record.daemon;
    if !is_own || current.state != State::Pending {
        return Ok(Outcome::Superseded);
    }
    let value = serde_json::to_string(&next).expect("a record is representable as JSON");
    let txn = Transaction::default().expect(row.key.clone(), Some(row.version)).put(row.key, value);
    match table.commit(txn).await.context(SettleSnafu)? {
        Commit::Committed => Ok(Outcome::Recorded),
        Commit::Conflict { .. } => Ok(Outcome::Superseded),
    }
}
