//! Driver of one answer, from admission to the end marker.
//!
//! A [`Driver`] reads the events of its attempts on engines, appends accepted
//! tokens to the [`Answer`] and writes them to the [`Output`].
//!
//! An answer is resumed in two ways. After an attempt fails or stalls, its driver
//! continues it on another replica, and its caller only sees a gap. After a caller
//! reconnects with a cursor, a new driver continues it from there.

mod attempt;
mod close;
mod observe;
mod recover;

use std::{future::poll_fn, net::SocketAddr, task::Poll};

use futures_util::StreamExt;
use tokio::{
    sync::OwnedSemaphorePermit,
    time::{Instant, sleep, sleep_until},
};
use winch_generation::{
    answer::{Accept, Answer, Attempt, Rejection},
    cursor::Cursor,
    stall::{Action, Detector},
};
use winch_route::{admission::Arrival, hash, pool::Key, router::Call};

use self::close::{drop_reason, resume_unavailable};
use super::{
    engine::{Batch, Engine, Error, Event as EngineEvent},
    job::{Job, Refusal},
    output::Output,
};
use crate::{counter, prelude::*, rollout::Assignment};

/// An attempt that is running on a replica.
struct ActiveAttempt<S> {
    attempt: Attempt,
    /// Key of the replica in the router's pool.
    key: Key,
    /// Address of the replica's engine.
    address: SocketAddr,
    /// Name of the replica.
    name: Name,
    stream: S,
    detector: Detector,
    /// Time of the last load report passed to the router; zero before the first one.
    reported_at: Duration,
}

/// Event that the driver handles next.
enum Step {
    /// The stream of an attempt yielded a batch, or ended.
    Received(Attempt, Option<Batch>),
    /// An attempt has to be checked for a stall.
    StallCheckDue,
    /// Pending output was sent; false if the caller has disconnected instead.
    Flushed(bool),
    /// The caller disconnected while no output was pending.
    Disconnected,
}

/// How an answer ended.
enum End {
    Complete,
    Failed(Refusal),
    /// The caller disconnected.
    Disconnected,
}

/// Largest part of a prompt, from its start, that is hashed for routing by prefix.
const PREFIX_BYTES: usize = 256;
/// Approximate length of one token, from which the prefill of a prompt is estimated.
const TOKEN_BYTES: usize = 4;
/// Delay of a stall check above which this process had no processor time.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(25);
/// Time in which the events that arrived during such a delay are read.
const READ_TIME: Duration = Duration::from_millis(50);

/// Driver of one answer.
pub struct Driver<E: Engine> {
    fleet: Arc<Fleet>,
    engine: E,
    job: Job,
    output: Output,
    answer: Answer,
    call: Call,
    /// Running attempts: one, two during a hedge, or none until [`Self::recover`] starts the next.
    active: Vec<ActiveAttempt<E::Stream>>,
    /// Replicas on which attempts failed; cleared when the answer changes to the old version of a
    /// move and when no upstream can be chosen.
    tried: Vec<Key>,
    /// Number of tokens that the engine replays because the caller received them but did not
    /// send them back; 0 without a replay.
    replay_until: usize,
    arrived_at: Duration,
    /// Time of the last accepted token, or of arrival before the first one.
    progressed_at: Duration,
    /// Start of the gap that the caller sees after an attempt was lost or hedged: the value of
    /// `progressed_at` at that time. `None` from the next accepted token on.
    gap_started_at: Option<Duration>,
    /// Calls of [`Self::recover`] that reached the backoff since the last accepted token.
    consecutive_recoveries: u32,
    /// Version whose pacer counts this answer's resume as in prefill.
    paced_version: Option<Name>,
    /// Old version, while a version move assigns the answer to the new one.
    fallback: Option<Name>,
    /// Time of the first token of the current attempt.
    first_token_at: Duration,
    /// Prefill time of the current attempt, and the answer's length in tokens after its first
    /// token.
    prefill: Option<(Duration, usize)>,
    /// Whether the answer was counted as a success of its version.
    success_recorded: bool,
    /// Permit of [`Fleet::isolation`], held to the end of the answer once the request may run
    /// only in isolation.
    isolation_permit: Option<OwnedSemaphorePermit>,
}

