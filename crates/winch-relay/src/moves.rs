//! Version moves of services: what was ordered, how far each may go, and this daemon's evidence.
//!
//! A move is ordered for a service whose new version runs beside the old one. It
//! goes through the stages of [`schedule`]; a stage counts only while it was heard
//! of a short time ago, so that a daemon that hears nobody sends nothing to the
//! new version. A verdict is final.

use std::collections::HashMap;

use winch_move::{
    evidence::{Cohort, Tally},
    observer::Observer,
    schedule,
    verdict::Verdict,
};
use winch_route::hash;

use crate::prelude::*;

/// How long a stage counts without being heard of again.
pub const STAGE_LIFE: Duration = Duration::from_secs(6);
/// How long counts that another daemon told are used.
pub const TOLD_LIFE: Duration = Duration::from_secs(3);

/// An operator's order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: Name,
    /// The version that shall serve it.
    pub to: Name,
    /// Time in which all traffic shall have moved.
    pub within: Duration,
    /// Tells this order from others for the same service; later ones are higher.
    pub revision: u64,
}

/// How far a move has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The order.
    pub order: Order,
    /// The stage, as of `heard`.
    pub stage: u32,
    /// When the stage was last confirmed, if it was.
    pub heard: Option<Instant>,
    /// Whether the new version showed a fault.
    pub fault: bool,
    /// The end, once there is one.
    pub verdict: Option<Verdict>,
}

/// Counts of both versions in one stage.
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

/// Counts that another daemon told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The service that moves.
    pub service: Name,
    /// See [`Order::revision`].
    pub revision: u64,
    /// The stage in which they were collected.
    pub stage: u32,
    /// The counts.
    pub counts: Counts,
}

/// Replicas that may serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rule {
    /// All of its service.
    Any,
    /// Those that are named.
    Only(Vec<Name>),
    /// Those of other versions.
    Except(Name),
}

impl Rule {
    /// Whether nothing may be sent to `version`.
    pub fn bans(&self, version: &str) -> bool {
        matches!(self, Self::Except(banned) if **banned == *version)
    }

    /// Whether `replica` may serve the request.
    pub fn allows(&self, replica: &Replica) -> bool {
        match self {
            Self::Any => true,
            Self::Only(ids) => ids.contains(&replica.id),
            Self::Except(version) => replica.version != *version,
        }
    }
}

/// One move as this daemon sees it.
#[derive(Debug)]
pub struct Trial {
    progress: Progress,
    observer: Observer,
    told: HashMap<Name, (Evidence, Instant)>,
}

impl Trial {
    fn new(progress: Progress) -> Self {
        Self { progress, observer: Observer::default(), told: HashMap::new() }
    }

    /// How far the move has come.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Whether the move has not ended.
    pub fn is_open(&self) -> bool {
        self.progress.verdict.is_none()
    }

    /// The stage in force at `now`; zero while none was confirmed lately.
    pub fn stage(&self, now: Instant) -> u32 {
        let Progress { stage, heard, fault, verdict, .. } = &self.progress;
        let fresh = heard.is_some_and(|at| now < at + STAGE_LIFE);
        if fresh && !fault && verdict.is_none() { *stage } else { 0 }
    }

    fn side(&self, version: &str) -> Cohort {
        if *self.progress.order.to == *version { Cohort::New } else { Cohort::Old }
    }

    /// Replicas that may serve a request that was drawn for `side`, out of those
    /// that take work.
    fn rule<'a>(
        &self,
        side: Cohort,
        serving: impl Iterator<Item = &'a Replica>,
        now: Instant,
    ) -> Rule {
        let to = &self.progress.order.to;
        let (mut new, old): (Vec<&Replica>, Vec<&Replica>) =
            serving.partition(|replica| replica.version == *to);
        let count = match self.progress.verdict {
            Some(Verdict::Completed) => new.len(),
            Some(_) => return Rule::Except(to.clone()),
            // Without the old version there is nothing to compare or to go back to.
            None if old.is_empty() => return Rule::Any,
            None => match self.stage(now) {
                0 => 0,
                _ if side == Cohort::Old => 0,
                stage => schedule::replicas(stage, old.len(), new.len()),
            },
        };
        if count == 0 || new.is_empty() {
            return Rule::Except(to.clone());
        }
        // All daemons load the same few new replicas, so that faults that need load show.
        let seed = hash::name(&self.progress.order.service);
        new.sort_by_key(|replica| hash::score(seed, hash::name(&replica.id)));
        Rule::Only(new.iter().take(count).map(|replica| replica.id.clone()).collect())
    }

    fn learn(&mut self, news: Progress) -> bool {
        let known = &mut self.progress;
        let before = known.clone();
        let staged = news.heard.is_some_and(|at| known.heard.is_none_or(|heard| at >= heard));
        if staged {
            if known.stage != news.stage {
                self.observer.collector.reset();
                self.told.clear();
            }
            known.stage = news.stage;
            known.heard = news.heard;
        }
        known.fault |= news.fault;
        known.verdict = known.verdict.or(news.verdict);
        let same = |a: &Progress, b: &Progress| {
            (a.stage, a.fault, a.verdict) == (b.stage, b.fault, b.verdict)
        };
        !same(&before, known)
    }

    /// Counts of this daemon and of those that told it theirs, for the present stage.
    pub fn counts(&self, now: Instant) -> Counts {
        let own = &self.observer.collector;
        let own = Counts { new: own.new, old: own.old };
        let stage = self.progress.stage;
        let told = self.told.values();
        let fresh = told.filter(|(told, at)| told.stage == stage && now < *at + TOLD_LIFE);
        fresh.fold(own, |sum, (told, _)| sum.plus(told.counts))
    }
}

