//! Simulates version moves to good and bad versions, and compares the move
//! machine of winch-move with fixed steps.
//!
//! A row gives the frequency of each verdict, the time to the verdict, the shares of
//! requests that went to the new version and that failed by its faults, and the time from
//! the first fault to the verdict.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use winch_move::{
    batch::Batches,
    evidence::{self, Cohort, Collector, Finding, Quantile, Tally},
    machine::{Decision, Input, Machine, Window},
    schedule::{LAST_STAGE, replica_count, share},
    verdict::Verdict,
};

use crate::table::Table;

/// Settings of the experiment.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Requests per second on the route.
    pub rate: f64,
    /// Replicas of each version.
    pub replicas: usize,
    /// Daemons among which the requests are distributed.
    pub daemons: usize,
    /// Seconds from the start of a move to its deadline.
    pub window: f64,
    /// Seed of the first run.
    pub seed: u64,
    /// Number of runs, with consecutive seeds, over which each row is averaged.
    pub seeds: u64,
}

/// Behaviour of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Behaves like the old version.
    Good,
    /// Behaves like the old version, while 10 % of all requests fail from 60 s to 120 s.
    GoodIncident,
    /// Behaves like the old version, but a replica of each version crashes at 100 s if the new
    /// version has traffic by then.
    GoodLoss,
    /// Fails 20 % of its requests.
    BadAtOnce,
    /// Fails 5 % of its requests.
    BadSlightly,
    /// Fails 20 % of its requests from 60 s after its first request on.
    BadLater,
    /// Fails 20 % of its requests while its replicas have at least half their normal load.
    BadLoad,
    /// Takes twice as long to the first token.
    Slow,
}

const KINDS: [Kind; 8] = [
    Kind::Good,
    Kind::GoodIncident,
    Kind::GoodLoss,
    Kind::BadAtOnce,
    Kind::BadSlightly,
    Kind::BadLater,
    Kind::BadLoad,
    Kind::Slow,
];

/// How traffic is shifted and the new version is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strategy {
    /// The move machine of winch-move.
    Own,
    /// Advances by a stage each eighth of the window, and takes the move back if 5 % of at
    /// least 20 requests to the new version fail or half of them are slow.
    Fixed,
}

/// Seconds until the lease holder receives a report of the daemons.
const REPORT_LAG_S: f64 = 1.0;
const STEP_S: f64 = 0.1;

struct Simulation {
    kind: Kind,
    strategy: Strategy,
    config: Config,
    rng: SmallRng,
    collectors: Vec<Collector>,
    /// Slowness of the new version as each daemon sees it.
    batches: Vec<Batches>,
    /// Quantile of the seconds to the first token with the old version.
    first_token: Quantile,
    now: f64,
    stage: u32,
    stage_since: f64,
    /// Time of the first request to the new version.
    new_since: Option<f64>,
    requests: u64,
    requests_to_new: u64,
    /// Requests that failed because of a fault of the new version.
    failed_by_new: u64,
    /// Time of the first request with a fault of the new version.
    first_fault_at: Option<f64>,
    faulty_requests: u64,
    fault_seen: bool,
    /// Time of each report with the tallies of the new and the old version.
    reports: Vec<(f64, Tally, Tally)>,
}

#[derive(Clone, Copy, Debug)]
struct Outcome {
    verdict: Verdict,
    end_s: f64,
    share_to_new: f64,
    failed_of_all: f64,
    reaction_s: f64,
}

/// Simulates all kinds with both strategies and returns one row for each pair.
pub fn run(config: &Config) -> Table {
    let columns = [
        "kind",
        "way",
        "completed",
        "taken_back",
        "expired",
        "end_s",
        "share_to_new",
        "failed_of_all",
        "reaction_s",
    ];
    let mut table = Table::new("moves", &columns);
    for kind in KINDS {
        for strategy in [Strategy::Own, Strategy::Fixed] {
            let outcomes: Vec<Outcome> = (0..config.seeds)
                .map(|offset| Simulation::new(*config, kind, strategy, config.seed + offset).run())
                .collect();
            let percent = |verdict| {
                let count = outcomes.iter().filter(|outcome| outcome.verdict == verdict).count();
                100.0 * count as f64 / outcomes.len() as f64
            };
            let mean = |value: fn(&Outcome) -> f64| {
                outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64
            };
            table.row(&[
                format!("{kind:?}"),
                format!("{strategy:?}"),
                format!("{:.1}", percent(Verdict::Completed)),
                format!("{:.1}", percent(Verdict::TakenBack)),
                format!("{:.1}", percent(Verdict::Expired)),
                format!("{:.0}", mean(|outcome| outcome.end_s)),
                format!("{:.4}", mean(|outcome| outcome.share_to_new)),
                format!("{:.5}", mean(|outcome| outcome.failed_of_all)),
                format!("{:.1}", mean(|outcome| outcome.reaction_s)),
            ]);
        }
    }
    table
}