impl<E: Engine> Driver<E> {
    /// Creates a driver that serves `job` on the assigned version.
    pub fn new(
        fleet: Arc<Fleet>,
        engine: E,
        job: Job,
        output: Output,
        assignment: Assignment,
    ) -> Self {
        let urgency = fleet.urgency.classify_generation(job.max_tokens, 0);
        let prefix_end = job.prompt.len().min(PREFIX_BYTES);
        let prefix_end =
            (0..=prefix_end).rev().find(|at| job.prompt.is_char_boundary(*at)).unwrap_or(0);
        let call = Call {
            runs: assignment.version,
            prefix: hash::name(&job.prompt[..prefix_end]),
            prefill_tokens: job.prompt.len() / TOKEN_BYTES,
            move_subset: assignment.move_subset,
            arrival: Arrival {
                team: job.team.name.clone(),
                weight: job.team.weight,
                urgency,
                max_wait: fleet.urgency.max_wait(urgency),
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
            active: Vec::new(),
            tried: Vec::new(),
            replay_until: 0,
            arrived_at: now,
            progressed_at: now,
            gap_started_at: None,
            consecutive_recoveries: 0,
            paced_version: None,
            fallback: assignment.fallback,
            first_token_at: now,
            prefill: None,
            success_recorded: false,
            isolation_permit: None,
        }
    }

    /// Runs until the answer is complete, has failed, or its caller has disconnected.
    pub async fn run(mut self) {
        counter::open_streams(1.0);
        let end = match self.begin().await {
            Ok(()) => self.serve().await,
            Err(end) => end,
        };
        self.close(end).await;
        counter::open_streams(-1.0);
    }

    /// Handles events until the answer ends, and recovers whenever no attempt is running.
    async fn serve(&mut self) -> End {
        loop {
            if self.active.is_empty()
                && let Err(end) = self.recover().await
            {
                return end;
            }
            let end = match self.step().await {
                Step::Received(attempt, Some(Ok(events))) => self.handle_events(attempt, events),
                Step::Received(attempt, Some(Err(error))) => self.handle_loss(attempt, &error),
                Step::Received(attempt, None) => self.handle_loss(attempt, &Error::Broken),
                Step::StallCheckDue => self.check_stalls(),
                Step::Flushed(true) => None,
                Step::Flushed(false) | Step::Disconnected => Some(End::Disconnected),
            };
            if let Some(end) = end {
                return end;
            }
        }
    }

    /// Waits for the next event, sending pending output first.
    ///
    /// While the output is full, the attempts are neither read nor checked for stalls, so that
    /// their engines have to wait for the caller.
    async fn step(&mut self) -> Step {
        let due = self.next_stall_check();
        let is_full = self.output.is_full();
        let is_pending = self.output.is_pending();
        let Self { active, output, .. } = self;
        let received = poll_fn(|cx| {
            for running in active.iter_mut() {
                if let Poll::Ready(batch) = running.stream.poll_next_unpin(cx) {
                    return Poll::Ready((running.attempt, batch));
                }
            }
            Poll::Pending
        });
        if is_pending {
            return tokio::select! {
                biased;
                sent = output.flush() => Step::Flushed(sent),
                (attempt, batch) = received, if !is_full => Step::Received(attempt, batch),
                () = wait_stall_check(due), if !is_full => Step::StallCheckDue,
            };
        }
        tokio::select! {
            biased;
            (attempt, batch) = received => Step::Received(attempt, batch),
            () = wait_stall_check(due) => Step::StallCheckDue,
            () = output.closed() => Step::Disconnected,
        }
    }

    /// Time at which an attempt must next be checked for a stall.
    fn next_stall_check(&mut self) -> Instant {
        let now = self.fleet.now();
        let baseline = self.fleet.baseline(&self.call.runs);
        let options = &self.fleet.stall;
        let deadlines = self.active.iter_mut().map(|active| {
            // The check runs on a clone, since it changes the state of the detector.
            match active.detector.clone().check(now, &baseline, options) {
                Action::Wait(until) => until,
                Action::Hedge | Action::Replace => now,
            }
        });
        let first = deadlines.min().unwrap_or(now);
        Instant::now() + first.saturating_sub(now)
    }

    fn handle_events(&mut self, attempt: Attempt, events: Vec<EngineEvent>) -> Option<End> {
        let now = self.fleet.now();
        let tokens_before = self.answer.len();
        for event in events {
            let outcome = match event {
                EngineEvent::Load(load) => {
                    self.handle_load_report(attempt, load, now);
                    Ok(())
                }
                EngineEvent::Token { offset, text } => self.append(attempt, offset, &text, now),
                EngineEvent::End(total) => self.handle_end_marker(attempt, total),
            };
            if let Err(end) = outcome {
                return end;
            }
        }
        counter::tokens((self.answer.len() - tokens_before) as u64);
        None
    }

    /// Appends one token, unless the answer rejects it. An error skips the rest of the batch;
    /// `Err(Some(_))` also ends the answer.
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
            Err(Rejection::Gap) => return Err(self.handle_loss(attempt, &Error::Protocol)),
            Err(reason) => {
                counter::dropped(drop_reason(reason));
                return Ok(());
            }
        }
        self.observe(attempt, now);
        self.forward(attempt, text)
    }

    /// Handles the end marker of `attempt`. Errors have the same meaning as those of
    /// [`Self::append`].
    fn handle_end_marker(&mut self, attempt: Attempt, total: usize) -> Result<(), Option<End>> {
        match self.answer.end(attempt, total) {
            Ok(()) => Err(Some(self.complete())),
            Err(Rejection::Stale) => Ok(()),
            Err(_) => Err(self.handle_loss(attempt, &Error::Protocol)),
        }
    }

    /// Writes an accepted token to the output, unless the caller already has it or wants the
    /// answer as a whole.
    fn forward(&mut self, attempt: Attempt, text: &str) -> Result<(), Option<End>> {
        let (offset, digest) = (self.answer.len(), self.answer.digest());
        if offset < self.replay_until {
            return Ok(());
        }
        if offset == self.replay_until {
            return self.check_replayed();
        }
        if !self.job.stream {
            return Ok(());
        }
        let name = self.active_mut(attempt).map(|active| active.name.clone()).unwrap_or_default();
        if !self.output.is_from(&name) {
            let stem = self.stem(&name);
            self.output.set_source(name, stem);
        }
        self.output.push_token(text, offset, digest, &self.fleet.cursor_key);
        Ok(())
    }

    /// Fails the answer unless the replayed tokens have the digest of the caller's cursor.
    fn check_replayed(&mut self) -> Result<(), Option<End>> {
        let expected = self.job.resume.as_ref().map(|resume| resume.cursor.digest);
        if expected == Some(self.answer.digest()) {
            return Ok(());
        }
        Err(Some(End::Failed(resume_unavailable())))
    }

    /// The fixed part of the event ids while `replica` serves the answer.
    fn stem(&self, replica: &str) -> String {
        let cursor = Cursor {
            request: self.job.request,
            body_digest: self.job.body_digest,
            version: self.call.runs.to_string(),
            replica: replica.to_owned(),
            offset: 0,
            digest: self.answer.digest(),
        };
        cursor.stem()
    }
}

/// Completes when a stall check that is due at `due` can be made.
///
/// If this process had no processor time, events that have arrived meanwhile are read first.
async fn wait_stall_check(due: Instant) {
    sleep_until(due).await;
    if due.elapsed() > MAX_CHECK_DELAY {
        sleep(READ_TIME).await;
    }
}
