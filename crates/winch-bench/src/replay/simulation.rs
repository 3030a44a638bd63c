//! Discrete-event simulation of the streams, daemons and engines of one replay.

mod loss;
mod progress;

use std::{cmp::Reverse, collections::BinaryHeap, f64::consts::TAU, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use winch_relay::{catalog::Catalog, replica::Replica, store::Change};

use super::{
    CALLER_TIMEOUT_S,
    choose::{Choice, Daemon, Placement, Policy},
    engine::{Engine, Run},
    pattern::{Kind, Pattern},
};

/// Longest gap between events of a stream that is on time, in seconds.
const MAX_GAP_S: f64 = 0.7;
/// Time to detect a reset connection, in seconds.
const RESET_DETECTION_S: f64 = 0.005;
/// Time to detect the loss of a replica whose connections are not reset, in seconds.
const TIMEOUT_DETECTION_S: f64 = 0.3;
/// Backoff before a stream is placed again, if no live replica was found or its daemon
/// restarted, in seconds.
const RETRY_BACKOFF_S: f64 = 0.2;
/// Interval at which engines record their load, in seconds.
const LOAD_RECORD_INTERVAL_S: f64 = 0.05;
/// Tokens by which a copy lags behind its source at most. A resume from a copy prefills as
/// many.
const COPY_LAG_TOKENS: u64 = 60;

/// Share of the time left that a caller waits at most before it sends a refused stream again.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;

/// An event, which names kinds, streams, replicas, and losses, restarts and slow periods of the
/// pattern by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Place(usize),
    GiveUp(usize),
    /// Stream, holder of its copy, and lost replica.
    ResumeFromCopy(usize, usize, usize),
    /// End of a step: replica, and incarnation of its engine when the step began.
    EndStep(usize, u32),
    RecordLoad,
    LoseReplicas(usize),
    RestoreReplicas(usize),
    RestartDaemons(usize),
    SlowDown(usize),
    SpeedUp(usize),
}

/// State of a stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stream {
    pub(super) kind: usize,
    daemon: usize,
    pub(super) arrived_at: f64,
    pub(super) prompt_tokens: u64,
    answer_tokens: u64,
    produced_tokens: u64,
    last_event_at: Option<f64>,
    pub(super) is_late: bool,
    pub(super) ended_at: Option<f64>,
    /// Number of times that a daemon has refused the stream.
    refusals: u32,
    /// Whether the caller has given up after refusals.
    pub(super) is_refused: bool,
    placement: Option<Placement>,
    /// Whether the copy holder of the placement had room for the copy.
    is_copied: bool,
}

impl Stream {
    /// Whether the stream completed before the caller's timeout.
    pub(super) fn has_completed(&self) -> bool {
        self.ended_at.is_some_and(|at| at <= self.arrived_at + CALLER_TIMEOUT_S)
    }

    /// Tokens that the whole stream takes in a KV cache.
    fn kv_tokens(&self) -> u64 {
        self.prompt_tokens + self.answer_tokens
    }

    /// Tokens that the stream takes in a KV cache before its next token is generated.
    fn context_tokens(&self) -> u64 {
        self.prompt_tokens + self.produced_tokens
    }
}

/// State of one replay.
pub(super) struct Simulation<'a> {
    pub(super) pattern: &'a Pattern,
    pub(super) kinds: Vec<Kind>,
    policy: Policy,
    /// Draws what arrives. It draws nothing else, so that all policies get the same streams.
    arrivals_rng: SmallRng,
    /// Draws what follows from the policy's choices.
    rng: SmallRng,
    /// Instant of the simulated time 0.
    base: Instant,
    /// Simulated time in seconds.
    now: f64,
    /// Time in microseconds, sequence number and event.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Number of events scheduled so far. Events of the same time are handled in this order.
    scheduled: u64,
    engines: Vec<Engine>,
    /// Data centre of each replica.
    dcs: Vec<usize>,
    daemons: Vec<Daemon>,
    pub(super) streams: Vec<Stream>,
    /// Prompt tokens of the streams that had to be placed again without a copy.
    pub(super) reread_tokens: u64,
    /// Number of preempted runs.
    pub(super) preemptions: u64,
    /// Tokens that were prefilled for runs that were preempted, lost without a copy, or given up.
    pub(super) wasted_tokens: u64,
}

/// Returns a catalog of all replicas of the pattern.
fn catalog(pattern: &Pattern) -> Catalog {
    let mut catalog = Catalog::default();
    let dcs = pattern.replicas.iter().enumerate();
    let dcs = dcs.flat_map(|(dc, count)| std::iter::repeat_n(dc, *count));
    for (number, dc) in (0..).zip(dcs) {
        catalog.apply(Change::Put(Replica {
            id: format!("r-{number}").into(),
            service: "s".into(),
            address: ([127, 0, 0, 1], number).into(),
            dc: format!("dc-{dc}").into(),
            version: "v1".into(),
            slots: pattern.engine.slots as u32,
            draining: false,
            started_at_ms: None,
        }));
    }
    catalog
}

