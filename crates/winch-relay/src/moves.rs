//! State of version moves in this daemon: their specs, their progress and the evidence collected.
//!
//! A move shifts the traffic of a service to a new version that runs beside the old
//! one, through the stages of [`schedule`]. A stage is in force only while it was
//! confirmed recently, so that a daemon that is cut off from the store and its peers sends
//! nothing to the new version. A verdict is final.
//!
//! Progress comes in from the store and from peers, and results of attempts from this
//! daemon. For each request the module draws the cohort and returns the [`Rule`] of the
//! replicas that may serve it. Versions of former instructions that were not established serve no
//! requests, and their results are no evidence; see [`history`].

pub mod history;
mod rollout;
mod rule;

use std::collections::{BTreeSet, HashMap};

use winch_move::{
    evidence::{Cohort, Tally},
    observer::Observer,
    schedule,
    verdict::Verdict,
};
use winch_roster::position::Position;
use winch_route::hash;

use self::history::History;
pub use self::{rollout::Rollout, rule::Rule};
use crate::prelude::*;

/// Time for which a stage stays in force after its last confirmation.
pub const STAGE_TTL: Duration = Duration::from_secs(6);
/// Time for which a follower's counts are used after its last report.
pub const REPORT_TTL: Duration = Duration::from_secs(3);

/// An operator's instruction to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Name of the service.
    pub service: Name,
    /// The new version.
    pub to: Name,
    /// Time within which all traffic is to be moved.
    pub within: Duration,
    /// Identifies the instruction among those for the same service; later ones are higher.
    pub revision: Position,
}

impl Spec {
    /// Whether this is the instruction `former`, written again after the store has come back from a
    /// copy without it.
    pub(crate) fn repeats(&self, former: &Self) -> bool {
        self.revision.era > former.revision.era
            && (&self.to, self.within) == (&former.to, former.within)
    }
}

/// Progress of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The operator's instruction.
    pub spec: Spec,
    /// The stage at `confirmed_at`.
    pub stage: u32,
    /// When the stage was last confirmed; `None` if it never was.
    pub confirmed_at: Option<Instant>,
    /// Whether the new version has shown a fault.
    pub fault: bool,
    /// The verdict; `None` while the move is open.
    pub verdict: Option<Verdict>,
}

/// Counts of attempts at both versions in one stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Counts of the new version.
    pub new: Tally,
    /// Counts of the old version.
    pub old: Tally,
}

impl Counts {
    fn plus(self, other: Self) -> Self {
        Self { new: self.new.plus(other.new), old: self.old.plus(other.old) }
    }
}

/// Counts that one daemon reports to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The service that is moved.
    pub service: Name,
    /// See [`Spec::revision`].
    pub revision: Position,
    /// The stage in which the counts were collected.
    pub stage: u32,
    /// Counts by the daemon and by those that report to it.
    pub counts: Counts,
}

/// The latest move of each service.
#[derive(Debug, Default)]
pub struct Rollouts(HashMap<Name, Rollout>);

impl Rollouts {
    /// Applies received progress; returns whether more than the time of the last
    /// confirmation has changed.
    ///
    /// Progress of an earlier move of the service is ignored, also if the store has brought its
    /// instruction back from a copy.
    pub fn apply(&mut self, progress: Progress) -> bool {
        let spec = &progress.spec;
        let Some(rollout) = self.0.get_mut(&spec.service) else {
            let service = spec.service.clone();
            self.0.insert(service, Rollout::new(progress, History::default()));
            return true;
        };
        let current = &rollout.progress.spec;
        if current.revision == spec.revision {
            return rollout.apply(progress);
        }
        if current.revision > spec.revision {
            return false;
        }
        if spec.repeats(current) {
            rollout.repeat(spec.revision);
            rollout.apply(progress);
            return true;
        }
        if rollout.history.has(spec) {
            return false;
        }
        let history = rollout.history.followed_by(&rollout.progress);
        *rollout = Rollout::new(progress, history);
        true
    }

    /// Applies what another daemon or the store has of the instructions before the one with this revision;
    /// returns whether that is new.
    pub fn apply_history(&mut self, service: &str, revision: Position, history: &History) -> bool {
        let rollout = self.0.get_mut(service);
        let Some(rollout) = rollout.filter(|known| known.progress.spec.revision == revision) else {
            return false;
        };
        rollout.update_history(|known, _| known.merge(history))
    }

    /// Learns which versions served before the first instruction of a service from those that are
    /// `listed`, if that is not known; returns whether it is now.
    pub fn learn_initial(&mut self, service: &str, listed: impl Iterator<Item = Name>) -> bool {
        let Some(rollout) = self.0.get_mut(service) else { return false };
        rollout.update_history(|known, spec| known.learn_initial(listed, spec))
    }

    /// Whether it is not known which versions of a service served before its first instruction.
    pub fn lacks_initial(&self, service: &str) -> bool {
        self.0.get(service).is_some_and(|rollout| rollout.history.initial.is_empty())
    }

