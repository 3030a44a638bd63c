//! Checks a change and commits it as the next revision.
//!
//! The commit is a compare-and-set on the head row and on the row of the new revision.

use bytes::Bytes;
use snafu::{ResultExt, Snafu};
use winch_platform::{
    object::Objects,
    table::{self, Commit, Table, Transaction},
};

use crate::{
    change::{Change, Edit},
    check::{Fault, check},
    load::{self, HEAD_KEY, Head, SNAPSHOT_KEY, revision_key, snapshot_name},
    object::Id,
    set::{Set, Stored},
};

/// Number of revisions from one snapshot to the next.
pub const SNAPSHOT_INTERVAL: u64 = 32;

/// Parameters of one publication.
#[derive(Clone, Debug)]
pub struct Options {
    /// The requested change.
    pub edit: Edit,
    /// The head revision that the change requires; `None` accepts any.
    pub base: Option<u64>,
    /// Random number that identifies the change if the response to its commit is lost.
    pub nonce: u64,
}

/// A committed revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The change as committed.
    pub change: Change,
    /// The set after the change.
    pub set: Set,
}

/// Why nothing was published.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The set with the change applied has faults.
    #[snafu(display("the set has {} faults", faults.len()))]
    Faulty {
        /// All faults.
        faults: Vec<Fault>,
    },
    /// Another change was committed first: the base is no longer the head, or a change
    /// without a base lost too many races.
    #[snafu(display("revision {base} is no longer the head, which is {head}"))]
    Conflict {
        /// The revision that the change was based on.
        base: u64,
        /// The head that was read; after too many lost races, the oldest revision that the
        /// head can have.
        head: u64,
        /// Objects of this change that were also changed since the base.
        objects: Vec<Id>,
    },
    /// The head could not be read; nothing was written.
    #[snafu(display("reading the head failed"))]
    Load {
        /// The error of the loader.
        source: load::Error,
    },
    /// The table refused the commit; nothing was written.
    #[snafu(display("the table refused the change"))]
    Refused {
        /// The error of the table client.
        source: table::Error,
    },
    /// The response to the commit was lost and the row of the revision does not show
    /// whether it took effect.
    #[snafu(display("the outcome is not known; look for nonce {nonce:016x}"))]
    Unknown {
        /// The change's nonce.
        nonce: u64,
        /// The error of the table client.
        source: table::Error,
    },
}

/// Largest number of attempts to commit a change that loses to concurrent commits.
const MAX_ATTEMPTS: usize = 8;
/// Largest number of attempts to read the revision's row after the response to its commit
/// was lost.
const MAX_LOOKUPS: usize = 5;

/// Checks and commits a change. `known` is any earlier set; only later revisions are read.
///
/// # Errors
/// Returns an [`Error`]. Nothing was committed, except that [`Error::Unknown`] leaves
/// open whether the change was committed.
pub async fn publish<P: Table + Objects>(
    platform: &P,
    known: &Set,
    options: &Options,
) -> Result<Outcome, Error> {
    let mut set = known.clone();
    for attempt in 1.. {
        set = load::load(platform, &set).await.context(LoadSnafu)?;
        let change = prepare(platform, &set, options).await?;
        if commit(platform, &change).await? {
            set.apply(&change).expect("the change has the revision after this set's");
            store_snapshot(platform, &set).await;
            return Ok(Outcome { change, set });
        }
        if attempt == MAX_ATTEMPTS {
            break;
        }
    }
    ConflictSnafu { base: set.revision(), head: set.revision() + 1, objects: Vec::new() }.fail()
}

/// Makes the change that follows `set` and checks the resulting set.
async fn prepare<T: Table>(table: &T, set: &Set, options: &Options) -> Result<Change, Error> {
    let head = set.revision();
    if let Some(base) = options.base.filter(|base| *base != head) {
        let objects = conflicting_objects(table, base, head, &options.edit).await;
        return ConflictSnafu { base, head, objects }.fail();
    }
    let change = Change {
        revision: head + 1,
        nonce: options.nonce,
        puts: options.edit.puts.clone(),
        deletes: options.edit.deletes.clone(),
    };
    let faults = check(&set.preview(&change));
    if faults.is_empty() { Ok(change) } else { FaultySnafu { faults }.fail() }
}

