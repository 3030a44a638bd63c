//! Moves of good and bad versions: the product's way against fixed steps.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use winch_move::{
    evidence::{self, Cohort, Collector, Finding, Quantile, Tally, test},
    machine::{Decision, Input, Machine, Window},
    schedule::{LAST_STAGE, replicas, share},
    verdict::Verdict,
};

use crate::table::Table;

/// What is run.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Requests per second of the route.
    pub rate: f64,
    /// Replicas of the old version, and of the new one.
    pub replicas: usize,
    /// Daemons that each see a part.
    pub daemons: usize,
    /// Seconds from start to deadline.
    pub window: f64,
    /// First seed.
    pub seed: u64,
    /// Seeds in all.
    pub seeds: u64,
}

/// How a new version behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Like the old one.
    Good,
    /// Like the old one, while both fail one in ten for a while.
    GoodIncident,
    /// Like the old one, but one of its replicas dies with one of the old.
    GoodLoss,
    /// Fails one in five from the start.
    BadAtOnce,
    /// Fails one in twenty from the start.
    BadSlightly,
    /// Fails one in five after 60 s of service.
    BadLater,
    /// Fails one in five on replicas that carry at least half their normal load.
    BadLoad,
    /// Twice as slow.
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

/// How the share is raised and the version judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// The product's machine.
    Own,
    /// A step each eighth of the window; back when 5 % of at least 20 fail, or half are slow.
    Fixed,
}

/// Seconds that a report takes to reach the holder.
const REPORT_LAG: f64 = 1.0;
const STEP: f64 = 0.1;

struct Run {
    kind: Kind,
    way: Way,
    config: Config,
    random: SmallRng,
    collectors: Vec<Collector>,
    first_token: Quantile,
    now: f64,
    stage: u32,
    stage_since: f64,
    served_since: Option<f64>,
    requests: u64,
    to_new: u64,
    failed_new: u64,
    first_fault: Option<f64>,
    after_fault: u64,
    fault_seen: bool,
    pooled: Vec<(f64, Tally, Tally)>,
}

#[derive(Clone, Copy, Debug)]
struct End {
    verdict: Verdict,
    time: f64,
    exposed: f64,
    failed: f64,
    reaction: f64,
}

/// Runs all kinds both ways.
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
        for way in [Way::Own, Way::Fixed] {
            let ends: Vec<End> = (0..config.seeds)
                .map(|seed| Run::new(*config, kind, way, config.seed + seed).run())
                .collect();
            let part = |verdict| {
                let hits = ends.iter().filter(|end| end.verdict == verdict).count();
                100.0 * hits as f64 / ends.len() as f64
            };
            let mean =
                |value: fn(&End) -> f64| ends.iter().map(value).sum::<f64>() / ends.len() as f64;
            table.row(&[
                format!("{kind:?}"),
                format!("{way:?}"),
                format!("{:.1}", part(Verdict::Completed)),
                format!("{:.1}", part(Verdict::TakenBack)),
                format!("{:.1}", part(Verdict::Expired)),
                format!("{:.0}", mean(|end| end.time)),
                format!("{:.4}", mean(|end| end.exposed)),
                format!("{:.5}", mean(|end| end.failed)),
                format!("{:.1}", mean(|end| end.reaction)),
            ]);
        }
    }
    table
}

impl Run {
    fn new(config: Config, kind: Kind, way: Way, seed: u64) -> Self {
        Self {
            kind,
            way,
            config,
            random: SmallRng::seed_from_u64(seed),
            collectors: vec![Collector::default(); config.daemons],
            first_token: Quantile::new(0.9),
            now: 0.0,
            stage: 0,
            stage_since: 0.0,
            served_since: None,
            requests: 0,
            to_new: 0,
            failed_new: 0,
            first_fault: None,
            after_fault: 0,
            fault_seen: false,
            pooled: Vec::new(),
        }
    }

    fn run(mut self) -> End {
        let plan = Window { start: 0.0, deadline: self.config.window };
        let mut machine = Machine::new(plan, evidence::Options::default(), 0, 0.0);
        let mut next = 0.0;
        loop {
            let due = self.config.rate * STEP;
            let count = due.floor() as u64 + u64::from(self.random.random_bool(due.fract()));
            (0..count).for_each(|_| self.request());
            self.disturb();
            self.now += STEP;
            if self.now < next {
                continue;
            }
            next = self.now + 0.5;
            let verdict = match self.way {
                Way::Own => self.step_own(&mut machine),
                Way::Fixed => self.step_fixed(),
            };
            if let Some(verdict) = verdict {
                return self.end(verdict);
            }
        }
    }

    fn end(&self, verdict: Verdict) -> End {
        let total = self.requests.max(1) as f64;
        End {
            verdict,
            time: self.now,
            exposed: self.to_new as f64 / total,
            failed: self.failed_new as f64 / total,
            reaction: self.first_fault.map_or(0.0, |at| self.now - at),
        }
    }

