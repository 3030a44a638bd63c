//! Compares ways to handle stalls by the latency of resumes and the extra work,
//! under faults of the engines.
//!
//! Each engine runs a fixed number of endless streams. The fault is injected after these
//! have run for 20 s. A row gives the gaps that callers see when their streams move off a
//! faulty engine, and counts recomputed tokens, hedges and false alarms.

mod faults;
mod recovery;

use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use winch_generation::{
    answer::{Accept, Answer, Attempt},
    stall::{Baseline, Detector, Mode, Options},
};
use winch_route::pace::Pacer;

use crate::{
    model::{self, Call, Engine, Output},
    table::{self, Table},
};

/// Settings of the experiment.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Number of simulated engines.
    pub engines: usize,
    /// Simulated seconds from the fault on.
    pub seconds: u32,
    /// Seed of the first run.
    pub seed: u64,
    /// Number of runs, with consecutive seeds, that each row sums up.
    pub seeds: u64,
}

/// Fault that is injected into the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault, to count false alarms.
    None,
    /// One engine crashes and its connections break.
    Death,
    /// One engine stalls with its connections open.
    Freeze,
    /// One engine becomes twenty times slower.
    Crawl,
    /// A quarter of the engines stall at once with their connections open, as when a rack loses
    /// its network.
    Rack,
}

const FAULTS: [Fault; 5] = [Fault::None, Fault::Death, Fault::Freeze, Fault::Crawl, Fault::Rack];
const STEP_S: f64 = 0.01;
const FAULT_AT_S: f64 = 20.0;
/// Interval of load reports on a stream without tokens.
const REPORT_INTERVAL_S: f64 = 0.2;
/// Time for which an engine with a stalled attempt is not chosen, as in the router of
/// winch-route.
const SUSPICION_S: f64 = 1.0;

/// An attempt that runs on an engine or is queued there.
struct LiveAttempt {
    attempt: Attempt,
    engine: usize,
    /// Id of the call to the engine.
    id: usize,
    detector: Detector,
    /// Time of the last token or load report.
    last_activity_at: f64,
    /// Offset of the next token from the engine.
    next_offset: usize,
    /// Whether the pacer still counts the attempt as a resume in prefill.
    is_paced: bool,
}

struct Stream {
    answer: Answer,
    attempts: Vec<LiveAttempt>,
    last_token_at: f64,
    /// Whether an attempt was dropped or hedged since the last token.
    is_interrupted: bool,
    /// Place in the queue of the pacer.
    waiter: Option<u64>,
    /// Engines on which attempts were dropped or hedged.
    tried: Vec<usize>,
}

struct Simulation {
    options: Options,
    engines: Vec<Engine>,
    streams: Vec<Stream>,
    /// Stream of each call id.
    stream_of_call: Vec<usize>,
    pacer: Pacer,
    baseline: Baseline,
    /// Probability per engine and step that a short call is submitted.
    short_call_probability: f64,
    rng: SmallRng,
    now: f64,
    /// Gap in the answer at each resume of a stream from a faulty engine.
    resume_gaps_ms: Histogram<u64>,
    recomputed_tokens: usize,
    hedges: usize,
    hedges_wasted: usize,
    false_alarms: usize,
    /// Whether the fault affects each engine.
    is_faulty: Vec<bool>,
    /// Time until which each engine is not chosen.
    suspected_until: Vec<f64>,
}

/// Simulates all faults, loads and modes, and returns one row for each combination.
pub fn run(config: &Config) -> Table {
    let columns = [
        "fault",
        "load",
        "mode",
        "resumed",
        "p50_ms",
        "p95_ms",
        "max_ms",
        "recomputed_tokens",
        "hedges",
        "hedges_wasted",
        "false_alarms",
    ];
    let mut table = Table::new("resume", &columns);
    let secs = Duration::from_secs;
    let modes = [
        ("fixed_1s", Mode::Fixed { idle_timeout: secs(1) }),
        ("fixed_3s", Mode::Fixed { idle_timeout: secs(3) }),
        ("adaptive", Mode::Adaptive),
        ("hedged", Mode::Hedged),
    ];
    for fault in FAULTS {
        for (load, per_engine) in [("low", 4), ("normal", 10), ("over", 15)] {
            for (name, mode) in modes {
                let cells = measure(config, fault, per_engine, mode);
                let mut row = vec![format!("{fault:?}"), load.to_owned(), name.to_owned()];
                row.extend(cells);
                table.row(&row);
            }
        }
    }
    table
}

