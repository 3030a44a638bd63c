//! Detection of stalls, and resumption of streams.

use rand::{Rng, rngs::SmallRng};
use winch_generation::stall::Action;

use super::{REPORT_INTERVAL_S, SUSPICION_S, Simulation};
use crate::model::Health;

impl Simulation {
    /// Hedges or drops the attempts of a stream that may have stalled, and counts false alarms.
    pub(super) fn check_stalls(&mut self, stream: usize) {
        let (time, baseline, options) = (self.time(), self.baseline, self.options);
        let actions: Vec<(usize, usize, Action)> = self.streams[stream]
            .attempts
            .iter_mut()
            .map(|live| (live.id, live.engine, live.detector.check(time, &baseline, &options)))
            .collect();
        for (id, engine, action) in actions {
            match action {
                Action::Wait(_) => continue,
                Action::Hedge | Action::Replace => {
                    self.suspected_until[engine] = self.now + SUSPICION_S
                }
            }
            match action {
                Action::Wait(_) => continue,
                Action::Hedge if self.streams[stream].attempts.len() == 1 => {
                    self.hedges += 1;
                    let state = &mut self.streams[stream];
                    state.is_interrupted = true;
                    state.tried.push(engine);
                    let target = self.choose(stream);
                    self.submit(stream, target, true);
                }
                Action::Hedge => continue,
                Action::Replace => self.drop_attempt(stream, id),
            }
            self.false_alarms += usize::from(!self.is_faulty[engine]);
        }
    }

    /// Chooses the less loaded of two random engines that are neither dead nor suspected, and
    /// which the stream has not tried. If there are none, any engine is drawn.
    pub(super) fn choose(&mut self, stream: usize) -> usize {
        let tried = &self.streams[stream].tried;
        let is_dead = |engine: usize| self.engines[engine].health == Health::Dead;
        let is_suspected = |engine: usize| self.now < self.suspected_until[engine];
        let usable = (0..self.engines.len())
            .filter(|n| !tried.contains(n) && !is_dead(*n) && !is_suspected(*n));
        let candidates: Vec<usize> = usable.collect();
        let candidates =
            if candidates.is_empty() { (0..self.engines.len()).collect() } else { candidates };
        let pick = |rng: &mut SmallRng| candidates[rng.random_range(0..candidates.len())];
        let (a, b) = (pick(&mut self.rng), pick(&mut self.rng));
        if self.engines[a].load() <= self.engines[b].load() { a } else { b }
    }

    /// Starts a new attempt for a stream that has none, once the pacer admits it.
    pub(super) fn recover(&mut self, stream: usize) {
        if !self.streams[stream].attempts.is_empty() {
            return;
        }
        let tokens = self.streams[stream].answer.len();
        let waiter = match self.streams[stream].waiter {
            Some(waiter) => waiter,
            None => self.pacer.enqueue(tokens),
        };
        let usable = self.is_faulty.iter().filter(|is_faulty| !**is_faulty).count();
        if !self.pacer.try_start(waiter, usable) {
            self.streams[stream].waiter = Some(waiter);
            return;
        }
        self.streams[stream].waiter = None;
        let target = self.choose(stream);
        self.submit(stream, target, false);
        if let Some(live) = self.streams[stream].attempts.last_mut() {
            live.is_paced = true;
        }
    }

    /// Records a load report of a working engine on its attempts without a token or report for
    /// [`REPORT_INTERVAL_S`].
    pub(super) fn report_load(&mut self, engine: usize) {
        if !matches!(self.engines[engine].health, Health::Healthy | Health::Slow(_)) {
            return;
        }
        let (now, time) = (self.now, self.time());
        for live in self.streams.iter_mut().flat_map(|stream| &mut stream.attempts) {
            if live.engine == engine && now - live.last_activity_at >= REPORT_INTERVAL_S {
                live.last_activity_at = now;
                self.suspected_until[engine] = 0.0;
                live.detector.record_activity(time);
            }
        }
    }
}
