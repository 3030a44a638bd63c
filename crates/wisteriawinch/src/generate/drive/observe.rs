//! What an accepted token tells about its attempt and its version.

use winch_generation::answer::Attempt;

use super::Driver;
use crate::{counter, emit, generate::engine::Engine, prelude::*};

/// Tokens after which an attempt counts as good evidence.
const ENOUGH_TOKENS: usize = 64;

impl<E: Engine> Driver<E> {
    pub(super) fn observe(&mut self, attempt: Attempt, now: Duration) {
        let Some(live) = self.live_mut(attempt) else {
            return;
        };
        let prefill = live.detector.in_prefill().then(|| live.detector.age(now));
        let gap = live.detector.record_token(now);
        self.unpace();
        let first = self.answer.len() == 1;
        if first {
            counter::first_token(now.saturating_sub(self.arrived));
        }
        if let Some(lost) = self.lost_at.take() {
            counter::resume_gap(now.saturating_sub(lost));
            emit!(
                Event::Resumed,
                request = format!("{:016x}", self.job.request),
                offset = self.answer.len(),
                gap_ms = now.saturating_sub(lost).as_millis()
            );
        }
        self.progress = now;
        self.losses = 0;
        let runs = self.call.runs.clone();
        self.fleet.observe(&runs, |norm| {
            prefill.into_iter().for_each(|time| norm.observe_prefill(time));
            gap.into_iter().for_each(|gap| norm.observe_gap(gap));
        });
        if let Some(time) = prefill {
            self.first_token = Some((time, self.answer.len()));
            self.started = now;
        }
        if !self.judged && self.answer.len() >= ENOUGH_TOKENS {
            self.count_good();
        }
    }

    /// Counts the present attempt as a good one, once.
    pub(super) fn count_good(&mut self) {
        let Some((first_token, offset)) = self.first_token else {
            return;
        };
        self.judged = true;
        let tokens = self.answer.len().saturating_sub(offset).max(1);
        let gap = self.progress.saturating_sub(self.started) / tokens as u32;
        self.fleet.good(&self.call.runs, first_token, gap);
    }
}
