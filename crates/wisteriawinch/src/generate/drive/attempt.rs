//! Attempts of an answer: their start, their loss, and second ones beside them.

use std::net::SocketAddr;

use winch_generation::{
    answer::Attempt,
    stall::{Action, Detector},
};
use winch_route::{candidate::Finish, pool::Key};

use super::{Driver, End, Live, not_resumable};
use crate::{
    counter, emit,
    generate::{
        engine::{Engine, Error, Submission},
        strike,
    },
    prelude::*,
};

/// Pause between looks at a load report.
const REPORT_PAUSE: Duration = Duration::from_millis(100);

impl<E: Engine> Driver<E> {
    /// Starts an attempt on `key`, for which room is already counted.
    pub(super) fn submit(&mut self, key: Key, attach: bool, beside: bool) {
        let Some((target, name)) = self.target(key) else {
            self.fleet.finish(key, Finish::Cancelled);
            return;
        };
        let attempt = if beside { self.answer.hedge() } else { self.answer.start() };
        let accepted: Vec<String> = self.answer.tokens().map(str::to_owned).collect();
        let resumed = !accepted.is_empty();
        if resumed {
            counter::recomputed(accepted.len());
        }
        let urgency = self.fleet.urgency.generation(self.job.max_tokens, accepted.len());
        let submission = Submission {
            request: format!("{:016x}", self.job.request),
            prompt: self.job.prompt.clone(),
            accepted,
            max_tokens: self.job.max_tokens,
            priority: urgency.priority(resumed),
            version: self.call.runs.to_string(),
            attach,
        };
        let now = self.fleet.now();
        self.fleet.running().insert(key, self.job.request, self.job.fingerprint);
        self.live.push(Live {
            attempt,
            key,
            target,
            name,
            stream: self.engine.submit(target, submission),
            detector: Detector::new(now),
            reported: Duration::ZERO,
        });
    }

    pub(super) fn target(&self, key: Key) -> Option<(SocketAddr, Name)> {
        let target = self.fleet.address(key)?;
        let name = self.fleet.routing().router.pool.get(key)?.spec.name.clone();
        Some((target, name))
    }

    pub(super) fn live_mut(&mut self, attempt: Attempt) -> Option<&mut Live<E::Stream>> {
        self.live.iter_mut().find(|live| live.attempt == attempt)
    }

    pub(super) fn take_out(&mut self, attempt: Attempt) -> Option<Live<E::Stream>> {
        let index = self.live.iter().position(|live| live.attempt == attempt)?;
        Some(self.live.swap_remove(index))
    }

    pub(super) fn report(&mut self, attempt: Attempt, load: u32, now: Duration) {
        let Some(live) = self.live_mut(attempt) else {
            return;
        };
        live.detector.record_activity(now);
        if now.saturating_sub(live.reported) < REPORT_PAUSE {
            return;
        }
        live.reported = now;
        let key = live.key;
        self.fleet.routing().router.pool.record_load(key, load, now);
    }

    /// Ends all attempts but the winner.
    pub(super) fn drop_losers(&mut self, winner: Attempt) {
        let live = std::mem::take(&mut self.live);
        let (winners, losers): (Vec<_>, Vec<_>) =
            live.into_iter().partition(|live| live.attempt == winner);
        self.live = winners;
        for live in losers {
            counter::retried("hedge_lost");
            let suspected = live.detector.is_hedged();
            let finish = if suspected { Finish::Failed } else { Finish::Cancelled };
            if suspected {
                self.fleet.failed(&self.call.runs, live.key);
            }
            self.release(live, finish, true);
        }
    }

    /// Gives up one attempt; the answer goes on if another is live.
    pub(super) fn lose(&mut self, attempt: Attempt, error: &Error) -> Option<End> {
        let live = self.take_out(attempt)?;
        self.answer.abandon(live.attempt);
        counter::retried(error.reason());
        emit!(
            Event::AttemptLost,
            request = format!("{:016x}", self.job.request),
            upstream = live.name,
            reason = error,
            offset = self.answer.len()
        );
        if matches!(error, Error::Gone) {
            self.release(live, Finish::Cancelled, false);
            return Some(End::Failed(not_resumable()));
        }
        let finish = match error {
            Error::Unreachable => Finish::Unreachable,
            Error::Busy => Finish::Busy,
            _ => Finish::Failed,
        };
        if matches!(error, Error::Broken) {
            self.look_for_death(&live);
        }
        self.tried.push(live.key);
        self.fleet.failed(&self.call.runs, live.key);
        self.release(live, finish, false);
        self.lost_at.get_or_insert(self.progress);
        None
    }

