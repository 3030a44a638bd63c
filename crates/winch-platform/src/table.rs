//! The transactional table: rows with versions, committed conditionally.

use std::{future::Future, sync::Arc};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: Arc<str>,
    /// Rises with every write to this key; never zero.
    pub version: u64,
    /// The value, JSON text.
    pub value: Arc<str>,
}

/// What a row has to look like for a transaction to commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row's key.
    pub key: Arc<str>,
    /// The version expected; `None` expects the row to be absent.
    pub version: Option<u64>,
}

/// One change of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: Arc<str>,
    /// The new value; `None` deletes the row.
    pub value: Option<Arc<str>>,
}

/// Conditions and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// All of them must hold.
    pub conditions: Vec<Condition>,
    /// Applied when the conditions hold.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds the condition that `key` is at `version`, or absent for `None`.
    pub fn expect(mut self, key: impl Into<Arc<str>>, version: Option<u64>) -> Self {
        self.conditions.push(Condition { key: key.into(), version });
        self
    }

    /// Adds a write of `value` to `key`.
    pub fn put(mut self, key: impl Into<Arc<str>>, value: impl Into<Arc<str>>) -> Self {
        self.writes.push(Write { key: key.into(), value: Some(value.into()) });
        self
    }

    /// Adds the deletion of `key`.
    pub fn delete(mut self, key: impl Into<Arc<str>>) -> Self {
        self.writes.push(Write { key: key.into(), value: None });
        self
    }
}

/// The table's answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// The writes took effect.
    Committed,
    /// A condition did not hold; nothing was written.
    Conflict {
        /// The first key whose condition failed.
        key: Arc<str>,
    },
}

/// Why the table gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The request was refused before it could take effect.
    #[snafu(display("the table refused the request: {reason}"))]
    Unavailable {
        /// What the client saw.
        reason: String,
    },
    /// The request may have taken effect; its answer was lost.
    #[snafu(display("the table's answer was lost: {reason}"))]
    Lost {
        /// What the client saw.
        reason: String,
    },
}

/// A transactional table.
pub trait Table: Clone + Send + Sync + 'static {
    /// Commits a transaction.
    ///
    /// # Errors
    /// [`Error::Lost`] leaves open whether the writes took effect.
    fn commit(&self, txn: Transaction) -> impl Future<Output = Result<Commit, Error>> + Send;

    /// Reads one row.
    ///
    /// # Errors
    /// Any [`Error`] when the table gives no answer.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Row>, Error>> + Send;

    /// Reads up to `limit` rows whose key starts with `prefix` and sorts after `after`.
    ///
    /// # Errors
    /// Any [`Error`] when the table gives no answer.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;
}
