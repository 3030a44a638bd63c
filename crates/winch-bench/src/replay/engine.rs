//! Simulated engine of a replay: continuous batching with chunked prefill, priorities, a
//! bounded KV cache, copies of other engines' KV caches, and delayed load reports.

use std::collections::VecDeque;

use winch_relay::replica::Report;

use super::pattern::Model;

/// Index of a stream in the list of its replay.
pub type StreamId = usize;

/// Increase of a step's duration per run in the batch, in seconds.
const STEP_PER_RUN_S: f64 = 0.000_153;
/// Increase of a step's duration per token in the KV cache, in seconds.
const STEP_PER_TOKEN_S: f64 = 0.002_75e-6;
/// Maximum number of prompt tokens prefilled in one step.
const PREFILL_CHUNK_TOKENS: u64 = 200;
/// Prompt tokens prefilled per second. The prefill of a chunk prolongs its step.
const PREFILL_TOKENS_PER_S: f64 = 8_000.0;

/// One run of a stream.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Stream that the run serves.
    pub stream: StreamId,
    /// Tokens still to prefill before the next token is generated.
    pub to_prefill: u64,
    /// Tokens prefilled so far.
    pub prefilled: u64,
    /// Tokens reserved in the KV cache, or taken there if the engine allocates on demand.
    pub kv_tokens: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// Engine of a replica.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    model: Model,
    /// Factor on the duration of steps.
    step_factor: f64,
    /// In order of admission.
    running: Vec<Run>,
    /// In order of priority, then of arrival.
    waiting: VecDeque<Run>,
    /// Copies of KV caches: the stream and its reserved tokens.
    copies: Vec<(StreamId, u64)>,
    /// Recorded loads with their times, oldest first.
    reports: VecDeque<(f64, Report)>,
    /// Whether the replica is lost.
    pub lost: bool,
    /// Whether the connections to the lost replica are not reset.
    pub dark: bool,
    /// Factor on the duration of steps in a slow period; 0 means 1.
    pub slow: f64,
    /// Number of crashes so far. The end of a step that began before the last crash is ignored.
    pub incarnation: u32,
    is_stepping: bool,
}

impl Engine {
    /// Creates an idle engine whose steps take `step_factor` times as long as those of `model`.
    pub fn new(model: Model, step_factor: f64) -> Self {
        Self { model, step_factor, ..Self::default() }
    }

    fn used_tokens(&self) -> u64 {
        let runs: u64 = self.running.iter().map(|run| run.kv_tokens).sum();
        runs + self.copies.iter().map(|(_, kv_tokens)| kv_tokens).sum::<u64>()
    }

    /// Accepts a run. To start it, the simulation has to call [`Engine::begin_step`] next.
    ///
    /// A run that resumes from a copy skips the queue, even if all slots are taken or the KV
    /// cache is full, and is prefilled before others.
    pub fn submit(&mut self, run: Run, from_copy: bool) {
        if from_copy {
            self.running.insert(0, run);
        } else {
            let index = self.waiting.partition_point(|other| other.priority <= run.priority);
            self.waiting.insert(index, run);
        }
    }

    /// Stores the copy of a stream's KV cache; returns false if the KV cache of this engine has
    /// no room for it.
    pub fn store_copy(&mut self, stream: StreamId, kv_tokens: u64) -> bool {
        let fits = self.used_tokens() + kv_tokens <= self.model.kv_tokens;
        if fits {
            self.copies.push((stream, kv_tokens));
        }
        fits
    }

    /// Grows the copy of a stream to `kv_tokens`; returns false if there is none, or if there is no
    /// room for it, in which case it is removed.
    pub fn grow_copy(&mut self, stream: StreamId, kv_tokens: u64) -> bool {
        let exists = self.copies.iter().any(|(other, _)| *other == stream);
        self.drop_copy(stream);
        exists && self.store_copy(stream, kv_tokens)
    }

    /// Removes the copy of a stream.
    pub fn drop_copy(&mut self, stream: StreamId) {
        self.copies.retain(|(other, _)| *other != stream);
    }

    /// Removes the run of a stream; returns the number of tokens that were prefilled for it.
    pub fn remove(&mut self, stream: StreamId) -> u64 {
        let runs = self.running.iter().chain(&self.waiting);
        let prefilled = runs.filter(|run| run.stream == stream).map(|run| run.prefilled).sum();
        self.running.retain(|run| run.stream != stream);
        self.waiting.retain(|run| run.stream != stream);
        prefilled
    }

