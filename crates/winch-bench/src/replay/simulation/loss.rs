//! Losses of replicas and daemons, and resumption of the streams that they break off.

use rand::Rng;

use super::{
    super::{
        CALLER_TIMEOUT_S,
        choose::{Daemon, Placement},
        engine::Run,
    },
    COPY_LAG_TOKENS, Event, RESET_DETECTION_S, RETRY_BACKOFF_S, Simulation, TIMEOUT_DETECTION_S,
    catalog,
};

impl Simulation<'_> {
    /// Returns the replicas that a loss of the pattern takes down.
    pub(super) fn lost_replicas(&self, number: usize) -> Vec<usize> {
        let loss = &self.pattern.losses[number];
        let of_dc = self.dcs.iter().enumerate().filter(|(_, dc)| **dc == loss.dc);
        let of_dc: Vec<usize> = of_dc.map(|(replica, _)| replica).collect();
        let count = (of_dc.len() as f64 * loss.share).round() as usize;
        of_dc.into_iter().take(count).collect()
    }

    /// Crashes the replicas of a loss and schedules the resume of their streams.
    pub(super) fn lose_replicas(&mut self, number: usize) {
        let dark = self.pattern.losses[number].dark;
        let lost = self.lost_replicas(number);
        let mut interrupted = Vec::new();
        for replica in &lost {
            interrupted.extend(self.engines[*replica].crash(dark));
        }
        for run in interrupted {
            self.resume(run, dark);
        }
    }

    /// Ejects the lost replica of a run, and schedules the resume of its stream for the time
    /// at which the loss is detected.
    pub(super) fn resume(&mut self, run: Run, dark: bool) {
        let number = run.stream;
        let stream = self.streams[number];
        let Some(placement) = stream.placement else { return };
        let now = self.instant();
        self.daemons[stream.daemon].catalog.eject(placement.key, now);
        let live_holder = placement.copy_holder.filter(|holder| {
            stream.is_copied && stream.produced_tokens > 0 && !self.engines[*holder].lost
        });
        self.detach(number, stream.produced_tokens == 0);
        let detected_at = self.now + if dark { TIMEOUT_DETECTION_S } else { RESET_DETECTION_S };
        match live_holder {
            Some(holder) => {
                self.schedule(detected_at, Event::ResumeFromCopy(number, holder, placement.replica))
            }
            None => {
                self.reread_tokens += stream.prompt_tokens;
                self.wasted_tokens += run.prefilled;
                self.schedule(detected_at, Event::Place(number));
            }
        }
    }

    /// Resumes a stream from its copy, or places it without one if the holder has been lost
    /// since.
    pub(super) fn resume_from_copy(&mut self, number: usize, holder: usize, lost: usize) {
        if self.engines[holder].lost {
            self.reread_tokens += self.streams[number].prompt_tokens;
            return self.place(number);
        }
        if self.now > self.streams[number].arrived_at + CALLER_TIMEOUT_S {
            return;
        }
        let (now, daemon) = (self.instant(), &self.daemons[self.streams[number].daemon]);
        let Some(key) = daemon.catalog.key(&format!("r-{holder}")) else { return };
        let copy_holder = daemon.choose_copy_holder(holder, self.dcs[lost], now, &mut self.rng);
        let placement = Placement { key, replica: holder, copy_holder };
        self.submit(number, placement, COPY_LAG_TOKENS, true);
    }

    /// Restarts daemons with a new catalog. Their streams are placed again, without a copy.
    pub(super) fn restart_daemons(&mut self, number: usize) {
        let count = self.daemons.len() as f64 * self.pattern.restarts[number].share;
        for daemon in 0..(count as usize).min(self.daemons.len()) {
            let dc = self.daemons[daemon].dc.clone();
            self.daemons[daemon] = Daemon::new(dc, catalog(self.pattern), daemon);
            let interrupted: Vec<usize> = (0..self.streams.len())
                .filter(|number| {
                    let stream = &self.streams[*number];
                    stream.daemon == daemon && stream.placement.is_some()
                })
                .collect();
            for stream in interrupted {
                let Some(placement) = self.streams[stream].placement else { continue };
                self.wasted_tokens += self.engines[placement.replica].remove(stream);
                self.reread_tokens += self.streams[stream].prompt_tokens;
                self.detach(stream, false);
                // The caller reconnects to a random daemon.
                self.streams[stream].daemon = self.rng.random_range(0..self.daemons.len());
                self.schedule(self.now + RETRY_BACKOFF_S, Event::Place(stream));
            }
        }
    }

    /// Sets the factor on the duration of steps of the replicas in a slow period.
    pub(super) fn change_speed(&mut self, number: usize, factor: f64) {
        let share = self.pattern.slow[number].share;
        let interval = (1.0 / share).round().max(1.0) as usize;
        self.engines.iter_mut().step_by(interval).for_each(|engine| engine.slow = factor);
    }
}
