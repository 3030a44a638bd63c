//! State that a daemon keeps of each version move in the configuration.
//!
//! The input is facts from gossip (grants of stages, faults, verdicts) and the
//! results of this daemon's own attempts. From these a [`Rollout`] derives the
//! stage in force, and [`Rollouts::assign`] the version of a new request.

use std::collections::HashMap;

use winch_config::object::Move;
use winch_gossip::facts::Fact;
use winch_move::{
    batch::Batches,
    evidence::{self, Cohort, Collector, Finding, Tally},
    machine::Machine,
    observer::Observer,
    schedule,
    verdict::{Record, Verdict},
};
use winch_route::hash;

use crate::prelude::*;

/// Time after which a grant that is not refreshed expires.
pub const GRANT_TTL: Duration = Duration::from_secs(6);

/// Permission to run a stage, given by the holder of the move's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The permitted stage.
    pub stage: u32,
    /// Name of the daemon that holds the move's lease.
    pub holder: Name,
    /// A grant replaces those of a lower version.
    pub version: u64,
    /// Time of receipt, as given by [`Fleet::now`].
    pub received_at: Duration,
}

/// One configured version move, from before its start until after its verdict.
#[derive(Debug)]
pub struct Rollout {
    /// The move as configured.
    pub spec: Move,
    /// The newest grant, `None` before the first one is received.
    pub grant: Option<Grant>,
    /// Whether any daemon reported a fault of the new version.
    pub fault_found: bool,
    /// Final result, `None` while the move is undecided.
    pub verdict: Option<Verdict>,
    /// Reason of the verdict; empty without one.
    pub reason: String,
    /// Evidence from this daemon's own attempts.
    pub observer: Observer,
    /// Slowness of the new version in this daemon's own attempts.
    batches: Batches,
    /// Tallies of the new and the old version that other daemons reported for the current
    /// stage, by daemon. Kept by the lease holder only.
    pub reports: HashMap<Name, (Tally, Tally)>,
    /// State machine of the move; present while this daemon acts as the holder of the lease, also
    /// in an outage of the table.
    pub machine: Option<Machine>,
    /// Record in the table as read when this daemon took over the lease; the default before.
    pub record: Record,
    /// Whether this daemon has logged that the move is likely to miss its deadline.
    pub late_reported: bool,
}

impl Rollout {
    fn new(spec: Move) -> Self {
        Self {
            spec,
            grant: None,
            fault_found: false,
            verdict: None,
            reason: String::new(),
            observer: Observer::default(),
            batches: Batches::default(),
            reports: HashMap::new(),
            machine: None,
            record: Record::default(),
            late_reported: false,
        }
    }

    /// Stage in force at `now`; 0 without a valid grant, after a fault, verdict or cancellation,
    /// and past the deadline.
    pub fn stage(&self, now: Duration) -> u32 {
        let has_ended = self.verdict.is_some() || self.fault_found || self.spec.cancelled;
        if has_ended || unix_now() >= self.spec.deadline {
            return 0;
        }
        let is_valid = |grant: &&Grant| now.saturating_sub(grant.received_at) < GRANT_TTL;
        self.grant.as_ref().filter(is_valid).map_or(0, |grant| grant.stage)
    }

    /// Whether `version` is the new or the old one of the move; `None` if it is neither.
    fn cohort(&self, version: &str) -> Option<Cohort> {
        if *self.spec.to == *version {
            Some(Cohort::New)
        } else if *self.spec.from == *version {
            Some(Cohort::Old)
        } else {
            None
        }
    }

    /// Whether the move has no verdict and is not cancelled, so that evidence is still collected.
    pub fn is_open(&self) -> bool {
        self.verdict.is_none() && !self.spec.cancelled
    }

    /// Tallies of the new and the old version for the current stage: this daemon's own plus
    /// the reported ones.
    pub fn pooled(&self) -> (Tally, Tally) {
        let own = (self.observer.collector.new, self.observer.collector.old);
        self.reports.values().fold(own, |(new, old), peer| (new.plus(peer.0), old.plus(peer.1)))
    }

    /// Stores a grant if it is newer than the current one; a change of stage clears the evidence.
    pub fn apply_grant(&mut self, grant: Grant) {
        if self.grant.as_ref().is_some_and(|current| current.version >= grant.version) {
            return;
        }
        if self.grant.as_ref().is_none_or(|current| current.stage != grant.stage) {
            self.observer.collector.reset();
            self.batches = Batches::default();
            self.reports.clear();
        }
        self.grant = Some(grant);
    }

    /// Tests this daemon's own evidence about the current stage at `now`, as given by
    /// [`Fleet::now`].
    ///
    /// `daemons` is the number of daemons that test at the same time; the false-alarm rate is
    /// divided among them.
    pub fn finding(&mut self, daemons: usize, now: Duration) -> Finding {
        let stage = self.grant.as_ref().map_or(0, |grant| grant.stage);
        let options = evidence::Options::default().at_stage(stage);
        let Collector { new, old, .. } = self.observer.collector;
        self.batches.update(new, now.as_secs_f64());
        self.batches.test(new, old, &options, daemons)
    }
}

/// State of all moves of the configuration in force, by name.
#[derive(Debug, Default)]
pub struct Rollouts {
    rollouts: HashMap<Name, Rollout>,
}