    /// Crashes the engine, which loses its copies too, and returns the runs that were queued
    /// or running.
    pub fn crash(&mut self, dark: bool) -> Vec<Run> {
        let runs = self.running.drain(..).chain(self.waiting.drain(..)).collect();
        let incarnation = self.incarnation + 1;
        *self = Self { lost: true, dark, incarnation, ..Self::new(self.model, self.step_factor) };
        runs
    }

    /// Preempts the newest of the least urgent runs until there is KV cache for the next token of
    /// all others, and returns the preempted runs as they were. They are queued again.
    ///
    /// The last run is never preempted, because nothing else would free memory for it. Does
    /// nothing while a step is in progress.
    pub fn preempt(&mut self) -> Vec<Run> {
        let mut preempted = Vec::new();
        if self.is_stepping || !self.model.on_demand {
            return preempted;
        }
        while self.running.len() > 1
            && self.used_tokens() + self.running.len() as u64 > self.model.kv_tokens
        {
            let newest = (0..self.running.len()).max_by_key(|i| (self.running[*i].priority, *i));
            let run = self.running.remove(newest.unwrap_or_default());
            let queued = Run { to_prefill: run.kv_tokens, prefilled: 0, ..run };
            let index = self.waiting.partition_point(|other| other.priority < run.priority);
            self.waiting.insert(index, queued);
            preempted.push(run);
        }
        preempted
    }

    /// Whether the first queued run can be admitted.
    fn admits_next(&self) -> bool {
        let Some(run) = self.waiting.front() else { return false };
        let on_demand = self.model.on_demand;
        let is_prefilling = self.running.iter().any(|run| run.to_prefill > 0);
        // Tokens of the next step, so that a run is not preempted in it.
        let growth = if on_demand { self.running.len() as u64 + 1 } else { 0 };
        self.running.len() < self.model.slots
            && !(on_demand && is_prefilling)
            && self.used_tokens() + run.kv_tokens + growth <= self.model.kv_tokens
    }

    /// Admits queued runs, starts a step and returns its duration in seconds.
    ///
    /// `None` if no run is in the batch, a step is in progress or the replica is lost.
    pub fn begin_step(&mut self) -> Option<f64> {
        if self.is_stepping || self.lost {
            return None;
        }
        while self.admits_next() {
            self.running.extend(self.waiting.pop_front());
        }
        if self.running.is_empty() {
            return None;
        }
        self.is_stepping = true;
        let chunk = self.running.iter().find(|run| run.to_prefill > 0);
        let chunk = chunk.map_or(0, |run| run.to_prefill.min(PREFILL_CHUNK_TOKENS));
        let step = self.model.step
            + STEP_PER_RUN_S * self.running.len() as f64
            + STEP_PER_TOKEN_S * self.used_tokens() as f64
            + chunk as f64 / PREFILL_TOKENS_PER_S;
        Some(step * self.step_factor * if self.slow > 0.0 { self.slow } else { 1.0 })
    }

    /// Ends the step in progress and returns the streams that generated a token.
    pub fn end_step(&mut self) -> Vec<StreamId> {
        self.is_stepping = false;
        let mut produced = Vec::new();
        let mut is_chunk_left = true;
        for run in &mut self.running {
            if run.to_prefill == 0 {
                run.kv_tokens += u64::from(self.model.on_demand);
                produced.push(run.stream);
            } else if std::mem::take(&mut is_chunk_left) {
                let chunk = run.to_prefill.min(PREFILL_CHUNK_TOKENS);
                run.to_prefill -= chunk;
                run.prefilled += chunk;
            }
        }
        produced
    }

    /// Records the current load, and drops records that no report with this `lag` in seconds
    /// needs any more.
    pub fn record_load(&mut self, now: f64, lag: f64) {
        let prefilling = self.running.iter().filter(|run| run.to_prefill > 0).count();
        let report = Report {
            waiting: self.waiting.len() as u32,
            running: self.running.len() as u32,
            prefilling: prefilling as u32,
            used_tokens: self.used_tokens(),
            total_tokens: self.model.kv_tokens,
            ..Report::default()
        };
        self.reports.push_back((now, report));
        while self.reports.get(1).is_some_and(|(at, _)| *at <= now - lag) {
            self.reports.pop_front();
        }
    }

    /// Returns the newest record that is at least `lag` seconds old, as of the last call of
    /// [`Engine::record_load`].
    ///
    /// If there is none yet, after the start or a crash, returns the oldest record, or an empty
    /// one.
    pub fn report(&self) -> Report {
        let empty = Report { total_tokens: self.model.kv_tokens, ..Report::default() };
        self.reports.front().map_or(empty, |(_, report)| report.clone())
    }
}