/// The moves that this daemon knows, by service.
#[derive(Debug, Default)]
pub struct Trials(HashMap<Name, Trial>);

impl Trials {
    /// Takes in news of a move; whether something else than its age has changed.
    pub fn learn(&mut self, news: Progress) -> bool {
        match self.0.get_mut(&news.order.service) {
            Some(trial) if trial.progress.order.revision == news.order.revision => {
                trial.learn(news)
            }
            Some(trial) if trial.progress.order.revision > news.order.revision => false,
            _ => {
                self.0.insert(news.order.service.clone(), Trial::new(news));
                true
            }
        }
    }

    /// Takes in an order; whether it is new.
    pub fn order(&mut self, order: Order) -> bool {
        self.learn(Progress { order, stage: 0, heard: None, fault: false, verdict: None })
    }

    /// Takes in what the daemon `name` has counted.
    pub fn told(&mut self, name: &Name, evidence: Evidence, now: Instant) {
        let Some(trial) = self.0.get_mut(&evidence.service) else { return };
        if trial.progress.order.revision == evidence.revision {
            trial.told.insert(name.clone(), (evidence, now));
        }
    }

    /// One move.
    pub fn get(&self, service: &str) -> Option<&Trial> {
        self.0.get(service)
    }

    /// All moves.
    pub fn iter(&self) -> impl Iterator<Item = &Trial> {
        self.0.values()
    }

    /// Whether a move has not ended.
    pub fn any_open(&self) -> bool {
        self.0.values().any(Trial::is_open)
    }

    /// Draws the side that a new request belongs to, by a random number.
    pub fn draw<'a>(
        &self,
        service: &str,
        number: u64,
        serving: impl Iterator<Item = &'a Replica>,
        now: Instant,
    ) -> Cohort {
        let Some(trial) = self.0.get(service) else { return Cohort::Old };
        let old = serving.filter(|replica| trial.side(&replica.version) == Cohort::Old).count();
        let share = schedule::share(trial.stage(now), old);
        if schedule::is_in_share(number, share) { Cohort::New } else { Cohort::Old }
    }

    /// Replicas that may serve a request.
    pub fn rule<'a>(
        &self,
        service: &str,
        side: Cohort,
        serving: impl Iterator<Item = &'a Replica>,
        now: Instant,
    ) -> Rule {
        self.0.get(service).map_or(Rule::Any, |trial| trial.rule(side, serving, now))
    }

    fn observed(&mut self, replica: &Replica) -> Option<(&mut Observer, Cohort)> {
        let trial = self.0.get_mut(&replica.service).filter(|trial| trial.is_open())?;
        let side = trial.side(&replica.version);
        Some((&mut trial.observer, side))
    }

    /// Counts an attempt that ended well; see [`Observer::record_success`].
    pub fn good(&mut self, replica: &Replica, first: Duration, gap: Option<Duration>) {
        if let Some((observer, side)) = self.observed(replica) {
            observer.record_success(side, first, gap);
        }
    }

    /// Counts a failure that the replica answered with.
    pub fn answered_badly(&mut self, replica: &Replica) {
        if let Some((observer, side)) = self.observed(replica) {
            observer.collector.record_error_reply(side);
        }
    }

    /// Counts an attempt that broke; many at one replica at once count as one.
    pub fn broke(&mut self, replica: &Replica, since_start: Duration) {
        if let Some((observer, side)) = self.observed(replica) {
            observer.collector.record_failure(side, hash::name(&replica.id), since_start);
        }
    }

    /// What this daemon and those that told it have counted, for each open move.
    pub fn evidence(&self, now: Instant) -> Vec<Evidence> {
        let open = self.0.values().filter(|trial| trial.is_open());
        let evidence = open.map(|trial| Evidence {
            service: trial.progress.order.service.clone(),
            revision: trial.progress.order.revision,
            stage: trial.progress.stage,
            counts: trial.counts(now),
        });
        evidence.collect()
    }
}
