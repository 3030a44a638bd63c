//! The state of one version move.

use std::collections::HashMap;

use winch_move::{evidence::Cohort, observer::Observer, schedule, verdict::Verdict};
use winch_roster::position::Position;
use winch_route::hash;

use super::{
    Counts, Evidence, Progress, REPORT_TTL, Rule, STAGE_TTL, Spec,
    history::{History, Versions},
};
use crate::prelude::*;

/// The replicas of a service that may serve while it is moved.
pub(super) struct Lineup<'a> {
    pub(super) new: Vec<&'a Replica>,
    pub(super) old: Vec<&'a Replica>,
    /// Versions other than the new one that do not serve.
    pub(super) excluded: Vec<Name>,
}

/// This daemon's state of one version move.
#[derive(Debug)]
pub struct Rollout {
    pub(super) progress: Progress,
    pub(super) observer: Observer,
    /// The last report of each follower, by its name, and when it arrived.
    pub(super) reports: HashMap<Name, (Evidence, Instant)>,
    /// Whether the store may have lost the verdict.
    pub(super) is_unrecorded: bool,
    pub(super) history: History,
    /// See [`History::versions()`].
    pub(super) versions: Versions,
}

impl Rollout {
    pub(super) fn new(progress: Progress, history: History) -> Self {
        Self {
            progress,
            versions: history.versions(),
            history,
            observer: Observer::default(),
            reports: HashMap::new(),
            is_unrecorded: false,
        }
    }

    /// Progress of the move.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Whether the move has no verdict yet.
    pub fn is_open(&self) -> bool {
        self.progress.verdict.is_none()
    }

    /// Whether the store may have lost the verdict, so that it has to be written again.
    pub fn is_unrecorded(&self) -> bool {
        self.is_unrecorded
    }

    /// The stage in force at `now`; zero if none was confirmed recently, and after a fault or
    /// verdict.
    pub fn stage(&self, now: Instant) -> u32 {
        let Progress { stage, confirmed_at, fault, verdict, .. } = &self.progress;
        let fresh = confirmed_at.is_some_and(|at| now < at + STAGE_TTL);
        if fresh && !fault && verdict.is_none() { *stage } else { 0 }
    }

    /// The former instructions of the service.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Changes the history; returns whether it has become another one.
    pub(super) fn update_history(&mut self, update: impl FnOnce(&mut History, &Spec)) -> bool {
        let before = self.history.clone();
        update(&mut self.history, &self.progress.spec);
        let has_changed = self.history != before;
        if has_changed {
            self.versions = self.history.versions();
        }
        has_changed
    }

    /// Whether the only version that serves is the one of the instruction, so that there is nothing to
    /// move. Such an instruction calls off the one before it.
    pub fn is_established(&self) -> bool {
        *self.versions.serving == [self.progress.spec.to.clone()]
    }

    /// The cohort of a version; `None` if it does not serve.
    pub(super) fn cohort(&self, version: &str) -> Option<Cohort> {
        let is_among = |versions: &[Name]| versions.iter().any(|other| **other == *version);
        let Versions { rejected, replaced, .. } = &self.versions;
        if *self.progress.spec.to == *version {
            Some(Cohort::New)
        } else if is_among(rejected) || is_among(replaced) {
            None
        } else {
            Some(Cohort::Old)
        }
    }

    /// Divides the `serving` replicas. A version that was replaced is an old one while there is no
    /// other.
    pub(super) fn lineup<'a>(&self, serving: impl Iterator<Item = &'a Replica>) -> Lineup<'a> {
        let Versions { rejected, replaced, .. } = &self.versions;
        let to = &self.progress.spec.to;
        let (new, others): (Vec<_>, Vec<_>) = serving.partition(|replica| replica.version == *to);
        let is_excluded =
            |replica: &&Replica, versions: &[Name]| versions.contains(&replica.version);
        let others: Vec<_> =
            others.into_iter().filter(|replica| !is_excluded(replica, rejected)).collect();
        let mut excluded = rejected.clone();
        let has_current = others.iter().any(|replica| !is_excluded(replica, replaced));
        if has_current {
            excluded.extend(replaced.iter().cloned());
        }
        excluded.retain(|version| version != to);
        let old = others.into_iter().filter(|replica| !is_excluded(replica, &excluded)).collect();
        Lineup { new, old, excluded }
    }

    /// Selects the replicas that may serve a request drawn for `cohort`, among the `serving`
    /// ones.
    pub(super) fn rule<'a>(
        &self,
        cohort: Cohort,
        serving: impl Iterator<Item = &'a Replica>,
        now: Instant,
    ) -> Rule {
        let to = &self.progress.spec.to;
        let Lineup { mut new, old, excluded } = self.lineup(serving);
        let new_count = match self.progress.verdict {
            Some(Verdict::Completed) => new.len(),
            _ if self.is_established() => return Rule::except(excluded),
            Some(Verdict::TakenBack) => 0,
            // Without replicas of the old version there is nothing to compare with or to
            // fall back to.
            _ if old.is_empty() => return Rule::except(excluded),
            Some(_) => 0,
            None => match self.stage(now) {
                0 => 0,
                _ if cohort == Cohort::Old => 0,
                stage => schedule::replica_count(stage, old.len(), new.len()),
            },
        };
        if new_count == 0 || new.is_empty() {
            return Rule::Except([excluded, vec![to.clone()]].concat());
        }
        // All daemons choose the same few new replicas, so that these get enough load to show
        // faults that appear only under load.
        let seed = hash::name(&self.progress.spec.service);
        new.sort_by_key(|replica| hash::score(seed, hash::name(&replica.id)));
        let ids = new.iter().take(new_count).map(|replica| replica.id.clone()).collect();
        Rule::Only { ids, excluded }
    }

    /// Goes on under the revision with which the instruction was written again.
    pub(super) fn repeat(&mut self, revision: Position) {
        self.progress.spec.revision = revision;
        self.is_unrecorded = !self.is_open();
        // They name the former revision.
        self.reports.clear();
    }

    /// Merges `received` into the current progress; returns whether it is the first confirmation, or
    /// more than the time of the last one has changed.
    pub(super) fn apply(&mut self, received: Progress) -> bool {
        let current = &mut self.progress;
        let before = current.clone();
        let is_latest = received
            .confirmed_at
            .is_some_and(|at| current.confirmed_at.is_none_or(|last| at >= last));
        if is_latest {
            if current.stage != received.stage {
                self.observer.collector.reset();
                self.reports.clear();
            }
            current.stage = received.stage;
            current.confirmed_at = received.confirmed_at;
        }
        current.fault |= received.fault;
        current.verdict = current.verdict.or(received.verdict);
        let same = |a: &Progress, b: &Progress| {
            (a.stage, a.fault, a.verdict, a.confirmed_at.is_some())
                == (b.stage, b.fault, b.verdict, b.confirmed_at.is_some())
        };
        !same(&before, current)
    }

    /// Counts in the current stage by this daemon and by those that have reported to it
    /// within [`REPORT_TTL`].
    pub fn counts(&self, now: Instant) -> Counts {
        let own = &self.observer.collector;
        let own = Counts { new: own.new, old: own.old };
        let stage = self.progress.stage;
        let reports = self.reports.values();
        let fresh = reports.filter(|(report, at)| report.stage == stage && now < *at + REPORT_TTL);
        fresh.fold(own, |sum, (report, _)| sum.plus(report.counts))
    }
}
