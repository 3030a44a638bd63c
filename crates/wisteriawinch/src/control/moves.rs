//! The move controller: drives version moves through their stages to a verdict.
//!
//! Every daemon reports its evidence about a running move to the holder of the
//! move's lease. The holder pools the evidence, advances the stage or ends the
//! move, records each step in the table and publishes grants of the stage and
//! the verdict as facts. Any daemon that finds a fault in the new version
//! publishes it without waiting for the holder.

mod record;

use std::collections::HashMap;

use tokio::time::{Instant, MissedTickBehavior, interval};
use winch_gossip::member::State;
use winch_move::{
    evidence::{self, Finding},
    machine::{Decision, Input, Machine},
    verdict::Record,
};
use winch_platform::lease::{self, Lease};
use winch_wire::message::{Evidence, Tally};

use self::record::Write;
use super::{
    members::is_selected,
    peers::{Members, SendEvidence},
    supervisor::Child,
};
use crate::{emit, prelude::*, rollout};

const TICK: Duration = Duration::from_millis(500);
const LEASE_TERM: Duration = Duration::from_secs(6);
const CONTEND_INTERVAL: Duration = Duration::from_secs(2);
/// Number of daemons that contend for the lease of one move.
const CONTENDERS: usize = 3;
/// Evidence reports from all daemons that the holder is meant to process per second; reports of
/// new failures are sent in addition.
const REPORTS_PER_SECOND: usize = 25;
/// How long before the start of a move daemons begin to contend for its lease.
const LEAD_SECONDS: u64 = 10;

/// Supervised task that runs the move controller.
#[derive(Clone, Debug)]
pub struct MovesTask(pub Arc<Fleet>);

/// State that the controller keeps about one move.
struct MoveState {
    lease: Lease,
    /// When this daemon last tried to acquire or renew the lease.
    contended_at: Option<Instant>,
    /// When this daemon last reported its counts to the holder.
    reported_at: Option<Instant>,
    /// Counts of the new and the old version in the last report.
    last_report: (evidence::Tally, evidence::Tally),
    /// Number of calls of [`Controller::grant`]; part of the version of a grant.
    grants: u64,
    /// Fencing token of the lease; zero while this daemon does not act as the holder.
    fencing_token: u64,
}

struct Controller {
    fleet: Arc<Fleet>,
    /// State of the moves without a verdict, by name.
    moves: HashMap<Name, MoveState>,
    /// Names of the other daemons that are alive or suspected.
    alive: Vec<Name>,
}

impl Child for MovesTask {
    fn name(&self) -> &'static str {
        "moves"
    }

    async fn run(self) {
        let mut controller =
            Controller { fleet: self.0.clone(), moves: HashMap::new(), alive: Vec::new() };
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            controller.tick().await;
        }
    }
}

/// Key of the row in the table that records a move.
pub fn record_key(name: &str) -> String {
    format!("move/{name}")
}

impl Controller {
    async fn tick(&mut self) {
        let names: Vec<Name> = {
            let rollouts = self.fleet.rollouts();
            let undecided = rollouts.iter().filter(|rollout| rollout.verdict.is_none());
            undecided.map(|rollout| rollout.spec.name.clone()).collect()
        };
        self.moves.retain(|name, _| names.contains(name));
        if names.is_empty() {
            return;
        }
        self.alive = self.alive_names().await;
        for name in names {
            self.check_for_fault(&name);
            self.report(&name).await;
            self.drive(&name).await;
        }
    }

    async fn alive_names(&self) -> Vec<Name> {
        let Some(link) = self.fleet.link() else {
            return Vec::new();
        };
        let members = link.send(Members).await.unwrap_or_default();
        members.into_iter().filter(|m| m.state <= State::Suspect).map(|m| m.name).collect()
    }