/// Returns the objects of `edit` that were changed after `base`; none if the changes
/// cannot be read.
async fn conflicting_objects<T: Table>(table: &T, base: u64, head: u64, edit: &Edit) -> Vec<Id> {
    let changes = load::changes(table, base, head).await.unwrap_or_default();
    let edited: Vec<Id> = edit.ids().collect();
    let changed = changes.iter().flat_map(|change| {
        change.puts.iter().map(|o| o.id()).chain(change.deletes.iter().cloned())
    });
    let mut objects: Vec<Id> = changed.filter(|id| edited.contains(id)).collect();
    objects.sort();
    objects.dedup();
    objects
}

/// Commits a change; returns false if another change was committed with its revision.
async fn commit<T: Table>(table: &T, change: &Change) -> Result<bool, Error> {
    let head = table.read(HEAD_KEY).await.context(RefusedSnafu)?;
    let current: u64 = head.as_ref().map_or(0, |row| Head::revision(&row.value));
    if current + 1 != change.revision {
        return Ok(false);
    }
    let to_json = |value| serde_json::to_string(value).expect("a change is plain data");
    let next_head = serde_json::to_string(&Head { revision: change.revision }).expect("plain data");
    let key = revision_key(change.revision);
    let txn = Transaction::default()
        .expect(HEAD_KEY, head.map(|row| row.version))
        .expect(key.clone(), None)
        .put(HEAD_KEY, next_head)
        .put(key, to_json(change));
    match table.commit(txn).await {
        Ok(Commit::Committed) => Ok(true),
        Ok(Commit::Conflict { .. }) => Ok(false),
        Err(source @ table::Error::Unavailable { .. }) => Err(source).context(RefusedSnafu),
        Err(source) => resolve_lost_commit(table, change, source).await,
    }
}

/// Reads the revision's row to find out whether a commit took effect whose response
/// was lost.
///
/// An absent row proves nothing, because the lost request may still arrive. The outcome
/// is then unknown and the revision is not retried here; the conditions of both
/// transactions let at most one change take the revision.
async fn resolve_lost_commit<T: Table>(
    table: &T,
    change: &Change,
    lost: table::Error,
) -> Result<bool, Error> {
    for _ in 0..MAX_LOOKUPS {
        match table.read(&revision_key(change.revision)).await {
            Ok(Some(row)) => {
                let found: Option<Change> = serde_json::from_str(&row.value).ok();
                return Ok(found.is_some_and(|found| found.nonce == change.nonce));
            }
            Ok(None) => break,
            Err(_) => {}
        }
    }
    Err(lost).context(UnknownSnafu { nonce: change.nonce })
}

/// Stores a snapshot if one is due. Failures are ignored, because a later snapshot
/// replaces a missing one.
async fn store_snapshot<P: Table + Objects>(platform: &P, set: &Set) {
    if !set.revision().is_multiple_of(SNAPSHOT_INTERVAL) {
        return;
    }
    let body = serde_json::to_vec(&Stored::from(set)).expect("a set is plain data");
    if platform.put(&snapshot_name(set.revision()), Bytes::from(body)).await.is_err() {
        return;
    }
    let head = serde_json::to_string(&Head { revision: set.revision() }).expect("plain data");
    let Ok(row) = platform.read(SNAPSHOT_KEY).await else {
        return;
    };
    if row.as_ref().is_some_and(|row| Head::revision(&row.value) >= set.revision()) {
        return;
    }
    let txn =
        Transaction::default().expect(SNAPSHOT_KEY, row.map(|r| r.version)).put(SNAPSHOT_KEY, head);
    // A conflict means that another daemon has recorded a newer snapshot.
    let _ = platform.commit(txn).await;
}
