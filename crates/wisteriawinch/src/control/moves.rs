//! Carries moves: evidence, grants, verdicts and their record in the table.

use std::collections::HashMap;

use tokio::time::{Instant, MissedTickBehavior, interval};
use winch_gossip::member::State;
use winch_move::{
    evidence::{self, Finding},
    machine::{Decision, Input, Machine, Window},
    verdict::{Record, Verdict},
};
use winch_platform::{
    lease::{self, Lease},
    table::{Commit, Row, Table, Transaction},
};
use winch_wire::message::{Evidence, Tally};

use super::{
    members::first,
    peers::{Members, Report},
    supervisor::Child,
};
use crate::{emit, prelude::*, trial};

const TICK: Duration = Duration::from_millis(500);
const LEASE_TERM: Duration = Duration::from_secs(6);
const CONTEND_EVERY: Duration = Duration::from_secs(2);
/// Daemons that contend for the lease of one move.
const CONTENDERS: usize = 3;
/// Reports of evidence that the holder takes in each second.
const REPORTS_PER_SECOND: usize = 25;
/// Seconds before its start at which a move is looked after.
const LEAD: u64 = 10;

/// The supervised task that looks after moves.
#[derive(Clone, Debug)]
pub struct Moving(pub Arc<Fleet>);

/// What this task keeps about one move.
struct Care {
    lease: Lease,
    contended: Option<Instant>,
    reported: Option<Instant>,
    last_report: (evidence::Tally, evidence::Tally),
    grants: u64,
    fence: u64,
}

struct Steward {
    fleet: Arc<Fleet>,
    cares: HashMap<Name, Care>,
    alive: Vec<Name>,
}

impl Child for Moving {
    fn name(&self) -> &'static str {
        "moves"
    }

    async fn run(self) {
        let mut steward =
            Steward { fleet: self.0.clone(), cares: HashMap::new(), alive: Vec::new() };
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            steward.tick().await;
        }
    }
}

/// Key of the row that records a move.
pub fn record_key(name: &str) -> String {
    format!("move/{name}")
}

impl Steward {
    async fn tick(&mut self) {
        let names: Vec<Name> = {
            let trials = self.fleet.trials();
            let open = trials.iter().filter(|trial| trial.verdict.is_none());
            open.map(|trial| trial.planned.name.clone()).collect()
        };
        self.cares.retain(|name, _| names.contains(name));
        if names.is_empty() {
            return;
        }
        self.alive = self.alive_names().await;
        for name in names {
            self.look_for_fault(&name);
            self.report(&name).await;
            self.hold(&name).await;
        }
    }

    async fn alive_names(&self) -> Vec<Name> {
        let Some(link) = self.fleet.link() else {
            return Vec::new();
        };
        let members = link.send(Members).await.unwrap_or_default();
        members.into_iter().filter(|m| m.state <= State::Suspect).map(|m| m.name).collect()
    }

    /// Tells everybody at once when this daemon's own evidence shows a fault.
    fn look_for_fault(&self, name: &Name) {
        let now = self.fleet.now();
        let found = {
            let mut trials = self.fleet.trials();
            let Some(trial) = trials.get_mut(name) else {
                return;
            };
            trial.observer.collector.count_crashes(now);
            let finding = trial.finding(self.alive.len() + 1);
            let bad = matches!(finding, Finding::Failing | Finding::Slow) && !trial.fault;
            bad.then_some((finding, trial.observer.collector.new))
        };
        if let Some((finding, tally)) = found {
            emit!(
                Event::VersionFaulty,
                name = name,
                finding = format!("{finding:?}"),
                good = tally.good,
                failed = tally.failed,
                slow = tally.slow
            );
            self.fleet.publish(trial::fault_fact(name));
        }
    }

