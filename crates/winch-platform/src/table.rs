//! The transactional table: versioned rows, changed by compare-and-set.

use std::{future::Future, sync::Arc};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: Arc<str>,
    /// Increases with every write to this key; never zero.
    pub version: u64,
    /// The value, as JSON text.
    pub value: Arc<str>,
}

/// The state of a row that a transaction requires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row's key.
    pub key: Arc<str>,
    /// The required version; `None` requires the row to be absent.
    pub version: Option<u64>,
}

/// One write of a transaction.
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
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Writes that are applied if the conditions hold.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds the condition that `key` has `version`, or is absent for `None`.
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

/// Result of a transaction.
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

/// Why a request to the platform gave no result.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The request was rejected before it could take effect.
    #[snafu(display("the platform rejected the request: {reason}"))]
    Unavailable {
        /// The cause, as reported by the client.
        reason: String,
    },
    /// The response was lost; the request may have taken effect.
    #[snafu(display("the platform's response was lost: {reason}"))]
    Lost {
        /// The cause, as reported by the client.
        reason: String,
    },
}

/// A transactional table.
pub trait Table: Clone + Send + Sync + 'static {
    /// Era of the history to which the latest reply belongs.
    ///
    /// It rises when the table comes back from an older copy: what was written since the copy is
    /// gone, and versions are given out again. Tables that cannot go back stay in era zero.
    fn era(&self) -> u64 {
        0
    }

    /// Commits a transaction.
    ///
    /// # Errors
    /// Returns an [`Error`] if the table does not respond. After [`Error::Lost`] the writes
    /// may have taken effect.
    fn commit(&self, txn: Transaction) -> impl Future<Output = Result<Commit, Error>> + Send;

    /// Reads one row; `None` if it is absent.
    ///
    /// # Errors
    /// Returns an [`Error`] if the table does not respond.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Row>, Error>> + Send;

    /// Reads up to `limit` rows, in the order of their keys, whose key starts with `prefix`
    /// and sorts after `after`.
    ///
    /// # Errors
    /// Returns an [`Error`] if the table does not respond.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;
}
