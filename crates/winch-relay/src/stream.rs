//! Relays streams: forwards complete events, and resumes a broken or stalled stream at
//! another replica.
//!
//! [`relay`] takes an admitted request, writes the events to the caller's connection and
//! returns the outcome. `target` chooses the replica of each attempt among those that `survey` has
//! asked for their load; `attempt` starts the stream there (`start`, with one `sending` at each
//! replica) and forwards the events, `liveness` decides when it leaves a replica that sends none,
//! `retry` when and how often others are asked, and `handover` moves a stream that has begun
//! without giving up what it has.

pub(crate) mod admission;
mod attempt;
mod handover;
mod liveness;
mod passing;
mod retry;
mod run;
mod sending;
mod start;
mod survey;
mod target;

use tokio::io::AsyncWrite;
use winch_http::{client::Error, head::Reply};
use winch_route::suspect::Disposition;

use crate::{
    catalog::Key,
    config::Semantics,
    counter, forward,
    job::{Job, Outcome},
    kv_snapshot::Refresher,
    node::Node,
    prelude::*,
    protocol::KvCopy,
    respond::{Progress, Responder},
    stall::Detector,
    strikes,
    trace::Trace,
};

/// Number of failed connections after which a stream is given up. They are limited
/// separately because they do not count as sends.
const MAX_CONNECT_FAILURES: u32 = 6;

/// How one attempt at a replica ended.
enum Attempt {
    /// The stream is complete.
    Complete,
    /// The replica states that it did not run the request; whether because it was full.
    Refused { is_full: bool },
    /// The replica sent a complete error reply.
    ErrorReply(Reply, bytes::Bytes),
    /// No connection could be opened; nothing was sent.
    NotSent(Error),
    /// The connection broke, the reply is unusable, or the replica stalled.
    Broken(String),
    /// The caller has closed the connection.
    CallerGone,
    /// The deadline of the request passed.
    TimedOut,
}

impl Attempt {
    /// Whether the connection of the attempt can carry another request.
    fn leaves_connection(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::ErrorReply(..))
    }
}

/// The replica of an attempt, and the KV cache copies that the attempt uses and makes.
struct Target {
    key: Key,
    replica: Arc<Replica>,
    /// KV cache copy from which the run continues; `None` if it starts from the prompt.
    copy_from: Option<KvCopy>,
    /// The replica that receives a copy of the run's KV cache; `None` if no copy is made.
    copy_to: Option<Arc<Replica>>,
    /// When the first event is expected; `None` if the replica has sent no report.
    estimate: Option<Estimate>,
}

/// The choice of the replica of an attempt.
enum Choice {
    /// The replica; `None` if there is none.
    Target(Option<Target>),
    /// The request is refused before it is sent.
    Refused(Outcome),
}

/// What a stream has to expect at its target.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// Time to the first event if the replica had no other request.
    unloaded: Duration,
    /// Time to the first event.
    first_event: Duration,
    /// The same without the queued requests that are less urgent.
    urgent_first_event: Duration,
    /// Whether the times come from samples of the prefill time, not from the default.
    is_measured: bool,
    /// Whether the stream can start without queueing behind other prompts.
    is_open: bool,
    /// Whether the replica had no other prompt.
    is_idle: bool,
    /// Size of the prompt, relative to a mean one.
    prompt_units: f64,
}

/// State of one caller's stream across all attempts.
struct Session<'a, P: Protocol, W> {
    node: &'a Arc<Node<P>>,
    job: &'a Job,
    out: &'a mut Responder<W>,
    trace: &'a mut Trace,
    /// Id of the last event that the caller has.
    last_event: Option<u64>,
    /// When the last event was received; initially the start of the relay.
    last_event_at: Instant,
    /// KV cache copy of the current run, held by another replica.
    copy: Option<KvCopy>,
    /// Makes snapshots while the run has no copy; `None` as long as it has one.
    refresher: Option<Refresher<P>>,
    /// Whether the holder of the copy has refused to continue the run, maybe for want of the copy.
    is_copy_refused: bool,
    /// Data centre of the last attempt that broke.
    broken_dc: Option<Name>,
    /// Whether an event has been forwarded to the caller.
    has_forwarded: bool,
    /// Whether the current attempt has lasted so long that a crash is not attributed to it.
    has_survived: bool,
    connect_failures: u32,
    /// Number of sends that replicas have refused.
    refusals: u32,
    /// The same since the last event.
    refusals_in_row: u32,
    /// Number of requests that were withdrawn before the first event.
    withdrawals: u32,
    /// The replica that has refused the stream since it began, if it was the last one that was asked.
    refused_by: Option<Name>,
    /// Whether a retry for the next send was taken from the budget.
    holds_retry: bool,
    stall: Detector,
    /// Time from the receipt of the request to the first event; set only if the first
    /// attempt yields one.
    first_event_latency: Option<Duration>,
}

