//! Moves as this daemon sees them: grants, faults, verdicts and its own evidence.

use std::collections::HashMap;

use winch_config::object::Move;
use winch_gossip::facts::Fact;
use winch_move::{
    evidence::{self, Cohort, Finding, Tally},
    machine::Machine,
    observer::Observer,
    schedule,
    verdict::{Record, Verdict},
};
use winch_route::hash;

use crate::prelude::*;

/// How long a grant lasts without being refreshed.
pub const GRANT_LIFE: Duration = Duration::from_secs(6);

/// A stage that the holder of a move's lease allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The stage.
    pub stage: u32,
    /// The holder's name.
    pub holder: Name,
    /// Orders grants; the higher wins.
    pub version: u64,
    /// When it was heard of.
    pub heard: Duration,
}

/// One move as this daemon sees it.
#[derive(Debug)]
pub struct Trial {
    /// The move as planned.
    pub planned: Move,
    /// The newest grant.
    pub grant: Option<Grant>,
    /// Whether a daemon found a fault.
    pub fault: bool,
    /// The end, once there is one.
    pub verdict: Option<Verdict>,
    /// Why it ended.
    pub reason: String,
    /// This daemon's evidence.
    pub observer: Observer,
    /// Evidence told by others for the present stage, by daemon; kept by the holder.
    pub told: HashMap<Name, (Tally, Tally)>,
    /// The holder's decisions, while this daemon is the holder.
    pub machine: Option<Machine>,
    /// The record in the table, as far as the holder knows it.
    pub record: Record,
    /// Whether its lateness was told.
    pub told_late: bool,
}

impl Trial {
    fn new(planned: Move) -> Self {
        Self {
            planned,
            grant: None,
            fault: false,
            verdict: None,
            reason: String::new(),
            observer: Observer::default(),
            told: HashMap::new(),
            machine: None,
            record: Record::default(),
            told_late: false,
        }
    }

    /// The stage in force here at `now`; zero without a fresh grant.
    pub fn stage(&self, now: Duration) -> u32 {
        let ended = self.verdict.is_some() || self.fault || self.planned.cancelled;
        if ended || unix_now() >= self.planned.deadline {
            return 0;
        }
        let fresh = |grant: &&Grant| now.saturating_sub(grant.heard) < GRANT_LIFE;
        self.grant.as_ref().filter(fresh).map_or(0, |grant| grant.stage)
    }

    fn side(&self, version: &str) -> Option<Cohort> {
        if *self.planned.to == *version {
            Some(Cohort::New)
        } else if *self.planned.from == *version {
            Some(Cohort::Old)
        } else {
            None
        }
    }

    /// Whether the evidence still matters.
    pub fn is_open(&self) -> bool {
        self.verdict.is_none() && !self.planned.cancelled
    }

    /// Counts of the whole fleet for the present stage, as far as they were told.
    pub fn pooled(&self) -> (Tally, Tally) {
        let own = (self.observer.collector.new, self.observer.collector.old);
        self.told.values().fold(own, |(new, old), told| (new.plus(told.0), old.plus(told.1)))
    }

    /// Takes in a stage that was granted, as far as it is newer.
    pub fn granted(&mut self, grant: Grant) {
        if self.grant.as_ref().is_some_and(|known| known.version >= grant.version) {
            return;
        }
        if self.grant.as_ref().is_none_or(|known| known.stage != grant.stage) {
            self.observer.collector.reset();
            self.told.clear();
        }
        self.grant = Some(grant);
    }

    /// Tests this daemon's own evidence, sharing the false-alarm rate with `daemons` others.
    pub fn finding(&self, daemons: usize) -> Finding {
        let stage = self.grant.as_ref().map_or(0, |grant| grant.stage);
        let options = evidence::Options::default().at_stage(stage);
        evidence::test(self.observer.collector.new, self.observer.collector.old, &options, daemons)
    }
}

/// All moves of the configuration in force.
#[derive(Debug, Default)]
pub struct Trials {
    trials: HashMap<Name, Trial>,
}

/// Where a new request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The version that serves it.
    pub version: Name,
    /// On trial: how the choice is restricted.
    pub first: Option<(u64, usize)>,
    /// On trial: the version that serves it if the trial cannot.
    pub fallback: Option<Name>,
}

