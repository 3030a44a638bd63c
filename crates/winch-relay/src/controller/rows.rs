//! Rows of a move in the platform's store, and their keys.

use serde::{Deserialize, Serialize};
use winch_move::{evidence::Tally, verdict::Record};
use winch_platform::table::Row;
use winch_roster::position::Position;

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
}

impl RecordRow {
    /// Revision of the instruction.
    pub(super) fn position(&self) -> Position {
        Position { era: self.era, version: self.revision }
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
