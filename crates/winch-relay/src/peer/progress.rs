//! What daemons tell each other about version moves, as messages.

use prost::Message;
use winch_move::{evidence, verdict::Verdict};
use winch_roster::position::Position;
use winch_wire::message::Tally;

use super::notice::millis;
use crate::{
    moves::{
        Counts, Evidence, Progress, Rollout, Spec,
        history::{Former, History},
    },
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
    /// The instructions before it; unset by earlier releases, which skip it.
    #[prost(message, optional, tag = "10")]
    pub history: Option<MoveHistory>,
}

/// A [`History`] on the wire.
#[derive(Clone, PartialEq, Message)]
pub(super) struct MoveHistory {
    /// See [`History::initial`].
    #[prost(string, repeated, tag = "1")]
    pub initial: Vec<String>,
    /// See [`History::former`].
    #[prost(message, repeated, tag = "2")]
    pub former: Vec<FormerMove>,
    /// See [`History::is_recorded`].
    #[prost(bool, tag = "3")]
    pub recorded: bool,
    /// Version of [`History::initial_revision`].
    #[prost(uint64, tag = "4")]
    pub initial_revision: u64,
    /// Era of that revision.
    #[prost(uint64, tag = "5")]
    pub initial_era: u64,
}

/// A [`Former`] instruction on the wire.
#[derive(Clone, PartialEq, Message)]
pub(super) struct FormerMove {
    /// See [`Former::to`].
    #[prost(string, tag = "1")]
    pub to: String,
    /// Version of [`Former::revision`].
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Era of the revision.
    #[prost(uint64, tag = "3")]
    pub era: u64,
    /// As [`MoveProgress::verdict`].
    #[prost(uint32, tag = "4")]
    pub verdict: u32,
}

impl From<&History> for MoveHistory {
    fn from(history: &History) -> Self {
        let former = history.former.iter().map(|former| FormerMove {
            to: former.to.to_string(),
            revision: former.revision.version,
            era: former.revision.era,
            verdict: encode_verdict(former.verdict),
        });
        Self {
            initial: history.initial.iter().map(ToString::to_string).collect(),
            former: former.collect(),
            recorded: history.is_recorded,
            initial_revision: history.initial_revision.version,
            initial_era: history.initial_revision.era,
        }
    }
}

impl From<MoveHistory> for History {
    fn from(history: MoveHistory) -> Self {
        let former = history.former.into_iter().map(|former| Former {
            to: former.to.into(),
            revision: Position { era: former.era, version: former.revision },
            verdict: decode_verdict(former.verdict),
        });
        Self {
            initial: history.initial.into_iter().map(Into::into).collect(),
            former: former.collect(),
            is_recorded: history.recorded,
            initial_revision: Position {
                era: history.initial_era,
                version: history.initial_revision,
            },
        }
    }
}

fn encode_verdict(verdict: Option<Verdict>) -> u32 {
    match verdict {
        None => 0,
        Some(Verdict::Completed) => 1,
        Some(Verdict::TakenBack) => 2,
        Some(Verdict::Expired) => 3,
        Some(Verdict::Cancelled) => 4,
    }
}

fn decode_verdict(verdict: u32) -> Option<Verdict> {
    match verdict {
        1 => Some(Verdict::Completed),
        2 => Some(Verdict::TakenBack),
        3 => Some(Verdict::Expired),
        4 => Some(Verdict::Cancelled),
        _ => None,
    }
}

impl MoveProgress {
    /// Encodes the progress of a move and the instructions before it, with its age at `now`.
    pub(super) fn encode_at(rollout: &Rollout, now: Instant) -> Self {
        let Progress { spec, stage, confirmed_at, fault, verdict } = rollout.progress();
        Self {
            service: spec.service.to_string(),
            to: spec.to.to_string(),
            within_ms: millis(spec.within),
            revision: spec.revision.version,
            era: spec.revision.era,
            stage: *stage,
            age_ms: confirmed_at.map(|at| millis(now.saturating_duration_since(at))),
            fault: *fault,
            verdict: encode_verdict(*verdict),
            history: Some(rollout.history().into()),
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
            verdict: decode_verdict(self.verdict),
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