    /// Publishes a fault of the new version if this daemon's own evidence shows one.
    fn check_for_fault(&self, name: &Name) {
        let now = self.fleet.now();
        let fault = {
            let mut rollouts = self.fleet.rollouts();
            let Some(rollout) = rollouts.get_mut(name) else {
                return;
            };
            rollout.observer.collector.count_crashes(now);
            let finding = rollout.finding(self.alive.len() + 1, now);
            let is_new_fault =
                matches!(finding, Finding::Failing | Finding::Slow) && !rollout.fault_found;
            is_new_fault.then_some((finding, rollout.observer.collector.new))
        };
        if let Some((finding, tally)) = fault {
            emit!(
                Event::VersionFaulty,
                name = name,
                finding = format!("{finding:?}"),
                good = tally.good,
                failed = tally.failed,
                slow = tally.slow
            );
            self.fleet.publish(rollout::fault_fact(name));
        }
    }

    /// Sends this daemon's counts to the holder if they have changed. The interval between reports
    /// keeps those of all daemons within [`REPORTS_PER_SECOND`] and is not shorter than 0.5 s.
    ///
    /// A failure of the new version is reported without waiting for the interval.
    async fn report(&mut self, name: &Name) {
        let report_interval =
            Duration::from_secs_f64((self.alive.len() as f64 / REPORTS_PER_SECOND as f64).max(0.5));
        let grant_and_counts = {
            let mut rollouts = self.fleet.rollouts();
            rollouts.get_mut(name).and_then(|rollout| {
                let grant = rollout.grant.clone()?;
                let counts = (rollout.observer.collector.new, rollout.observer.collector.old);
                Some((grant, counts))
            })
        };
        let Some((grant, counts)) = grant_and_counts else {
            return;
        };
        let state = self.state_mut(name);
        let is_due = state.reported_at.is_none_or(|at| at.elapsed() >= report_interval);
        let has_new_failure = counts.0.failed > state.last_report.0.failed;
        if counts == state.last_report || !(is_due || has_new_failure) {
            return;
        }
        state.reported_at = Some(Instant::now());
        state.last_report = counts;
        let tally = |t: evidence::Tally| Tally { good: t.good, failed: t.failed, slow: t.slow };
        let evidence = Evidence {
            name: name.to_string(),
            stage: grant.stage,
            new: Some(tally(counts.0)),
            old: Some(tally(counts.1)),
        };
        if let Some(link) = self.fleet.link() {
            let _ = link.send(SendEvidence(grant.holder, evidence)).await;
        }
    }

    /// The state of a move, created at the first call.
    fn state_mut(&mut self, name: &Name) -> &mut MoveState {
        let holder = self.fleet.incarnation.clone();
        self.moves.entry(name.clone()).or_insert_with(|| MoveState {
            lease: Lease::new(lease::Options {
                key: format!("lease/move/{name}").into(),
                holder,
                term: LEASE_TERM,
            }),
            contended_at: None,
            reported_at: None,
            last_report: Default::default(),
            grants: 0,
            fencing_token: 0,
        })
    }

    /// Contends for the move's lease and acts as its holder, if this daemon is selected and the
    /// move begins within [`LEAD_SECONDS`] or has begun.
    async fn drive(&mut self, name: &Name) {
        let start = {
            let mut rollouts = self.fleet.rollouts();
            rollouts.get_mut(name).map_or(u64::MAX, |rollout| rollout.spec.start)
        };
        let me = self.fleet.settings.name.clone();
        let is_contender = is_selected(&me, &self.alive, name, CONTENDERS);
        if !is_contender || unix_now() + LEAD_SECONDS < start {
            return;
        }
        self.contend(name).await;
        self.act(name).await;
    }

    /// Acquires or renews the lease, at most once per [`CONTEND_INTERVAL`]; a holder repeats a failed
    /// renewal at its next tick, since its lease runs out meanwhile.
    async fn contend(&mut self, name: &Name) {
        let fleet = self.fleet.clone();
        let state = self.state_mut(name);
        if state.contended_at.is_some_and(|at| at.elapsed() < CONTEND_INTERVAL) {
            return;
        }
        state.contended_at = Some(Instant::now());
        match state.lease.acquire(&fleet.platform).await {
            Ok(Some(fencing_token)) => {
                let must_take_over = fencing_token != state.fencing_token;
                state.fencing_token = fencing_token;
                if must_take_over {
                    self.take_over(name).await;
                }
            }
            Ok(None) => self.step_down(name),
            // Without the table no other daemon can acquire the lease either. The stage is kept
            // and, once the lease has expired, not advanced.
            Err(_) if state.fencing_token > 0 => state.contended_at = None,
            Err(_) => {}
        }
    }