/// Relays a request whose reply is a stream of events, and forwards the events to `out`.
///
/// For [`Outcome::Answer`] and [`Outcome::Error`] nothing has been written to `out`; the
/// function's caller sends that reply.
pub async fn relay<P: Protocol, W: AsyncWrite + Unpin>(
    node: &Arc<Node<P>>,
    job: &Job,
    out: &mut Responder<W>,
    trace: &mut Trace,
) -> Outcome {
    let now = Instant::now();
    let max_gap = match job.route.semantics {
        Semantics::Stream { max_gap, .. } => max_gap,
        _ => None,
    };
    if let Some(size) = job.call.size {
        node.catalog().record_typical(&job.service, |typical| {
            typical.record_size(size.prompt_tokens, size.max_answer_tokens);
        });
    }
    let mut session = Session {
        node,
        job,
        out,
        trace,
        last_event: job.call.last_event,
        last_event_at: now,
        copy: None,
        refresher: None,
        is_copy_refused: false,
        broken_dc: None,
        has_forwarded: false,
        has_survived: false,
        connect_failures: 0,
        refusals: 0,
        withdrawals: 0,
        refusals_in_row: 0,
        refused_by: None,
        holds_retry: false,
        stall: Detector::new(max_gap, now),
        first_event_latency: None,
    };
    session.run().await
}

/// Records how long a stream that has ended with `outcome` has lasted, unless its caller has resumed it
/// here. One that its caller has left would have lasted longer, so it counts only beyond the expected
/// time.
pub fn record_time<P: Protocol>(node: &Node<P>, job: &Job, outcome: &Outcome) {
    let call = &job.call;
    let is_left = matches!(outcome, Outcome::CallerGone);
    let counts = is_left || matches!(outcome, Outcome::Streamed | Outcome::Aborted(_));
    if !counts || call.last_event.is_some() {
        return;
    }
    let ((prompt, answer), time) = (call.stated_tokens(), call.received_at.elapsed());
    node.catalog().record_typical(&job.service, |typical| {
        let is_longer = typical.run_time(prompt, answer).is_some_and(|expected| time > expected);
        if is_longer || !is_left {
            typical.record_time(time, prompt, answer);
        }
    });
}

