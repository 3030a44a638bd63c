//! Moves as this daemon sees them: grants, faults, verdicts and its own evidence.

use std::collections::HashMap;

use winch_config::object::Move;
use winch_gossip::facts::Fact;
use winch_move::{
    evidence::{self, Finding, Side, Tally},
    machine::Machine,
    observer::Observer,
    schedule,
    verdict::{Record, Verdict},
};
use winch_route::hash;

use crate::prelude::*;

/// How long a grant lasts without being refreshed.
pub const GRANT_TTL: Duration = Duration::from_secs(6);

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
    pub received_at: Duration,
}

/// One move as this daemon sees it.
#[derive(Debug)]
pub struct Rollout {
    /// The move as planned.
    pub spec: Move,
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
    pub reports: HashMap<Name, (Tally, Tally)>,
    /// The holder's decisions, while this daemon is the holder.
    pub machine: Option<Machine>,
    /// The record in the table, as far as the holder knows it.
    pub record: Record,
    /// Whether its lateness was told.
    pub late_reported: bool,
}

impl Rollout {
    fn new(spec: Move) -> Self {
        Self {
            spec,
            grant: None,
            fault: false,
            verdict: None,
            reason: String::new(),
            observer: Observer::default(),
            reports: HashMap::new(),
            machine: None,
            record: Record::default(),
            late_reported: false,
        }
    }

    /// The stage in force here at `now`; zero without a fresh grant.
    pub fn stage(&self, now: Duration) -> u32 {
        let ended = self.verdict.is_some() || self.fault || self.spec.cancelled;
        if ended || unix_now() >= self.spec.deadline {
            return 0;
        }
        let fresh = |grant: &&Grant| now.saturating_sub(grant.received_at) < GRANT_TTL;
        self.grant.as_ref().filter(fresh).map_or(0, |grant| grant.stage)
    }

    fn side(&self, version: &str) -> Option<Side> {
        if *self.spec.to == *version {
            Some(Side::New)
        } else if *self.spec.from == *version {
            Some(Side::Old)
        } else {
            None
        }
    }

    /// Whether the evidence still matters.
    pub fn is_open(&self) -> bool {
        self.verdict.is_none() && !self.spec.cancelled
    }

    /// Counts of the whole fleet for the present stage, as far as they were told.
    pub fn pooled(&self) -> (Tally, Tally) {
        let own = (self.observer.collector.new, self.observer.collector.old);
        self.reports.values().fold(own, |(new, old), told| (new.plus(told.0), old.plus(told.1)))
    }

    /// Takes in a stage that was granted, as far as it is newer.
    pub fn apply_grant(&mut self, grant: Grant) {
        if self.grant.as_ref().is_some_and(|known| known.version >= grant.version) {
            return;
        }
        if self.grant.as_ref().is_none_or(|known| known.stage != grant.stage) {
            self.observer.collector.restart();
            self.reports.clear();
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
pub struct Rollouts {
    rollouts: HashMap<Name, Rollout>,
}

/// Where a new request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The version that serves it.
    pub version: Name,
    /// On trial: how the choice is restricted.
    pub first: Option<(u64, usize)>,
    /// On trial: the version that serves it if the trial cannot.
    pub fallback: Option<Name>,
}

impl Rollouts {
    /// Takes over the moves of a new configuration; what is known of the others stays.
    pub fn sync<'a>(&mut self, moves: impl Iterator<Item = &'a Move>) {
        let planned: HashMap<Name, Move> = moves.map(|m| (m.name.clone(), m.clone())).collect();
        self.rollouts.retain(|name, _| planned.contains_key(name));
        for (name, planned) in planned {
            let rollout =
                self.rollouts.entry(name).or_insert_with(|| Rollout::new(planned.clone()));
            rollout.spec = planned;
        }
    }

    /// One move.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Rollout> {
        self.rollouts.get_mut(name)
    }