    fn disturb(&mut self) {
        let crossing = |at: f64, now: f64| now <= at && now + STEP > at;
        if self.kind == Kind::GoodLoss && crossing(100.0, self.now) && self.stage > 0 {
            let time = Duration::from_secs_f64(self.now);
            for collector in &mut self.collectors {
                collector.record_crash(Cohort::New, time);
                collector.record_crash(Cohort::Old, time);
            }
        }
        let time = Duration::from_secs_f64(self.now);
        self.collectors.iter_mut().for_each(|collector| collector.count_crashes(time));
    }

    /// Part of its normal load that a new replica carries.
    fn load(&self) -> f64 {
        let part = self.share() * self.config.replicas as f64;
        match self.way {
            Way::Own => {
                part / replicas(self.stage, self.config.replicas, self.config.replicas) as f64
            }
            Way::Fixed => part / self.config.replicas as f64,
        }
    }

    fn share(&self) -> f64 {
        match self.way {
            Way::Own => share(self.stage, self.config.replicas),
            Way::Fixed => [0.0, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0][self.stage.min(6) as usize],
        }
    }

    fn request(&mut self) {
        self.requests += 1;
        let daemon = self.random.random_range(0..self.config.daemons);
        let new = self.random.random_bool(self.share());
        let mut failing: f64 = 0.002;
        let mut first_token = self.random.random_range(0.2..0.5);
        let incident = self.kind == Kind::GoodIncident && (60.0..120.0).contains(&self.now);
        if incident {
            failing = 0.1;
        }
        if new {
            self.to_new += 1;
            let since = *self.served_since.get_or_insert(self.now);
            match self.kind {
                Kind::Good | Kind::GoodIncident | Kind::GoodLoss => {}
                Kind::BadAtOnce => failing = 0.2,
                Kind::BadSlightly => failing = 0.05,
                Kind::BadLater if self.now - since > 60.0 => failing = 0.2,
                Kind::BadLoad if self.load() >= 0.5 => failing = 0.2,
                Kind::BadLater | Kind::BadLoad => {}
                Kind::Slow => first_token *= 2.0,
            }
        }
        let failed = self.random.random_bool(failing);
        let side = if new { Cohort::New } else { Cohort::Old };
        let slow = self.first_token.get().is_some_and(|bound| first_token > 1.3 * bound);
        if !new {
            self.first_token.add(first_token);
        }
        if new && (failed && failing > 0.01 || self.kind == Kind::Slow) && !incident {
            self.first_fault.get_or_insert(self.now);
            self.failed_new += u64::from(failed);
            self.after_fault += 1;
        }
        let collector = &mut self.collectors[daemon];
        if failed {
            let replica = self.random.random();
            collector.record_failure(side, replica, Duration::from_secs_f64(self.now));
        } else {
            collector.record_success(side, slow);
        }
    }

    /// What the holder knows: counts of a second ago.
    fn pooled(&mut self) -> (Tally, Tally) {
        let sum = self.collectors.iter().fold(Default::default(), |sum: (Tally, Tally), c| {
            (sum.0.plus(c.new), sum.1.plus(c.old))
        });
        self.pooled.push((self.now, sum.0, sum.1));
        let lag = |entry: &&(f64, Tally, Tally)| {
            entry.0 <= self.now - REPORT_LAG && entry.0 >= self.stage_since
        };
        self.pooled.iter().rev().find(lag).map_or_else(Default::default, |e| (e.1, e.2))
    }

    fn raise(&mut self, stage: u32) {
        self.stage = stage;
        self.stage_since = self.now;
        self.collectors.iter_mut().for_each(Collector::reset);
    }

    fn step_own(&mut self, machine: &mut Machine) -> Option<Verdict> {
        let options = evidence::Options::default().at_stage(self.stage);
        let daemons = self.config.daemons;
        let local = self.collectors.iter().map(|c| test(c.new, c.old, &options, daemons));
        let bad = |finding| matches!(finding, Finding::Failing | Finding::Slow);
        self.fault_seen |= local.into_iter().any(bad);
        let (new, old) = self.pooled();
        let input = Input {
            now: self.now,
            new,
            old,
            fault: self.fault_seen,
            cancelled: false,
            lease_held: true,
        };
        match machine.step(&input) {
            Decision::Hold => None,
            Decision::Advance(stage) => {
                self.raise(stage.min(LAST_STAGE));
                None
            }
            Decision::End(verdict, _) => Some(verdict),
        }
    }

    fn step_fixed(&mut self) -> Option<Verdict> {
        const STEPS: f64 = 8.0;
        const LEAST: u64 = 20;
        let (new, _) = self.pooled();
        let total = new.total();
        if total >= LEAST && (new.failed * 20 >= total || new.slow * 2 >= total) {
            return Some(Verdict::TakenBack);
        }
        let due = ((self.now / self.config.window * STEPS) as u32 + 1).min(7);
        if due > 6 {
            return Some(Verdict::Completed);
        }
        if due > self.stage {
            self.raise(due);
        }
        None
    }
}