impl Simulation {
    fn new(config: Config, kind: Kind, strategy: Strategy, seed: u64) -> Self {
        Self {
            kind,
            strategy,
            config,
            rng: SmallRng::seed_from_u64(seed),
            collectors: vec![Collector::default(); config.daemons],
            batches: vec![Batches::default(); config.daemons],
            first_token: Quantile::new(0.9),
            now: 0.0,
            stage: 0,
            stage_since: 0.0,
            new_since: None,
            requests: 0,
            requests_to_new: 0,
            failed_by_new: 0,
            first_fault_at: None,
            faulty_requests: 0,
            fault_seen: false,
            reports: Vec::new(),
        }
    }

    fn run(mut self) -> Outcome {
        let window = Window { start: 0.0, deadline: self.config.window };
        let mut machine = Machine::new(window, evidence::Options::default(), 0, 0.0);
        let mut next_decision_at = 0.0;
        loop {
            let expected = self.config.rate * STEP_S;
            let count = expected.floor() as u64 + u64::from(self.rng.random_bool(expected.fract()));
            (0..count).for_each(|_| self.send_request());
            self.record_crashes();
            self.now += STEP_S;
            if self.now < next_decision_at {
                continue;
            }
            next_decision_at = self.now + 0.5;
            let verdict = match self.strategy {
                Strategy::Own => self.step_machine(&mut machine),
                Strategy::Fixed => self.step_fixed(),
            };
            if let Some(verdict) = verdict {
                return self.outcome(verdict);
            }
        }
    }

    fn outcome(&self, verdict: Verdict) -> Outcome {
        let total = self.requests.max(1) as f64;
        Outcome {
            verdict,
            end_s: self.now,
            share_to_new: self.requests_to_new as f64 / total,
            failed_of_all: self.failed_by_new as f64 / total,
            reaction_s: self.first_fault_at.map_or(0.0, |at| self.now - at),
        }
    }

    /// Records the crashes of [`Kind::GoodLoss`] and has all collectors count those that are due.
    fn record_crashes(&mut self) {
        let is_reached = |at: f64, now: f64| now <= at && now + STEP_S > at;
        if self.kind == Kind::GoodLoss && is_reached(100.0, self.now) && self.stage > 0 {
            let time = Duration::from_secs_f64(self.now);
            for collector in &mut self.collectors {
                collector.record_crash(Cohort::New, time);
                collector.record_crash(Cohort::Old, time);
            }
        }
        let time = Duration::from_secs_f64(self.now);
        self.collectors.iter_mut().for_each(|collector| collector.count_crashes(time));
    }

    /// Returns the load of a replica of the new version, relative to its normal load.
    fn load_of_new(&self) -> f64 {
        let total = self.share() * self.config.replicas as f64;
        match self.strategy {
            Strategy::Own => {
                total / replica_count(self.stage, self.config.replicas, self.config.replicas) as f64
            }
            Strategy::Fixed => total / self.config.replicas as f64,
        }
    }

    /// Returns the share of requests that go to the new version.
    fn share(&self) -> f64 {
        match self.strategy {
            Strategy::Own => share(self.stage, self.config.replicas),
            Strategy::Fixed => [0.0, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0][self.stage.min(6) as usize],
        }
    }

