//! Drives one answer from its first attempt to its end mark.

use std::{future::poll_fn, net::SocketAddr, task::Poll};

use futures_util::StreamExt;
use tokio::{
    sync::OwnedSemaphorePermit,
    time::{Instant, sleep, sleep_until},
};
use winch_generation::{
    answer::{Accept, Answer, Attempt, Drop},
    stall::{Verdict, Watch},
    ticket::Ticket,
};
use winch_route::{
    gate::Arrival, hash, pool::Key, replica::Finish, router::Call, suspect::Standing,
};

use super::{
    admit::{self, admit},
    engine::{Engine, Error, Event as Told, Submission},
    job::{Job, Refusal},
    output::Output,
    strike,
};
use crate::{counter, emit, prelude::*};

/// One attempt under way.
struct Live<S> {
    attempt: Attempt,
    key: Key,
    target: SocketAddr,
    name: Name,
    stream: S,
    watch: Watch,
    paced: bool,
    reported: Duration,
}

/// What happens next.
enum Step {
    Told(Attempt, Option<super::engine::Batch>),
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

/// Time without progress after which an accepted answer is given up.
const GIVE_UP: Duration = Duration::from_secs(60);
/// Pause between looks for a fit upstream.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);
/// Pause between looks at a load report.
const REPORT_PAUSE: Duration = Duration::from_millis(100);
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
    isolated: Option<OwnedSemaphorePermit>,
}

impl<E: Engine> Driver<E> {
    /// A driver for `job`, to be served by `version`; `first` restricts the choice on trial.
    pub fn new(
        fleet: Arc<Fleet>,
        engine: E,
        job: Job,
        output: Output,
        version: Name,
        first: Option<(u64, usize)>,
    ) -> Self {
        let urgency = fleet.urgency.generation(job.max_tokens, 0);
        let end = job.prompt.len().min(PREFIX_BYTES);
        let end = (0..=end).rev().find(|at| job.prompt.is_char_boundary(*at)).unwrap_or(0);
        let call = Call {
            runs: version,
            prefix: hash::name(&job.prompt[..end]),
            prefill_tokens: job.prompt.len() / TOKEN_BYTES,
            first,
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

    async fn begin(&mut self) -> Result<(), End> {
        if let Some(held) = self.job.held.clone() {
            return self.take_up(held.ticket, held.tokens);
        }
        self.check_standing().await?;
        let admitted = admit(&self.fleet, self.call.clone(), self.output.closed()).await;
        let key = admitted.map_err(refused)?;
        self.submit(key, false, false);
        Ok(())
    }

    /// Goes on where another daemon, or an earlier connection, left off.
    fn take_up(&mut self, ticket: Ticket, tokens: Option<Vec<String>>) -> Result<(), End> {
        self.call.runs = ticket.version.as_str().into();
        self.call.first = None;
        let home = self.fleet.routing().router.pool.find(&ticket.replica);
        let home = home.filter(|key| self.fleet.address(*key).is_some());
        if let Some(tokens) = tokens {
            let prefix = tokens.iter().map(String::as_str);
            self.answer = Answer::with_prefix(self.job.prompt.as_bytes(), prefix);
            let key = match home {
                Some(key) => key,
                None => self.replace().map_err(|()| End::Failed(no_upstream()))?,
            };
            if home.is_some() {
                self.fleet.routing().router.begin(key, self.call.prefix);
            }
            self.submit(key, false, false);
            return Ok(());
        }
        // Without the tokens only the engine that made them can tell them again.
        let Some(key) = home else {
            return Err(End::Failed(not_resumable()));
        };
        self.skip = ticket.offset;
        self.fleet.routing().router.begin(key, self.call.prefix);
        self.submit(key, true, false);
        Ok(())
    }

    /// Refuses a suspect, or makes it wait until no other suspect runs here.
    async fn check_standing(&mut self) -> Result<(), End> {
        let standing = strike::standing(&self.fleet, self.job.fingerprint);
        if standing == Standing::Refused {
            let request = format!("{:016x}", self.job.request);
            emit!(Event::SuspectFound, request = request, standing = "refused");
            let message = "engines died of this request".to_owned();
            return Err(End::Failed((Code::Suspect, message)));
        }
        if standing != Standing::Isolated || self.isolated.is_some() {
            return Ok(());
        }
        let request = format!("{:016x}", self.job.request);
        emit!(Event::SuspectFound, request = request, standing = "isolated");
        let turn = self.fleet.isolation.clone().acquire_owned();
        tokio::select! {
            permit = turn => self.isolated = permit.ok(),
            () = self.output.closed() => return Err(End::Left),
        }
        Ok(())
    }

    /// Starts an attempt on `key`, for which room is already counted.
    fn submit(&mut self, key: Key, attach: bool, beside: bool) {
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
            watch: Watch::new(now),
            paced: false,
            reported: Duration::ZERO,
        });
    }

