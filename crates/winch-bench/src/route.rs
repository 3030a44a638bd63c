//! Compares the routing policy of winch-route with common ones, under a mixed load of
//! short and long generations from several teams.
//!
//! Each run simulates the calls that several daemons send to model engines. It measures
//! goodput, latency, refused calls, prefix cache hits, fairness among teams, wasted tokens
//! and retries.

mod faults;
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

/// How an engine is chosen for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The router of winch-route.
    Own,
    /// A random engine.
    Random,
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the fewest calls from the same daemon.
    LeastConnections,
    /// The engine with the highest rendezvous hash for the prefix.
    PlainHash,
}

const POLICIES: [Policy; 5] =
    [Policy::Own, Policy::Random, Policy::RoundRobin, Policy::LeastConnections, Policy::PlainHash];

/// Disturbance of an otherwise steady load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// No disturbance.
    None,
    /// After a third of the time two engines crash, one freezes and one slows down.
    Losses,
    /// Half of all calls are extra calls of one team with one prefix, which triples the
    /// share of that team from 20 % to 60 %.
    Flood,
    /// The load is three times as high during the second quarter of the time. Only calls
    /// that arrive in the ninth tenth count.
    Spike,
}

/// Settings of the experiment.
#[derive(Clone, Debug)]
pub struct Config {
    /// Model replicas.
    pub replicas: usize,
    /// Daemons among which the calls are distributed.
    pub daemons: usize,
    /// Simulated seconds.
    pub seconds: u32,
    /// Loads to simulate, relative to [`capacity`].
    pub loads: Vec<f64>,
    /// Seed of the first run.
    pub seed: u64,
    /// Number of runs, with consecutive seeds, over which each row is averaged.
    pub seeds: u64,
}

const STEP_S: f64 = 0.02;
const TEAMS: usize = 10;
const PREFIXES_PER_TEAM: usize = 8;
const PREFIX_TOKENS: f64 = 1_500.0;
const LONG_SHARE: f64 = 0.06;
/// Age at which load reports reach the daemons, in steps.
const REPORT_LAG_STEPS: usize = 25;
/// Seconds without a token after which a call on an unhealthy engine is retried. A call
/// without a first token is retried only on a frozen engine, after twice this time.
const STALL_TIMEOUT_S: f64 = 1.0;

#[derive(Clone, Debug)]
struct Job {
    team: usize,
    prefix: u64,
    suffix_tokens: f64,
    output_tokens: f64,
    is_long: bool,
    daemon: usize,
    arrived_at: f64,
    first_token_at: Option<f64>,
    last_token_at: f64,
    produced_tokens: f64,
    /// Generated tokens that a retry had to prefill again.
    wasted_tokens: f64,
    engine: Option<usize>,
    /// Engines on which the call failed.
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

struct Simulation<'a> {
    config: &'a Config,
    policy: Policy,
    scenario: Scenario,
    engines: Vec<Engine>,
    /// Load of all engines in each of the last steps, oldest first.
    reports: VecDeque<Vec<u32>>,
    routers: Vec<Router>,
    keys: Vec<Key>,
    /// Calls in flight by daemon and engine.
    in_flight: Vec<Vec<u32>>,
    jobs: Vec<Job>,
    /// Calls in the router queue of each daemon.
    waiting: Vec<std::collections::HashMap<WaiterId, usize>>,
    /// Calls that run on an engine or are queued there.
    active: Vec<usize>,
    /// Interrupted calls for which no usable engine was left in this step.
    unplaced: Vec<usize>,
    round_robin_count: usize,
    rng: SmallRng,
    gaps_ms: Histogram<u64>,
    retries: usize,
    now: f64,
}

/// Returns the calls per second that `replicas` engines decode with full batches. Prefill
/// is not counted.
pub fn capacity(replicas: usize) -> f64 {
    let engine = model::Config::default();
    let token_gap_s = engine.token_gap_s * (1.0 + engine.batch_cost);
    let short_share = 1.0 - LONG_SHARE;
    let output_tokens = short_share * SHORT_OUTPUT_TOKENS + LONG_SHARE * LONG_OUTPUT_TOKENS;
    let decode_s = output_tokens * token_gap_s;
    replicas as f64 * engine.slots as f64 / decode_s
}

/// Mean length of short answers.
const SHORT_OUTPUT_TOKENS: f64 = 150.0;
/// Mean length of long answers.
const LONG_OUTPUT_TOKENS: f64 = 2_500.0;

/// Simulates one run with the router of winch-route and returns the share of calls that it
/// served in time.
///
/// A call is served in time if its first token came within the wait that its urgency allows,
/// and if it completed or is a long one that still runs at the end. Calls that arrive in the
/// last quarter of the time are not counted; [`Scenario::Spike`] names its own exception.
pub fn goodput(config: &Config, scenario: Scenario, load: f64) -> f64 {
    Simulation::new(config, Policy::Own, scenario, config.seed).run(load)[0]
}

/// Simulates all policies at all loads without disturbance, and with each disturbance at
/// load 0.8. Returns one row for each combination.
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
    for scenario in [Scenario::None, Scenario::Losses, Scenario::Flood, Scenario::Spike] {
        for load in &config.loads {
            if scenario != Scenario::None && *load != 0.8 {
                continue;
            }
            for policy in POLICIES {
                table.row(&average(config, policy, scenario, *load));
            }
        }
    }
    table
}