impl<'a> Simulation<'a> {
    /// Creates a simulation at time 0.
    pub(super) fn new(pattern: &'a Pattern, policy: Policy, seed: u64) -> Self {
        let dcs = pattern.replicas.iter().enumerate();
        let dcs: Vec<usize> = dcs.flat_map(|(dc, count)| std::iter::repeat_n(dc, *count)).collect();
        let daemon = |number: usize| {
            let turn = number * dcs.len() / pattern.daemons;
            Daemon::new(format!("dc-{}", number % pattern.replicas.len()), catalog(pattern), turn)
        };
        let mut arrivals_rng = SmallRng::seed_from_u64(seed);
        let mut step_factors = pattern.step_factors.clone();
        step_factors.extend(pattern.step_factors.is_empty().then_some(1.0));
        let step_factors = step_factors.into_iter().cycle();
        Self {
            pattern,
            kinds: pattern.kinds(),
            policy,
            rng: SmallRng::from_rng(&mut arrivals_rng),
            arrivals_rng,
            base: Instant::now(),
            now: 0.0,
            events: BinaryHeap::new(),
            scheduled: 0,
            engines: step_factors
                .take(dcs.len())
                .map(|factor| Engine::new(pattern.engine, factor))
                .collect(),
            daemons: (0..pattern.daemons).map(daemon).collect(),
            dcs,
            streams: Vec::new(),
            reread_tokens: 0,
            preemptions: 0,
            wasted_tokens: 0,
        }
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_secs_f64(self.now)
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(((at * 1e6) as u64, self.scheduled, event)));
    }

    /// Schedules the events of the pattern and handles all events in order of time.
    pub(super) fn run(&mut self) {
        self.schedule_pattern();
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at as f64 / 1e6;
            self.handle(event);
        }
    }

    fn schedule_pattern(&mut self) {
        let pattern = self.pattern;
        for kind in 0..self.kinds.len() {
            self.schedule(0.0, Event::Arrive(kind));
        }
        self.schedule(0.0, Event::RecordLoad);
        for (number, loss) in pattern.losses.iter().enumerate() {
            self.schedule(loss.at, Event::LoseReplicas(number));
            self.schedule(loss.at + loss.lasts, Event::RestoreReplicas(number));
        }
        for (number, slow) in pattern.slow.iter().enumerate() {
            self.schedule(slow.at, Event::SlowDown(number));
            self.schedule(slow.at + slow.lasts, Event::SpeedUp(number));
        }
        for (number, restart) in pattern.restarts.iter().enumerate() {
            self.schedule(restart.at, Event::RestartDaemons(number));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(kind) => self.arrive(kind),
            Event::GiveUp(stream) => self.give_up(stream),
            Event::Place(stream) => self.place(stream),
            Event::ResumeFromCopy(stream, holder, lost) => {
                self.resume_from_copy(stream, holder, lost)
            }
            Event::EndStep(replica, incarnation) => self.end_step(replica, incarnation),
            Event::RecordLoad => self.record_load(),
            Event::LoseReplicas(number) => self.lose_replicas(number),
            Event::RestoreReplicas(number) => {
                for replica in self.lost_replicas(number) {
                    self.engines[replica].lost = false;
                }
            }
            Event::RestartDaemons(number) => self.restart_daemons(number),
            Event::SlowDown(number) => self.change_speed(number, self.pattern.slow[number].factor),
            Event::SpeedUp(number) => self.change_speed(number, 1.0),
        }
    }

    fn arrive(&mut self, kind: usize) {
        let pattern = self.pattern;
        let now = self.now;
        let Kind { name, streams, .. } = &self.kinds[kind];
        let bursts = || {
            let bursts = pattern.bursts.iter().filter(|b| (b.at..b.at + b.lasts).contains(&now));
            bursts.filter(|burst| burst.kind.is_empty() || burst.kind == *name)
        };
        let wave = 1.0 + pattern.wave.amplitude * (now / pattern.wave.period * TAU).sin();
        let prompt_tokens: f64 =
            pattern.prompt * bursts().map(|burst| burst.prompt).product::<f64>();
        let rate = streams * wave * bursts().map(|burst| burst.streams).product::<f64>();
        let mut draw_around = |mean: f64, spread: f64| {
            (mean * self.arrivals_rng.random_range(1.0 - spread..1.0 + spread)) as u64
        };
        let stream = Stream {
            kind,
            prompt_tokens: draw_around(prompt_tokens, 0.5),
            answer_tokens: draw_around(pattern.answer, 0.35),
            daemon: self.arrivals_rng.random_range(0..self.daemons.len()),
            arrived_at: self.now,
            produced_tokens: 0,
            last_event_at: None,
            is_late: false,
            ended_at: None,
            refusals: 0,
            is_refused: false,
            placement: None,
            is_copied: false,
        };
        self.streams.push(stream);
        let number = self.streams.len() - 1;
        self.schedule(now + CALLER_TIMEOUT_S, Event::GiveUp(number));
        self.place(number);
        // The times between arrivals are exponentially distributed.
        let next = self.now - (1.0 - self.arrivals_rng.random::<f64>()).ln() / rate;
        if next < pattern.seconds {
            self.schedule(next, Event::Arrive(kind));
        }
    }

    /// Places a new stream, or an interrupted one whose prompt and tokens are prefilled again.
    ///
    /// Tries again after [`RETRY_BACKOFF_S`] if no replica is found, until the caller has given
    /// up.
    fn place(&mut self, number: usize) {
        let stream = self.streams[number];
        if self.now > stream.arrived_at + CALLER_TIMEOUT_S {
            return;
        }
        let now = self.instant();
        let daemon = &mut self.daemons[stream.daemon];
        let (policy, kv_tokens) = (self.policy, stream.kv_tokens());
        match daemon.choose(policy, &self.engines, kv_tokens, now, &mut self.rng) {
            Choice::Replica(placement) => {
                self.submit(number, placement, stream.context_tokens(), false);
            }
            Choice::NoneLive => self.schedule(self.now + RETRY_BACKOFF_S, Event::Place(number)),
            Choice::Refused(wait_s) => self.refuse(number, wait_s),
        }
    }

    /// Refuses a stream. Its caller sends it once more, to a random daemon.
    fn refuse(&mut self, number: usize, wait_s: f64) {
        let daemons = self.daemons.len();
        let stream = &mut self.streams[number];
        stream.refusals += 1;
        stream.is_refused = stream.refusals > 1;
        if !stream.is_refused {
            stream.daemon = self.rng.random_range(0..daemons);
            let left_s = stream.arrived_at + CALLER_TIMEOUT_S - self.now;
            let placed_at = self.now + wait_s.min(left_s * MAX_WAIT_SHARE);
            self.schedule(placed_at, Event::Place(number));
        }
    }

    /// Ends the run of a stream whose caller has waited for too long.
    fn give_up(&mut self, number: usize) {
        let stream = self.streams[number];
        let Some(placement) = stream.placement else { return };
        self.wasted_tokens += self.engines[placement.replica].remove(number);
        self.detach(number, stream.produced_tokens == 0);
    }

    /// Submits a run of a stream to its replica, and stores a copy at the copy holder.
    fn submit(&mut self, number: usize, placement: Placement, to_prefill: u64, from_copy: bool) {
        let stream = &mut self.streams[number];
        let on_demand = self.pattern.engine.on_demand;
        let kv_tokens = if on_demand { stream.context_tokens() } else { stream.kv_tokens() };
        let priority = self.kinds[stream.kind].priority;
        stream.placement = Some(placement);
        self.daemons[stream.daemon].catalog.update(placement.key, |entry| {
            entry.in_flight += 1;
            entry.starting += 1;
        });
        stream.is_copied = placement.copy_holder.is_some_and(|holder| {
            !self.engines[holder].lost && self.engines[holder].store_copy(number, kv_tokens)
        });
        self.engines[placement.replica].submit(
            Run { stream: number, to_prefill, prefilled: 0, kv_tokens, priority },
            from_copy,
        );
        self.begin_step(placement.replica);
    }

    /// Starts the next step of an engine, for which it may preempt runs. These lose their copies.
    fn begin_step(&mut self, replica: usize) {
        for run in self.engines[replica].preempt() {
            self.preemptions += 1;
            self.wasted_tokens += run.prefilled;
            self.drop_copy(run.stream);
        }
        let engine = &mut self.engines[replica];
        let incarnation = engine.incarnation;
        if let Some(step_s) = engine.begin_step() {
            self.schedule(self.now + step_s, Event::EndStep(replica, incarnation));
        }
    }

    /// Ends a step of an engine, unless it has crashed since the step began, and starts the next
    /// one.
    fn end_step(&mut self, replica: usize, incarnation: u32) {
        if self.engines[replica].incarnation != incarnation {
            return;
        }
        for number in self.engines[replica].end_step() {
            self.record_token(number, replica);
        }
        self.begin_step(replica);
    }
}
