//! State of version moves in this daemon: their specs, their progress and the evidence collected.
//!
//! A move shifts the traffic of a service to a new version that runs beside the old
//! one, through the stages of [`schedule`]. A stage is in force only while it was
//! confirmed recently, so that a daemon that is cut off from the store and its peers sends
//! nothing to the new version. A verdict is final.
//!
//! Progress comes in from the store and from peers, and results of attempts from this
//! daemon. For each request the module draws the cohort and returns the [`Rule`] of the
//! replicas that may serve it. Versions of former orders that were not established serve no
//! requests, and their results are no evidence; see [`lineage`].

pub mod lineage;
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

use self::lineage::{Lineage, Standing};
pub use self::rule::Rule;
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

/// The replicas of a service that may serve while it is moved.
struct Lineup<'a> {
    new: Vec<&'a Replica>,
    old: Vec<&'a Replica>,
    /// Versions other than the new one that do not serve.
    excluded: Vec<Name>,
}

/// This daemon's state of one version move.
#[derive(Debug)]
pub struct Rollout {
    progress: Progress,
    observer: Observer,
    /// The last report of each follower, by its name, and when it arrived.
    reports: HashMap<Name, (Evidence, Instant)>,
    /// Whether the store may have lost the verdict.
    is_unrecorded: bool,
    lineage: Lineage,
    /// See [`Lineage::standing()`].
    standing: Standing,
}

impl Rollout {
    fn new(progress: Progress, lineage: Lineage) -> Self {
        Self {
            progress,
            standing: lineage.standing(),
            lineage,
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

    /// The former orders of the service.
    pub fn lineage(&self) -> &Lineage {
        &self.lineage
    }

    /// Changes the lineage; returns whether it has become another one.
    fn update_lineage(&mut self, update: impl FnOnce(&mut Lineage, &Spec)) -> bool {
        let before = self.lineage.clone();
        update(&mut self.lineage, &self.progress.spec);
        let has_changed = self.lineage != before;
        if has_changed {
            self.standing = self.lineage.standing();
        }
        has_changed
    }

    /// Whether the order is for the only version that serves already, so that there is nothing to
    /// move. It calls off the order before it.
    pub fn is_back(&self) -> bool {
        *self.standing.serving == [self.progress.spec.to.clone()]
    }

    /// The cohort of a version; `None` if it does not serve.
    fn cohort(&self, version: &str) -> Option<Cohort> {
        let is_among = |versions: &[Name]| versions.iter().any(|other| **other == *version);
        let Standing { rejected, replaced, .. } = &self.standing;
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
    fn lineup<'a>(&self, serving: impl Iterator<Item = &'a Replica>) -> Lineup<'a> {
        let Standing { rejected, replaced, .. } = &self.standing;
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
    fn rule<'a>(
        &self,
        cohort: Cohort,
        serving: impl Iterator<Item = &'a Replica>,
        now: Instant,
    ) -> Rule {
        let to = &self.progress.spec.to;
        let Lineup { mut new, old, excluded } = self.lineup(serving);
        let new_count = match self.progress.verdict {
            Some(Verdict::Completed) => new.len(),
            _ if self.is_back() => return Rule::except(excluded),
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
    fn repeat(&mut self, revision: Position) {
        self.progress.spec.revision = revision;
        self.is_unrecorded = !self.is_open();
        // They name the former revision.
        self.reports.clear();
    }

    /// Merges `received` into the current progress; returns whether it is the first confirmation, or
    /// more than the time of the last one has changed.
    fn apply(&mut self, received: Progress) -> bool {
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

/// The latest move of each service.
#[derive(Debug, Default)]
pub struct Rollouts(HashMap<Name, Rollout>);

impl Rollouts {
    /// Applies received progress; returns whether more than the time of the last
    /// confirmation has changed.
    ///
    /// Progress of an earlier move of the service is ignored, also if the store has brought its
    /// order back from a copy.
    pub fn apply(&mut self, progress: Progress) -> bool {
        let spec = &progress.spec;
        let Some(rollout) = self.0.get_mut(&spec.service) else {
            let service = spec.service.clone();
            self.0.insert(service, Rollout::new(progress, Lineage::default()));
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
        if rollout.lineage.has(spec) {
            return false;
        }
        let lineage = rollout.lineage.followed_by(&rollout.progress);
        *rollout = Rollout::new(progress, lineage);
        true
    }

    /// Applies what another daemon or the store has of the orders before the one with this revision;
    /// returns whether that is new.
    pub fn apply_lineage(&mut self, service: &str, revision: Position, lineage: &Lineage) -> bool {
        let rollout = self.0.get_mut(service);
        let Some(rollout) = rollout.filter(|known| known.progress.spec.revision == revision) else {
            return false;
        };
        rollout.update_lineage(|known, _| known.merge(lineage))
    }

    /// Learns which versions served before the first order of a service from those that are
    /// `listed`, if that is not known; returns whether it is now.
    pub fn learn_base(&mut self, service: &str, listed: impl Iterator<Item = Name>) -> bool {
        let Some(rollout) = self.0.get_mut(service) else { return false };
        rollout.update_lineage(|known, spec| known.learn_base(listed, spec))
    }

    /// Whether it is not known which versions of a service served before its first order.
    pub fn lacks_base(&self, service: &str) -> bool {
        self.0.get(service).is_some_and(|rollout| rollout.lineage.base.is_empty())
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
