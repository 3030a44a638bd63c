//! The final result of a version move and its stored record.

use serde::{Deserialize, Serialize};

/// The final result of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// All traffic has moved and the new version is as good as the old one.
    Completed,
    /// The new version showed a fault; all traffic is back on the old version.
    TakenBack,
    /// There was not enough evidence before the deadline; all traffic is back on the old
    /// version.
    Expired,
    /// An operator cancelled the move; all traffic is back on the old version.
    Cancelled,
}

/// The record of a move in the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The stage that was entered last.
    pub stage: u32,
    /// Fencing token of the lease holder that wrote the record.
    pub fence: u64,
    /// The verdict, once the move has ended. It never changes after that.
    pub verdict: Option<Verdict>,
    /// The reason for the verdict, in one line.
    pub reason: String,
}

impl Record {
    /// Returns the record to store in place of this one, or `None` if `next`
    /// must not be stored or changes nothing.
    ///
    /// A verdict is final, and a lease holder whose fencing token is older than the
    /// record's cannot change the record.
    pub fn updated_with(&self, next: &Self) -> Option<Self> {
        let is_allowed = self.verdict.is_none() && next.fence >= self.fence;
        let has_changes =
            next.stage > self.stage || next.verdict.is_some() || next.fence > self.fence;
        (is_allowed && has_changes).then(|| next.clone())
    }
}
