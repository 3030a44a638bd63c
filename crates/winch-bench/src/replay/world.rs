//! Streams, daemons and engines of one replay, and what happens to them.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use winch_relay::{catalog::Catalog, replica::Replica, store::Change};

use super::{
    PATIENCE,
    choose::{Daemon, Place, Policy},
    engine::{Engine, Run},
    pattern::Pattern,
};

/// Tokens of an event.
const EVENT_TOKENS: u64 = 6;
/// Time within which the first event is on time, in seconds.
const AIM: f64 = 4.5;
/// Longest pause of a stream that is on time, in seconds.
const MAX_PAUSE: f64 = 0.7;
/// Time to notice a reset connection, in seconds.
const RESET_NOTICED: f64 = 0.005;
/// Time to notice a silent loss, in seconds.
const SILENCE_NOTICED: f64 = 0.3;
/// Pause before a further attempt when no replica was found, in seconds.
const ATTEMPT_PAUSE: f64 = 0.2;
/// Interval at which engines note their load, in seconds.
const NOTE_INTERVAL: f64 = 0.05;
/// Tokens that a copy lacks at most when its source is lost.
const COPY_LACK: u64 = 60;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Place(usize),
    /// A stream, the holder of its copy, and the replica that was lost.
    GoOn(usize, usize, usize),
    Step(usize, u32),
    Note,
    Lose(usize),
    Return(usize),
    Restart(usize),
    SlowDown(usize),
    SpeedUp(usize),
}

/// A stream on its way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stream {
    daemon: usize,
    pub(super) arrived: f64,
    pub(super) prompt: u64,
    answer: u64,
    made: u64,
    last: Option<f64>,
    pub(super) late: bool,
    pub(super) ended: Option<f64>,
    place: Option<Place>,
    copied: bool,
}

impl Stream {
    fn held(&self) -> u64 {
        self.prompt + self.answer
    }
}

/// The state of one replay.
pub(super) struct World<'a> {
    pub(super) pattern: &'a Pattern,
    policy: Policy,
    rng: SmallRng,
    base: Instant,
    now: f64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    engines: Vec<Engine>,
    dcs: Vec<usize>,
    daemons: Vec<Daemon>,
    pub(super) streams: Vec<Stream>,
    pub(super) reread: u64,
}

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
            slots: 64,
            draining: false,
            started_at_ms: None,
        }));
    }
    catalog
}