/// Simulates all seeds and returns the cells of a row from `resumed` on.
fn measure(config: &Config, fault: Fault, per_engine: usize, mode: Mode) -> Vec<String> {
    let mut resume_gaps_ms: Histogram<u64> = table::milliseconds();
    let mut sums = [0_usize; 4];
    for offset in 0..config.seeds {
        let simulation =
            Simulation::new(config, per_engine, mode, config.seed + offset).run(config, fault);
        resume_gaps_ms
            .add(&simulation.resume_gaps_ms)
            .expect("both histograms have the same bounds");
        let counts = [
            simulation.recomputed_tokens,
            simulation.hedges,
            simulation.hedges_wasted,
            simulation.false_alarms,
        ];
        sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
    }
    let mut cells = vec![resume_gaps_ms.len().to_string()];
    let quantile = |q| resume_gaps_ms.value_at_quantile(q).to_string();
    cells.extend([quantile(0.5), quantile(0.95), resume_gaps_ms.max().to_string()]);
    cells.extend(sums.map(|sum| sum.to_string()));
    cells
}

impl Simulation {
    fn new(config: &Config, per_engine: usize, mode: Mode, seed: u64) -> Self {
        let engine = Engine::new(model::Config::default());
        let mut simulation = Self {
            options: Options { mode, ..Options::default() },
            engines: vec![engine; config.engines],
            streams: Vec::new(),
            stream_of_call: Vec::new(),
            pacer: Pacer::default(),
            baseline: Baseline::default(),
            short_call_probability: if per_engine >= 15 { 0.02 } else { 0.01 },
            rng: SmallRng::seed_from_u64(seed),
            now: 0.0,
            resume_gaps_ms: table::milliseconds(),
            recomputed_tokens: 0,
            hedges: 0,
            hedges_wasted: 0,
            false_alarms: 0,
            is_faulty: vec![false; config.engines],
            suspected_until: vec![0.0; config.engines],
        };
        for number in 0..per_engine * config.engines {
            let stream = Stream {
                answer: Answer::new(&number.to_le_bytes()),
                attempts: Vec::new(),
                last_token_at: 0.0,
                is_interrupted: false,
                waiter: None,
                tried: Vec::new(),
            };
            simulation.streams.push(stream);
            simulation.submit(number, number % config.engines, false);
        }
        simulation
    }

    fn time(&self) -> Duration {
        Duration::from_secs_f64(self.now)
    }

    /// Starts an attempt of a stream: a hedge beside the live ones, or a replacement of them.
    fn submit(&mut self, stream: usize, engine: usize, as_hedge: bool) {
        const PROMPT_TOKENS: f64 = 800.0;
        const UNBOUNDED_TOKENS: f64 = 1e9;
        let id = self.stream_of_call.len();
        self.stream_of_call.push(stream);
        let (now, time) = (self.now, self.time());
        let state = &mut self.streams[stream];
        let attempt =
            if as_hedge { state.answer.start_hedge() } else { state.answer.start_attempt() };
        let next_offset = state.answer.len();
        let resumed = next_offset > 0;
        self.recomputed_tokens += next_offset;
        let detector = Detector::new(time);
        state.attempts.push(LiveAttempt {
            attempt,
            engine,
            id,
            detector,
            last_activity_at: now,
            next_offset,
            is_paced: false,
        });
        self.engines[engine].submit(Call {
            id,
            prefix: stream as u64,
            prefix_tokens: PROMPT_TOKENS,
            suffix_tokens: next_offset as f64,
            output_tokens: UNBOUNDED_TOKENS,
            priority: if resumed { 4 } else { 5 },
        });
    }

