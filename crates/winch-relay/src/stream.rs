//! Streams: whole events are passed on, and a lost stream goes on at another replica.

use http::StatusCode;
use tokio::{
    io::AsyncWrite,
    time::{sleep, sleep_until, timeout_at},
};
use winch_http::{
    client::{Connection, Error},
    head::Reply,
};

use crate::{
    catalog::Key,
    counter,
    dialect::{Copy, Order},
    events::Splitter,
    node::Node,
    place,
    plain::{Ending, Flight, Job, Trace, belongs},
    plan::{Engine, Semantics},
    prelude::*,
    probe,
    protect::{Protector, Subject},
    respond::{Progress, Responder},
    silence::Pace,
};

/// Connections that may fail before a stream is given up.
const MAX_CONNECT_FAILURES: u32 = 6;
/// Interval of the questions whether a replica lives before its first event.
const FIRST_EVENT_CHECK: Duration = Duration::from_millis(500);
/// Interval of such questions in a silence that is too short to move the stream.
const SILENT_CHECK: Duration = Duration::from_millis(250);
/// Longest failure answer in bytes.
const MAX_FAILURE: usize = 1024 * 1024;
/// Pauses between rounds of questions while no replica answers.
const PLACEMENT_PAUSES: [Duration; 6] = [
    Duration::from_millis(5),
    Duration::from_millis(20),
    Duration::from_millis(60),
    Duration::from_millis(150),
    Duration::from_millis(300),
    Duration::from_millis(500),
];
/// Size assumed of a generation that states none, in tokens.
const DEFAULT_TOKENS: u64 = 1_000;

/// How one attempt at a replica ended.
enum Attempt {
    /// The stream is complete.
    Complete,
    /// The replica has not run the request.
    Refused,
    /// The replica answered with a failure.
    Failure(Reply, bytes::Bytes),
    /// Nothing was sent.
    NotSent(String),
    /// The stream broke off or fell silent.
    Lost(String),
    /// The caller is gone.
    CallerGone,
    /// The request's time is over.
    TimedOut,
}

/// Where an attempt goes.
struct Target {
    key: Key,
    replica: Arc<Replica>,
    copy_from: Option<Copy>,
    copy_to: Option<Arc<Replica>>,
}

/// One caller's stream over all its attempts.
struct Run<'a, D: Dialect, W> {
    node: &'a Arc<Node<D>>,
    job: &'a Job,
    out: &'a mut Responder<W>,
    trace: &'a mut Trace,
    last_event: Option<u64>,
    last_at: Instant,
    copy: Option<Copy>,
    protector: Option<Protector>,
    lost_dc: Option<Name>,
    /// Whether the caller has got an event.
    began: bool,
    may_have_run: bool,
    connect_failures: u32,
    pace: Pace,
}

/// Relays a request whose answer is a stream of events.
pub async fn relay<D: Dialect, W: AsyncWrite + Unpin>(
    node: &Arc<Node<D>>,
    job: &Job,
    out: &mut Responder<W>,
    trace: &mut Trace,
) -> Ending {
    let now = Instant::now();
    let pause = match job.route.semantics {
        Semantics::Stream { pause, .. } => pause,
        _ => None,
    };
    let mut run = Run {
        node,
        job,
        out,
        trace,
        last_event: job.call.last_event,
        last_at: now,
        copy: None,
        protector: None,
        lost_dc: None,
        began: false,
        may_have_run: false,
        connect_failures: 0,
        pace: Pace::new(pause, now),
    };
    run.drive().await
}

