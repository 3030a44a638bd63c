//! Commits a change as the next revision.

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

/// Revisions between two snapshots.
pub const SNAPSHOT_INTERVAL: u64 = 32;

/// What is published, and on what it is based.
#[derive(Clone, Debug)]
pub struct Options {
    /// The change.
    pub edit: Edit,
    /// The revision that the operator looked at; `None` accepts any.
    pub base: Option<u64>,
    /// Drawn at random for this call.
    pub nonce: u64,
}

/// A committed revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The change as committed.
    pub change: Change,
    /// The whole set that it makes.
    pub set: Set,
}

/// Why nothing was published.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The set would have faults.
    #[snafu(display("the set has {} faults", faults.len()))]
    Faulty {
        /// All of them.
        faults: Vec<Fault>,
    },
    /// Another change came first.
    #[snafu(display("revision {base} is no longer the head, which is {head}"))]
    Conflict {
        /// The revision the change was based on.
        base: u64,
        /// The head now.
        head: u64,
        /// Objects changed since the base that this change touches too.
        objects: Vec<Id>,
    },
    /// The head could not be read; nothing was written.
    #[snafu(display("reading the head failed"))]
    Load {
        /// What the loader saw.
        source: load::Error,
    },
    /// The table refused the commit; nothing was written.
    #[snafu(display("the table refused the change"))]
    Refused {
        /// What the table client saw.
        source: table::Error,
    },
    /// Whether the change was committed could not be learnt.
    #[snafu(display("the outcome is not known; look for nonce {nonce:016x}"))]
    Unknown {
        /// The change's nonce.
        nonce: u64,
        /// What the table client saw.
        source: table::Error,
    },
}

/// How often a change without a base is tried again after losing a race.
const ROUNDS: usize = 8;
/// How often a lost answer is looked up.
const LOOKUPS: usize = 5;

/// Checks and commits a change. `known` is any set already held.
///
/// # Errors
/// An [`Error`]; only [`Error::Unknown`] leaves open whether it was committed.
pub async fn publish<P: Table + Objects>(
    platform: &P,
    known: &Set,
    options: &Options,
) -> Result<Outcome, Error> {
    let mut set = known.clone();
    for round in 1.. {
        set = load::load(platform, &set).await.context(LoadSnafu)?;
        let change = prepare(platform, &set, options).await?;
        if commit(platform, &change).await? {
            set.apply(&change).expect("the change was made to follow this set");
            snapshot(platform, &set).await;
            return Ok(Outcome { change, set });
        }
        if round == ROUNDS {
            break;
        }
    }
    ConflictSnafu { base: set.revision(), head: set.revision() + 1, objects: Vec::new() }.fail()
}

async fn prepare<T: Table>(table: &T, set: &Set, options: &Options) -> Result<Change, Error> {
    let head = set.revision();
    if let Some(base) = options.base.filter(|base| *base != head) {
        let objects = overlap(table, base, head, &options.edit).await;
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

/// Objects changed after `base` that `edit` touches; best effort.
async fn overlap<T: Table>(table: &T, base: u64, head: u64, edit: &Edit) -> Vec<Id> {
    let changes = load::changes(table, base, head).await.unwrap_or_default();
    let mine: Vec<Id> = edit.ids().collect();
    let touched = changes.iter().flat_map(|change| {
        change.puts.iter().map(|o| o.id()).chain(change.deletes.iter().cloned())
    });
    let mut objects: Vec<Id> = touched.filter(|id| mine.contains(id)).collect();
    objects.sort();
    objects.dedup();
    objects
}

/// Commits a change; false if another took its revision.
async fn commit<T: Table>(table: &T, change: &Change) -> Result<bool, Error> {
    let head = table.read(HEAD_KEY).await.context(RefusedSnafu)?;
    let current: u64 = head.as_ref().map_or(0, |row| Head::revision(&row.value));
    if current + 1 != change.revision {
        return Ok(false);
    }
    let text = |value| serde_json::to_string(value).expect("a change is plain data");
    let next = serde_json::to_string(&Head { revision: change.revision }).expect("plain data");
    let key = revision_key(change.revision);
    let txn = Transaction::default()
        .expect(HEAD_KEY, head.map(|row| row.version))
        .expect(key.clone(), None)
        .put(HEAD_KEY, next)
        .put(key, text(change));
    match table.commit(txn).await {
        Ok(Commit::Committed) => Ok(true),
        Ok(Commit::Conflict { .. }) => Ok(false),
        Err(source @ table::Error::Unavailable { .. }) => Err(source).context(RefusedSnafu),
        Err(source) => settle(table, change, source).await,
    }
}

/// Learns from the revision's row whether a commit whose answer was lost took effect.
///
/// An absent row proves nothing while the lost request may still arrive, so the
/// head is not advanced past it here; a later commit to the same revision is
/// refused by its own condition.
async fn settle<T: Table>(table: &T, change: &Change, lost: table::Error) -> Result<bool, Error> {
    for _ in 0..LOOKUPS {
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

/// Stores a snapshot now and then; a failure is made good by a later one.
async fn snapshot<P: Table + Objects>(platform: &P, set: &Set) {
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
    // A conflict means that a newer snapshot was named meanwhile.
    let _ = platform.commit(txn).await;
}
