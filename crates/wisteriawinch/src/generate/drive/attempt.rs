//! Start, hedging, loss and release of the attempts of an answer.

use std::net::SocketAddr;

use winch_generation::{
    answer::Attempt,
    stall::{Action, Detector},
};
use winch_route::{candidate::Finish, pool::Key};

use super::{ActiveAttempt, Driver, End, resume_unavailable};
use crate::{
    counter, emit,
    generate::{
        engine::{Engine, Error, Submission},
        strike,
    },
    prelude::*,
};

/// Time after which an attempt that is kept although it stalls is checked again.
const KEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for which such an attempt is kept; its connection may be lost without an error.
const MAX_KEEP_TIME: Duration = Duration::from_secs(3);
/// Shortest interval between load reports of an attempt that are passed to the router.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

impl<E: Engine> Driver<E> {
    /// Starts an attempt on the replica `key`, on which the router has already counted the call.
    ///
    /// `attach` asks the engine to replay a generation that it still holds; `hedge` keeps the
    /// other attempts running. If the replica is no longer configured, the call is released and
    /// no attempt starts.
    pub(super) fn submit(&mut self, key: Key, attach: bool, hedge: bool) {
        let Some((address, name)) = self.address_and_name(key) else {
            self.fleet.finish(key, Finish::Cancelled);
            return;
        };
        let attempt = if hedge { self.answer.start_hedge() } else { self.answer.start_attempt() };
        let accepted: Vec<String> = self.answer.tokens().map(str::to_owned).collect();
        let is_resume = !accepted.is_empty();
        if is_resume {
            counter::recomputed(accepted.len());
        }
        let urgency = self.fleet.urgency.classify_generation(self.job.max_tokens, accepted.len());
        let submission = Submission {
            request: format!("{:016x}", self.job.request),
            prompt: self.job.prompt.clone(),
            accepted,
            max_tokens: self.job.max_tokens,
            priority: urgency.priority(is_resume),
            version: self.call.runs.to_string(),
            attach,
        };
        let now = self.fleet.now();
        self.fleet.inflight().insert(key, self.job.request, self.job.fingerprint);
        self.active.push(ActiveAttempt {
            attempt,
            key,
            address,
            name,
            stream: self.engine.submit(address, submission),
            detector: Detector::new(now),
            reported_at: Duration::ZERO,
        });
    }

    /// Address and name of a replica; `None` if it is no longer configured.
    pub(super) fn address_and_name(&self, key: Key) -> Option<(SocketAddr, Name)> {
        let address = self.fleet.address(key)?;
        let name = self.fleet.routing().router.pool.get(key)?.spec.name.clone();
        Some((address, name))
    }

    pub(super) fn active_mut(&mut self, attempt: Attempt) -> Option<&mut ActiveAttempt<E::Stream>> {
        self.active.iter_mut().find(|active| active.attempt == attempt)
    }

    pub(super) fn remove_active(&mut self, attempt: Attempt) -> Option<ActiveAttempt<E::Stream>> {
        let index = self.active.iter().position(|active| active.attempt == attempt)?;
        Some(self.active.swap_remove(index))
    }

    /// Handles a load report of the engine. It counts as activity in stall detection and is passed
    /// to the router at most once per [`REPORT_INTERVAL`].
    pub(super) fn handle_load_report(&mut self, attempt: Attempt, load: u32, now: Duration) {
        let Some(active) = self.active_mut(attempt) else {
            return;
        };
        active.detector.record_activity(now);
        if now.saturating_sub(active.reported_at) < REPORT_INTERVAL {
            return;
        }
        active.reported_at = now;
        let key = active.key;
        self.fleet.routing().router.pool.record_load(key, load, now);
    }

    /// Ends all attempts except the one that won a hedge. A loser that was hedged because it
    /// stalled counts as failed.
    pub(super) fn drop_losers(&mut self, winner: Attempt) {
        let active = std::mem::take(&mut self.active);
        let (winners, losers): (Vec<_>, Vec<_>) =
            active.into_iter().partition(|active| active.attempt == winner);
        self.active = winners;
        for active in losers {
            counter::retried("hedge_lost");
            let was_hedged = active.detector.is_hedged();
            let finish = if was_hedged { Finish::Failed } else { Finish::Cancelled };
            if was_hedged {
                self.fleet.record_failure(&self.call.runs, active.key);
            }
            self.release(active, finish, true);
        }
    }

    /// Ends an attempt that failed. The answer continues on another attempt unless the engine no
    /// longer holds the generation to attach to.
    pub(super) fn handle_loss(&mut self, attempt: Attempt, error: &Error) -> Option<End> {
        let active = self.remove_active(attempt)?;
        self.answer.abandon(active.attempt);
        counter::retried(error.reason());
        emit!(
            Event::AttemptFailed,
            request = format!("{:016x}", self.job.request),
            upstream = active.name,
            reason = error,
            offset = self.answer.len()
        );
        if matches!(error, Error::Gone) {
            self.release(active, Finish::Cancelled, false);
            return Some(End::Failed(resume_unavailable()));
        }
        let finish = match error {
            Error::Unreachable => Finish::Unreachable,
            Error::Busy => Finish::Busy,
            _ => Finish::Failed,
        };
        if matches!(error, Error::Broken) {
            self.detect_crash(&active);
        }
        self.tried.push(active.key);
        self.fleet.record_failure(&self.call.runs, active.key);
        self.release(active, finish, false);
        self.gap_started_at.get_or_insert(self.progressed_at);
        None
    }

