//! Simulated engine of a replay: continuous batching with chunked prefill.

use std::collections::VecDeque;

use winch_relay::replica::Report;

/// Number of a stream, unique in a replay.
pub type Stream = usize;

/// Requests that run at the same time.
const SLOTS: usize = 64;
/// Capacity of the KV cache in tokens.
const KV_CAPACITY_TOKENS: u64 = 88_000;
/// Duration of a step with an empty batch, in seconds.
const BASE_STEP_S: f64 = 0.004_63;
/// Increase of a step's duration per run in the batch, in seconds.
const STEP_PER_RUN_S: f64 = 0.000_153;
/// Increase of a step's duration per token in the KV cache, in seconds.
const STEP_PER_TOKEN_S: f64 = 0.002_75e-6;
/// Prompt tokens prefilled in one step at most.
const PREFILL_CHUNK_TOKENS: u64 = 200;
/// Prompt tokens prefilled per second.
const PREFILL_TOKENS_PER_S: f64 = 8_000.0;

/// One run of a stream.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Stream that the run serves.
    pub stream: Stream,
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
    copies: Vec<(Stream, u64)>,
    reports: VecDeque<(f64, Report)>,
    /// Whether the replica is lost.
    pub lost: bool,
    /// Whether the connections of the lost replica are not reset.
    pub dark: bool,
    /// Factor on the duration of steps; 0 means 1.
    pub slow: f64,
    /// Number of crashes so far. Steps of an earlier incarnation are ignored.
    pub incarnation: u32,
    stepping: bool,
}

impl Engine {
    fn used_tokens(&self) -> u64 {
        let runs: u64 = self.running.iter().map(|run| run.kv_tokens).sum();
        runs + self.copies.iter().map(|(_, kv_tokens)| kv_tokens).sum::<u64>()
    }

    /// Accepts a run; the caller then has to call [`Engine::begin_step`].
    ///
    /// A run that resumes from a copy skips the queue and is prefilled before others.
    pub fn submit(&mut self, run: Run, from_copy: bool) {
        if from_copy {
            self.running.insert(0, run);
        } else {
            self.waiting.push_back(run);
        }
    }

    /// Stores the copy of a stream's KV cache; returns false if there is no room.
    pub fn store_copy(&mut self, stream: Stream, kv_tokens: u64) -> bool {
        let fits = self.used_tokens() + kv_tokens <= KV_CAPACITY_TOKENS;
        if fits {
            self.copies.push((stream, kv_tokens));
        }
        fits
    }

    /// Removes the copy of a stream; returns whether there was one.
    pub fn drop_copy(&mut self, stream: Stream) -> bool {
        let before = self.copies.len();
        self.copies.retain(|(other, _)| *other != stream);
        self.copies.len() < before
    }

    /// Removes the run of a stream.
    pub fn remove(&mut self, stream: Stream) {
        self.running.retain(|run| run.stream != stream);
        self.waiting.retain(|run| run.stream != stream);
    }

    /// Crashes the engine and returns the streams that were queued or running.
    pub fn crash(&mut self, dark: bool) -> Vec<Stream> {
        let runs = self.running.drain(..).chain(self.waiting.drain(..));
        let streams = runs.map(|run| run.stream).collect();
        *self = Self { lost: true, dark, incarnation: self.incarnation + 1, ..Self::default() };
        streams
    }

    /// Starts a step and returns its duration in seconds.
    ///
    /// `None` if there is no work, a step is in progress or the replica is lost.
    pub fn begin_step(&mut self) -> Option<f64> {
        if self.stepping || self.lost {
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
        self.stepping = true;
        let chunk = self.running.iter().find(|run| run.to_prefill > 0);
        let chunk = chunk.map_or(0, |run| run.to_prefill.min(PREFILL_CHUNK_TOKENS));
        let step = BASE_STEP_S
            + STEP_PER_RUN_S * self.running.len() as f64
            + STEP_PER_TOKEN_S * self.used_tokens() as f64
            + chunk as f64 / PREFILL_TOKENS_PER_S;
        Some(step * if self.slow > 0.0 { self.slow } else { 1.0 })
    }

    /// Ends the step in progress and returns the streams that generated a token.
    pub fn end_step(&mut self) -> Vec<Stream> {
        self.stepping = false;
        let mut produced = Vec::new();
        let mut chunk_left = true;
        for run in &mut self.running {
            if run.to_prefill == 0 {
                produced.push(run.stream);
            } else if std::mem::take(&mut chunk_left) {
                run.to_prefill -= run.to_prefill.min(PREFILL_CHUNK_TOKENS);
            }
        }
        produced
    }

    /// Records the current load for reports that are `lag` seconds old when read.
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

    /// Returns the load report that is `lag` seconds old, as given to [`Engine::record_load`].
    pub fn report(&self) -> Report {
        let empty = Report { total_tokens: KV_CAPACITY_TOKENS, ..Report::default() };
        self.reports.front().map_or(empty, |(_, report)| *report)
    }
}