    fn target(&self, key: Key) -> Option<(SocketAddr, Name)> {
        let target = self.fleet.address(key)?;
        let name = self.fleet.routing().router.pool.get(key)?.spec.name.clone();
        Some((target, name))
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
            match live.watch.clone().judge(now, &norm, options) {
                Verdict::Wait(until) => until,
                Verdict::Hedge | Verdict::Replace => now,
            }
        });
        let first = waits.min().unwrap_or(now);
        Instant::now() + first.saturating_sub(now)
    }

    fn live_mut(&mut self, attempt: Attempt) -> Option<&mut Live<E::Stream>> {
        self.live.iter_mut().find(|live| live.attempt == attempt)
    }

    fn take_out(&mut self, attempt: Attempt) -> Option<Live<E::Stream>> {
        let index = self.live.iter().position(|live| live.attempt == attempt)?;
        Some(self.live.swap_remove(index))
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

    fn report(&mut self, attempt: Attempt, load: u32, now: Duration) {
        let Some(live) = self.live_mut(attempt) else {
            return;
        };
        live.watch.sign(now);
        if now.saturating_sub(live.reported) < REPORT_PAUSE {
            return;
        }
        live.reported = now;
        let key = live.key;
        if let Some(replica) = self.fleet.routing().router.pool.get_mut(key) {
            replica.report(load, now);
        }
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
            Err(Drop::Gap) => return Err(self.lose(attempt, &Error::Protocol)),
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
            Err(Drop::Stale) => Ok(()),
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
        self.output.token(text, offset, digest, &self.fleet.ticket_key);
        Ok(())
    }

    /// Whether the tokens told again are those that the caller holds.
    fn check_skipped(&mut self) -> Result<(), Option<End>> {
        let expected = self.job.held.as_ref().map(|held| held.ticket.digest);
        if expected == Some(self.answer.digest()) {
            return Ok(());
        }
        Err(Some(End::Failed(not_resumable())))
    }

    fn stem(&self, replica: &str) -> String {
        let ticket = Ticket {
            request: self.job.request,
            body: self.job.body,
            version: self.call.runs.to_string(),
            replica: replica.to_owned(),
            offset: 0,
            digest: self.answer.digest(),
        };
        ticket.stem()
    }

    fn observe(&mut self, attempt: Attempt, now: Duration) {
        let Some(live) = self.live_mut(attempt) else {
            return;
        };
        let prefill = live.watch.in_prefill().then(|| live.watch.age(now));
        let gap = live.watch.token(now);
        let key = live.key;
        if std::mem::take(&mut live.paced) {
            self.unpace();
        }
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
        let runs = self.call.runs.clone();
        self.fleet.observe(&runs, |norm| {
            prefill.into_iter().for_each(|time| norm.observe_prefill(time));
            gap.into_iter().for_each(|gap| norm.observe_gap(gap));
        });
        if let Some(time) = prefill {
            self.fleet.first_token(&runs, key, time);
        }
    }

    /// Ends all attempts but the winner.
    fn drop_losers(&mut self, winner: Attempt) {
        let live = std::mem::take(&mut self.live);
        let (winners, losers): (Vec<_>, Vec<_>) =
            live.into_iter().partition(|live| live.attempt == winner);
        self.live = winners;
        for live in losers {
            counter::retried("hedge_lost");
            let finish = if live.watch.is_hedged() { Finish::Failed } else { Finish::Cancelled };
            self.release(live, finish, true);
        }
    }

    /// Gives up one attempt; the answer goes on if another is live.
    fn lose(&mut self, attempt: Attempt, error: &Error) -> Option<End> {
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
        if matches!(error, Error::Broken | Error::Unreachable) {
            self.look_for_death(&live);
        }
        self.tried.push(live.key);
        self.fleet.failed(&self.call.runs, live.key);
        self.release(live, finish, false);
        self.lost_at.get_or_insert(self.progress);
        None
    }

    /// Finds out beside the answer whether the engine died, and strikes what it ran.
    fn look_for_death(&self, live: &Live<E::Stream>) {
        let (fleet, engine) = (self.fleet.clone(), self.engine.clone());
        let (key, target) = (live.key, live.target);
        let running = fleet.running().on(key);
        self.fleet.work.spawn(async move {
            if engine.is_dead(target).await {
                let struck = strike::upstream_died(&fleet, key, &running);
                fleet.spread_strikes(&struck);
            }
        });
    }

    /// Gives back the room of an attempt and stops it upstream where asked.
    fn release(&mut self, live: Live<E::Stream>, finish: Finish, cancel: bool) {
        if live.paced {
            self.unpace();
        }
        self.fleet.running().remove(live.key, self.job.request);
        self.fleet.finish(live.key, finish);
        drop(live.stream);
        if cancel {
            let engine = self.engine.clone();
            let request = format!("{:016x}", self.job.request);
            self.fleet.work.spawn(async move { engine.cancel(live.target, &request).await });
        }
    }

    fn unpace(&mut self) {
        let now = self.fleet.now();
        self.fleet.routing().router.pacer(&self.call.runs, now).0.finish();
    }

    /// Judges silent attempts and starts others in their place or beside them.
    fn judge(&mut self) -> Option<End> {
        let now = self.fleet.now();
        let norm = self.fleet.norm(&self.call.runs);
        let options = self.fleet.stall;
        let verdicts: Vec<(Attempt, Verdict)> = self
            .live
            .iter_mut()
            .map(|live| (live.attempt, live.watch.judge(now, &norm, &options)))
            .collect();
        for (attempt, verdict) in verdicts {
            match verdict {
                Verdict::Wait(_) => {}
                Verdict::Hedge => self.hedge(attempt),
                Verdict::Replace => self.replace_stalled(attempt),
            }
        }
        None
    }

    fn replace_stalled(&mut self, attempt: Attempt) {
        let Some(live) = self.take_out(attempt) else {
            return;
        };
        self.answer.abandon(attempt);
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
    fn hedge(&mut self, attempt: Attempt) {
        if self.live.len() > 1 || self.skip > self.answer.len() {
            return;
        }
        let Some(live) = self.live_mut(attempt) else {
            return;
        };
        let (key, suspected) = (live.key, live.name.clone());
        let mut tried = self.tried.clone();
        tried.push(key);
        let call = self.resume_call();
        let chosen = self.fleet.routing().router.replace(&call, &tried, self.fleet.now());
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

    fn resume_call(&self) -> Call {
        let mut call = self.call.clone();
        call.prefill_tokens += self.answer.len();
        call
    }

    /// Chooses the upstream of a resume; the attempts that failed come last.
    fn replace(&mut self) -> Result<Key, ()> {
        let mut avoid = self.tried.clone();
        if strike::standing(&self.fleet, self.job.fingerprint) != Standing::Clear {
            avoid.extend(strike::avoid(&self.fleet, self.job.fingerprint));
        }
        let call = self.resume_call();
        let now = self.fleet.now();
        let mut routing = self.fleet.routing();
        let tried = &self.tried;
        let chosen = routing.router.replace(&call, &avoid, now);
        let chosen = chosen.or_else(|_| routing.router.replace(&call, tried, now));
        let chosen = chosen.or_else(|_| routing.router.replace(&call, &[], now));
        chosen.map_err(drop)
    }

    /// Starts the next attempt after all were lost.
    async fn recover(&mut self) -> Result<(), End> {
        if self.skip > self.answer.len() {
            return Err(End::Failed(not_resumable()));
        }
        self.check_standing().await?;
        self.wait_turn().await?;
        loop {
            if let Ok(key) = self.replace() {
                self.submit(key, false, false);
                if let Some(live) = self.live.first_mut() {
                    live.paced = true;
                    return Ok(());
                }
            }
            if self.fleet.now().saturating_sub(self.progress) > GIVE_UP {
                self.unpace();
                let message = "no engine could go on with the answer".to_owned();
                return Err(End::Failed((Code::GenerationFailed, message)));
            }
            self.tried.clear();
            self.restart_elsewhere();
            self.pause().await?;
        }
    }

    /// Moves an answer of which nothing reached the caller to the route's version of now.
    fn restart_elsewhere(&mut self) {
        if self.output.has_begun() || self.job.held.is_some() {
            return;
        }
        let Some((version, first)) = self.fleet.plan(&self.job.model, self.job.request) else {
            return;
        };
        if version != self.call.runs {
            self.answer = Answer::new(self.job.prompt.as_bytes());
            self.call.runs = version;
            self.call.first = first;
        }
    }

    /// Waits until the pacer lets this resume go.
    async fn wait_turn(&mut self) -> Result<(), End> {
        let now = self.fleet.now();
        let ticket =
            self.fleet.routing().router.pacer(&self.call.runs, now).0.arrive(self.answer.len());
        loop {
            {
                let now = self.fleet.now();
                let mut routing = self.fleet.routing();
                let (pacer, replicas) = routing.router.pacer(&self.call.runs, now);
                if pacer.start(ticket, replicas) {
                    return Ok(());
                }
            }
            if let Err(end) = self.pause().await {
                let now = self.fleet.now();
                self.fleet.routing().router.pacer(&self.call.runs, now).0.leave(ticket);
                return Err(end);
            }
        }
    }

    async fn pause(&mut self) -> Result<(), End> {
        tokio::select! {
            () = sleep(SEARCH_PAUSE) => Ok(()),
            () = self.output.closed() => Err(End::Left),
        }
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
                self.fleet.board().completed(self.job.fingerprint);
                self.fleet.completed(&self.call.runs);
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

fn refused(error: admit::Error) -> End {
    match error {
        admit::Error::Left => End::Left,
        error => {
            let code = error.code();
            End::Failed((code, retry_message(code, error.retry_after())))
        }
    }
}

fn retry_message(code: Code, seconds: Option<u64>) -> String {
    let seconds = seconds.unwrap_or(1);
    format!("{}; try again in {seconds} s", code.name())
}

fn no_upstream() -> Refusal {
    (Code::NoUpstream, "no upstream can take the request".to_owned())
}

fn not_resumable() -> Refusal {
    let message = "the answer cannot be continued exactly; send the request anew".to_owned();
    (Code::ResumeUnavailable, message)
}

fn drop_reason(reason: Drop) -> &'static str {
    match reason {
        Drop::Stale => "stale",
        Drop::Duplicate => "duplicate",
        Drop::Gap => "gap",
        Drop::Ended => "ended",
    }
}