/// Version that a new request is assigned to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The version that serves the request.
    pub version: Name,
    /// Restricts a request for the new version of a move to some of its replicas: a seed for
    /// their selection and their number. `None` if any replica may serve the request.
    pub move_subset: Option<(u64, usize)>,
    /// Old version, which serves a request for the new version of a move if the new one cannot.
    pub fallback: Option<Name>,
}

impl Rollouts {
    /// Applies the moves of a new configuration; the state of moves that remain is kept.
    pub fn sync<'a>(&mut self, moves: impl Iterator<Item = &'a Move>) {
        let specs: HashMap<Name, Move> = moves.map(|m| (m.name.clone(), m.clone())).collect();
        self.rollouts.retain(|name, _| specs.contains_key(name));
        for (name, spec) in specs {
            let rollout = self.rollouts.entry(name).or_insert_with(|| Rollout::new(spec.clone()));
            rollout.spec = spec;
        }
    }

    /// State of the move `name`.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Rollout> {
        self.rollouts.get_mut(name)
    }

    /// State of all moves, unsorted.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts.values()
    }

    /// Mutable state of all moves, unsorted.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Rollout> {
        self.rollouts.values_mut()
    }

    /// Assigns a request on `route` to a version.
    ///
    /// `configured` is the route's version in the configuration, `request` the
    /// request's random id, `replicas` returns the number of replicas of a version.
    /// While the daemon is `isolated`, no request goes to the new version of a
    /// move in progress.
    pub fn assign(
        &self,
        route: &str,
        configured: &Name,
        request: u64,
        now: Duration,
        isolated: bool,
        replicas: impl Fn(&str) -> usize,
    ) -> Assignment {
        let without_move = |version: &Name| Assignment {
            version: version.clone(),
            move_subset: None,
            fallback: None,
        };
        let on_route = self.rollouts.values().filter(|rollout| *rollout.spec.route == *route);
        let mut assignment = without_move(configured);
        for rollout in on_route {
            let Move { name, from, to, .. } = &rollout.spec;
            if rollout.verdict == Some(Verdict::Completed) && *from == assignment.version {
                assignment = without_move(to);
            }
            let stage = rollout.stage(now);
            if isolated || stage == 0 || assignment.version != *from {
                continue;
            }
            let old_replicas = replicas(from);
            if schedule::is_in_share(request, schedule::share(stage, old_replicas)) {
                let subset_size = schedule::replica_count(stage, old_replicas, replicas(to));
                let move_subset =
                    (stage < schedule::LAST_STAGE).then(|| (hash::name(name), subset_size));
                return Assignment {
                    version: to.clone(),
                    move_subset,
                    fallback: Some(from.clone()),
                };
            }
        }
        assignment
    }

    /// Counts a successful attempt on `version` as evidence, with its time to the first token and
    /// its mean gap between tokens.
    pub fn record_success(&mut self, version: &str, first_token: Duration, gap: Duration) {
        for rollout in self.rollouts.values_mut().filter(|rollout| rollout.is_open()) {
            let Some(cohort) = rollout.cohort(version) else {
                continue;
            };
            rollout.observer.record_success(cohort, first_token, Some(gap));
        }
    }

    /// Counts a failed attempt on `replica`, which runs `version`, as evidence.
    pub fn record_failure(&mut self, version: &str, replica: &str, now: Duration) {
        for rollout in self.rollouts.values_mut().filter(|rollout| rollout.is_open()) {
            if let Some(cohort) = rollout.cohort(version) {
                rollout.observer.collector.record_failure(cohort, hash::name(replica), now);
            }
        }
    }

    /// Counts the crash of a replica of `version` as evidence.
    pub fn record_crash(&mut self, version: &str, now: Duration) {
        for rollout in self.rollouts.values_mut().filter(|rollout| rollout.is_open()) {
            if let Some(cohort) = rollout.cohort(version) {
                rollout.observer.collector.record_crash(cohort, now);
            }
        }
    }

    /// Applies a fact received at `now`; false if it is not about a move. A fact about a move that
    /// is not configured is ignored.
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
            "fault" => rollout.fault_found = true,
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

/// Stage and holder in the body of a grant, which [`grant_fact`] writes.
fn parse_grant(body: &str) -> Option<(u32, Name)> {
    let (stage, holder) = body.split_once(' ')?;
    Some((stage.parse().ok()?, holder.into()))
}

/// Fact that announces a granted stage. A grant replaces those of the same move with a lower
/// `version`.
pub fn grant_fact(name: &str, stage: u32, holder: &str, version: u64) -> Fact {
    let body = format!("{stage} {holder}");
    Fact::new(format!("grant/{name}"), version, body).with_ttl(GRANT_TTL).ephemeral()
}

/// Fact that announces a fault of the new version.
pub fn fault_fact(name: &str) -> Fact {
    const TTL: Duration = Duration::from_secs(86_400);
    Fact::new(format!("fault/{name}"), 1, "").with_ttl(TTL)
}

/// Fact that announces the verdict in `record`.
pub fn verdict_fact(name: &str, record: &Record) -> Fact {
    const TTL: Duration = Duration::from_secs(86_400);
    let body = serde_json::to_string(record).expect("a record serialises to JSON");
    Fact::new(format!("verdict/{name}"), 1, body).with_ttl(TTL)
}
