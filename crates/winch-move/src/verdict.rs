//! How a move ended.

use serde::{Deserialize, Serialize};

/// The one end of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// All traffic has moved and the new version is good.
    Completed,
    /// The new version showed a fault; all traffic is back on the old one.
    TakenBack,
    /// The deadline passed before the evidence sufficed; traffic is back.
    Expired,
    /// An operator called it off; traffic is back.
    Cancelled,
}

/// What is recorded of a move in the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The last stage that was granted.
    pub stage: u32,
    /// Fencing number of the holder that granted it.
    pub fence: u64,
    /// The end, once there is one. It never changes after that.
    pub verdict: Option<Verdict>,
    /// Why, in one line.
    pub reason: String,
}

impl Record {
    /// The record after `next`, or `None` where it must not change.
    ///
    /// A verdict is final; an older holder changes nothing.
    pub fn updated_with(&self, next: &Self) -> Option<Self> {
        let allowed = self.verdict.is_none() && next.fence >= self.fence;
        let news = next.stage > self.stage || next.verdict.is_some() || next.fence > self.fence;
        (allowed && news).then(|| next.clone())
    }
}
