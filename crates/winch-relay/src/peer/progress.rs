//! What daemons tell each other about version moves, as messages.

use prost::Message;
use winch_move::{evidence, verdict::Verdict};
use winch_roster::position::Position;
use winch_wire::message::Tally;

use super::notice::millis;
use crate::{
    moves::{Counts, Evidence, Progress, Spec},
    prelude::*,
};

/// The [`Progress`] of a version move on the wire.
#[derive(Clone, PartialEq, Message)]
pub(super) struct MoveProgress {
    /// See [`Spec::service`].
    #[prost(string, tag = "1")]
    pub service: String,
    /// See [`Spec::to`].
    #[prost(string, tag = "2")]
    pub to: String,
    /// See [`Spec::within`], in milliseconds.
    #[prost(uint64, tag = "3")]
    pub within_ms: u64,
    /// Version of [`Spec::revision`].
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// See [`Progress::stage`].
    #[prost(uint32, tag = "5")]
    pub stage: u32,
    /// Time since the stage was last confirmed, in milliseconds; unset if it never was.
    #[prost(uint64, optional, tag = "6")]
    pub age_ms: Option<u64>,
    /// See [`Progress::fault`].
    #[prost(bool, tag = "7")]
    pub fault: bool,
    /// The verdict: 1 completed, 2 taken back, 3 expired, 4 cancelled; 0 for none.
    #[prost(uint32, tag = "8")]
    pub verdict: u32,
    /// Era of the revision.
    #[prost(uint64, tag = "9")]
    pub era: u64,
}

impl MoveProgress {
    /// Encodes the progress, with its age at `now`.
    pub(super) fn encode_at(progress: &Progress, now: Instant) -> Self {
        let Progress { spec, stage, confirmed_at, fault, verdict } = progress;
        Self {
            service: spec.service.to_string(),
            to: spec.to.to_string(),
            within_ms: millis(spec.within),
            revision: spec.revision.version,
            era: spec.revision.era,
            stage: *stage,
            age_ms: confirmed_at.map(|at| millis(now.saturating_duration_since(at))),
            fault: *fault,
            verdict: match verdict {
                None => 0,
                Some(Verdict::Completed) => 1,
                Some(Verdict::TakenBack) => 2,
                Some(Verdict::Expired) => 3,
                Some(Verdict::Cancelled) => 4,
            },
        }
    }

    /// Decodes progress that was received at `now`.
    pub(super) fn decode_at(self, now: Instant) -> Progress {
        let spec = Spec {
            service: self.service.into(),
            to: self.to.into(),
            within: Duration::from_millis(self.within_ms),
            revision: Position { era: self.era, version: self.revision },
        };
        Progress {
            spec,
            stage: self.stage,
            confirmed_at: self.age_ms.and_then(|age| now.checked_sub(Duration::from_millis(age))),
            fault: self.fault,
            verdict: match self.verdict {
                1 => Some(Verdict::Completed),
                2 => Some(Verdict::TakenBack),
                3 => Some(Verdict::Expired),
                4 => Some(Verdict::Cancelled),
                _ => None,
            },
        }
    }
}

/// The [`Evidence`] for one move on the wire.
#[derive(Clone, PartialEq, Message)]
pub(super) struct MoveCounts {
    /// See [`Evidence::service`].
    #[prost(string, tag = "1")]
    pub service: String,
    /// Version of [`Evidence::revision`].
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// See [`Evidence::stage`].
    #[prost(uint32, tag = "3")]
    pub stage: u32,
    /// Counts of the new version.
    #[prost(message, optional, tag = "4")]
    pub new: Option<Tally>,
    /// Counts of the old version.
    #[prost(message, optional, tag = "5")]
    pub old: Option<Tally>,
    /// Era of the revision.
    #[prost(uint64, tag = "6")]
    pub era: u64,
}

fn encode_tally(tally: evidence::Tally) -> Tally {
    Tally { good: tally.good, failed: tally.failed, slow: tally.slow }
}

fn decode_tally(tally: Option<Tally>) -> evidence::Tally {
    let tally = tally.unwrap_or_default();
    evidence::Tally { good: tally.good, failed: tally.failed, slow: tally.slow }
}

impl From<Evidence> for MoveCounts {
    fn from(evidence: Evidence) -> Self {
        Self {
            service: evidence.service.to_string(),
            revision: evidence.revision.version,
            era: evidence.revision.era,
            stage: evidence.stage,
            new: Some(encode_tally(evidence.counts.new)),
            old: Some(encode_tally(evidence.counts.old)),
        }
    }
}

impl From<MoveCounts> for Evidence {
    fn from(counted: MoveCounts) -> Self {
        Self {
            service: counted.service.into(),
            revision: Position { era: counted.era, version: counted.revision },
            stage: counted.stage,
            counts: Counts { new: decode_tally(counted.new), old: decode_tally(counted.old) },
        }
    }
}
