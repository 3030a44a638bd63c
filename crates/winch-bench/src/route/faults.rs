//! Losses of engines, and what daemons do about them.

use winch_route::candidate::Finish;

use super::{STALL_TIMEOUT_S, STEP_S, Scenario, Simulation, State};
use crate::model::Health;

impl Simulation<'_> {
    /// Injects the faults of [`Scenario::Losses`] when their step is reached.
    pub(super) fn inject_losses(&mut self, step: usize) {
        let loss_step = (f64::from(self.config.seconds) / 3.0 / STEP_S) as usize;
        if self.scenario != Scenario::Losses || step != loss_step {
            return;
        }
        for engine in [1, 2] {
            let lost = self.engines[engine].crash();
            lost.into_iter().for_each(|job| self.retry(job, Finish::Failed));
        }
        self.engines[3].health = Health::Frozen;
        self.engines[4].health = Health::Slow(20.0);
    }

    /// Retries stalled calls. The timeouts are the same for all policies, see
    /// [`STALL_TIMEOUT_S`].
    pub(super) fn detect_stalls(&mut self) {
        let is_stalled_midway = |simulation: &Self, id: &usize| {
            let job = &simulation.jobs[*id];
            let health = job.engine.map(|engine| simulation.engines[engine].health);
            job.first_token_at.is_some()
                && health != Some(Health::Healthy)
                && simulation.now - job.last_token_at > STALL_TIMEOUT_S
        };
        let stalled_midway: Vec<usize> =
            self.active.iter().copied().filter(|id| is_stalled_midway(self, id)).collect();
        stalled_midway.into_iter().for_each(|id| self.retry(id, Finish::Failed));
        let is_stalled_at_start = |simulation: &Self, id: &usize| {
            let job = &simulation.jobs[*id];
            let on_frozen_engine =
                job.engine.is_some_and(|e| simulation.engines[e].health == Health::Frozen);
            job.first_token_at.is_none()
                && on_frozen_engine
                && simulation.now - job.last_token_at > 2.0 * STALL_TIMEOUT_S
        };
        let stalled_at_start: Vec<usize> =
            self.active.iter().copied().filter(|id| is_stalled_at_start(self, id)).collect();
        stalled_at_start.into_iter().for_each(|id| self.retry(id, Finish::Failed));
    }

    /// Interrupts a call that is on an engine, and places it on another one.
    pub(super) fn retry(&mut self, id: usize, finish: Finish) {
        let Some(engine) = self.jobs[id].engine.take() else {
            return;
        };
        self.engines[engine].cancel(id);
        self.release(id, engine, finish);
        self.jobs[id].tried.push(self.keys[engine]);
        self.jobs[id].state = State::Waiting;
        self.retries += 1;
        self.place(id);
    }
}
