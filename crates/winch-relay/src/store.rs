//! What the daemon reads of the platform's store.

use std::future::Future;

use bytes::Bytes;
use snafu::Snafu;

use crate::{moves::Spec, prelude::*};

/// Why the store gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The history that was asked for is no longer kept.
    #[snafu(display("the history is no longer kept"))]
    Compacted,
    /// The store refused or could not be reached.
    #[snafu(display("the store gave no answer: {reason}"))]
    Unavailable {
        /// What the client saw.
        reason: String,
    },
}

/// One change of the list of replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An entry was written.
    Put(Replica),
    /// An entry was removed.
    Removed(Name),
    /// An entry names no replica that can be used.
    Unreadable {
        /// Key of the entry.
        id: Name,
        /// What is wrong with it.
        fault: String,
    },
}

/// Replicas as of one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Entries in the order of their versions.
    pub changes: Vec<Change>,
    /// Version up to which the listing is complete.
    pub version: u64,
}

/// What the operator has published, as of one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Publication {
    /// New orders to move services, or what is wrong with them.
    pub moves: Vec<Result<Spec, String>>,
    /// The newest configuration as it was published, if there is a new one.
    pub document: Option<Bytes>,
    /// Version up to which the publication is complete.
    pub version: u64,
}

/// Access to the store for one daemon, over connections of their own.
#[derive(Debug)]
pub struct Access<S, T> {
    /// Reads the configuration.
    pub config: S,
    /// Reads the list of replicas.
    pub list: S,
    /// Reads and writes rows.
    pub table: T,
}

/// The platform's store, as far as an entry daemon follows it.
pub trait Store: Send + 'static {
    /// The configuration in force.
    fn config(&mut self) -> impl Future<Output = Result<Publication, Error>> + Send;

    /// Waits up to `wait` for a configuration that is newer than `version`.
    fn next_config(
        &mut self,
        version: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Publication, Error>> + Send;

    /// All replicas.
    fn replicas(&mut self) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Changes of the list of replicas after `version`.
    fn replica_changes(
        &mut self,
        version: u64,
    ) -> impl Future<Output = Result<Listing, Error>> + Send;
}