impl<P: Protocol, W: AsyncWrite + Unpin> Session<'_, P, W> {
    async fn run(&mut self) -> Outcome {
        let (node, job) = (self.node, self.job);
        let mut code = Code::NoReplica;
        while self.counted_sends() < self.job.route.max_attempts
            && self.connect_failures < MAX_CONNECT_FAILURES
        {
            if Instant::now() >= job.deadline(node) {
                return self.expire();
            }
            if self.job.needs_forwarding(self.node, self.trace)
                && let Some(outcome) = self.forward().await
            {
                return outcome;
            }
            if !self.wait_for_retry().await {
                code = Code::NoBudget;
                break;
            }
            let target = match job.until_deadline(node, self.choose_target()).await {
                None => return self.expire(),
                Some(Choice::Refused(outcome)) => return outcome,
                Some(Choice::Target(target)) => target,
            };
            let Some(mut target) = target else {
                if self.job.needs_forwarding(self.node, self.trace) {
                    continue;
                }
                if self.may_wait() {
                    // A replica that has refused the stream, or was silent, may take it now.
                    self.trace.excluded.clear();
                    self.refused_by = None;
                    continue;
                }
                if self.trace.sends == 0 && self.node.is_limited(&self.job.service) {
                    code = Code::Limited;
                }
                break;
            };
            if self.is_quarantined() {
                return self.give_up(Code::SuspectPart);
            }
            if self.trace.sends > 0 && !self.take_retry() {
                code = Code::NoBudget;
                break;
            }
            let attempt = job.until_deadline(node, self.attempt(&mut target)).await;
            // The stream may have moved.
            let replica = target.replica.clone();
            match attempt.unwrap_or(Attempt::TimedOut) {
                Attempt::Complete => {
                    // A resumed stream is not representative of a replica's latency.
                    if let (1, Some(latency)) = (self.trace.sends, self.first_event_latency) {
                        self.node.rollouts().record_success(
                            &replica,
                            latency,
                            self.stall.mean_gap(),
                        );
                    }
                    self.trace.record(&replica, "complete");
                    return Outcome::Streamed;
                }
                Attempt::CallerGone => return Outcome::CallerGone,
                Attempt::TimedOut => {
                    self.trace.record_phase();
                    self.trace.record(&replica, "deadline exceeded");
                    return self.give_up(Code::TimedOut);
                }
                Attempt::Refused { is_full } => {
                    self.record_refusal(&target, is_full);
                    code = Code::Refused;
                    // The replica did not run the request, so it made no copy.
                    self.copy = None;
                    self.refresher = None;
                    match target.copy_from {
                        Some(_) => {}
                        None if self.has_forwarded => self.refused_by = Some(replica.id.clone()),
                        None => self.trace.excluded.push(replica.id.clone()),
                    }
                    self.wait_after_refusal().await;
                }
                Attempt::NotSent(error) => {
                    self.trace.record(&replica, error.to_string());
                    self.node.eject_unopened(target.key, &replica, &error);
                    self.connect_failures += 1;
                    counter::retried("not_sent");
                }
                Attempt::ErrorReply(reply, body) => {
                    self.node.rollouts().record_error_reply(&replica);
                    self.trace.record(&replica, reply.status.as_u16());
                    self.trace.excluded.push(replica.id.clone());
                    counter::retried("failure");
                    let is_last = self.counted_sends() >= self.job.route.max_attempts;
                    let may_repeat = self.job.route.semantics.may_repeat();
                    code = Code::Broken;
                    if self.out.progress() == Progress::Waiting && (is_last || !may_repeat) {
                        return Outcome::Answer { reply, body };
                    }
                    if !may_repeat {
                        return self.give_up(Code::Broken);
                    }
                }
                Attempt::Broken(cause) => {
                    self.node.rollouts().record_broken(&replica, self.node.uptime());
                    self.trace.record(&replica, &cause);
                    self.trace.excluded.push(replica.id.clone());
                    self.node.eject(target.key, &replica, &cause);
                    self.broken_dc = Some(replica.dc.clone());
                    counter::retried("lost");
                    if !self.job.route.semantics.may_repeat() {
                        strikes::attribute_crash_later(
                            self.node,
                            self.job,
                            &replica,
                            self.has_survived,
                        );
                        return self.give_up(Code::Broken);
                    }
                    if self.attribute_crash(&replica).await {
                        return self.give_up(Code::Broken);
                    }
                }
            }
        }
        if self.trace.may_send(self.job.route.semantics)
            && forward::is_last_resort(self.node, self.job, self.trace).await
            && let Some(outcome) = self.forward().await
        {
            return outcome;
        }
        self.give_up(code)
    }

    /// Whether parts of the prompt were quarantined since the request was admitted.
    fn is_quarantined(&self) -> bool {
        let is_trial = self.job.is_trial && self.trace.sends == 0;
        let parts = &self.job.shared_parts;
        !is_trial && self.node.strikes().find_quarantined(parts, Instant::now()).is_some()
    }

    /// Attributes the crash of `replica` to the request if the replica is dead and this attempt
    /// has not survived. Returns whether the strikes against the request now forbid further
    /// attempts.
    async fn attribute_crash(&self, replica: &Arc<Replica>) -> bool {
        if self.has_survived {
            return false;
        }
        strikes::attribute_crash(self.node, self.job, replica).await == Disposition::Refused
    }

    /// The outcome of a request whose deadline passes while nobody has it.
    fn expire(&mut self) -> Outcome {
        self.trace.record_phase();
        self.give_up(Code::TimedOut)
    }

    /// The outcome of a request that is given up because of `code`.
    ///
    /// A stream that has started is aborted. Otherwise the caller gets an error reply.
    fn give_up(&self, code: Code) -> Outcome {
        if self.out.progress() == Progress::Streaming {
            return Outcome::Aborted(code);
        }
        Outcome::Error(code)
    }
}