    /// Simulates all steps and injects the fault at [`FAULT_AT_S`].
    fn run(mut self, config: &Config, fault: Fault) -> Self {
        let end = FAULT_AT_S + f64::from(config.seconds);
        let mut out = Vec::new();
        let mut injected = false;
        while self.now < end {
            if !injected && self.now >= FAULT_AT_S {
                injected = true;
                self.inject(fault);
            }
            // The prefill of other calls delays decoding.
            for _ in 0..self.engines.len() {
                if self.rng.random_bool(self.short_call_probability) {
                    self.submit_short_call();
                }
            }
            for engine in 0..self.engines.len() {
                out.clear();
                self.engines[engine].step(STEP_S, &mut out);
                for output in &out {
                    if let Output::Tokens(id, count) = *output
                        && id < self.stream_of_call.len()
                    {
                        self.record_tokens(id, count);
                    }
                }
                self.report_load(engine);
            }
            for stream in 0..self.streams.len() {
                self.check_stalls(stream);
                self.recover(stream);
            }
            self.now += STEP_S;
        }
        self
    }

    /// Ends a live attempt of a stream; [`Self::recover`] starts another one if none is left.
    fn drop_attempt(&mut self, stream: usize, id: usize) {
        let state = &mut self.streams[stream];
        let Some(at) = state.attempts.iter().position(|live| live.id == id) else {
            return;
        };
        let live = state.attempts.swap_remove(at);
        state.answer.abandon(live.attempt);
        state.tried.push(live.engine);
        state.is_interrupted = true;
        if live.is_paced {
            self.pacer.finish();
        }
        self.engines[live.engine].cancel(id);
    }

    /// Records tokens of an attempt. The first of several live attempts that yields a token wins,
    /// and the others are cancelled.
    fn record_tokens(&mut self, id: usize, count: usize) {
        let (now, time) = (self.now, self.time());
        let state = &mut self.streams[self.stream_of_call[id]];
        let Some(at) = state.attempts.iter().position(|live| live.id == id) else {
            return;
        };
        let (attempt, engine) = (state.attempts[at].attempt, state.attempts[at].engine);
        for _ in 0..count {
            let offset = state.attempts[at].next_offset;
            state.attempts[at].next_offset += 1;
            let accepted = state.answer.append(attempt, offset, "t");
            if accepted == Ok(Accept::Won) {
                // A hedge is wasted if the attempt that it backs up is not on a faulty engine.
                self.hedges_wasted +=
                    usize::from(!state.is_interrupted || !self.is_faulty[state.attempts[0].engine]);
                let losing_engines: Vec<usize> = state
                    .attempts
                    .iter()
                    .filter(|l| l.attempt != attempt)
                    .map(|l| l.engine)
                    .collect();
                for loser in losing_engines {
                    let ids: Vec<usize> =
                        state.attempts.iter().filter(|l| l.engine == loser).map(|l| l.id).collect();
                    ids.into_iter().for_each(|id| self.engines[loser].cancel(id));
                }
                state.attempts.retain(|live| live.attempt == attempt);
                break;
            }
            if accepted.is_err() {
                return;
            }
        }
        let Some(live) = state.attempts.iter_mut().find(|live| live.id == id) else {
            return;
        };
        let prefill = live.detector.in_prefill().then(|| live.detector.age(time));
        if let Some(gap) = live.detector.record_token(time) {
            self.baseline.observe_gap(gap);
        }
        if let Some(prefill) = prefill {
            self.baseline.observe_prefill(prefill);
        }
        live.last_activity_at = now;
        self.suspected_until[engine] = 0.0;
        if std::mem::take(&mut live.is_paced) {
            self.pacer.finish();
        }
        // Only resumes that replace an attempt on a faulty engine are recorded.
        if std::mem::take(&mut state.is_interrupted) && !self.is_faulty[engine] && now > FAULT_AT_S
        {
            let gap_ms = ((now - state.last_token_at) * 1_000.0) as u64;
            if state.tried.iter().any(|tried| self.is_faulty[*tried]) {
                self.resume_gaps_ms.saturating_record(gap_ms);
            }
            state.tried.clear();
        }
        state.last_token_at = now;
    }
}