    /// Tells the holder what this daemon counted, at a rate that the holder can take.
    async fn report(&mut self, name: &Name) {
        let pause =
            Duration::from_secs_f64((self.alive.len() as f64 / REPORTS_PER_SECOND as f64).max(0.5));
        let told = {
            let mut trials = self.fleet.trials();
            trials.get_mut(name).and_then(|trial| {
                let grant = trial.grant.clone()?;
                let counts = (trial.observer.collector.new, trial.observer.collector.old);
                Some((grant, counts))
            })
        };
        let Some((grant, counts)) = told else {
            return;
        };
        let care = self.care(name);
        let due = care.reported.is_none_or(|at| at.elapsed() >= pause);
        let failed = counts.0.failed > care.last_report.0.failed;
        if counts == care.last_report || !(due || failed) {
            return;
        }
        care.reported = Some(Instant::now());
        care.last_report = counts;
        let tally = |t: evidence::Tally| Tally { good: t.good, failed: t.failed, slow: t.slow };
        let evidence = Evidence {
            name: name.to_string(),
            stage: grant.stage,
            new: Some(tally(counts.0)),
            old: Some(tally(counts.1)),
        };
        if let Some(link) = self.fleet.link() {
            let _ = link.send(Report(grant.holder, evidence)).await;
        }
    }

    fn care(&mut self, name: &Name) -> &mut Care {
        let holder = self.fleet.incarnation.clone();
        self.cares.entry(name.clone()).or_insert_with(|| Care {
            lease: Lease::new(lease::Options {
                key: format!("lease/move/{name}").into(),
                holder,
                term: LEASE_TERM,
            }),
            contended: None,
            reported: None,
            last_report: Default::default(),
            grants: 0,
            fence: 0,
        })
    }

    /// Contends for the move's lease and acts while it is held.
    async fn hold(&mut self, name: &Name) {
        let start = {
            let mut trials = self.fleet.trials();
            trials.get_mut(name).map_or(u64::MAX, |trial| trial.planned.start)
        };
        let me = self.fleet.settings.name.clone();
        let chosen = first(&me, &self.alive, name, CONTENDERS);
        if !chosen || unix_now() + LEAD < start {
            return;
        }
        self.contend(name).await;
        self.act(name).await;
    }

    async fn contend(&mut self, name: &Name) {
        let fleet = self.fleet.clone();
        let care = self.care(name);
        if care.contended.is_some_and(|at| at.elapsed() < CONTEND_EVERY) {
            return;
        }
        care.contended = Some(Instant::now());
        match care.lease.contend(&fleet.platform).await {
            Ok(Some(fence)) => {
                let new = fence != care.fence;
                care.fence = fence;
                if new {
                    self.take_over(name).await;
                }
            }
            Ok(None) => self.step_down(name),
            // Nobody else can take the lease either; the stage is kept, not raised.
            Err(_) => {}
        }
    }

    /// Goes on from the record that the last holder left.
    async fn take_over(&mut self, name: &Name) {
        let Ok(row) = self.fleet.platform.read(&record_key(name)).await else {
            self.care(name).fence = 0;
            return;
        };
        let record = parse(row.as_ref());
        let mut trials = self.fleet.trials();
        let Some(trial) = trials.get_mut(name) else {
            return;
        };
        let plan =
            Window { start: trial.planned.start as f64, deadline: trial.planned.deadline as f64 };
        let options = evidence::Options::default();
        trial.machine = Some(Machine::new(plan, options, record.stage, unix_now_f64()));
        trial.observer.collector.reset();
        trial.told.clear();
        trial.record = record.clone();
        drop(trials);
        if record.verdict.is_some() {
            self.fleet.publish(trial::verdict_fact(name, &record));
        }
    }

