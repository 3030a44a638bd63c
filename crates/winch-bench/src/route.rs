//! The routing policy against usual ones, under the brief's kind of load.

mod place;
mod result;

use std::{collections::VecDeque, time::Duration};

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use winch_route::{
    candidate::{Finish, Spec},
    pool::Key,
    router::{self, Router, WaiterId, Wake},
};

use crate::{
    model::{self, Engine, Health, Output},
    table::{self, Table},
};

/// A way to choose an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's own.
    Own,
    /// Any, at random.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest calls of this daemon.
    LeastConnections,
    /// The one that the prefix hashes to.
    PlainHash,
}

const POLICIES: [Policy; 5] =
    [Policy::Own, Policy::Random, Policy::RoundRobin, Policy::LeastConnections, Policy::PlainHash];

/// What happens besides the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Two engines die, one freezes and one crawls.
    Losses,
    /// One team asks for three times its usual share with one prefix.
    Flood,
    /// Three times the load during the second quarter; only what arrives in the ninth
    /// tenth of the time counts.
    Spike,
}

/// What is run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Model replicas.
    pub replicas: usize,
    /// Entry daemons.
    pub daemons: usize,
    /// Simulated seconds.
    pub seconds: u32,
    /// Load as a part of capacity.
    pub loads: Vec<f64>,
    /// First seed.
    pub seed: u64,
    /// Seeds in all.
    pub seeds: u64,
}

const STEP: f64 = 0.02;
const TEAMS: usize = 10;
const PREFIXES_PER_TEAM: usize = 8;
const PREFIX_TOKENS: f64 = 1_500.0;
const LONG_PART: f64 = 0.06;
/// Steps by which a load report lags.
const REPORT_LAG: usize = 25;
/// Silence after which a baseline gives up an engine, in seconds.
const SILENCE: f64 = 1.0;

#[derive(Clone, Debug)]
struct Job {
    team: usize,
    prefix: u64,
    own_tokens: f64,
    output: f64,
    long: bool,
    daemon: usize,
    arrived: f64,
    first: Option<f64>,
    last: f64,
    produced: f64,
    wasted: f64,
    engine: Option<usize>,
    tried: Vec<Key>,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Running,
    Done,
    Refused,
}

struct World<'a> {
    config: &'a Config,
    policy: Policy,
    trouble: Trouble,
    engines: Vec<Engine>,
    reports: VecDeque<Vec<u32>>,
    routers: Vec<Router>,
    keys: Vec<Key>,
    own: Vec<Vec<u32>>,
    jobs: Vec<Job>,
    waiting: Vec<std::collections::HashMap<WaiterId, usize>>,
    active: Vec<usize>,
    homeless: Vec<usize>,
    turn: usize,
    random: SmallRng,
    gaps: Histogram<u64>,
    retries: usize,
    now: f64,
}

/// Requests per second that `replicas` engines can serve.
pub fn capacity(replicas: usize) -> f64 {
    let engine = model::Config::default();
    let gap = engine.gap * (1.0 + engine.batch_cost);
    let short = 1.0 - LONG_PART;
    let output = short * SHORT_OUTPUT + LONG_PART * LONG_OUTPUT;
    let decode = output * gap;
    replicas as f64 * engine.slots as f64 / decode
}

const SHORT_OUTPUT: f64 = 150.0;
const LONG_OUTPUT: f64 = 2_500.0;

/// Part of the callers that were served within their need, by the product's own policy.
pub fn goodput(config: &Config, trouble: Trouble, load: f64) -> f64 {
    World::new(config, Policy::Own, trouble, config.seed).run(load)[0]
}

/// Runs all policies and loads.
pub fn run(config: &Config) -> Table {
    let columns = [
        "trouble",
        "load",
        "policy",
        "goodput",
        "first_p50_ms",
        "first_p95_ms",
        "gap_p95_ms",
        "refused",
        "long_done",
        "cached",
        "fairness",
        "wasted",
        "retries",
    ];
    let mut table = Table::new("route", &columns);
    for trouble in [Trouble::None, Trouble::Losses, Trouble::Flood, Trouble::Spike] {
        for load in &config.loads {
            if trouble != Trouble::None && *load != 0.8 {
                continue;
            }
            for policy in POLICIES {
                table.row(&average(config, policy, trouble, *load));
            }
        }
    }
    table
}

