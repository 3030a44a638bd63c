//! Simulated engine of a replay: continuous batching with chunked prefill, a bounded KV
//! cache, copies of other engines' KV caches, and delayed load reports.

use std::collections::VecDeque;

use winch_relay::replica::Report;

/// Index of a stream in the list of its replay.
pub type StreamId = usize;

/// Number of runs in the batch from which on no queued run is admitted.
const SLOTS: usize = 64;
/// Capacity of the KV cache in tokens.
const KV_CAPACITY_TOKENS: u64 = 88_000;
/// Duration of a step with an empty batch, in seconds.
const BASE_STEP_S: f64 = 0.004_63;
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
    /// Tokens reserved in the KV cache.
    pub kv_tokens: u64,
}

/// Engine of a replica.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    running: Vec<Run>,
    waiting: VecDeque<Run>,
    /// Copies of KV caches: the stream and its reserved tokens.
    copies: Vec<(StreamId, u64)>,
    /// Recorded loads with their times, oldest first.
    reports: VecDeque<(f64, Report)>,
    /// Whether the replica is lost.
    pub lost: bool,
    /// Whether the connections to the lost replica are not reset.
    pub dark: bool,
    /// Factor on the duration of steps; 0 means 1.
    pub slow: f64,
    /// Number of crashes so far. The end of a step that began before the last crash is ignored.
    pub incarnation: u32,
    is_stepping: bool,
}

impl Engine {
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
            self.waiting.push_back(run);
        }
    }

    /// Stores the copy of a stream's KV cache; returns false if the KV cache of this engine has
    /// no room for it.
    pub fn store_copy(&mut self, stream: StreamId, kv_tokens: u64) -> bool {
        let fits = self.used_tokens() + kv_tokens <= KV_CAPACITY_TOKENS;
        if fits {
            self.copies.push((stream, kv_tokens));
        }
        fits
    }

    /// Removes the copy of a stream; returns whether there was one.
    pub fn drop_copy(&mut self, stream: StreamId) -> bool {
        let before = self.copies.len();
        self.copies.retain(|(other, _)| *other != stream);
        self.copies.len() < before
    }

    /// Removes the run of a stream.
    pub fn remove(&mut self, stream: StreamId) {
        self.running.retain(|run| run.stream != stream);
        self.waiting.retain(|run| run.stream != stream);
    }

    /// Crashes the engine, which loses its copies too, and returns the streams that were queued
    /// or running.
    pub fn crash(&mut self, dark: bool) -> Vec<StreamId> {
        let runs = self.running.drain(..).chain(self.waiting.drain(..));
        let streams = runs.map(|run| run.stream).collect();
        *self = Self { lost: true, dark, incarnation: self.incarnation + 1, ..Self::default() };
        streams
    }

    /// Admits queued runs, starts a step and returns its duration in seconds.
    ///
    /// `None` if no run is in the batch, a step is in progress or the replica is lost.
    pub fn begin_step(&mut self) -> Option<f64> {
        if self.is_stepping || self.lost {
            return None;
        }
        while self.running.len() < SLOTS {
            let Some(run) = self.waiting.front() else { break };
            if self.used_tokens() + run.kv_tokens > KV_CAPACITY_TOKENS {
                break;
            }
            self.running.extend(self.waiting.pop_front());
        }
        if self.running.is_empty() {
            return None;
        }
        self.is_stepping = true;
        let chunk = self.running.iter().find(|run| run.to_prefill > 0);
        let chunk = chunk.map_or(0, |run| run.to_prefill.min(PREFILL_CHUNK_TOKENS));
        let step = BASE_STEP_S
            + STEP_PER_RUN_S * self.running.len() as f64
            + STEP_PER_TOKEN_S * self.used_tokens() as f64
            + chunk as f64 / PREFILL_TOKENS_PER_S;
        Some(step * if self.slow > 0.0 { self.slow } else { 1.0 })
    }

    /// Ends the step in progress and returns the streams that generated a token.
    pub fn end_step(&mut self) -> Vec<StreamId> {
        self.is_stepping = false;
        let mut produced = Vec::new();
        let mut is_chunk_left = true;
        for run in &mut self.running {
            if run.to_prefill == 0 {
                produced.push(run.stream);
            } else if std::mem::take(&mut is_chunk_left) {
                run.to_prefill -= run.to_prefill.min(PREFILL_CHUNK_TOKENS);
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
            total_tokens: KV_CAPACITY_TOKENS,
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
        let empty = Report { total_tokens: KV_CAPACITY_TOKENS, ..Report::default() };
        self.reports.front().map_or(empty, |(_, report)| report.clone())
    }
}