    /// Simulates one request: its version, failure and time to the first token.
    fn send_request(&mut self) {
        self.requests += 1;
        let daemon = self.rng.random_range(0..self.config.daemons);
        let is_new = self.rng.random_bool(self.share());
        let mut failure_rate: f64 = 0.002;
        let mut first_token = self.rng.random_range(0.2..0.5);
        let in_incident = self.kind == Kind::GoodIncident && (60.0..120.0).contains(&self.now);
        if in_incident {
            failure_rate = 0.1;
        }
        if is_new {
            self.requests_to_new += 1;
            let since = *self.new_since.get_or_insert(self.now);
            match self.kind {
                Kind::Good | Kind::GoodIncident | Kind::GoodLoss => {}
                Kind::BadAtOnce => failure_rate = 0.2,
                Kind::BadSlightly => failure_rate = 0.05,
                Kind::BadLater if self.now - since > 60.0 => failure_rate = 0.2,
                Kind::BadLoad if self.load_of_new() >= 0.5 => failure_rate = 0.2,
                Kind::BadLater | Kind::BadLoad => {}
                Kind::Slow => first_token *= 2.0,
            }
        }
        let failed = self.rng.random_bool(failure_rate);
        let cohort = if is_new { Cohort::New } else { Cohort::Old };
        let is_slow = self.first_token.get().is_some_and(|bound| first_token > 1.3 * bound);
        if !is_new {
            self.first_token.add(first_token);
        }
        if is_new && (failed && failure_rate > 0.01 || self.kind == Kind::Slow) && !in_incident {
            self.first_fault_at.get_or_insert(self.now);
            self.failed_by_new += u64::from(failed);
            self.faulty_requests += 1;
        }
        let collector = &mut self.collectors[daemon];
        if failed {
            let replica = self.rng.random();
            collector.record_failure(cohort, replica, Duration::from_secs_f64(self.now));
        } else {
            collector.record_success(cohort, is_slow);
        }
    }

    /// Reports the tallies of all daemons, and returns those of the new and the old version that
    /// the lease holder has received in the current stage.
    fn received_tallies(&mut self) -> (Tally, Tally) {
        let sum = self.collectors.iter().fold(Default::default(), |sum: (Tally, Tally), c| {
            (sum.0.plus(c.new), sum.1.plus(c.old))
        });
        self.reports.push((self.now, sum.0, sum.1));
        let is_received = |report: &&(f64, Tally, Tally)| {
            report.0 <= self.now - REPORT_LAG_S && report.0 >= self.stage_since
        };
        self.reports.iter().rev().find(is_received).map_or_else(Default::default, |e| (e.1, e.2))
    }

    fn advance(&mut self, stage: u32) {
        self.stage = stage;
        self.stage_since = self.now;
        self.collectors.iter_mut().for_each(Collector::reset);
        self.batches.fill(Batches::default());
    }

    /// Lets the move machine decide; returns the verdict if the move has ended.
    fn step_machine(&mut self, machine: &mut Machine) -> Option<Verdict> {
        let options = evidence::Options::default().at_stage(self.stage);
        let daemons = self.config.daemons;
        let now = self.now;
        for (collector, batches) in self.collectors.iter().zip(&mut self.batches) {
            batches.update(collector.new, now);
            let finding = batches.test(collector.new, collector.old, &options, daemons);
            self.fault_seen |= matches!(finding, Finding::Failing | Finding::Slow);
        }
        let (new, old) = self.received_tallies();
        let input = Input {
            now: self.now,
            new,
            old,
            fault_found: self.fault_seen,
            cancelled: false,
            lease_held: true,
        };
        match machine.step(&input) {
            Decision::Hold => None,
            Decision::Advance(stage) => {
                self.advance(stage.min(LAST_STAGE));
                None
            }
            Decision::End(verdict, _) => Some(verdict),
        }
    }

    /// Decides by the rules of [`Strategy::Fixed`]; returns the verdict if the move has ended.
    fn step_fixed(&mut self) -> Option<Verdict> {
        const STEPS: f64 = 8.0;
        const MIN_REQUESTS: u64 = 20;
        let (new, _) = self.received_tallies();
        let total = new.total();
        if total >= MIN_REQUESTS && (new.failed * 20 >= total || new.slow * 2 >= total) {
            return Some(Verdict::TakenBack);
        }
        let due_stage = ((self.now / self.config.window * STEPS) as u32 + 1).min(7);
        if due_stage > 6 {
            return Some(Verdict::Completed);
        }
        if due_stage > self.stage {
            self.advance(due_stage);
        }
        None
    }
}
