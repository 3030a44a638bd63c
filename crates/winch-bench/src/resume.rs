//! Resume latency against extra work, by the way that stalls are answered.

use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use winch_generation::{
    answer::{Accept, Answer, Attempt},
    stall::{Action, Baseline, Detector, Mode, Options},
};
use winch_route::pace::Pacer;

use crate::{
    model::{self, Call, Engine, Health, Output},
    table::{self, Table},
};

/// What is run.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Engines.
    pub engines: usize,
    /// Simulated seconds after the fault.
    pub seconds: u32,
    /// First seed.
    pub seed: u64,
    /// Seeds in all.
    pub seeds: u64,
}

/// What happens to the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing, to count false alarms.
    None,
    /// One dies and its connections break.
    Death,
    /// One falls silent.
    Freeze,
    /// One becomes twenty times slower.
    Crawl,
    /// A quarter vanishes at once without a word.
    Rack,
}

const FAULTS: [Fault; 5] = [Fault::None, Fault::Death, Fault::Freeze, Fault::Crawl, Fault::Rack];
const STEP: f64 = 0.01;
const FAULT_AT: f64 = 20.0;
const BEAT: f64 = 0.2;
/// As in the router.
const SUSPICION: f64 = 1.0;

struct Live {
    attempt: Attempt,
    engine: usize,
    id: usize,
    detector: Detector,
    beat: f64,
    /// Token number up to which the answer was fed again.
    fed: usize,
    paced: bool,
}

struct Stream {
    answer: Answer,
    live: Vec<Live>,
    last: f64,
    lost: bool,
    turn: Option<u64>,
    tried: Vec<usize>,
}

struct World {
    options: Options,
    engines: Vec<Engine>,
    streams: Vec<Stream>,
    owner: Vec<usize>,
    pacer: Pacer,
    norm: Baseline,
    /// Chance of a short call in each step, per engine.
    pressure: f64,
    random: SmallRng,
    now: f64,
    resumes: Histogram<u64>,
    recomputed: usize,
    hedges: usize,
    hedges_wasted: usize,
    alarms: usize,
    faulty: Vec<bool>,
    /// Until when each engine is avoided, as the router does.
    suspected: Vec<f64>,
}

/// Runs all modes, loads and faults.
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

fn measure(config: &Config, fault: Fault, per_engine: usize, mode: Mode) -> Vec<String> {
    let mut resumes: Histogram<u64> = table::milliseconds();
    let mut sums = [0_usize; 4];
    for seed in 0..config.seeds {
        let world = World::new(config, per_engine, mode, config.seed + seed).run(config, fault);
        resumes.add(&world.resumes).expect("the same shape");
        let counts = [world.recomputed, world.hedges, world.hedges_wasted, world.alarms];
        sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
    }
    let mut cells = vec![resumes.len().to_string()];
    let quantile = |q| resumes.value_at_quantile(q).to_string();
    cells.extend([quantile(0.5), quantile(0.95), resumes.max().to_string()]);
    cells.extend(sums.map(|sum| sum.to_string()));
    cells
}

impl World {
    fn new(config: &Config, per_engine: usize, mode: Mode, seed: u64) -> Self {
        let engine = Engine::new(model::Config::default());
        let mut world = Self {
            options: Options { mode, ..Options::default() },
            engines: vec![engine; config.engines],
            streams: Vec::new(),
            owner: Vec::new(),
            pacer: Pacer::default(),
            norm: Baseline::default(),
            pressure: if per_engine >= 15 { 0.02 } else { 0.01 },
            random: SmallRng::seed_from_u64(seed),
            now: 0.0,
            resumes: table::milliseconds(),
            recomputed: 0,
            hedges: 0,
            hedges_wasted: 0,
            alarms: 0,
            faulty: vec![false; config.engines],
            suspected: vec![0.0; config.engines],
        };
        for number in 0..per_engine * config.engines {
            let stream = Stream {
                answer: Answer::new(&number.to_le_bytes()),
                live: Vec::new(),
                last: 0.0,
                lost: false,
                turn: None,
                tried: Vec::new(),
            };
            world.streams.push(stream);
            world.submit(number, number % config.engines, false);
        }
        world
    }

    fn time(&self) -> Duration {
        Duration::from_secs_f64(self.now)
    }