fn average(config: &Config, policy: Policy, trouble: Trouble, load: f64) -> Vec<String> {
    let runs: Vec<[f64; 10]> = (0..config.seeds)
        .map(|seed| World::new(config, policy, trouble, config.seed + seed).run(load))
        .collect();
    let mean = |at: usize| runs.iter().map(|run| run[at]).sum::<f64>() / runs.len() as f64;
    let mut row = vec![format!("{trouble:?}"), format!("{load}"), format!("{policy:?}")];
    let digits = [3, 0, 0, 0, 3, 3, 3, 3, 3, 0];
    row.extend((0..10).map(|at| format!("{:.*}", digits[at], mean(at))));
    row
}

impl<'a> World<'a> {
    fn new(config: &'a Config, policy: Policy, trouble: Trouble, seed: u64) -> Self {
        let engine = Engine::new(model::Config::default());
        let spec = |number: usize| Spec {
            name: format!("e{number}").into(),
            dc: format!("dc-{}", number % 4).into(),
            runs: "v1".into(),
            slots: model::Config::default().slots as u32,
            leaving: false,
        };
        let mut routers: Vec<Router> = (0..config.daemons)
            .map(|number| {
                let (name, dc) = (format!("entry-{number}"), format!("dc-{}", number % 4));
                Router::new(&name, dc.into(), router::Options::default(), seed ^ number as u64)
            })
            .collect();
        for router in &mut routers {
            router.pool.sync((0..config.replicas).map(spec), Duration::from_secs(1));
        }
        let keys = (0..config.replicas)
            .map(|number| routers[0].pool.find(&format!("e{number}")).expect("just synced"))
            .collect();
        Self {
            config,
            policy,
            trouble,
            engines: vec![engine; config.replicas],
            reports: VecDeque::new(),
            own: vec![vec![0; config.replicas]; config.daemons],
            waiting: vec![Default::default(); config.daemons],
            routers,
            keys,
            jobs: Vec::new(),
            active: Vec::new(),
            homeless: Vec::new(),
            turn: 0,
            random: SmallRng::seed_from_u64(seed),
            gaps: table::milliseconds(),
            retries: 0,
            now: 1.0,
        }
    }

    fn time(&self) -> Duration {
        Duration::from_secs_f64(self.now)
    }

    fn run(mut self, load: f64) -> [f64; 10] {
        let rate = capacity(self.config.replicas) * load;
        let end = f64::from(self.config.seconds);
        let mut out = Vec::new();
        let mut step = 0_usize;
        while self.now < end {
            self.trouble(step);
            let mut due = rate * STEP * self.surge(end);
            while due > 0.0 {
                if self.random.random_bool(due.min(1.0)) {
                    self.arrive();
                }
                due -= 1.0;
            }
            for engine in 0..self.engines.len() {
                out.clear();
                self.engines[engine].step(STEP, &mut out);
                let outputs = std::mem::take(&mut out);
                outputs.iter().for_each(|output| self.take(engine, *output));
                out = outputs;
            }
            self.watch();
            std::mem::take(&mut self.homeless).into_iter().for_each(|id| self.place(id));
            self.report();
            for daemon in 0..self.config.daemons {
                if step % 2 == daemon % 2 {
                    let now = self.time();
                    let wakes = self.routers[daemon].tick(now);
                    self.wake(daemon, &wakes);
                }
            }
            self.now += STEP;
            step += 1;
        }
        self.result(end)
    }

    /// Factor on the load at this time.
    fn surge(&self, end: f64) -> f64 {
        let spike = (0.25..0.5).contains(&(self.now / end));
        if self.trouble == Trouble::Spike && spike { 3.0 } else { 1.0 }
    }

