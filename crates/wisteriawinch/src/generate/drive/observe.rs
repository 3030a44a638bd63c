//! Measurements taken from accepted tokens, for stall detection and version moves.

use winch_generation::answer::Attempt;

use super::Driver;
use crate::{counter, emit, generate::engine::Engine, prelude::*};

/// Number of tokens after which an answer counts as a success of its version. A shorter answer
/// counts when it is complete.
const SUCCESS_TOKENS: usize = 64;

impl<E: Engine> Driver<E> {
    /// Updates timings, metrics and the version's baseline after a token of `attempt` was accepted.
    pub(super) fn observe(&mut self, attempt: Attempt, now: Duration) {
        let Some(active) = self.active_mut(attempt) else {
            return;
        };
        let prefill = active.detector.in_prefill().then(|| active.detector.age(now));
        let gap = active.detector.record_token(now);
        self.release_pacer();
        let is_first = self.answer.len() == 1;
        if is_first {
            counter::first_token(now.saturating_sub(self.arrived_at));
        }
        if let Some(gap_started_at) = self.gap_started_at.take() {
            counter::resume_gap(now.saturating_sub(gap_started_at));
            emit!(
                Event::GenerationResumed,
                request = format!("{:016x}", self.job.request),
                offset = self.answer.len(),
                gap_ms = now.saturating_sub(gap_started_at).as_millis()
            );
        }
        self.progressed_at = now;
        self.consecutive_recoveries = 0;
        let runs = self.call.runs.clone();
        self.fleet.update_baseline(&runs, |baseline| {
            prefill.into_iter().for_each(|time| baseline.observe_prefill(time));
            gap.into_iter().for_each(|gap| baseline.observe_gap(gap));
        });
        if let Some(time) = prefill {
            self.prefill = Some((time, self.answer.len()));
            self.first_token_at = now;
        }
        if !self.success_recorded && self.answer.len() >= SUCCESS_TOKENS {
            self.record_success();
        }
    }

    /// Records the current attempt as a success of its version, with its prefill time and its mean
    /// gap between tokens.
    pub(super) fn record_success(&mut self) {
        let Some((first_token, offset)) = self.prefill else {
            return;
        };
        self.success_recorded = true;
        let tokens = self.answer.len().saturating_sub(offset).max(1);
        let gap = self.progressed_at.saturating_sub(self.first_token_at) / tokens as u32;
        self.fleet.record_success(&self.call.runs, first_token, gap);
    }
}