fn average(config: &Config, policy: Policy, scenario: Scenario, load: f64) -> Vec<String> {
    let runs: Vec<[f64; 10]> = (0..config.seeds)
        .map(|offset| Simulation::new(config, policy, scenario, config.seed + offset).run(load))
        .collect();
    let mean = |column: usize| runs.iter().map(|run| run[column]).sum::<f64>() / runs.len() as f64;
    let mut row = vec![format!("{scenario:?}"), format!("{load}"), format!("{policy:?}")];
    let digits = [3, 0, 0, 0, 3, 3, 3, 3, 3, 0];
    row.extend((0..10).map(|column| format!("{:.*}", digits[column], mean(column))));
    row
}

impl<'a> Simulation<'a> {
    fn new(config: &'a Config, policy: Policy, scenario: Scenario, seed: u64) -> Self {
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
            .map(|number| {
                routers[0].pool.find(&format!("e{number}")).expect("the pool holds all replicas")
            })
            .collect();
        Self {
            config,
            policy,
            scenario,
            engines: vec![engine; config.replicas],
            reports: VecDeque::new(),
            in_flight: vec![vec![0; config.replicas]; config.daemons],
            waiting: vec![Default::default(); config.daemons],
            routers,
            keys,
            jobs: Vec::new(),
            active: Vec::new(),
            unplaced: Vec::new(),
            round_robin_count: 0,
            rng: SmallRng::seed_from_u64(seed),
            gaps_ms: table::milliseconds(),
            retries: 0,
            now: 1.0,
        }
    }

    fn time(&self) -> Duration {
        Duration::from_secs_f64(self.now)
    }

    /// Simulates all steps and returns the values of a table row.
    fn run(mut self, load: f64) -> [f64; 10] {
        let rate = capacity(self.config.replicas) * load;
        let end = f64::from(self.config.seconds);
        let mut out = Vec::new();
        let mut step = 0_usize;
        while self.now < end {
            self.inject_losses(step);
            let mut expected_calls = rate * STEP_S * self.load_factor(end);
            while expected_calls > 0.0 {
                if self.rng.random_bool(expected_calls.min(1.0)) {
                    self.arrive();
                }
                expected_calls -= 1.0;
            }
            for engine in 0..self.engines.len() {
                out.clear();
                self.engines[engine].step(STEP_S, &mut out);
                let outputs = std::mem::take(&mut out);
                outputs.iter().for_each(|output| self.record(engine, *output));
                out = outputs;
            }
            self.detect_stalls();
            std::mem::take(&mut self.unplaced).into_iter().for_each(|id| self.place(id));
            self.deliver_reports();
            // Each router ticks in every second step, and half of them in each step.
            for daemon in 0..self.config.daemons {
                if step % 2 == daemon % 2 {
                    let now = self.time();
                    let wakes = self.routers[daemon].tick(now);
                    self.handle_wakes(daemon, &wakes);
                }
            }
            self.now += STEP_S;
            step += 1;
        }
        self.result(end)
    }

    /// Returns the factor on the load at the current time, for a run until `end`.
    fn load_factor(&self, end: f64) -> f64 {
        let in_spike = (0.25..0.5).contains(&(self.now / end));
        if self.scenario == Scenario::Spike && in_spike { 3.0 } else { 1.0 }
    }

    /// Starts or refuses queued calls of a daemon as its router decided.
    fn handle_wakes(&mut self, daemon: usize, wakes: &[Wake]) {
        for wake in wakes {
            match wake {
                Wake::Start(waiter, key) => {
                    if let Some(id) = self.waiting[daemon].remove(waiter) {
                        self.start(id, self.index(*key));
                    }
                }
                Wake::Expired(waiter) => {
                    if let Some(id) = self.waiting[daemon].remove(waiter) {
                        self.jobs[id].state = State::Refused;
                    }
                }
            }
        }
    }

    /// Records the progress of a call on an engine.
    fn record(&mut self, engine: usize, output: Output) {
        match output {
            Output::Tokens(id, count) => {
                let job = &mut self.jobs[id];
                if job.first_token_at.is_some() && count == 1 {
                    self.gaps_ms
                        .saturating_record(((self.now - job.last_token_at) * 1_000.0) as u64);
                }
                job.first_token_at.get_or_insert(self.now);
                job.last_token_at = self.now;
                job.produced_tokens += count as f64;
            }
            Output::Done(id) => {
                self.jobs[id].state = State::Done;
                self.release(id, engine, Finish::Completed);
            }
        }
    }

    /// Records that a call has left its engine, and starts queued calls instead.
    fn release(&mut self, id: usize, engine: usize, finish: Finish) {
        let daemon = self.jobs[id].daemon;
        self.in_flight[daemon][engine] = self.in_flight[daemon][engine].saturating_sub(1);
        self.active.retain(|other| *other != id);
        if self.policy == Policy::Own {
            let now = self.time();
            let wakes = self.routers[daemon].finish(self.keys[engine], finish, now);
            self.handle_wakes(daemon, &wakes);
        }
    }

    /// Records the load of all engines, and passes the reports that are old enough to the
    /// daemons that have calls on the reporting engine.
    fn deliver_reports(&mut self) {
        self.reports.push_back(self.engines.iter().map(Engine::load).collect());
        if self.reports.len() <= REPORT_LAG_STEPS || self.policy != Policy::Own {
            return;
        }
        let now = self.time();
        let loads = self.reports.pop_front().expect("the queue is longer than the lag");
        for (daemon, router) in self.routers.iter_mut().enumerate() {
            for (engine, load) in loads.iter().enumerate() {
                let is_reported = self.in_flight[daemon][engine] > 0
                    && matches!(self.engines[engine].health, Health::Healthy | Health::Slow(_));
                if is_reported {
                    router.pool.record_load(self.keys[engine], *load, now);
                }
            }
        }
    }
}
