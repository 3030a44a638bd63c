//! Drives one answer from its first attempt to its end mark.

mod attempt;
mod observe;
mod recover;

use std::{future::poll_fn, net::SocketAddr, task::Poll};

use futures_util::StreamExt;
use tokio::{
    sync::OwnedSemaphorePermit,
    time::{Instant, sleep_until},
};
use winch_generation::{
    answer::{Accept, Answer, Attempt, Rejection},
    cursor::Cursor,
    stall::{Action, Detector},
};
use winch_route::{admission::Arrival, candidate::Finish, hash, pool::Key, router::Call};

use super::{
    engine::{Batch, Engine, Error, Event as Told},
    job::{Job, Refusal},
    output::Output,
};
use crate::{counter, emit, prelude::*, trial::Plan};

/// One attempt under way.
struct Live<S> {
    attempt: Attempt,
    key: Key,
    target: SocketAddr,
    name: Name,
    stream: S,
    detector: Detector,
    reported: Duration,
}

/// What happens next.
enum Step {
    Told(Attempt, Option<Batch>),
    Due,
    Flushed(bool),
    Left,
}

/// How an answer ended.
enum End {
    Complete,
    Failed(Refusal),
    Left,
}

/// Bytes of a prompt that make its prefix.
const PREFIX_BYTES: usize = 256;
/// Bytes of text that make about one token.
const TOKEN_BYTES: usize = 4;

/// Drives one answer.
pub struct Driver<E: Engine> {
    fleet: Arc<Fleet>,
    engine: E,
    job: Job,
    output: Output,
    answer: Answer,
    call: Call,
    live: Vec<Live<E::Stream>>,
    tried: Vec<Key>,
    skip: usize,
    arrived: Duration,
    progress: Duration,
    lost_at: Option<Duration>,
    /// Attempts lost since the last token.
    losses: u32,
    /// The version whose pacer this answer holds a turn of.
    paced: Option<Name>,
    fallback: Option<Name>,
    started: Duration,
    first_token: Option<(Duration, usize)>,
    judged: bool,
    isolated: Option<OwnedSemaphorePermit>,
}

impl<E: Engine> Driver<E> {
    /// A driver for `job`, to be served as planned.
    pub fn new(fleet: Arc<Fleet>, engine: E, job: Job, output: Output, plan: Plan) -> Self {
        let urgency = fleet.urgency.generation(job.max_tokens, 0);
        let end = job.prompt.len().min(PREFIX_BYTES);
        let end = (0..=end).rev().find(|at| job.prompt.is_char_boundary(*at)).unwrap_or(0);
        let call = Call {
            runs: plan.version,
            prefix: hash::name(&job.prompt[..end]),
            prefill_tokens: job.prompt.len() / TOKEN_BYTES,
            move_subset: plan.first,
            arrival: Arrival {
                team: job.team.name.clone(),
                weight: job.team.weight,
                urgency,
                wait: fleet.urgency.wait(urgency),
            },
        };
        let now = fleet.now();
        Self {
            answer: Answer::new(job.prompt.as_bytes()),
            fleet,
            engine,
            job,
            output,
            call,
            live: Vec::new(),
            tried: Vec::new(),
            skip: 0,
            arrived: now,
            progress: now,
            lost_at: None,
            losses: 0,
            paced: None,
            fallback: plan.fallback,
            started: now,
            first_token: None,
            judged: false,
            isolated: None,
        }
    }

    /// Runs the answer to its end.
    pub async fn run(mut self) {
        counter::open_streams(1.0);
        let end = match self.begin().await {
            Ok(()) => self.serve().await,
            Err(end) => end,
        };
        self.close(end).await;
        counter::open_streams(-1.0);
    }

    async fn serve(&mut self) -> End {
        loop {
            if self.live.is_empty()
                && let Err(end) = self.recover().await
            {
                return end;
            }
            let end = match self.step().await {
                Step::Told(attempt, Some(Ok(events))) => self.take(attempt, events),
                Step::Told(attempt, Some(Err(error))) => self.lose(attempt, &error),
                Step::Told(attempt, None) => self.lose(attempt, &Error::Broken),
                Step::Due => self.judge(),
                Step::Flushed(true) => None,
                Step::Flushed(false) | Step::Left => Some(End::Left),
            };
            if let Some(end) = end {
                return end;
            }
        }
    }

    async fn step(&mut self) -> Step {
        let due = self.due();
        let full = self.output.is_full();
        let pending = self.output.is_pending();
        let Self { live, output, .. } = self;
        let told = poll_fn(|cx| {
            for live in live.iter_mut() {
                if let Poll::Ready(batch) = live.stream.poll_next_unpin(cx) {
                    return Poll::Ready((live.attempt, batch));
                }
            }
            Poll::Pending
        });
        if pending {
            return tokio::select! {
                biased;
                sent = output.flush() => Step::Flushed(sent),
                (attempt, batch) = told, if !full => Step::Told(attempt, batch),
                () = sleep_until(due), if !full => Step::Due,
            };
        }
        tokio::select! {
            biased;
            (attempt, batch) = told => Step::Told(attempt, batch),
            () = sleep_until(due) => Step::Due,
            () = output.closed() => Step::Left,
        }
    }