    /// Adds a strike to the request and probes the engine in the background; the strike is
    /// retracted if the engine did not crash.
    pub(super) fn detect_crash(&self, active: &ActiveAttempt<E::Stream>) {
        let spec = self.fleet.routing().router.pool.get(active.key).map(|r| r.spec.clone());
        let Some(spec) = spec else {
            return;
        };
        let (fleet, engine, address) = (self.fleet.clone(), self.engine.clone(), active.address);
        let fingerprint = self.job.fingerprint;
        let crash = strike::add(&fleet, &spec.name, fingerprint);
        self.fleet.work.spawn(async move {
            let is_dead = engine.is_dead(address).await;
            strike::publish_or_retract(&fleet, &spec, fingerprint, crash, is_dead);
        });
    }

    /// Closes an attempt's connection and ends its call in the router with the result `finish`. If
    /// `cancel` is set, the request is also cancelled on the engine.
    pub(super) fn release(
        &mut self,
        active: ActiveAttempt<E::Stream>,
        finish: Finish,
        cancel: bool,
    ) {
        self.release_pacer();
        self.fleet.inflight().remove(active.key, self.job.request);
        self.fleet.finish(active.key, finish);
        drop(active.stream);
        if cancel {
            let engine = self.engine.clone();
            let request = format!("{:016x}", self.job.request);
            self.fleet.work.spawn(async move { engine.cancel(active.address, &request).await });
        }
    }

    /// Informs the pacer that this answer's resume is no longer in prefill, and wakes the resumes
    /// that wait for it.
    pub(super) fn release_pacer(&mut self) {
        if let Some(runs) = self.paced_version.take() {
            let now = self.fleet.now();
            self.fleet.routing().router.pacer(&runs, now).0.finish();
            self.fleet.prefill_ended.notify_waiters();
        }
    }

    /// Replaces or hedges the attempts that stall.
    pub(super) fn check_stalls(&mut self) -> Option<End> {
        let now = self.fleet.now();
        let baseline = self.fleet.baseline(&self.call.runs);
        let options = self.fleet.stall;
        let actions: Vec<(Attempt, Action)> = self
            .active
            .iter_mut()
            .map(|active| (active.attempt, active.detector.check(now, &baseline, &options)))
            .collect();
        for (attempt, action) in actions {
            match action {
                Action::Wait(_) => {}
                Action::Hedge => self.hedge(attempt),
                Action::Replace => self.replace_stalled(attempt),
            }
        }
        None
    }

    /// Cancels a stalled attempt, so that the answer is resumed on another replica. It is kept for a
    /// while as long as its answer may have no other place.
    pub(super) fn replace_stalled(&mut self, attempt: Attempt) {
        if !self.has_other_place(attempt) && self.keep(attempt) {
            return;
        }
        let Some(active) = self.remove_active(attempt) else {
            return;
        };
        self.answer.abandon(attempt);
        self.fleet.routing().router.pool.mark_stalled(active.key, self.fleet.now());
        counter::retried("stalled");
        emit!(
            Event::AttemptFailed,
            request = format!("{:016x}", self.job.request),
            upstream = active.name,
            reason = "stalled",
            offset = self.answer.len()
        );
        self.tried.push(active.key);
        self.fleet.record_failure(&self.call.runs, active.key);
        self.gap_started_at.get_or_insert(self.progressed_at);
        self.release(active, Finish::Failed, true);
    }

    /// Whether the answer of a stalled attempt can be resumed on an upstream that was not tried. Not
    /// as long as a hedge is on its way: the answer stays with the one that yields a token first.
    fn has_other_place(&self, attempt: Attempt) -> bool {
        let mut others = self.active.iter().filter(|active| active.attempt != attempt);
        if others.any(|other| !other.detector.is_hedged()) {
            return false;
        }
        let mut tried = self.tried.clone();
        tried.extend(self.active.iter().map(|active| active.key));
        let old_version = self.fallback.as_ref().filter(|_| self.is_unsent());
        let runs = old_version.unwrap_or(&self.call.runs);
        self.fleet.routing().router.has_eligible(runs, &tried, self.fleet.now())
    }

    /// Keeps a stalled attempt for [`KEEP_INTERVAL`]; false if it is not to be kept any longer.
    fn keep(&mut self, attempt: Attempt) -> bool {
        let now = self.fleet.now();
        let active = self.active_mut(attempt);
        active.is_some_and(|active| active.detector.keep(now, KEEP_INTERVAL, MAX_KEEP_TIME))
    }

    /// Starts a second attempt while one that may have stalled keeps running.
    ///
    /// Does nothing while another hedge runs or received tokens are being replayed. Otherwise the
    /// upstream is marked as stalled even if no other one is eligible for the second attempt.
    pub(super) fn hedge(&mut self, attempt: Attempt) {
        if self.active.len() > 1 || self.replay_until > self.answer.len() {
            return;
        }
        let Some(active) = self.active_mut(attempt) else {
            return;
        };
        let (stalled_key, stalled_name) = (active.key, active.name.clone());
        self.fleet.routing().router.pool.mark_stalled(stalled_key, self.fleet.now());
        let mut tried = self.tried.clone();
        tried.push(stalled_key);
        let call = self.resume_call();
        let chosen = self.fleet.routing().router.reassign(&call, &tried, self.fleet.now());
        let Ok(key) = chosen else {
            return;
        };
        counter::retried("hedged");
        emit!(
            Event::AttemptHedged,
            request = format!("{:016x}", self.job.request),
            upstream = stalled_name,
            offset = self.answer.len()
        );
        self.gap_started_at.get_or_insert(self.progressed_at);
        self.submit(key, false, true);
    }
}