    async fn act(&mut self, name: &Name) {
        let held = {
            let care = self.care(name);
            (care.fence > 0).then(|| care.lease.fence(Instant::now()).is_some())
        };
        let Some(held) = held else {
            return;
        };
        let decided = {
            let mut trials = self.fleet.trials();
            trials.get_mut(name).and_then(|trial| decide(trial, held))
        };
        let Some((decision, stage, late)) = decided else {
            return;
        };
        if late {
            emit!(Event::MoveLate, name = name, stage = stage);
        }
        match decision {
            Decision::Hold => self.grant(name, stage),
            Decision::Advance(stage) => {
                if self.record(name, Record { stage, ..Record::default() }).await {
                    emit!(Event::MoveRaised, name = name, stage = stage);
                    self.grant(name, stage);
                } else {
                    self.step_down(name);
                }
            }
            Decision::End(verdict, reason) => self.end(name, stage, verdict, reason).await,
        }
    }

    /// Forgets what it decided; the next look starts from the stage that is recorded.
    fn step_down(&mut self, name: &Name) {
        if let Some(trial) = self.fleet.trials().get_mut(name) {
            trial.machine = None;
        }
        self.care(name).fence = 0;
    }

    async fn end(&mut self, name: &Name, stage: u32, verdict: Verdict, reason: &str) {
        if verdict == Verdict::TakenBack {
            self.fleet.publish(trial::fault_fact(name));
        }
        let record = Record { stage, verdict: Some(verdict), reason: reason.to_owned(), fence: 0 };
        if self.record(name, record).await {
            emit!(
                Event::MoveVerdict,
                name = name,
                verdict = format!("{verdict:?}"),
                reason = reason
            );
        }
    }

    /// Writes a record where the present one allows it; publishes any verdict found.
    async fn record(&mut self, name: &Name, mut next: Record) -> bool {
        next.fence = self.care(name).fence;
        let key = record_key(name);
        let Ok(row) = self.fleet.platform.read(&key).await else {
            return false;
        };
        let present = parse(row.as_ref());
        if present.verdict.is_some() {
            self.fleet.publish(trial::verdict_fact(name, &present));
            return false;
        }
        let Some(next) = present.updated_with(&next) else {
            return false;
        };
        let value = serde_json::to_string(&next).expect("a record is plain data");
        let txn =
            Transaction::default().expect(&*key, row.map(|row| row.version)).put(&*key, value);
        // After a lost answer the next look finds what was written.
        let written = matches!(self.fleet.platform.commit(txn).await, Ok(Commit::Committed));
        if written && next.verdict.is_some() {
            self.fleet.publish(trial::verdict_fact(name, &next));
        }
        written
    }

    /// Refreshes the grant of a stage.
    fn grant(&mut self, name: &Name, stage: u32) {
        const REFRESH: u64 = 4;
        let holder = self.fleet.settings.name.clone();
        let care = self.care(name);
        care.grants += 1;
        let changed = {
            let mut trials = self.fleet.trials();
            let known = trials.get_mut(name).and_then(|t| t.grant.as_ref().map(|g| g.stage));
            known != Some(stage)
        };
        let care = self.care(name);
        if stage == 0 || !(changed || care.grants.is_multiple_of(REFRESH)) {
            return;
        }
        let version = (care.fence << 32) | care.grants;
        self.fleet.publish(trial::grant_fact(name, stage, &holder, version));
    }
}

fn decide(trial: &mut trial::Trial, held: bool) -> Option<(Decision, u32, bool)> {
    let (new, old) = trial.pooled();
    let input = Input {
        now: unix_now_f64(),
        new,
        old,
        fault: trial.fault,
        cancelled: trial.planned.cancelled,
        lease_held: held,
    };
    let machine = trial.machine.as_mut()?;
    let stage = machine.stage();
    let decision = machine.step(&input);
    let late = machine.is_late(input.now) && !std::mem::replace(&mut trial.told_late, true);
    Some((decision, stage, late))
}

fn parse(row: Option<&Row>) -> Record {
    row.and_then(|row| serde_json::from_str(&row.value).ok()).unwrap_or_default()
}

fn unix_now_f64() -> f64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64())
}
