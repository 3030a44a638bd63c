//! Read access to the platform's store, as an adapter to a platform implements it.

use std::{collections::HashSet, future::Future};

use bytes::Bytes;
use snafu::Snafu;
use winch_roster::position::Position;

use crate::{moves::Spec, prelude::*};

/// An error of a read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The requested history is no longer kept; everything has to be read again.
    #[snafu(display("the store no longer keeps the requested history"))]
    Compacted,
    /// The store has come back from an older copy, so that versions of the era that was read
    /// before mean nothing; everything has to be read again.
    #[snafu(display("the store has come back from an older copy"))]
    Restored,
    /// The store refused the read or is unreachable.
    #[snafu(display("the store is unavailable: {reason}"))]
    Unavailable {
        /// The client's error.
        reason: String,
    },
}

/// One change of the list of replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An entry was written.
    Put(Replica),
    /// The entry is missing since an outage of the store, in which it may only have expired; the
    /// sender holds the removal back. Only daemons that know the replica keep it.
    Held(Replica),
    /// The entry with this key was removed.
    Removed(Name),
    /// An entry does not describe a usable replica.
    Unreadable {
        /// Key of the entry.
        id: Name,
        /// Why the entry cannot be used.
        fault: String,
    },
}

/// Changes of the list of replicas up to one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Changes in the order of their versions.
    pub changes: Vec<Change>,
    /// Position of the store up to which the changes were read.
    pub position: Position,
    /// Whether the changes are the complete list, so that all other replicas are removed.
    pub is_complete: bool,
}

impl Listing {
    /// The changes of this listing and of a `later` one, of each replica only the last.
    pub fn followed_by(mut self, later: Self) -> Self {
        if later.is_complete {
            return later;
        }
        let changed: HashSet<&Name> = later.changes.iter().map(Change::id).collect();
        self.changes.retain(|change| !changed.contains(change.id()));
        drop(changed);
        self.changes.extend(later.changes);
        Self { position: later.position, ..self }
    }
}

/// What the operator has published, up to one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Publication {
    /// New instructions to move services; for each that cannot be decoded, why.
    pub moves: Vec<Result<Spec, String>>,
    /// The newest configuration as it was published; `None` if there is no new one.
    pub document: Option<Bytes>,
    /// Position up to which the publication is complete.
    pub position: Position,
}

/// What a read of several pages has found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Read<T> {
    /// What the pages that could be read hold.
    pub found: T,
    /// Why the other pages could not be read; `None` if all were.
    pub error: Option<Error>,
}

impl<T> Read<T> {
    /// A read of all pages.
    pub fn whole(found: T) -> Self {
        Self { found, error: None }
    }

    /// Tells what a read has found in part from what it has found as a whole.
    pub fn split(read: Result<Self, Error>) -> (Option<T>, Result<T, Error>) {
        match read {
            Ok(Self { found, error: None }) => (None, Ok(found)),
            Ok(Self { found, error: Some(error) }) => (Some(found), Err(error)),
            Err(error) => (None, Err(error)),
        }
    }
}

/// Access of one daemon to the store; each field uses its own connection.
#[derive(Debug)]
pub struct Access<S, T> {
    /// Reads the configuration.
    pub config: S,
    /// Reads the list of replicas.
    pub list: S,
    /// Reads and writes rows, for version moves.
    pub table: T,
}

/// A client that reads the configuration and the list of replicas.
///
/// Every method fails with [`Error::Unavailable`] if the store refuses the read or is
/// unreachable.
pub trait Store: Send + 'static {
    /// Reads the current configuration.
    fn config(&mut self) -> impl Future<Output = Result<Read<Publication>, Error>> + Send;

    /// Waits up to `wait` for a configuration that is newer than `position`.
    ///
    /// Fails with [`Error::Compacted`] if `position` is too old, and with [`Error::Restored`] if
    /// its era has ended.
    fn next_config(
        &mut self,
        position: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<Publication, Error>> + Send;

    /// Reads the complete list of replicas.
    fn replicas(&mut self) -> impl Future<Output = Result<Read<Listing>, Error>> + Send;

    /// Reads the changes of the list of replicas after `position`.
    ///
    /// Fails as [`Self::next_config()`] does.
    fn replica_changes(
        &mut self,
        position: Position,
    ) -> impl Future<Output = Result<Listing, Error>> + Send;
}
