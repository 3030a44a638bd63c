//! A small simulation of a model engine: continuous batching, a prefix cache and
//! priorities.
//!
//! An experiment submits calls and advances the time in steps of its choice; each step
//! yields the tokens and completed calls of the engine.

use std::collections::VecDeque;

/// Id of a call, unique in one experiment.
pub type Id = usize;

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Maximum number of calls that run at the same time.
    pub slots: usize,
    /// Seconds between tokens while the batch is empty.
    pub token_gap_s: f64,
    /// Relative increase of the time between tokens with a full batch.
    pub batch_cost: f64,
    /// Prompt tokens prefilled per second.
    pub prefill_tokens_per_s: f64,
    /// Maximum number of prefixes in the cache, from which the least recently used is evicted.
    pub cache_size: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            slots: 16,
            token_gap_s: 0.030,
            batch_cost: 0.6,
            prefill_tokens_per_s: 8_000.0,
            cache_size: 12,
        }
    }
}

/// State of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// Works at full speed.
    Healthy,
    /// Works slower by this factor.
    Slow(f64),
    /// Makes no progress, but keeps its connections open.
    Frozen,
    /// Refuses connections.
    Dead,
}

#[derive(Clone, Debug)]
struct Sequence {
    id: Id,
    prefix: u64,
    prefix_tokens: f64,
    /// Prompt tokens that are still to be prefilled.
    prefill_tokens: f64,
    /// Fraction of the next token that is already decoded.
    progress: f64,
    remaining_tokens: f64,
    priority: u8,
}

/// Progress of a call in one step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Output {
    /// Number of tokens that a call generated, usually one and never zero.
    Tokens(Id, usize),
    /// A call is complete.
    Done(Id),
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    config: Config,
    /// Current state.
    pub health: Health,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    cache: VecDeque<u64>,
    /// Prompt tokens prefilled since the start.
    pub prefilled_tokens: f64,
    /// Prompt tokens found in the prefix cache since the start.
    pub cached_tokens: f64,
}

/// A call to an engine.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Id used in [`Output`] and [`Engine::cancel`].
    pub id: Id,
    /// Id of the prompt's prefix.
    pub prefix: u64,
    /// Tokens of the prefix, which are prefilled unless they are cached.
    pub prefix_tokens: f64,
    /// Tokens after the prefix, which are always prefilled.
    pub suffix_tokens: f64,
    /// Tokens to generate.
    pub output_tokens: f64,
    /// Lower values are more urgent.
    pub priority: u8,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            health: Health::Healthy,
            waiting: Vec::new(),
            running: Vec::new(),
            cache: VecDeque::new(),
            prefilled_tokens: 0.0,
            cached_tokens: 0.0,
        }
    }

    /// Returns the number of running and queued calls.
    pub fn load(&self) -> u32 {
        (self.waiting.len() + self.running.len()) as u32
    }

    /// Queues a call behind those of the same or a higher urgency.
    pub fn submit(&mut self, call: Call) {
        let sequence = Sequence {
            id: call.id,
            prefix: call.prefix,
            prefix_tokens: call.prefix_tokens,
            prefill_tokens: call.suffix_tokens,
            progress: 0.0,
            remaining_tokens: call.output_tokens,
            priority: call.priority,
        };
        let at = self.waiting.partition_point(|other| other.priority <= sequence.priority);
        self.waiting.insert(at, sequence);
    }

    /// Removes a call.
    pub fn cancel(&mut self, id: Id) {
        self.waiting.retain(|sequence| sequence.id != id);
        self.running.retain(|sequence| sequence.id != id);
    }

    /// Crashes the engine and returns the calls that were queued or running.
    pub fn crash(&mut self) -> Vec<Id> {
        self.health = Health::Dead;
        self.cache.clear();
        let all = self.waiting.drain(..).chain(self.running.drain(..));
        all.map(|sequence| sequence.id).collect()
    }

    /// Advances the engine by `dt` seconds and appends the progress to `out`.
    pub fn step(&mut self, dt: f64, out: &mut Vec<Output>) {
        let factor = match self.health {
            Health::Healthy => 1.0,
            Health::Slow(factor) => factor,
            Health::Frozen | Health::Dead => return,
        };
        let dt = dt / factor;
        self.admit();
        let is_prefilling = self.prefill(dt);
        self.decode(dt, is_prefilling, out);
    }

    /// Moves queued calls into free slots.
    fn admit(&mut self) {
        while self.running.len() < self.config.slots && !self.waiting.is_empty() {
            let mut sequence = self.waiting.remove(0);
            if self.cache.contains(&sequence.prefix) {
                self.cached_tokens += sequence.prefix_tokens;
            } else {
                sequence.prefill_tokens += sequence.prefix_tokens;
            }
            self.cache.retain(|prefix| *prefix != sequence.prefix);
            self.cache.push_back(sequence.prefix);
            if self.cache.len() > self.config.cache_size {
                self.cache.pop_front();
            }
            self.running.push(sequence);
        }
    }

    /// Prefills running calls in order of admission; returns whether there were any to prefill.
    fn prefill(&mut self, dt: f64) -> bool {
        let mut budget = dt * self.config.prefill_tokens_per_s;
        let mut is_prefilling = false;
        for sequence in self.running.iter_mut().filter(|sequence| sequence.prefill_tokens > 0.0) {
            let part = sequence.prefill_tokens.min(budget);
            sequence.prefill_tokens -= part;
            budget -= part;
            self.prefilled_tokens += part;
            is_prefilling = true;
        }
        is_prefilling
    }

    /// Generates tokens for all prefilled calls; any prefill slows the whole batch.
    fn decode(&mut self, dt: f64, is_prefilling: bool, out: &mut Vec<Output>) {
        let occupancy = self.running.len() as f64 / self.config.slots as f64;
        let prefill_factor = if is_prefilling { 1.5 } else { 1.0 };
        let gap =
            self.config.token_gap_s * (1.0 + self.config.batch_cost * occupancy) * prefill_factor;
        self.running.retain_mut(|sequence| {
            if sequence.prefill_tokens > 0.0 {
                return true;
            }
            sequence.progress += dt / gap;
            let tokens = sequence.progress.floor().min(sequence.remaining_tokens);
            sequence.progress -= tokens;
            sequence.remaining_tokens -= tokens;
            if tokens > 0.0 {
                out.push(Output::Tokens(sequence.id, tokens as usize));
            }
            let is_done = sequence.remaining_tokens <= 0.0;
            if is_done {
                out.push(Output::Done(sequence.id));
            }
            !is_done
        });
    }
}