impl Trials {
    /// Takes over the moves of a new configuration; what is known of the others stays.
    pub fn sync<'a>(&mut self, moves: impl Iterator<Item = &'a Move>) {
        let planned: HashMap<Name, Move> = moves.map(|m| (m.name.clone(), m.clone())).collect();
        self.trials.retain(|name, _| planned.contains_key(name));
        for (name, planned) in planned {
            let trial = self.trials.entry(name).or_insert_with(|| Trial::new(planned.clone()));
            trial.planned = planned;
        }
    }

    /// One move.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Trial> {
        self.trials.get_mut(name)
    }

    /// All moves.
    pub fn iter(&self) -> impl Iterator<Item = &Trial> {
        self.trials.values()
    }

    /// All moves, to note something about them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Trial> {
        self.trials.values_mut()
    }

    /// The version that serves request number `request` of a route.
    ///
    /// `replicas` tells how many replicas a version has. While `isolated`,
    /// nothing goes to a version on trial.
    pub fn plan(
        &self,
        route: &str,
        configured: &Name,
        request: u64,
        now: Duration,
        isolated: bool,
        replicas: impl Fn(&str) -> usize,
    ) -> Plan {
        let settled =
            |version: &Name| Plan { version: version.clone(), first: None, fallback: None };
        let on_route = self.trials.values().filter(|trial| *trial.planned.route == *route);
        let mut plan = settled(configured);
        for trial in on_route {
            let Move { name, from, to, .. } = &trial.planned;
            if trial.verdict == Some(Verdict::Completed) && *from == plan.version {
                plan = settled(to);
            }
            let stage = trial.stage(now);
            if isolated || stage == 0 || plan.version != *from {
                continue;
            }
            let old = replicas(from);
            if schedule::is_in_share(request, schedule::share(stage, old)) {
                let count = schedule::replicas(stage, old, replicas(to));
                let first = (stage < schedule::LAST_STAGE).then(|| (hash::name(name), count));
                return Plan { version: to.clone(), first, fallback: Some(from.clone()) };
            }
        }
        plan
    }

    /// Counts an attempt that ended well.
    pub fn good(&mut self, version: &str, first_token: Duration, gap: Duration) {
        for trial in self.trials.values_mut().filter(|trial| trial.is_open()) {
            let Some(side) = trial.side(version) else {
                continue;
            };
            trial.observer.record_success(side, first_token, Some(gap));
        }
    }

    /// Counts an attempt that failed on a replica.
    pub fn failed(&mut self, version: &str, replica: &str, now: Duration) {
        for trial in self.trials.values_mut().filter(|trial| trial.is_open()) {
            if let Some(side) = trial.side(version) {
                trial.observer.collector.record_failure(side, hash::name(replica), now);
            }
        }
    }

    /// Counts the death of a replica.
    pub fn died(&mut self, version: &str, now: Duration) {
        for trial in self.trials.values_mut().filter(|trial| trial.is_open()) {
            if let Some(side) = trial.side(version) {
                trial.observer.collector.record_crash(side, now);
            }
        }
    }

    /// Takes in a fact about a move; true if it was one.
    pub fn learn(&mut self, fact: &Fact, now: Duration) -> bool {
        let Some((kind, name)) = fact.key.split_once('/') else {
            return false;
        };
        if !["grant", "fault", "verdict"].contains(&kind) {
            return false;
        }
        let Some(trial) = self.trials.get_mut(name) else {
            return true;
        };
        let body = std::str::from_utf8(&fact.body).unwrap_or_default();
        match kind {
            "grant" => {
                if let Some((stage, holder)) = parse_grant(body) {
                    trial.granted(Grant { stage, holder, version: fact.version, heard: now });
                }
            }
            "fault" => trial.fault = true,
            _ => {
                if let Ok(record) = serde_json::from_str::<Record>(body) {
                    trial.verdict = trial.verdict.or(record.verdict);
                    trial.reason = record.reason;
                }
            }
        }
        true
    }
}

fn parse_grant(body: &str) -> Option<(u32, Name)> {
    let (stage, holder) = body.split_once(' ')?;
    Some((stage.parse().ok()?, holder.into()))
}

/// The fact that tells of a granted stage.
pub fn grant_fact(name: &str, stage: u32, holder: &str, version: u64) -> Fact {
    let body = format!("{stage} {holder}");
    Fact::new(format!("grant/{name}"), version, body).with_life(GRANT_LIFE).fleeting()
}

/// The fact that tells of a fault.
pub fn fault_fact(name: &str) -> Fact {
    const LIFE: Duration = Duration::from_secs(86_400);
    Fact::new(format!("fault/{name}"), 1, "").with_life(LIFE)
}

/// The fact that tells of a verdict.
pub fn verdict_fact(name: &str, record: &Record) -> Fact {
    const LIFE: Duration = Duration::from_secs(86_400);
    let body = serde_json::to_string(record).expect("a record is plain data");
    Fact::new(format!("verdict/{name}"), 1, body).with_life(LIFE)
}
