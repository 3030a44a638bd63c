//! Generates calls and chooses an engine for each.

use std::sync::Arc;

use rand::Rng;
use winch_route::{
    admission::Arrival,
    candidate::Finish,
    hash,
    pool::Key,
    router::{Call, Placement},
    urgency::{self, Urgency},
};

use super::{
    Job, LONG_OUTPUT_TOKENS, LONG_SHARE, PREFIX_TOKENS, PREFIXES_PER_TEAM, Policy,
    SHORT_OUTPUT_TOKENS, Scenario, Simulation, State, TEAMS,
};
use crate::model::{self, Health};

impl Simulation<'_> {
    /// Generates one call and places it.
    pub(super) fn arrive(&mut self) {
        let is_flood = self.scenario == Scenario::Flood && self.rng.random_bool(0.5);
        // Teams 0 and 1 are large: together they send 40 % of the calls outside the flood.
        let from_large_team = self.rng.random_bool(0.4);
        let team = match (is_flood, from_large_team) {
            (true, _) => 0,
            (false, true) => self.rng.random_range(0..2),
            (false, false) => self.rng.random_range(2..TEAMS),
        };
        let prefix = if is_flood { 0 } else { self.rng.random_range(0..PREFIXES_PER_TEAM) };
        let is_long = self.rng.random_bool(LONG_SHARE);
        let output_tokens = if is_long { LONG_OUTPUT_TOKENS } else { SHORT_OUTPUT_TOKENS }
            * self.rng.random_range(0.4..1.6);
        let job = Job {
            team,
            prefix: hash::mix((team * PREFIXES_PER_TEAM + prefix) as u64),
            suffix_tokens: self.rng.random_range(50.0..600.0),
            output_tokens: output_tokens.round(),
            is_long,
            daemon: self.rng.random_range(0..self.config.daemons),
            arrived_at: self.now,
            first_token_at: None,
            last_token_at: self.now,
            produced_tokens: 0.0,
            wasted_tokens: 0.0,
            engine: None,
            tried: Vec::new(),
            state: State::Waiting,
        };
        self.jobs.push(job);
        self.place(self.jobs.len() - 1);
    }

    /// Returns the call as the router sees it.
    fn call(&self, job: &Job) -> Call {
        let options = urgency::Options::default();
        let urgency = if job.is_long { Urgency::Long } else { Urgency::Short };
        Call {
            runs: "v1".into(),
            prefix: job.prefix,
            prefill_tokens: (PREFIX_TOKENS + job.suffix_tokens + job.produced_tokens) as usize,
            move_subset: None,
            arrival: Arrival {
                team: Arc::from(format!("team-{}", job.team)),
                weight: 1,
                urgency,
                max_wait: options.max_wait(urgency),
            },
        }
    }

    /// Chooses an engine for a new or interrupted call, or queues the call.
    pub(super) fn place(&mut self, id: usize) {
        let (call, daemon) = (self.call(&self.jobs[id]), self.jobs[id].daemon);
        let now = self.time();
        if self.policy != Policy::Own {
            let engine = self.choose_baseline(id);
            return self.start(id, engine);
        }
        let resumed = !self.jobs[id].tried.is_empty();
        let tried = self.jobs[id].tried.clone();
        let router = &mut self.routers[daemon];
        if resumed {
            match router.reassign(&call, &tried, now) {
                Ok(key) => self.start(id, self.index(key)),
                Err(_) => {
                    // No untried engine is usable. The next step considers all engines except
                    // the first one tried.
                    self.jobs[id].tried.truncate(1);
                    self.unplaced.push(id);
                }
            }
            return;
        }
        match router.place(call, now) {
            Placement::Start(key) => self.start(id, self.index(key)),
            Placement::Wait(waiter) => {
                self.waiting[daemon].insert(waiter, id);
            }
            Placement::Refused(_) | Placement::NoUpstream(_) => {
                self.jobs[id].state = State::Refused
            }
        }
    }

    /// Returns the index of the engine with this key.
    pub(super) fn index(&self, key: Key) -> usize {
        self.keys.iter().position(|known| *known == key).expect("all pools hold all replicas")
    }

    /// Chooses an engine by a baseline policy. Of the engines' health it sees only which
    /// ones refuse connections.
    fn choose_baseline(&mut self, id: usize) -> usize {
        let tried = &self.jobs[id].tried;
        let usable: Vec<usize> = (0..self.engines.len())
            .filter(|n| self.engines[*n].health != Health::Dead && !tried.contains(&self.keys[*n]))
            .collect();
        let usable = if usable.is_empty() { vec![0] } else { usable };
        match self.policy {
            Policy::RoundRobin => {
                self.round_robin_count += 1;
                usable[self.round_robin_count % usable.len()]
            }
            Policy::LeastConnections => {
                let in_flight = &self.in_flight[self.jobs[id].daemon];
                let offset = self.rng.random_range(0..usable.len());
                let rotated = usable.iter().cycle().skip(offset).take(usable.len());
                rotated.copied().min_by_key(|n| in_flight[*n]).expect("`usable` is not empty")
            }
            Policy::PlainHash => {
                let prefix = self.jobs[id].prefix;
                let best = usable.iter().max_by_key(|n| hash::score(prefix, hash::mix(**n as u64)));
                *best.expect("`usable` is not empty")
            }
            Policy::Own | Policy::Random => usable[self.rng.random_range(0..usable.len())],
        }
    }

    /// Submits a call to an engine.
    pub(super) fn start(&mut self, id: usize, engine: usize) {
        let resumed = !self.jobs[id].tried.is_empty();
        let job = &mut self.jobs[id];
        job.state = State::Running;
        job.engine = Some(engine);
        job.last_token_at = self.now;
        job.wasted_tokens += if resumed { job.produced_tokens } else { 0.0 };
        let urgency = if job.is_long { Urgency::Long } else { Urgency::Short };
        let priority = if self.policy == Policy::Own { urgency.priority(resumed) } else { 3 };
        self.engines[engine].submit(model::Call {
            id,
            prefix: job.prefix,
            prefix_tokens: PREFIX_TOKENS,
            suffix_tokens: job.suffix_tokens + job.produced_tokens,
            output_tokens: job.output_tokens - job.produced_tokens,
            priority,
        });
        self.in_flight[job.daemon][engine] += 1;
        self.active.push(id);
        // A dead engine refuses the connection immediately.
        if self.engines[engine].health == Health::Dead {
            self.retry(id, Finish::Unreachable);
        }
    }
}