    fn trouble(&mut self, step: usize) {
        let at = (f64::from(self.config.seconds) / 3.0 / STEP) as usize;
        if self.trouble != Trouble::Losses || step != at {
            return;
        }
        for engine in [1, 2] {
            let lost = self.engines[engine].die();
            lost.into_iter().for_each(|job| self.lose(job, Finish::Failed));
        }
        self.engines[3].health = Health::Frozen;
        self.engines[4].health = Health::Crawling(20.0);
    }

    fn wake(&mut self, daemon: usize, wakes: &[Wake]) {
        for wake in wakes {
            match wake {
                Wake::Start(waiting, key) => {
                    if let Some(id) = self.waiting[daemon].remove(waiting) {
                        self.start(id, self.index(*key));
                    }
                }
                Wake::Expired(waiting) => {
                    if let Some(id) = self.waiting[daemon].remove(waiting) {
                        self.jobs[id].state = State::Refused;
                    }
                }
            }
        }
    }

    fn take(&mut self, engine: usize, output: Output) {
        match output {
            Output::Tokens(id, count) => {
                let job = &mut self.jobs[id];
                if job.first.is_some() && count == 1 {
                    self.gaps.saturating_record(((self.now - job.last) * 1_000.0) as u64);
                }
                job.first.get_or_insert(self.now);
                job.last = self.now;
                job.produced += count as f64;
            }
            Output::Done(id) => {
                self.jobs[id].state = State::Done;
                self.release(id, engine, Finish::Completed);
            }
        }
    }

    fn release(&mut self, id: usize, engine: usize, finish: Finish) {
        let daemon = self.jobs[id].daemon;
        self.own[daemon][engine] = self.own[daemon][engine].saturating_sub(1);
        self.active.retain(|other| *other != id);
        if self.policy == Policy::Own {
            let now = self.time();
            let wakes = self.routers[daemon].finish(self.keys[engine], finish, now);
            self.wake(daemon, &wakes);
        }
    }

    fn lose(&mut self, id: usize, finish: Finish) {
        let Some(engine) = self.jobs[id].engine.take() else {
            return;
        };
        self.engines[engine].cancel(id);
        self.release(id, engine, finish);
        self.jobs[id].tried.push(self.keys[engine]);
        self.jobs[id].state = State::Waiting;
        self.retries += 1;
        self.place(id);
    }

    /// Gives up engines that are silent; the same bound for all policies.
    fn watch(&mut self) {
        let silent = |world: &Self, id: &usize| {
            let job = &world.jobs[*id];
            let health = job.engine.map(|engine| world.engines[engine].health);
            job.first.is_some() && health != Some(Health::Well) && world.now - job.last > SILENCE
        };
        let lost: Vec<usize> = self.active.iter().copied().filter(|id| silent(self, id)).collect();
        lost.into_iter().for_each(|id| self.lose(id, Finish::Failed));
        let stuck = |world: &Self, id: &usize| {
            let job = &world.jobs[*id];
            let frozen = job.engine.is_some_and(|e| world.engines[e].health == Health::Frozen);
            job.first.is_none() && frozen && world.now - job.last > 2.0 * SILENCE
        };
        let stuck: Vec<usize> = self.active.iter().copied().filter(|id| stuck(self, id)).collect();
        stuck.into_iter().for_each(|id| self.lose(id, Finish::Failed));
    }

    /// Hands daemons the loads of a while ago, of engines that they have calls on.
    fn report(&mut self) {
        self.reports.push_back(self.engines.iter().map(Engine::load).collect());
        if self.reports.len() <= REPORT_LAG || self.policy != Policy::Own {
            return;
        }
        let now = self.time();
        let loads = self.reports.pop_front().expect("it is longer than the lag");
        for (daemon, router) in self.routers.iter_mut().enumerate() {
            for (engine, load) in loads.iter().enumerate() {
                let hears = self.own[daemon][engine] > 0
                    && matches!(self.engines[engine].health, Health::Well | Health::Crawling(_));
                if hears {
                    router.pool.record_load(self.keys[engine], *load, now);
                }
            }
        }
    }
}
