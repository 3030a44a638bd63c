//! Records the outcome of a claimed call.

use snafu::{ResultExt, Snafu};
use winch_platform::table::{self, Commit, Table, Transaction};

use crate::{
    claim::Claim,
    record::{Record, State},
};

/// Whether the record now says what was learnt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The outcome is recorded.
    Recorded,
    /// The record is no longer this claim's; nothing was changed.
    Superseded,
}

/// Why the outcome was not recorded yet; trying again is safe.
#[derive(Debug, Snafu)]
#[snafu(context(name(SettleSnafu)), display("recording the outcome of a call failed"))]
pub struct Error {
    /// What the table client saw.
    source: table::Error,
}

/// Records `state` for a claim. Repeating it is idempotent.
///
/// # Errors
/// An [`Error`] when the table gave no answer.
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
    let ours = current.nonce == claim.record.nonce && current.daemon == claim.record.daemon;
    if !ours || current.state != State::Pending {
        return Ok(Outcome::Superseded);
    }
    let value = serde_json::to_string(&next).expect("a record is plain data");
    let txn = Transaction::default().expect(row.key.clone(), Some(row.version)).put(row.key, value);
    match table.commit(txn).await.context(SettleSnafu)? {
        Commit::Committed => Ok(Outcome::Recorded),
        Commit::Conflict { .. } => Ok(Outcome::Superseded),
    }
}