    /// Carries out the next decision of the move while this daemon acts as the holder.
    async fn act(&mut self, name: &Name) {
        let lease_held = {
            let state = self.state_mut(name);
            (state.fencing_token > 0).then(|| state.lease.fencing_token(Instant::now()).is_some())
        };
        let Some(lease_held) = lease_held else {
            return;
        };
        let (machine, decided) = {
            let mut rollouts = self.fleet.rollouts();
            let Some(rollout) = rollouts.get_mut(name) else { return };
            (rollout.machine, decide(rollout, lease_held))
        };
        let Some((decision, stage, is_newly_late)) = decided else {
            return;
        };
        if is_newly_late {
            emit!(Event::MoveLate, name = name, stage = stage);
        }
        match decision {
            Decision::Hold => self.grant(name, stage),
            Decision::Advance(stage) => {
                match self.write_record(name, Record { stage, ..Record::default() }).await {
                    Write::Done => {
                        emit!(Event::MoveAdvanced, name = name, stage = stage);
                        self.grant(name, stage);
                    }
                    Write::Refused => self.step_down(name),
                    // The lease and the evidence stay valid, so the step is taken again.
                    Write::Unknown => self.take_back_step(name, machine),
                }
            }
            Decision::End(verdict, reason) => self.end(name, stage, verdict, reason).await,
        }
    }

    /// Stops acting as the holder. The next acquisition or renewal of the lease, by this or another
    /// daemon, starts from the recorded stage.
    fn step_down(&mut self, name: &Name) {
        if let Some(rollout) = self.fleet.rollouts().get_mut(name) {
            rollout.machine = None;
        }
        self.state_mut(name).fencing_token = 0;
    }

    /// Restores the state before a step that could not be recorded, and keeps its stage granted.
    fn take_back_step(&mut self, name: &Name, machine: Option<Machine>) {
        if let Some(rollout) = self.fleet.rollouts().get_mut(name) {
            rollout.machine = machine;
        }
        self.grant(name, machine.map_or(0, |machine| machine.stage()));
    }

    /// Publishes the grant of a stage when the stage changes, and again every few calls so that it
    /// does not expire.
    fn grant(&mut self, name: &Name, stage: u32) {
        /// Calls from one publication of an unchanged stage to the next. At one call per
        /// [`TICK`] they are 2 s apart, which is less than the lifetime of a grant.
        const REFRESH_CALLS: u64 = 4;
        let holder = self.fleet.settings.name.clone();
        let state = self.state_mut(name);
        state.grants += 1;
        let stage_changed = {
            let mut rollouts = self.fleet.rollouts();
            let granted = rollouts
                .get_mut(name)
                .and_then(|rollout| rollout.grant.as_ref().map(|grant| grant.stage));
            granted != Some(stage)
        };
        let state = self.state_mut(name);
        if stage == 0 || !(stage_changed || state.grants.is_multiple_of(REFRESH_CALLS)) {
            return;
        }
        let version = (state.fencing_token << 32) | state.grants;
        self.fleet.publish(rollout::grant_fact(name, stage, &holder, version));
    }
}

/// Steps the state machine of a move.
///
/// Returns the decision, the stage before it, and whether the move was found late for the first
/// time, which is to be logged. `None` if this daemon has no state machine for the move.
fn decide(rollout: &mut rollout::Rollout, lease_held: bool) -> Option<(Decision, u32, bool)> {
    let (new, old) = rollout.pooled();
    let input = Input {
        now: unix_now_f64(),
        new,
        old,
        fault_found: rollout.fault_found,
        cancelled: rollout.spec.cancelled,
        lease_held,
    };
    let machine = rollout.machine.as_mut()?;
    let stage = machine.stage();
    let decision = machine.step(&input);
    let is_newly_late =
        machine.is_late(input.now) && !std::mem::replace(&mut rollout.late_reported, true);
    Some((decision, stage, is_newly_late))
}

/// Seconds since the Unix epoch, with their fraction; 0 if the clock is before it.
fn unix_now_f64() -> f64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64())
}
