//! The versions of a service before its latest instruction.
//!
//! An instruction names only the version to which a service is moved. Which of the other versions may
//! serve follows from the instructions before it: one that was not completed has proved nothing for its
//! version, and a completed one replaces the version that served until then.

use winch_move::verdict::Verdict;
use winch_roster::position::Position;

use super::{Progress, Spec};
use crate::prelude::*;

/// Largest number of former instructions that are kept.
const MAX_FORMER: usize = 16;

/// An instruction that a later one of its service has replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Former {
    /// See [`Spec::to`].
    pub to: Name,
    /// See [`Spec::revision`].
    pub revision: Position,
    /// The verdict; `None` if there was none when the instruction was replaced.
    pub verdict: Option<Verdict>,
}

impl Former {
    fn new(progress: &Progress) -> Self {
        let Progress { spec: Spec { to, revision, .. }, verdict, .. } = progress;
        Self { to: to.clone(), revision: *revision, verdict: *verdict }
    }
}

/// The former instructions of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// The versions that were listed before the instruction with `initial_revision`; empty if they are not
    /// known.
    pub initial: Vec<Name>,
    /// See `initial`. A version that was requested earlier does not serve just because it was listed then.
    pub initial_revision: Position,
    /// The instructions, from the first to the last.
    pub former: Vec<Former>,
    /// Whether the store has it in the record of the latest instruction.
    pub is_recorded: bool,
}

/// What the former instructions mean for the versions of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// Versions that serve; empty if they are not known.
    pub serving: Vec<Name>,
    /// Versions that were requested, and not established.
    pub rejected: Vec<Name>,
    /// Versions that served until another one was established.
    pub replaced: Vec<Name>,
}

impl Versions {
    /// Applies the end of an instruction.
    fn apply(&mut self, former: &Former) {
        let is_other = |version: &Name| *version != former.to;
        if former.verdict != Some(Verdict::Completed) {
            if !self.serving.contains(&former.to) && !self.rejected.contains(&former.to) {
                self.rejected.push(former.to.clone());
            }
            return;
        }
        self.replaced.append(&mut self.serving);
        self.replaced.retain(is_other);
        self.rejected.retain(is_other);
        self.serving.push(former.to.clone());
    }
}

impl History {
    /// The history of the instruction that follows `progress`.
    pub fn followed_by(&self, progress: &Progress) -> Self {
        let mut next = Self { is_recorded: false, ..self.clone() };
        next.insert(Former::new(progress));
        next
    }

    /// Adds an instruction, or the verdict of a known one.
    pub fn insert(&mut self, former: Former) {
        match self.former.binary_search_by_key(&former.revision, |known| known.revision) {
            Ok(index) => {
                let verdict = &mut self.former[index].verdict;
                *verdict = verdict.or(former.verdict);
            }
            Err(index) => self.former.insert(index, former),
        }
        if self.former.len() > MAX_FORMER {
            let first = self.former.remove(0);
            if first.verdict == Some(Verdict::Completed) {
                (self.initial, self.initial_revision) = (vec![first.to], first.revision);
            }
        }
    }

    /// Merges the history of the same instruction that another daemon, or the store, has. The instructions that
    /// the store has replace the others.
    pub fn merge(&mut self, other: &Self) {
        let is_older = !other.initial.is_empty() && other.initial_revision < self.initial_revision;
        if self.initial.is_empty() || is_older {
            self.initial.clone_from(&other.initial);
            self.initial_revision = other.initial_revision;
        }
        match (self.is_recorded, other.is_recorded) {
            (true, false) => {}
            (false, true) => {
                self.former.clone_from(&other.former);
                self.is_recorded = true;
            }
            (true, true) | (false, false) => {
                other.former.iter().cloned().for_each(|former| self.insert(former));
            }
        }
    }

    /// Whether `spec` is a former instruction, which the store has again after it came back from a copy:
    /// its version of before, in a new era.
    pub fn has(&self, spec: &Spec) -> bool {
        let Position { era, version } = spec.revision;
        self.former.iter().any(|former| {
            let known = former.revision;
            former.to == spec.to && known.version == version && known.era < era
        })
    }

    /// Learns the versions that served before the first instruction from those that are `listed`, if they
    /// are not known. `latest` is the latest instruction.
    pub fn learn_initial(&mut self, listed: impl Iterator<Item = Name>, latest: &Spec) {
        if !self.initial.is_empty() {
            return;
        }
        let was_requested = |version: &Name| self.former.iter().any(|former| former.to == *version);
        // Replicas of the latest instruction may have started before it.
        let mut initial: Vec<Name> =
            listed.filter(|version| *version != latest.to && !was_requested(version)).collect();
        initial.sort();
        initial.dedup();
        (self.initial, self.initial_revision) = (initial, latest.revision);
    }

    /// What the instructions mean for the versions of the service.
    pub fn versions(&self) -> Versions {
        let was_requested_before = |version: &Name| {
            let mut former = self.former.iter();
            former.any(|former| former.to == *version && former.revision < self.initial_revision)
        };
        let serving = self.initial.iter().filter(|version| !was_requested_before(version));
        let mut versions = Versions { serving: serving.cloned().collect(), ..Versions::default() };
        self.former.iter().for_each(|former| versions.apply(former));
        versions
    }
}
