//! Arrivals, and the choice of an engine for each.

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
    Job, LONG_OUTPUT, LONG_PART, PREFIX_TOKENS, PREFIXES_PER_TEAM, Policy, SHORT_OUTPUT, State,
    TEAMS, Trouble, World,
};
use crate::model::{self, Health};

impl World<'_> {
    pub(super) fn arrive(&mut self) {
        let flood = self.trouble == Trouble::Flood && self.random.random_bool(0.5);
        let large = self.random.random_bool(0.4);
        let team = match (flood, large) {
            (true, _) => 0,
            (false, true) => self.random.random_range(0..2),
            (false, false) => self.random.random_range(2..TEAMS),
        };
        let prefix = if flood { 0 } else { self.random.random_range(0..PREFIXES_PER_TEAM) };
        let long = self.random.random_bool(LONG_PART);
        let output =
            if long { LONG_OUTPUT } else { SHORT_OUTPUT } * self.random.random_range(0.4..1.6);
        let job = Job {
            team,
            prefix: hash::mix((team * PREFIXES_PER_TEAM + prefix) as u64),
            own_tokens: self.random.random_range(50.0..600.0),
            output: output.round(),
            long,
            daemon: self.random.random_range(0..self.config.daemons),
            arrived: self.now,
            first: None,
            last: self.now,
            produced: 0.0,
            wasted: 0.0,
            engine: None,
            tried: Vec::new(),
            state: State::Waiting,
        };
        self.jobs.push(job);
        self.place(self.jobs.len() - 1);
    }

    fn call(&self, job: &Job) -> Call {
        let options = urgency::Options::default();
        let urgency = if job.long { Urgency::Long } else { Urgency::Short };
        Call {
            runs: "v1".into(),
            prefix: job.prefix,
            prefill_tokens: (PREFIX_TOKENS + job.own_tokens + job.produced) as usize,
            move_subset: None,
            arrival: Arrival {
                team: Arc::from(format!("team-{}", job.team)),
                weight: 1,
                urgency,
                wait: options.wait(urgency),
            },
        }
    }

    pub(super) fn place(&mut self, id: usize) {
        let (call, daemon) = (self.call(&self.jobs[id]), self.jobs[id].daemon);
        let now = self.time();
        if self.policy != Policy::Own {
            let engine = self.baseline(id);
            return self.start(id, engine);
        }
        let resumed = !self.jobs[id].tried.is_empty();
        let tried = self.jobs[id].tried.clone();
        let router = &mut self.routers[daemon];
        if resumed {
            match router.reassign(&call, &tried, now) {
                Ok(key) => self.start(id, self.index(key)),
                Err(_) => {
                    // Nothing fit is left: all are tried again at the next look.
                    self.jobs[id].tried.truncate(1);
                    self.homeless.push(id);
                }
            }
            return;
        }
        match router.place(call, now) {
            Placement::Start(key) => self.start(id, self.index(key)),
            Placement::Wait(waiting) => {
                self.waiting[daemon].insert(waiting, id);
            }
            Placement::Refused(_) | Placement::NoUpstream(_) => {
                self.jobs[id].state = State::Refused
            }
        }
    }

    pub(super) fn index(&self, key: Key) -> usize {
        self.keys.iter().position(|known| *known == key).expect("all daemons know all replicas")
    }

    /// Baselines know which engines cannot be connected to, and nothing else of their health.
    fn baseline(&mut self, id: usize) -> usize {
        let tried = &self.jobs[id].tried;
        let fit: Vec<usize> = (0..self.engines.len())
            .filter(|n| self.engines[*n].health != Health::Dead && !tried.contains(&self.keys[*n]))
            .collect();
        let fit = if fit.is_empty() { vec![0] } else { fit };
        match self.policy {
            Policy::RoundRobin => {
                self.turn += 1;
                fit[self.turn % fit.len()]
            }
            Policy::LeastConnections => {
                let own = &self.own[self.jobs[id].daemon];
                let offset = self.random.random_range(0..fit.len());
                let rotated = fit.iter().cycle().skip(offset).take(fit.len());
                rotated.copied().min_by_key(|n| own[*n]).expect("there is one")
            }
            Policy::PlainHash => {
                let prefix = self.jobs[id].prefix;
                let best = fit.iter().max_by_key(|n| hash::score(prefix, hash::mix(**n as u64)));
                *best.expect("there is one")
            }
            Policy::Own | Policy::Random => fit[self.random.random_range(0..fit.len())],
        }
    }

    pub(super) fn start(&mut self, id: usize, engine: usize) {
        let resumed = !self.jobs[id].tried.is_empty();
        let job = &mut self.jobs[id];
        job.state = State::Running;
        job.engine = Some(engine);
        job.last = self.now;
        job.wasted += if resumed { job.produced } else { 0.0 };
        let urgency = if job.long { Urgency::Long } else { Urgency::Short };
        let priority = if self.policy == Policy::Own { urgency.priority(resumed) } else { 3 };
        self.engines[engine].submit(model::Call {
            id,
            prefix: job.prefix,
            prefix_tokens: PREFIX_TOKENS,
            own_tokens: job.own_tokens + job.produced,
            output: job.output - job.produced,
            priority,
        });
        self.own[job.daemon][engine] += 1;
        self.active.push(id);
        // A dead engine refuses the connection at once.
        if self.engines[engine].health == Health::Dead {
            self.lose(id, Finish::Unreachable);
        }
    }
}
