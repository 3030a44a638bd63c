//! Rows of a move in the platform's store, and their keys.

use serde::{Deserialize, Serialize};
use winch_move::{
    evidence::Tally,
    verdict::{Record, Verdict},
};
use winch_platform::table::Row;
use winch_roster::position::Position;

use crate::moves::history::{Former, History};

/// The row with the record of a move.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct RecordRow {
    /// Era of the instruction's revision; rows of earlier releases state none.
    #[serde(default)]
    pub(super) era: u64,
    /// Version of the instruction's revision.
    pub(super) revision: u64,
    /// Age of the move when the row was written, in seconds.
    pub(super) age_s: f64,
    pub(super) record: Record,
    /// Version to which the service is moved; empty in rows of earlier releases.
    #[serde(default)]
    pub(super) to: String,
    /// The instructions before this one; rows of earlier releases have none, and a row that such a release
    /// has written again, neither.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) history: Option<HistoryRow>,
}

impl RecordRow {
    /// Revision of the instruction.
    pub(super) fn position(&self) -> Position {
        Position { era: self.era, version: self.revision }
    }
}

/// A [`History`] in a [`RecordRow`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct HistoryRow {
    initial: Vec<String>,
    initial_era: u64,
    initial_revision: u64,
    former: Vec<FormerRow>,
}

/// A [`Former`] instruction in a [`RecordRow`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct FormerRow {
    to: String,
    era: u64,
    revision: u64,
    verdict: Option<Verdict>,
}

impl From<&History> for HistoryRow {
    fn from(history: &History) -> Self {
        let former = history.former.iter().map(|former| FormerRow {
            to: former.to.to_string(),
            era: former.revision.era,
            revision: former.revision.version,
            verdict: former.verdict,
        });
        Self {
            initial: history.initial.iter().map(ToString::to_string).collect(),
            initial_era: history.initial_revision.era,
            initial_revision: history.initial_revision.version,
            former: former.collect(),
        }
    }
}

impl From<HistoryRow> for History {
    fn from(row: HistoryRow) -> Self {
        let former = row.former.into_iter().map(|former| Former {
            to: former.to.into(),
            revision: Position { era: former.era, version: former.revision },
            verdict: former.verdict,
        });
        Self {
            initial: row.initial.into_iter().map(Into::into).collect(),
            former: former.collect(),
            is_recorded: true,
            initial_revision: Position { era: row.initial_era, version: row.initial_revision },
        }
    }
}

/// The row with the counts of one daemon and its followers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct CountsRow {
    /// See [`RecordRow::era`].
    #[serde(default)]
    pub(super) era: u64,
    /// See [`RecordRow::revision`].
    pub(super) revision: u64,
    pub(super) stage: u32,
    pub(super) new: Tally,
    pub(super) old: Tally,
}

impl CountsRow {
    /// See [`RecordRow::position()`].
    pub(super) fn position(&self) -> Position {
        Position { era: self.era, version: self.revision }
    }
}

/// Prefix of the keys of all rows of a service's moves.
pub(super) fn prefix(service: &str) -> String {
    format!("moves/{service}/")
}

pub(super) fn record_key(service: &str) -> String {
    format!("{}record", prefix(service))
}

/// Prefix of the keys of rows with counts, before the name of the daemon. The lease and the
/// record sort before it, so that a scan reads them however many daemons have written counts.
pub(super) fn counts_prefix(service: &str) -> String {
    format!("{}tally/", prefix(service))
}

pub(super) fn counts_key(service: &str, daemon: &str) -> String {
    format!("{}{daemon}", counts_prefix(service))
}

pub(super) fn decode<V: for<'a> Deserialize<'a>>(row: &Row) -> Option<V> {
    // The scan also returns rows of other types, which do not decode.
    serde_json::from_str(&row.value).ok()
}

pub(super) fn encode<V: Serialize>(value: &V) -> String {
    serde_json::to_string(value).expect("rows contain no type that JSON cannot encode")
}
