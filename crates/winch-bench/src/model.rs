//! A small model of a model engine: continuous batching, prefix cache, priorities.

use std::collections::VecDeque;

/// Number of a call.
pub type Id = usize;

/// Speed and size of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Calls decoded at once.
    pub slots: usize,
    /// Seconds between tokens with an empty batch.
    pub gap: f64,
    /// Part by which a full batch slows decoding.
    pub batch_cost: f64,
    /// Prompt tokens prefilled each second.
    pub prefill_rate: f64,
    /// Prefixes kept.
    pub cache: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self { slots: 16, gap: 0.030, batch_cost: 0.6, prefill_rate: 8_000.0, cache: 12 }
    }
}

/// How an engine is at the moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// As it should be.
    Well,
    /// Slower by this factor.
    Crawling(f64),
    /// Silent, but its connections stand.
    Frozen,
    /// Gone.
    Dead,
}

#[derive(Clone, Debug)]
struct Seq {
    id: Id,
    prefix: u64,
    prefix_tokens: f64,
    prefill: f64,
    progress: f64,
    left: f64,
    priority: u8,
}

/// What an engine did in one step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    /// Tokens of a call, usually one or none.
    Tokens(Id, usize),
    /// A call's last token is out.
    Done(Id),
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    config: Config,
    /// How it is at the moment.
    pub health: Health,
    waiting: Vec<Seq>,
    running: Vec<Seq>,
    cache: VecDeque<u64>,
    /// Prompt tokens that were prefilled.
    pub prefilled: f64,
    /// Prompt tokens that were found in the cache.
    pub cached: f64,
}

/// A call for an engine.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Its number.
    pub id: Id,
    /// Its prefix.
    pub prefix: u64,
    /// Tokens of the prefix that may be cached.
    pub prefix_tokens: f64,
    /// All other tokens to prefill.
    pub own_tokens: f64,
    /// Tokens to generate.
    pub output: f64,
    /// Lower is more urgent.
    pub priority: u8,
}

impl Engine {
    /// An idle engine.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            health: Health::Well,
            waiting: Vec::new(),
            running: Vec::new(),
            cache: VecDeque::new(),
            prefilled: 0.0,
            cached: 0.0,
        }
    }

    /// Calls held, running and waiting.
    pub fn load(&self) -> u32 {
        (self.waiting.len() + self.running.len()) as u32
    }

    /// Takes a call in.
    pub fn submit(&mut self, call: Call) {
        let seq = Seq {
            id: call.id,
            prefix: call.prefix,
            prefix_tokens: call.prefix_tokens,
            prefill: call.own_tokens,
            progress: 0.0,
            left: call.output,
            priority: call.priority,
        };
        let at = self.waiting.partition_point(|other| other.priority <= seq.priority);
        self.waiting.insert(at, seq);
    }

    /// Drops a call.
    pub fn cancel(&mut self, id: Id) {
        self.waiting.retain(|seq| seq.id != id);
        self.running.retain(|seq| seq.id != id);
    }

    /// Ends the engine and returns the calls that it held.
    pub fn die(&mut self) -> Vec<Id> {
        self.health = Health::Dead;
        self.cache.clear();
        let all = self.waiting.drain(..).chain(self.running.drain(..));
        all.map(|seq| seq.id).collect()
    }

    /// Lets `dt` seconds pass.
    pub fn step(&mut self, dt: f64, out: &mut Vec<Output>) {
        let factor = match self.health {
            Health::Well => 1.0,
            Health::Crawling(factor) => factor,
            Health::Frozen | Health::Dead => return,
        };
        let dt = dt / factor;
        self.start();
        let prefilling = self.prefill(dt);
        self.decode(dt, prefilling, out);
    }

    fn start(&mut self) {
        while self.running.len() < self.config.slots && !self.waiting.is_empty() {
            let mut seq = self.waiting.remove(0);
            if self.cache.contains(&seq.prefix) {
                self.cached += seq.prefix_tokens;
            } else {
                seq.prefill += seq.prefix_tokens;
            }
            self.cache.retain(|prefix| *prefix != seq.prefix);
            self.cache.push_back(seq.prefix);
            if self.cache.len() > self.config.cache {
                self.cache.pop_front();
            }
            self.running.push(seq);
        }
    }

    /// Prefills in the order of arrival; true if any prefill took place.
    fn prefill(&mut self, dt: f64) -> bool {
        let mut budget = dt * self.config.prefill_rate;
        let mut any = false;
        for seq in self.running.iter_mut().filter(|seq| seq.prefill > 0.0) {
            let part = seq.prefill.min(budget);
            seq.prefill -= part;
            budget -= part;
            self.prefilled += part;
            any = true;
        }
        any
    }

    fn decode(&mut self, dt: f64, prefilling: bool, out: &mut Vec<Output>) {
        let use_ = self.running.len() as f64 / self.config.slots as f64;
        let slowed = if prefilling { 1.5 } else { 1.0 };
        let gap = self.config.gap * (1.0 + self.config.batch_cost * use_) * slowed;
        self.running.retain_mut(|seq| {
            if seq.prefill > 0.0 {
                return true;
            }
            seq.progress += dt / gap;
            let tokens = seq.progress.floor().min(seq.left);
            seq.progress -= tokens;
            seq.left -= tokens;
            if tokens > 0.0 {
                out.push(Output::Tokens(seq.id, tokens as usize));
            }
            let done = seq.left <= 0.0;
            if done {
                out.push(Output::Done(seq.id));
            }
            !done
        });
    }
}