impl<D: Dialect, W: AsyncWrite + Unpin> Run<'_, D, W> {
    async fn drive(&mut self) -> Ending {
        let deadline = self.job.deadline();
        let mut code = Code::NoReplica;
        while self.trace.sends < self.job.route.attempts
            && self.connect_failures < MAX_CONNECT_FAILURES
        {
            if Instant::now() >= deadline {
                return self.give_up(Code::TimedOut);
            }
            let Some(target) = self.target().await else { break };
            if self.trace.sends > 0 && !self.node.spend_retry(&self.job.service) {
                code = Code::NoBudget;
                break;
            }
            let replica = target.replica.clone();
            let attempt = timeout_at(deadline, self.attempt(&target)).await;
            match attempt.unwrap_or(Attempt::TimedOut) {
                Attempt::Complete => {
                    self.trace.step(&replica, "complete");
                    return Ending::Streamed;
                }
                Attempt::CallerGone => return Ending::CallerGone,
                Attempt::TimedOut => {
                    self.trace.step(&replica, "no time left");
                    self.may_have_run = true;
                    return self.give_up(Code::TimedOut);
                }
                Attempt::Refused => {
                    self.trace.step(&replica, "refused");
                    counter::retried("refused");
                    code = Code::Refused;
                    // A run that never began has no copy.
                    self.copy = None;
                    self.protector = None;
                    if target.copy_from.is_none() {
                        self.trace.tried.push(replica.id.clone());
                    }
                }
                Attempt::NotSent(cause) => {
                    self.trace.step(&replica, &cause);
                    self.node.avoid(target.key, &replica, &cause);
                    self.connect_failures += 1;
                    counter::retried("not_sent");
                }
                Attempt::Failure(reply, body) => {
                    self.trace.step(&replica, reply.status.as_u16());
                    self.trace.tried.push(replica.id.clone());
                    counter::retried("failure");
                    let last = self.trace.sends >= self.job.route.attempts;
                    let repeatable = self.job.route.semantics.may_repeat();
                    self.may_have_run = true;
                    code = Code::Broken;
                    if self.out.progress() == Progress::Waiting && (last || !repeatable) {
                        return Ending::Answer { reply, body };
                    }
                    if !repeatable {
                        return self.give_up(Code::Broken);
                    }
                }
                Attempt::Lost(cause) => {
                    self.trace.step(&replica, &cause);
                    self.trace.tried.push(replica.id.clone());
                    self.node.avoid(target.key, &replica, &cause);
                    self.lost_dc = Some(replica.dc.clone());
                    self.may_have_run = true;
                    counter::retried("lost");
                    if !self.job.route.semantics.may_repeat() {
                        return self.give_up(Code::Broken);
                    }
                }
            }
        }
        self.give_up(code)
    }

    fn give_up(&self, code: Code) -> Ending {
        if self.out.progress() == Progress::Streaming {
            return Ending::Cut(code);
        }
        match (code, self.may_have_run) {
            (Code::TimedOut, false) => Ending::Own(Code::Expired),
            (Code::TimedOut, true) => Ending::Own(Code::TimedOut),
            (_, true) => Ending::Own(Code::Broken),
            (code, false) => Ending::Own(code),
        }
    }

    fn tokens(&self) -> u64 {
        self.job.call.size.map_or(DEFAULT_TOKENS, |size| size.total())
    }

    fn engine(&self) -> Option<Engine> {
        self.node.plan()?.service(&self.job.service)?.engine
    }

    fn copies(&self) -> bool {
        let engine = self.engine();
        self.job.route.semantics.may_repeat()
            && self.job.call.id.is_some()
            && engine.is_some_and(|engine| engine.copies)
    }

    /// Chooses where the stream starts or goes on.
    async fn target(&mut self) -> Option<Target> {
        if let Some(target) = self.copy_target() {
            return Some(target);
        }
        self.fresh_target().await
    }

    fn copy_target(&mut self) -> Option<Target> {
        let renewed = self.protector.take().and_then(|protector| protector.copy());
        let copy = renewed.or(self.copy.take())?;
        let now = Instant::now();
        let catalog = self.node.catalog();
        let key = catalog.key(&copy.replica.id)?;
        let entry = catalog.get(key)?;
        if entry.replica.draining || entry.is_avoided(now) {
            return None;
        }
        let replica = entry.replica.clone();
        let lost = self.lost_dc.as_deref().unwrap_or_default();
        let avoid = [&*replica.dc, lost];
        let rng = &mut self.node.rng();
        let copy_to = place::blind_copy_place(&catalog, &self.job.service, &avoid, now, rng);
        Some(Target { key, replica, copy_from: Some(copy), copy_to })
    }

    /// Asks replicas until one answers; several may be down at once.
    async fn fresh_target(&mut self) -> Option<Target> {
        for (round, pause) in (0..).zip(PLACEMENT_PAUSES) {
            let target = self.place(round).await;
            if target.is_some() {
                return target;
            }
            sleep(pause).await;
        }
        None
    }

    async fn place(&self, round: u32) -> Option<Target> {
        let (node, service) = (self.node, &self.job.service);
        let dc = &node.settings.dc;
        let candidates = {
            let tried = &self.trace.tried;
            let (now, rng) = (Instant::now(), &mut node.rng());
            place::candidates(&node.catalog(), service, dc, tried, round, now, rng)
        };
        let single = (candidates.len() == 1).then(|| candidates[0].clone());
        let answers = probe::ask_all(node, candidates).await;
        let tokens = self.tokens();
        let cost = |answer: &probe::Answer| {
            let starting = node.catalog().get(answer.key).map_or(0, |entry| entry.starting);
            place::stream_cost(&answer.report, starting, answer.replica.dc == *dc, tokens)
        };
        let best = answers
            .iter()
            .filter(|answer| !answer.report.leaving)
            .min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let Some(best) = best else {
            // A replica that does not answer in time may still serve, unless
            // another incarnation has taken its place.
            let (key, replica) = single?;
            node.catalog().get(key)?;
            return Some(Target { key, replica, copy_from: None, copy_to: None });
        };
        let copy_to = if self.copies() {
            let reports = answers.iter().map(|answer| (&answer.replica, &answer.report));
            let avoid = [&*best.replica.dc];
            place::copy_place(reports, &avoid, tokens).or_else(|| {
                let (now, rng) = (Instant::now(), &mut node.rng());
                place::blind_copy_place(&node.catalog(), service, &avoid, now, rng)
            })
        } else {
            None
        };
        let report = best.report;
        emit!(
            Event::ReplicaChosen,
            request = self.job.call.label(),
            replica = best.replica.id,
            dc = best.replica.dc,
            asked = answers.len(),
            waiting = report.waiting,
            running = report.running,
            prefilling = report.prefilling,
            free_tokens = report.free_tokens(),
            copy = copy_to.as_ref().map_or("-", |copy| &*copy.id)
        );
        Some(Target { key: best.key, replica: best.replica.clone(), copy_from: None, copy_to })
    }

    async fn attempt(&mut self, target: &Target) -> Attempt {
        let mut connection = match self.node.pool.open(target.replica.address).await {
            Ok(connection) => connection,
            Err(error) => return Attempt::NotSent(error.to_string()),
        };
        self.trace.sends += 1;
        let node = self.node;
        let _flight = Flight::new(node, target.key);
        let ended = self.exchange(target, &mut connection).await;
        if matches!(ended, Attempt::Complete | Attempt::Refused | Attempt::Failure(..)) {
            node.pool.put(target.replica.address, connection);
        }
        ended
    }

    async fn exchange(&mut self, target: &Target, connection: &mut Connection) -> Attempt {
        let order = Order {
            replica: &target.replica,
            left: self.job.left(Instant::now()),
            team: self.job.team.as_ref().map(|team| &team.name),
            after_event: self.last_event,
            copy_to: target.copy_to.as_ref().map(|replica| replica.address),
            copy_from: target.copy_from.as_ref(),
        };
        let request = self.node.dialect.request(&self.job.call, &order);
        if let (Some(replica), Some(run)) = (&target.copy_to, &self.job.call.id) {
            counter::copy_ordered();
            let (known_at, name) = (replica.address, run.clone());
            self.copy = Some(Copy { replica: replica.clone(), known_at, name });
        }
        let starting = Starting::new(self.node, target.key);
        let reply = match self.await_head(&request, target, connection).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(error)) => return Attempt::Lost(error.to_string()),
            Err(Silent) => return Attempt::Lost("silent before its answer".to_owned()),
        };
        let facts = self.node.dialect.facts(&reply);
        if facts.not_run {
            // The body of a refusal is read so that the connection can be kept.
            let read = connection.body(MAX_FAILURE).await;
            return read.map_or_else(|e| Attempt::Lost(e.to_string()), |_| Attempt::Refused);
        }
        if !facts.signed || facts.encoded {
            return Attempt::Lost(format!("unusable {}", reply.status.as_u16()));
        }
        if !reply.status.is_success() {
            return match connection.body(MAX_FAILURE).await {
                Ok(body) => Attempt::Failure(reply, body),
                Err(error) => Attempt::Lost(error.to_string()),
            };
        }
        if self.out.progress() == Progress::Waiting {
            self.out.begin_stream(StatusCode::OK, reply.headers);
        }
        self.pass_events(target, connection, starting).await
    }

    async fn await_head(
        &self,
        request: &[u8],
        target: &Target,
        connection: &mut Connection,
    ) -> Result<Result<Reply, Error>, Silent> {
        let (node, id) = (self.node, self.job.call.id.as_ref());
        let fresh = connection.exchanges() == 0;
        let accepts = |reply: &Reply| belongs(node, id, fresh, reply);
        tokio::select! {
            biased;
            reply = connection.exchange(&self.job.call.method, request, accepts) => Ok(reply),
            () = probe::dead(node, &target.replica, FIRST_EVENT_CHECK) => Err(Silent),
        }
    }

    async fn pass_events(
        &mut self,
        target: &Target,
        connection: &mut Connection,
        starting: Starting<'_, D>,
    ) -> Attempt {
        let mut starting = Some(starting);
        let mut splitter = Splitter::default();
        loop {
            let chunk = tokio::select! {
                biased;
                chunk = connection.chunk() => chunk,
                () = self.silent(target, starting.is_some()) => {
                    let silence = self.pace.silence(Instant::now()).as_millis();
                    return Attempt::Lost(format!("silent for {silence} ms"));
                }
            };
            match chunk {
                Ok(Some(data)) if !splitter.push(&data) => {
                    return Attempt::Lost("an event is too long".to_owned());
                }
                Ok(Some(_)) => {}
                Ok(None) if splitter.is_torn() => {
                    return Attempt::Lost("ended within an event".to_owned());
                }
                Ok(None) => {
                    node_answered(self.node, target.key);
                    return match self.out.end_stream().await {
                        Ok(()) => Attempt::Complete,
                        Err(_) => Attempt::CallerGone,
                    };
                }
                Err(error) => return Attempt::Lost(error.to_string()),
            }
            let mut passed = false;
            while let Some(event) = splitter.take() {
                if event.id.is_some() && event.id <= self.last_event {
                    continue;
                }
                self.last_event = event.id.or(self.last_event);
                self.out.put_event(&event.bytes);
                passed = true;
            }
            if passed {
                self.passed_event(target, &mut starting);
                if self.out.flush().await.is_err() {
                    return Attempt::CallerGone;
                }
            }
        }
    }

    /// Notes that an event has arrived.
    fn passed_event(&mut self, target: &Target, starting: &mut Option<Starting<'_, D>>) {
        let now = Instant::now();
        if starting.take().is_some() {
            node_answered(self.node, target.key);
            if self.trace.sends == 1 {
                counter::first_event(now - self.job.call.received);
            } else {
                let (pause, copied) = (now - self.last_at, target.copy_from.is_some());
                counter::resumed(copied, pause);
                emit!(
                    Event::StreamResumed,
                    request = self.job.call.label(),
                    replica = target.replica.id,
                    dc = target.replica.dc,
                    from_copy = copied,
                    after_event = self.last_event.unwrap_or_default(),
                    began = self.began,
                    pause_ms = pause.as_millis()
                );
            }
        }
        self.began = true;
        self.pace.event(now);
        self.last_at = now;
        self.protect(target);
    }

    /// Has the run copied again if the holder of its copy is gone.
    fn protect(&mut self, target: &Target) {
        let Some(copy) = &self.copy else { return };
        if self.protector.is_some() || self.node.catalog().key(&copy.replica.id).is_some() {
            return;
        }
        let life = self.engine().and_then(|engine| engine.snapshot_life);
        let (Some(life), Some(run)) = (life, self.job.call.id.clone()) else { return };
        let subject = Subject { run, source: target.replica.clone(), life };
        self.protector = Some(Protector::start(self.node, subject));
    }

    /// Ends when the stream is to go on elsewhere because its replica is silent.
    async fn silent(&self, target: &Target, before_first: bool) {
        if before_first {
            return probe::dead(self.node, &target.replica, FIRST_EVENT_CHECK).await;
        }
        sleep_until(self.pace.check_at()).await;
        if probe::ask(self.node, &target.replica).await.is_none() {
            return;
        }
        // On the last attempt a live replica is waited for: it may still go on.
        if self.copy.is_some() && self.trace.sends < self.job.route.attempts {
            return sleep_until(self.pace.move_at()).await;
        }
        probe::dead(self.node, &target.replica, SILENT_CHECK).await;
    }
}

/// The replica does not answer questions for its report.
struct Silent;

fn node_answered<D: Dialect>(node: &Node<D>, key: Key) {
    node.catalog().answered(key, None, false);
}

/// Counts a stream that waits for its first event.
struct Starting<'a, D: Dialect> {
    node: &'a Node<D>,
    key: Key,
}

impl<'a, D: Dialect> Starting<'a, D> {
    fn new(node: &'a Node<D>, key: Key) -> Self {
        node.catalog().update(key, |entry| entry.starting += 1);
        Self { node, key }
    }
}

impl<D: Dialect> Drop for Starting<'_, D> {
    fn drop(&mut self) {
        let change = |entry: &mut crate::catalog::Entry| {
            entry.starting = entry.starting.saturating_sub(1);
        };
        self.node.catalog().update(self.key, change);
    }
}