impl<'a> World<'a> {
    /// A replay that has not begun.
    pub(super) fn new(pattern: &'a Pattern, policy: Policy, seed: u64) -> Self {
        let dcs = pattern.replicas.iter().enumerate();
        let dcs: Vec<usize> = dcs.flat_map(|(dc, count)| std::iter::repeat_n(dc, *count)).collect();
        let daemon = |number: usize| {
            let turn = number * dcs.len() / pattern.daemons;
            Daemon::new(format!("dc-{}", number % pattern.replicas.len()), catalog(pattern), turn)
        };
        Self {
            pattern,
            policy,
            rng: SmallRng::seed_from_u64(seed),
            base: Instant::now(),
            now: 0.0,
            events: BinaryHeap::new(),
            scheduled: 0,
            engines: vec![Engine::default(); dcs.len()],
            daemons: (0..pattern.daemons).map(daemon).collect(),
            dcs,
            streams: Vec::new(),
            reread: 0,
        }
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_secs_f64(self.now)
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(((at * 1e6) as u64, self.scheduled, event)));
    }

    /// Plays the pattern to its end.
    pub(super) fn play(&mut self) {
        self.schedule_pattern();
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at as f64 / 1e6;
            self.happen(event);
        }
    }

    fn schedule_pattern(&mut self) {
        let pattern = self.pattern;
        self.schedule(0.0, Event::Arrive);
        self.schedule(0.0, Event::Note);
        for (number, loss) in pattern.losses.iter().enumerate() {
            self.schedule(loss.at, Event::Lose(number));
            self.schedule(loss.at + loss.lasts, Event::Return(number));
        }
        for (number, slow) in pattern.slow.iter().enumerate() {
            self.schedule(slow.at, Event::SlowDown(number));
            self.schedule(slow.at + slow.lasts, Event::SpeedUp(number));
        }
        for (number, restart) in pattern.restarts.iter().enumerate() {
            self.schedule(restart.at, Event::Restart(number));
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Place(stream) => self.place(stream),
            Event::GoOn(stream, holder, lost) => self.go_on_from(stream, holder, lost),
            Event::Step(replica, life) => self.step(replica, life),
            Event::Note => self.note(),
            Event::Lose(number) => self.lose(number),
            Event::Return(number) => {
                for replica in self.hit_by_loss(number) {
                    self.engines[replica].lost = false;
                }
            }
            Event::Restart(number) => self.restart(number),
            Event::SlowDown(number) => self.change_speed(number, self.pattern.slow[number].factor),
            Event::SpeedUp(number) => self.change_speed(number, 1.0),
        }
    }

    fn arrive(&mut self) {
        let pattern = self.pattern;
        let now = self.now;
        let bursts = || pattern.bursts.iter().filter(|b| (b.at..b.at + b.lasts).contains(&now));
        let prompt: f64 = pattern.prompt * bursts().map(|burst| burst.prompt).product::<f64>();
        let rate = pattern.streams * bursts().map(|burst| burst.streams).product::<f64>();
        let mut around = |mean: f64, spread: f64| {
            (mean * self.rng.random_range(1.0 - spread..1.0 + spread)) as u64
        };
        let stream = Stream {
            prompt: around(prompt, 0.5),
            answer: around(pattern.answer, 0.35),
            daemon: self.rng.random_range(0..self.daemons.len()),
            arrived: self.now,
            made: 0,
            last: None,
            late: false,
            ended: None,
            place: None,
            copied: false,
        };
        self.streams.push(stream);
        self.place(self.streams.len() - 1);
        let next = self.now - (1.0 - self.rng.random::<f64>()).ln() / rate;
        if next < pattern.seconds {
            self.schedule(next, Event::Arrive);
        }
    }

    /// Starts a stream, or has it go on from its prompt and what it has made.
    fn place(&mut self, number: usize) {
        let stream = self.streams[number];
        if self.now > stream.arrived + PATIENCE {
            return;
        }
        let now = self.instant();
        let daemon = &mut self.daemons[stream.daemon];
        let (policy, held) = (self.policy, stream.held());
        let place = daemon.choose(policy, &self.engines, held, now, &mut self.rng);
        let Some(place) = place else {
            return self.schedule(self.now + ATTEMPT_PAUSE, Event::Place(number));
        };
        let to_read = stream.prompt + stream.made;
        self.begin(number, place, to_read, false);
    }

    fn begin(&mut self, number: usize, place: Place, to_read: u64, from_copy: bool) {
        let stream = &mut self.streams[number];
        let held = stream.held();
        stream.place = Some(place);
        self.daemons[stream.daemon].catalog.update(place.key, |entry| {
            entry.in_flight += 1;
            entry.starting += 1;
        });
        stream.copied = place.copy.is_some_and(|copy| {
            !self.engines[copy].lost && self.engines[copy].keep_copy(number, held)
        });
        self.engines[place.replica].submit(Run { stream: number, to_read, held }, from_copy);
        self.begin_step(place.replica);
    }

    fn begin_step(&mut self, replica: usize) {
        let engine = &mut self.engines[replica];
        let life = engine.life;
        if let Some(step) = engine.begin_step() {
            self.schedule(self.now + step, Event::Step(replica, life));
        }
    }

    fn step(&mut self, replica: usize, life: u32) {
        if self.engines[replica].life != life {
            return;
        }
        for number in self.engines[replica].end_step() {
            self.token(number, replica);
        }
        self.begin_step(replica);
    }

    fn token(&mut self, number: usize, replica: usize) {
        let now = self.now;
        let stream = &mut self.streams[number];
        stream.made += 1;
        if stream.made.is_multiple_of(EVENT_TOKENS) || stream.made >= stream.answer {
            let first = stream.last.is_none();
            let waited = now - stream.last.unwrap_or(stream.arrived);
            stream.late |= waited > if first { AIM } else { MAX_PAUSE };
            stream.last = Some(now);
        }
        let begun = stream.made == 1;
        if stream.made >= stream.answer {
            stream.ended = Some(now);
            self.engines[replica].end(number);
            self.leave(number, begun);
        } else if begun {
            self.started(number);
        }
    }

    /// Notes at the daemon that a stream has got its first token.
    fn started(&mut self, number: usize) {
        let stream = self.streams[number];
        if let Some(place) = stream.place {
            let catalog = &mut self.daemons[stream.daemon].catalog;
            catalog.update(place.key, |entry| entry.starting = entry.starting.saturating_sub(1));
            catalog.record_answer(place.key, None, false);
        }
    }

    /// Notes at the daemon that a stream no longer runs at its replica.
    fn leave(&mut self, number: usize, starting: bool) {
        let stream = &mut self.streams[number];
        let Some(place) = stream.place.take() else { return };
        self.daemons[stream.daemon].catalog.update(place.key, |entry| {
            entry.in_flight = entry.in_flight.saturating_sub(1);
            entry.starting = entry.starting.saturating_sub(u32::from(starting));
        });
        if let Some(copy) = place.copy {
            self.engines[copy].drop_copy(number);
        }
    }

    fn note(&mut self) {
        let (now, lag) = (self.now, self.pattern.report_lag);
        self.engines.iter_mut().for_each(|engine| engine.note(now, lag));
        if now < self.pattern.seconds + PATIENCE {
            self.schedule(now + NOTE_INTERVAL, Event::Note);
        }
    }

    fn hit_by_loss(&self, number: usize) -> Vec<usize> {
        let loss = &self.pattern.losses[number];
        let of_dc = self.dcs.iter().enumerate().filter(|(_, dc)| **dc == loss.dc);
        let of_dc: Vec<usize> = of_dc.map(|(replica, _)| replica).collect();
        let count = (of_dc.len() as f64 * loss.share).round() as usize;
        of_dc.into_iter().take(count).collect()
    }

    fn lose(&mut self, number: usize) {
        let dark = self.pattern.losses[number].dark;
        let hit = self.hit_by_loss(number);
        let mut broken = Vec::new();
        for replica in &hit {
            broken.extend(self.engines[*replica].lose(dark));
        }
        for stream in broken {
            self.go_on(stream, dark);
        }
    }

    /// Has a stream go on after its replica was lost.
    fn go_on(&mut self, number: usize, dark: bool) {
        let stream = self.streams[number];
        let Some(place) = stream.place else { return };
        let now = self.instant();
        self.daemons[stream.daemon].catalog.eject(place.key, now);
        let copy =
            place.copy.filter(|copy| stream.copied && stream.made > 0 && !self.engines[*copy].lost);
        self.leave(number, stream.made == 0);
        let noticed = self.now + if dark { SILENCE_NOTICED } else { RESET_NOTICED };
        match copy {
            Some(copy) => self.schedule(noticed, Event::GoOn(number, copy, place.replica)),
            None => {
                self.reread += stream.prompt;
                self.schedule(noticed, Event::Place(number));
            }
        }
    }

    /// Has a stream go on from its copy, unless its holder is lost by now.
    fn go_on_from(&mut self, number: usize, holder: usize, lost: usize) {
        if self.engines[holder].lost {
            self.reread += self.streams[number].prompt;
            return self.place(number);
        }
        let (now, daemon) = (self.instant(), &self.daemons[self.streams[number].daemon]);
        let Some(key) = daemon.catalog.key(&format!("r-{holder}")) else { return };
        let copy = daemon.copy_place(holder, self.dcs[lost], now, &mut self.rng);
        let place = Place { key, replica: holder, copy };
        self.begin(number, place, COPY_LACK, true);
    }

    fn restart(&mut self, number: usize) {
        let count = self.daemons.len() as f64 * self.pattern.restarts[number].share;
        for daemon in 0..(count as usize).min(self.daemons.len()) {
            let dc = self.daemons[daemon].dc.clone();
            self.daemons[daemon] = Daemon::new(dc, catalog(self.pattern), daemon);
            let broken: Vec<usize> = (0..self.streams.len())
                .filter(|number| {
                    let stream = &self.streams[*number];
                    stream.daemon == daemon && stream.place.is_some()
                })
                .collect();
            for stream in broken {
                let Some(place) = self.streams[stream].place else { continue };
                self.engines[place.replica].end(stream);
                self.reread += self.streams[stream].prompt;
                self.leave(stream, false);
                // Its caller comes again to another daemon.
                self.streams[stream].daemon = self.rng.random_range(0..self.daemons.len());
                self.schedule(self.now + ATTEMPT_PAUSE, Event::Place(stream));
            }
        }
    }

    fn change_speed(&mut self, number: usize, factor: f64) {
        let share = self.pattern.slow[number].share;
        let every = (1.0 / share).round().max(1.0) as usize;
        self.engines.iter_mut().step_by(every).for_each(|engine| engine.slow = factor);
    }
}