    /// Starts a move; `false` if this or a later move of the service is known.
    pub fn start(&mut self, spec: Spec) -> bool {
        self.apply(Progress { spec, stage: 0, confirmed_at: None, fault: false, verdict: None })
    }

    /// Replaces the counts that `daemon` has reported, unless `evidence` is about another move
    /// than the latest one of its service.
    pub fn apply_report(&mut self, daemon: &Name, evidence: Evidence, now: Instant) {
        let Some(rollout) = self.0.get_mut(&evidence.service) else { return };
        if rollout.progress.spec.revision == evidence.revision {
            rollout.reports.insert(daemon.clone(), (evidence, now));
        }
    }

    /// The latest move of a service; `None` if none is known.
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.0.get(service)
    }

    /// The latest move of each service.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.0.values()
    }

    /// Services that are being moved.
    pub fn moving_services(&self) -> BTreeSet<Name> {
        let open = self.0.values().filter(|rollout| rollout.is_open());
        open.map(|rollout| rollout.progress.spec.service.clone()).collect()
    }

    /// Whether any move has no verdict yet.
    pub fn any_open(&self) -> bool {
        self.0.values().any(Rollout::is_open)
    }

    /// Whether the record of each move was read, or its progress told, since this daemon has started.
    pub fn are_confirmed(&self) -> bool {
        self.0.values().all(|rollout| rollout.progress.confirmed_at.is_some())
    }

    /// Moves that the controller has to look after: those without a verdict, and those whose verdict
    /// the store may have lost.
    pub fn unfinished(&self) -> Vec<Spec> {
        let unfinished =
            self.0.values().filter(|rollout| rollout.is_open() || rollout.is_unrecorded);
        unfinished.map(|rollout| rollout.progress.spec.clone()).collect()
    }

    /// Records that the store has the verdict of the move that `spec` has instructed.
    pub fn mark_recorded(&mut self, spec: &Spec) {
        if let Some(rollout) = self.0.get_mut(&spec.service)
            && rollout.progress.spec.revision == spec.revision
        {
            rollout.is_unrecorded = false;
        }
    }

    /// Draws the cohort of a new request from the uniformly distributed `number`; always the
    /// old one if no move of the service is known.
    pub fn draw<'a>(
        &self,
        service: &str,
        number: u64,
        serving: impl Iterator<Item = &'a Replica>,
        now: Instant,
    ) -> Cohort {
        let Some(rollout) = self.0.get(service) else { return Cohort::Old };
        let old = rollout.lineup(serving).old.len();
        let share = schedule::share(rollout.stage(now), old);
        if schedule::is_in_share(number, share) { Cohort::New } else { Cohort::Old }
    }

    /// Selects the replicas that may serve a request drawn for `cohort`, among the `serving`
    /// ones; all of them if no move of the service is known.
    pub fn rule<'a>(
        &self,
        service: &str,
        cohort: Cohort,
        serving: impl Iterator<Item = &'a Replica>,
        now: Instant,
    ) -> Rule {
        self.0.get(service).map_or(Rule::Any, |rollout| rollout.rule(cohort, serving, now))
    }

    /// The observer of the open move of the replica's service, and the replica's cohort; `None` if
    /// its results are no evidence.
    fn observer(&mut self, replica: &Replica) -> Option<(&mut Observer, Cohort)> {
        let rollout = self.0.get_mut(&replica.service).filter(|rollout| rollout.is_open())?;
        let cohort = rollout.cohort(&replica.version)?;
        Some((&mut rollout.observer, cohort))
    }

    /// Counts a successful attempt; see [`Observer::record_success`].
    pub fn record_success(&mut self, replica: &Replica, first: Duration, gap: Option<Duration>) {
        if let Some((observer, cohort)) = self.observer(replica) {
            observer.record_success(cohort, first, gap);
        }
    }

    /// Counts an attempt that the replica answered with an error.
    pub fn record_error_reply(&mut self, replica: &Replica) {
        if let Some((observer, cohort)) = self.observer(replica) {
            observer.collector.record_error_reply(cohort);
        }
    }

    /// Counts an attempt that broke off or timed out, at this `uptime` of the daemon; several
    /// at one replica within a short time count as one.
    pub fn record_broken(&mut self, replica: &Replica, uptime: Duration) {
        if let Some((observer, cohort)) = self.observer(replica) {
            observer.collector.record_failure(cohort, hash::name(&replica.id), uptime);
        }
    }

    /// Counts by this daemon and by those that report to it, for each open move.
    pub fn evidence(&self, now: Instant) -> Vec<Evidence> {
        let open = self.0.values().filter(|rollout| rollout.is_open());
        let evidence = open.map(|rollout| Evidence {
            service: rollout.progress.spec.service.clone(),
            revision: rollout.progress.spec.revision,
            stage: rollout.progress.stage,
            counts: rollout.counts(now),
        });
        evidence.collect()
    }
}