    /// All moves.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts.values()
    }

    /// All moves, to note something about them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Rollout> {
        self.rollouts.values_mut()
    }

    /// The version that serves request number `request` of a route.
    ///
    /// `replicas` tells how many replicas a version has. While `isolated`,
    /// nothing goes to a version on trial.
    pub fn assign(
        &self,
        route: &str,
        configured: &Name,
        request: u64,
        now: Duration,
        isolated: bool,
        replicas: impl Fn(&str) -> usize,
    ) -> Assignment {
        let settled =
            |version: &Name| Assignment { version: version.clone(), first: None, fallback: None };
        let on_route = self.rollouts.values().filter(|rollout| *rollout.spec.route == *route);
        let mut plan = settled(configured);
        for rollout in on_route {
            let Move { name, from, to, .. } = &rollout.spec;
            if rollout.verdict == Some(Verdict::Completed) && *from == plan.version {
                plan = settled(to);
            }
            let stage = rollout.stage(now);
            if isolated || stage == 0 || plan.version != *from {
                continue;
            }
            let old = replicas(from);
            if schedule::is_chosen(request, schedule::share(stage, old)) {
                let count = schedule::replicas(stage, old, replicas(to));
                let first = (stage < schedule::LAST).then(|| (hash::name(name), count));
                return Assignment { version: to.clone(), first, fallback: Some(from.clone()) };
            }
        }
        plan
    }

    /// Counts an attempt that ended well.
    pub fn record_success(&mut self, version: &str, first_token: Duration, gap: Duration) {
        for rollout in self.rollouts.values_mut().filter(|rollout| rollout.is_open()) {
            let Some(side) = rollout.side(version) else {
                continue;
            };
            rollout.observer.good(side, first_token, Some(gap));
        }
    }

    /// Counts an attempt that failed on a replica.
    pub fn record_failure(&mut self, version: &str, replica: &str, now: Duration) {
        for rollout in self.rollouts.values_mut().filter(|rollout| rollout.is_open()) {
            if let Some(side) = rollout.side(version) {
                rollout.observer.collector.failed(side, hash::name(replica), now);
            }
        }
    }

    /// Counts the death of a replica.
    pub fn record_crash(&mut self, version: &str, now: Duration) {
        for rollout in self.rollouts.values_mut().filter(|rollout| rollout.is_open()) {
            if let Some(side) = rollout.side(version) {
                rollout.observer.collector.died(side, now);
            }
        }
    }

    /// Takes in a fact about a move; true if it was one.
    pub fn apply(&mut self, fact: &Fact, now: Duration) -> bool {
        let Some((kind, name)) = fact.key.split_once('/') else {
            return false;
        };
        if !["grant", "fault", "verdict"].contains(&kind) {
            return false;
        }
        let Some(rollout) = self.rollouts.get_mut(name) else {
            return true;
        };
        let body = std::str::from_utf8(&fact.body).unwrap_or_default();
        match kind {
            "grant" => {
                if let Some((stage, holder)) = parse_grant(body) {
                    rollout.apply_grant(Grant {
                        stage,
                        holder,
                        version: fact.version,
                        received_at: now,
                    });
                }
            }
            "fault" => rollout.fault = true,
            _ => {
                if let Ok(record) = serde_json::from_str::<Record>(body) {
                    rollout.verdict = rollout.verdict.or(record.verdict);
                    rollout.reason = record.reason;
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
    Fact::new(format!("grant/{name}"), version, body).with_life(GRANT_TTL).fleeting()
}

/// The fact that tells of a fault.
pub fn fault_fact(name: &str) -> Fact {
    const TTL: Duration = Duration::from_secs(86_400);
    Fact::new(format!("fault/{name}"), 1, "").with_life(TTL)
}

/// The fact that tells of a verdict.
pub fn verdict_fact(name: &str, record: &Record) -> Fact {
    const TTL: Duration = Duration::from_secs(86_400);
    let body = serde_json::to_string(record).expect("a record is plain data");
    Fact::new(format!("verdict/{name}"), 1, body).with_life(TTL)
}