    fn submit(&mut self, stream: usize, engine: usize, beside: bool) {
        const PROMPT_TOKENS: f64 = 800.0;
        const ENDLESS: f64 = 1e9;
        let id = self.owner.len();
        self.owner.push(stream);
        let (now, time) = (self.now, self.time());
        let held = &mut self.streams[stream];
        let attempt = if beside { held.answer.hedge() } else { held.answer.start() };
        let fed = held.answer.len();
        let resumed = fed > 0;
        self.recomputed += fed;
        let detector = Detector::new(time);
        held.live.push(Live { attempt, engine, id, detector, beat: now, fed, paced: false });
        self.engines[engine].submit(Call {
            id,
            prefix: stream as u64,
            prefix_tokens: PROMPT_TOKENS,
            own_tokens: fed as f64,
            output: ENDLESS,
            priority: if resumed { 4 } else { 5 },
        });
    }

    fn run(mut self, config: &Config, fault: Fault) -> Self {
        let end = FAULT_AT + f64::from(config.seconds);
        let mut out = Vec::new();
        let mut struck = false;
        while self.now < end {
            if !struck && self.now >= FAULT_AT {
                struck = true;
                self.strike(fault);
            }
            // Other calls' prefills delay decoding now and then.
            for _ in 0..self.engines.len() {
                if self.random.random_bool(self.pressure) {
                    self.disturb();
                }
            }
            for engine in 0..self.engines.len() {
                out.clear();
                self.engines[engine].step(STEP, &mut out);
                for output in &out {
                    if let Output::Tokens(id, count) = *output
                        && id < self.owner.len()
                    {
                        self.tokens(id, count);
                    }
                }
                self.beat(engine);
            }
            for stream in 0..self.streams.len() {
                self.judge(stream);
                self.recover(stream);
            }
            self.now += STEP;
        }
        self
    }

    /// A short call on some engine, whose prefill competes with decoding.
    fn disturb(&mut self) {
        let engine = self.random.random_range(0..self.engines.len());
        let id = usize::MAX - self.random.random_range(0..1_000_000);
        self.engines[engine].submit(Call {
            id,
            prefix: self.random.random(),
            prefix_tokens: 1_500.0,
            own_tokens: 300.0,
            output: 20.0,
            priority: 3,
        });
    }

    fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::None => {}
            Fault::Death => {
                let lost = self.engines[0].die();
                self.faulty[0] = true;
                let streams = self.owner.len();
                for id in lost.into_iter().filter(|id| *id < streams) {
                    self.drop_attempt(self.owner[id], id);
                }
            }
            Fault::Freeze => self.freeze(0),
            Fault::Crawl => {
                self.engines[0].health = Health::Crawling(20.0);
                self.faulty[0] = true;
            }
            Fault::Rack => (0..self.engines.len() / 4).for_each(|engine| self.freeze(engine)),
        }
    }

    fn freeze(&mut self, engine: usize) {
        self.engines[engine].health = Health::Frozen;
        self.faulty[engine] = true;
    }

    fn drop_attempt(&mut self, stream: usize, id: usize) {
        let held = &mut self.streams[stream];
        let Some(at) = held.live.iter().position(|live| live.id == id) else {
            return;
        };
        let live = held.live.swap_remove(at);
        held.answer.abandon(live.attempt);
        held.tried.push(live.engine);
        held.lost = true;
        if live.paced {
            self.pacer.finish();
        }
        self.engines[live.engine].cancel(id);
    }

    fn tokens(&mut self, id: usize, count: usize) {
        let (now, time) = (self.now, self.time());
        let held = &mut self.streams[self.owner[id]];
        let Some(at) = held.live.iter().position(|live| live.id == id) else {
            return;
        };
        let (attempt, engine) = (held.live[at].attempt, held.live[at].engine);
        for _ in 0..count {
            let offset = held.live[at].fed;
            held.live[at].fed += 1;
            let accepted = held.answer.append(attempt, offset, "t");
            if accepted == Ok(Accept::Won) {
                self.hedges_wasted += usize::from(!held.lost || !self.faulty[held.live[0].engine]);
                let losers: Vec<usize> =
                    held.live.iter().filter(|l| l.attempt != attempt).map(|l| l.engine).collect();
                for loser in losers {
                    let ids: Vec<usize> =
                        held.live.iter().filter(|l| l.engine == loser).map(|l| l.id).collect();
                    ids.into_iter().for_each(|id| self.engines[loser].cancel(id));
                }
                held.live.retain(|live| live.attempt == attempt);
                break;
            }
            if accepted.is_err() {
                return;
            }
        }
        let Some(live) = held.live.iter_mut().find(|live| live.id == id) else {
            return;
        };
        let prefill = live.detector.in_prefill().then(|| live.detector.age(time));
        if let Some(gap) = live.detector.record_token(time) {
            self.norm.observe_gap(gap);
        }
        if let Some(prefill) = prefill {
            self.norm.observe_prefill(prefill);
        }
        live.beat = now;
        self.suspected[engine] = 0.0;
        if std::mem::take(&mut live.paced) {
            self.pacer.finish();
        }
        // A resume counts when it replaced an attempt on a faulty engine.
        if std::mem::take(&mut held.lost) && !self.faulty[engine] && now > FAULT_AT {
            let gap = ((now - held.last) * 1_000.0) as u64;
            if held.tried.iter().any(|tried| self.faulty[*tried]) {
                self.resumes.saturating_record(gap);
            }
            held.tried.clear();
        }
        held.last = now;
    }

    /// Load reports on streams without tokens.
    fn beat(&mut self, engine: usize) {
        if !matches!(self.engines[engine].health, Health::Well | Health::Crawling(_)) {
            return;
        }
        let (now, time) = (self.now, self.time());
        for live in self.streams.iter_mut().flat_map(|stream| &mut stream.live) {
            if live.engine == engine && now - live.beat >= BEAT {
                live.beat = now;
                self.suspected[engine] = 0.0;
                live.detector.record_activity(time);
            }
        }
    }

    fn judge(&mut self, stream: usize) {
        let (time, norm, options) = (self.time(), self.norm, self.options);
        let verdicts: Vec<(usize, usize, Action)> = self.streams[stream]
            .live
            .iter_mut()
            .map(|live| (live.id, live.engine, live.detector.check(time, &norm, &options)))
            .collect();
        for (id, engine, verdict) in verdicts {
            match verdict {
                Action::Wait(_) => continue,
                Action::Hedge | Action::Replace => self.suspected[engine] = self.now + SUSPICION,
            }
            match verdict {
                Action::Wait(_) => continue,
                Action::Hedge if self.streams[stream].live.len() == 1 => {
                    self.hedges += 1;
                    let held = &mut self.streams[stream];
                    held.lost = true;
                    held.tried.push(engine);
                    let target = self.choose(stream);
                    self.submit(stream, target, true);
                }
                Action::Hedge => continue,
                Action::Replace => self.drop_attempt(stream, id),
            }
            self.alarms += usize::from(!self.faulty[engine]);
        }
    }

    fn choose(&mut self, stream: usize) -> usize {
        let tried = &self.streams[stream].tried;
        let dead = |engine: usize| self.engines[engine].health == Health::Dead;
        let suspected = |engine: usize| self.now < self.suspected[engine];
        let fit =
            (0..self.engines.len()).filter(|n| !tried.contains(n) && !dead(*n) && !suspected(*n));
        let picks: Vec<usize> = fit.collect();
        let picks = if picks.is_empty() { (0..self.engines.len()).collect() } else { picks };
        let pick = |random: &mut SmallRng| picks[random.random_range(0..picks.len())];
        let (a, b) = (pick(&mut self.random), pick(&mut self.random));
        if self.engines[a].load() <= self.engines[b].load() { a } else { b }
    }

    fn recover(&mut self, stream: usize) {
        if !self.streams[stream].live.is_empty() {
            return;
        }
        let tokens = self.streams[stream].answer.len();
        let turn = match self.streams[stream].turn {
            Some(turn) => turn,
            None => self.pacer.enqueue(tokens),
        };
        let fit = self.faulty.iter().filter(|faulty| !**faulty).count();
        if !self.pacer.try_start(turn, fit) {
            self.streams[stream].turn = Some(turn);
            return;
        }
        self.streams[stream].turn = None;
        let target = self.choose(stream);
        self.submit(stream, target, false);
        if let Some(live) = self.streams[stream].live.last_mut() {
            live.paced = true;
        }
    }
}
