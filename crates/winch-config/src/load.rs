//! Reads the configuration from the platform.

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

/// Key of the row that holds the head revision.
pub const HEAD_KEY: &str = "config/head";
/// Key of the row that names the newest snapshot.
pub const SNAPSHOT_KEY: &str = "config/snapshot";

/// Revisions fetched with one read.
const PAGE: usize = 256;
/// How far behind a set may be before a snapshot is cheaper than its changes.
const SNAPSHOT_LAG: u64 = 64;

/// Key of the row of one revision.
pub fn revision_key(revision: u64) -> String {
    format!("config/rev/{revision:012}")
}

/// Name of the snapshot of one revision.
pub fn snapshot_name(revision: u64) -> String {
    format!("config-{revision:012}")
}

/// The value of the head and snapshot rows.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Head {
    /// The revision named.
    pub revision: u64,
}

impl Head {
    /// Reads a row's value; zero if it is unreadable.
    pub fn revision(value: &str) -> u64 {
        serde_json::from_str(value).map_or(0, |head: Self| head.revision)
    }
}

/// Why the configuration could not be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The platform gave no answer.
    #[snafu(display("the platform gave no answer"))]
    Platform {
        /// What the client saw.
        source: table::Error,
    },
    /// A row or snapshot is unreadable.
    #[snafu(display("a stored revision is unreadable"))]
    Decode {
        /// What the decoder saw.
        source: serde_json::Error,
    },
    /// The snapshot named by the table is missing.
    #[snafu(display("snapshot {revision} is missing"))]
    Missing {
        /// Its revision.
        revision: u64,
    },
    /// The stored changes do not follow one another.
    #[snafu(display("the stored revisions have a gap"))]
    Sequence {
        /// The two revisions.
        source: Gap,
    },
}

/// The head revision.
///
/// # Errors
/// An [`Error`] when the table gives no answer.
pub async fn head<T: Table>(table: &T) -> Result<u64, Error> {
    let row = table.read(HEAD_KEY).await.context(PlatformSnafu)?;
    Ok(row.map_or(0, |row| Head::revision(&row.value)))
}

/// Brings `known` up to the head.
///
/// # Errors
/// An [`Error`]; `known` is not changed.
pub async fn load<P: Table + Objects>(platform: &P, known: &Set) -> Result<Set, Error> {
    let head = head(platform).await?;
    let mut set = known.clone();
    if set.revision() >= head {
        return Ok(set);
    }
    if head - set.revision() > SNAPSHOT_LAG {
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

/// The changes after `from` up to `to`.
///
/// # Errors
/// An [`Error`] when the table gives no answer or a row is unreadable.
pub async fn changes<T: Table>(table: &T, from: u64, to: u64) -> Result<Vec<Change>, Error> {
    let mut changes: Vec<Change> = Vec::new();
    let mut after = from;
    while after < to {
        let rows =
            table.scan("config/rev/", &revision_key(after), PAGE).await.context(PlatformSnafu)?;
        for row in &rows {
            changes.push(serde_json::from_str(&row.value).context(DecodeSnafu)?);
        }
        // An empty page means that the rows were compacted; the caller sees the gap.
        after = changes.last().filter(|_| !rows.is_empty()).map_or(to, |c| c.revision);
    }
    changes.retain(|change| change.revision <= to);
    Ok(changes)
}

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
