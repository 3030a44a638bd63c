//! Reads the configuration from the platform's table and object store.

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};
use winch_platform::{
    object::Objects,
    table::{self, Table},
};

use crate::{
    change::Change,
    set::{Gap, Set, Stored},
};

/// Key of the row that holds the number of the head revision.
pub const HEAD_KEY: &str = "config/head";
/// Key of the row that names the newest snapshot.
pub const SNAPSHOT_KEY: &str = "config/snapshot";

/// Rows fetched by one scan.
const PAGE_ROWS: usize = 256;
/// Lag in revisions above which a snapshot is cheaper to load than the changes.
const SNAPSHOT_LAG_REVISIONS: u64 = 64;

/// Returns the key of the row that holds the change of `revision`.
pub fn revision_key(revision: u64) -> String {
    format!("config/rev/{revision:012}")
}

/// Returns the name of the snapshot of `revision` in the object store.
pub fn snapshot_name(revision: u64) -> String {
    format!("config-{revision:012}")
}

/// The value of the head row and of the snapshot row.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Head {
    /// The head revision, or the revision of the newest snapshot.
    pub revision: u64,
}

impl Head {
    /// Returns the revision in the value of a head or snapshot row; zero if the value cannot
    /// be parsed.
    pub fn revision(value: &str) -> u64 {
        serde_json::from_str(value).map_or(0, |head: Self| head.revision)
    }
}

/// Why the configuration could not be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The table or the object store could not be read.
    #[snafu(display("the table or object store could not be read: {source}"))]
    Platform {
        /// The error of the table or object client.
        source: table::Error,
    },
    /// A stored change or snapshot cannot be decoded.
    #[snafu(display("a stored change or snapshot cannot be decoded: {source}"))]
    Decode {
        /// The error of the decoder.
        source: serde_json::Error,
    },
    /// The snapshot named by the table is missing.
    #[snafu(display("snapshot {revision} is missing"))]
    Missing {
        /// The snapshot's revision.
        revision: u64,
    },
    /// The stored revisions are not consecutive.
    #[snafu(display("the stored revisions are not consecutive: {source}"))]
    Sequence {
        /// The revisions on both sides of the gap.
        source: Gap,
    },
}

/// Reads the number of the head revision; zero if nothing is published.
///
/// # Errors
/// [`Error::Platform`] if the table does not respond.
pub async fn head<T: Table>(table: &T) -> Result<u64, Error> {
    let row = table.read(HEAD_KEY).await.context(PlatformSnafu)?;
    Ok(row.map_or(0, |row| Head::revision(&row.value)))
}

/// Reads the configuration at the head. Only the changes that `known` lacks are
/// fetched, or the newest snapshot if `known` is far behind.
///
/// # Errors
/// Returns an [`Error`] if the platform does not respond, or if stored data cannot be
/// decoded or is incomplete.
pub async fn load<P: Table + Objects>(platform: &P, known: &Set) -> Result<Set, Error> {
    let head = head(platform).await?;
    let mut set = known.clone();
    if set.revision() >= head {
        return Ok(set);
    }
    if head - set.revision() > SNAPSHOT_LAG_REVISIONS {
        set = newest_snapshot(platform)
            .await?
            .filter(|s| s.revision() > set.revision())
            .unwrap_or(set);
    }
    for change in changes(platform, set.revision(), head).await? {
        set.apply(&change).context(SequenceSnafu)?;
    }
    Ok(set)
}

/// Reads the changes of the revisions after `from`, up to and including `to`. Fewer are
/// returned if rows were compacted.
///
/// # Errors
/// Returns an [`Error`] if the table does not respond or a row cannot be decoded.
pub async fn changes<T: Table>(table: &T, from: u64, to: u64) -> Result<Vec<Change>, Error> {
    let mut changes: Vec<Change> = Vec::new();
    let mut after = from;
    while after < to {
        let rows = table
            .scan("config/rev/", &revision_key(after), PAGE_ROWS)
            .await
            .context(PlatformSnafu)?;
        for row in &rows {
            changes.push(serde_json::from_str(&row.value).context(DecodeSnafu)?);
        }
        // An empty page means that the rows were compacted; the caller detects the gap.
        after = changes.last().filter(|_| !rows.is_empty()).map_or(to, |c| c.revision);
    }
    changes.retain(|change| change.revision <= to);
    Ok(changes)
}

/// Reads the snapshot that the table names; `None` if the table names none.
async fn newest_snapshot<P: Table + Objects>(platform: &P) -> Result<Option<Set>, Error> {
    let Some(row) = platform.read(SNAPSHOT_KEY).await.context(PlatformSnafu)? else {
        return Ok(None);
    };
    let revision = Head::revision(&row.value);
    let body = platform.get(&snapshot_name(revision)).await.context(PlatformSnafu)?;
    let body = body.context(MissingSnafu { revision })?;
    let stored: Stored = serde_json::from_slice(&body).context(DecodeSnafu)?;
    Ok(Some(stored.into()))
}