    /// When the silence of an attempt has to be judged next.
    fn due(&mut self) -> Instant {
        let now = self.fleet.now();
        let norm = self.fleet.norm(&self.call.runs);
        let options = &self.fleet.stall;
        let waits = self.live.iter_mut().map(|live| {
            // Judging a copy leaves the attempt's own state as it is.
            match live.detector.clone().check(now, &norm, options) {
                Action::Wait(until) => until,
                Action::Hedge | Action::Replace => now,
            }
        });
        let first = waits.min().unwrap_or(now);
        Instant::now() + first.saturating_sub(now)
    }

    fn take(&mut self, attempt: Attempt, events: Vec<Told>) -> Option<End> {
        let now = self.fleet.now();
        let before = self.answer.len();
        for event in events {
            let outcome = match event {
                Told::Load(load) => {
                    self.report(attempt, load, now);
                    Ok(())
                }
                Told::Token { offset, text } => self.append(attempt, offset, &text, now),
                Told::End(total) => self.end(attempt, total),
            };
            if let Err(end) = outcome {
                return end;
            }
        }
        counter::tokens((self.answer.len() - before) as u64);
        None
    }

    /// Appends one token. An error ends the batch, and with `Some` the answer.
    fn append(
        &mut self,
        attempt: Attempt,
        offset: usize,
        text: &str,
        now: Duration,
    ) -> Result<(), Option<End>> {
        match self.answer.append(attempt, offset, text) {
            Ok(Accept::Appended) => {}
            Ok(Accept::Won) => self.drop_losers(attempt),
            Err(Rejection::Gap) => return Err(self.lose(attempt, &Error::Protocol)),
            Err(reason) => {
                counter::dropped(drop_reason(reason));
                return Ok(());
            }
        }
        self.observe(attempt, now);
        self.pass_on(attempt, text)
    }

    fn end(&mut self, attempt: Attempt, total: usize) -> Result<(), Option<End>> {
        match self.answer.end(attempt, total) {
            Ok(()) => Err(Some(self.complete())),
            Err(Rejection::Stale) => Ok(()),
            Err(_) => Err(self.lose(attempt, &Error::Protocol)),
        }
    }

    /// Passes an accepted token on, unless the caller already holds it.
    fn pass_on(&mut self, attempt: Attempt, text: &str) -> Result<(), Option<End>> {
        let (offset, digest) = (self.answer.len(), self.answer.digest());
        if offset < self.skip {
            return Ok(());
        }
        if offset == self.skip {
            return self.check_skipped();
        }
        if !self.job.stream {
            return Ok(());
        }
        let name = self.live_mut(attempt).map(|live| live.name.clone()).unwrap_or_default();
        if !self.output.is_from(&name) {
            let stem = self.stem(&name);
            self.output.set_source(name, stem);
        }
        self.output.token(text, offset, digest, &self.fleet.cursor_key);
        Ok(())
    }

    /// Whether the tokens told again are those that the caller holds.
    fn check_skipped(&mut self) -> Result<(), Option<End>> {
        let expected = self.job.held.as_ref().map(|held| held.cursor.digest);
        if expected == Some(self.answer.digest()) {
            return Ok(());
        }
        Err(Some(End::Failed(not_resumable())))
    }

    fn stem(&self, replica: &str) -> String {
        let cursor = Cursor {
            request: self.job.request,
            body: self.job.body,
            version: self.call.runs.to_string(),
            replica: replica.to_owned(),
            offset: 0,
            digest: self.answer.digest(),
        };
        cursor.stem()
    }

    fn complete(&mut self) -> End {
        if self.job.stream {
            self.output.end();
        }
        End::Complete
    }

    async fn close(&mut self, end: End) {
        let (finish, outcome) = match &end {
            End::Complete => (Finish::Completed, "complete"),
            End::Failed(_) => (Finish::Cancelled, "failed"),
            End::Left => (Finish::Cancelled, "left"),
        };
        counter::answer(outcome);
        self.unpace();
        let patient = self.job.max_tokens >= self.fleet.urgency.long_tokens;
        let cancel = match end {
            End::Complete => false,
            // A patient caller may come back for its answer while the engine still holds it.
            End::Left => !patient,
            End::Failed(_) => true,
        };
        for live in std::mem::take(&mut self.live) {
            self.release(live, finish, cancel);
        }
        match end {
            End::Complete => {
                self.fleet.board().record_completion(self.job.fingerprint);
                if !self.judged {
                    self.count_good();
                }
                self.deliver();
            }
            End::Failed(refusal) => self.fail(refusal),
            End::Left => return,
        }
        while self.output.is_pending() && self.output.flush().await {}
    }

    fn deliver(&mut self) {
        if !self.job.stream {
            self.output.whole(self.answer.text(), self.answer.len());
        }
    }

    fn fail(&mut self, refusal: Refusal) {
        counter::refused(refusal.0);
        if self.answer.len() > self.skip {
            emit!(
                Event::GenerationFailed,
                request = format!("{:016x}", self.job.request),
                code = refusal.0.name(),
                offset = self.answer.len()
            );
        }
        self.output.fail(refusal);
    }
}

fn not_resumable() -> Refusal {
    let message = "the answer cannot be continued exactly; send the request anew".to_owned();
    (Code::ResumeUnavailable, message)
}

fn drop_reason(reason: Rejection) -> &'static str {
    match reason {
        Rejection::Stale => "stale",
        Rejection::Duplicate => "duplicate",
        Rejection::Gap => "gap",
        Rejection::Ended => "ended",
    }
}