    /// Strikes the request, and finds out beside the answer whether the engine died.
    pub(super) fn look_for_death(&self, live: &Live<E::Stream>) {
        let spec = self.fleet.routing().router.pool.get(live.key).map(|r| r.spec.clone());
        let Some(spec) = spec else {
            return;
        };
        let (fleet, engine, target) = (self.fleet.clone(), self.engine.clone(), live.target);
        let fingerprint = self.job.fingerprint;
        let death = strike::suspect(&fleet, &spec.name, fingerprint);
        self.fleet.work.spawn(async move {
            let dead = engine.is_dead(target).await;
            strike::settle(&fleet, &spec, fingerprint, death, dead);
        });
    }

    /// Gives back the room of an attempt and stops it upstream where asked.
    pub(super) fn release(&mut self, live: Live<E::Stream>, finish: Finish, cancel: bool) {
        self.unpace();
        self.fleet.running().remove(live.key, self.job.request);
        self.fleet.finish(live.key, finish);
        drop(live.stream);
        if cancel {
            let engine = self.engine.clone();
            let request = format!("{:016x}", self.job.request);
            self.fleet.work.spawn(async move { engine.cancel(live.target, &request).await });
        }
    }

    /// Ends the turn that a paced resume holds.
    pub(super) fn unpace(&mut self) {
        if let Some(runs) = self.paced.take() {
            let now = self.fleet.now();
            self.fleet.routing().router.pacer(&runs, now).0.finish();
            self.fleet.paced.notify_waiters();
        }
    }

    /// Judges silent attempts and starts others in their place or beside them.
    pub(super) fn judge(&mut self) -> Option<End> {
        let now = self.fleet.now();
        let norm = self.fleet.norm(&self.call.runs);
        let options = self.fleet.stall;
        let verdicts: Vec<(Attempt, Action)> = self
            .live
            .iter_mut()
            .map(|live| (live.attempt, live.detector.check(now, &norm, &options)))
            .collect();
        for (attempt, verdict) in verdicts {
            match verdict {
                Action::Wait(_) => {}
                Action::Hedge => self.hedge(attempt),
                Action::Replace => self.replace_stalled(attempt),
            }
        }
        None
    }

    pub(super) fn replace_stalled(&mut self, attempt: Attempt) {
        let Some(live) = self.take_out(attempt) else {
            return;
        };
        self.answer.abandon(attempt);
        self.fleet.routing().router.pool.suspect(live.key, self.fleet.now());
        counter::retried("stalled");
        emit!(
            Event::AttemptLost,
            request = format!("{:016x}", self.job.request),
            upstream = live.name,
            reason = "stalled",
            offset = self.answer.len()
        );
        self.tried.push(live.key);
        self.fleet.failed(&self.call.runs, live.key);
        self.lost_at.get_or_insert(self.progress);
        self.release(live, Finish::Failed, true);
    }

    /// Starts a second attempt beside a suspected one.
    pub(super) fn hedge(&mut self, attempt: Attempt) {
        if self.live.len() > 1 || self.skip > self.answer.len() {
            return;
        }
        let Some(live) = self.live_mut(attempt) else {
            return;
        };
        let (key, suspected) = (live.key, live.name.clone());
        self.fleet.routing().router.pool.suspect(key, self.fleet.now());
        let mut tried = self.tried.clone();
        tried.push(key);
        let call = self.resume_call();
        let chosen = self.fleet.routing().router.reassign(&call, &tried, self.fleet.now());
        let Ok(key) = chosen else {
            return;
        };
        counter::retried("hedged");
        emit!(
            Event::Hedged,
            request = format!("{:016x}", self.job.request),
            upstream = suspected,
            offset = self.answer.len()
        );
        self.lost_at.get_or_insert(self.progress);
        self.submit(key, false, true);
    }
}
