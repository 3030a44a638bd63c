//! Relays streams: forwards complete events, and resumes a broken or stalled stream at
//! another replica.
//!
//! [`relay`] takes an admitted request, writes the events to the caller's connection and
//! returns the outcome. `target` chooses the replica of each attempt among those that `survey` has
//! asked for their load; `attempt` sends the request to it and forwards the events, and
//! `liveness` decides when it abandons a replica that sends none.

pub(crate) mod admission;
mod attempt;
mod liveness;
mod passing;
mod survey;
mod target;

use tokio::{io::AsyncWrite, time::timeout_at};
use winch_http::head::Reply;
use winch_route::suspect::Disposition;

use crate::{
    catalog::Key,
    config::Semantics,
    counter, forward,
    job::{Job, Outcome, Trace},
    kv_snapshot::Refresher,
    node::Node,
    prelude::*,
    protocol::KvCopy,
    respond::{Progress, Responder},
    stall::Detector,
    strikes,
};

/// Number of failed connections after which a stream is given up. They are limited
/// separately because they do not count as sends.
const MAX_CONNECT_FAILURES: u32 = 6;

/// How one attempt at a replica ended.
enum Attempt {
    /// The stream is complete.
    Complete,
    /// The replica states that it did not run the request.
    Refused,
    /// The replica sent a complete error reply.
    ErrorReply(Reply, bytes::Bytes),
    /// No connection could be opened; nothing was sent.
    NotSent(String),
    /// The connection broke, the reply is unusable, or the replica stalled.
    Broken(String),
    /// The caller has closed the connection.
    CallerGone,
    /// The deadline of the request passed.
    TimedOut,
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
    /// Data centre of the last attempt that broke.
    broken_dc: Option<Name>,
    /// Whether an event has been forwarded to the caller.
    has_forwarded: bool,
    /// When the current attempt yielded its first event; `None` until then.
    first_event_at: Option<Instant>,
    /// Whether the current attempt has lasted so long that a crash is not attributed to it.
    has_survived: bool,
    connect_failures: u32,
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
        broken_dc: None,
        has_forwarded: false,
        first_event_at: None,
        has_survived: false,
        connect_failures: 0,
        stall: Detector::new(max_gap, now),
        first_event_latency: None,
    };
    session.run().await
}

impl<P: Protocol, W: AsyncWrite + Unpin> Session<'_, P, W> {
    async fn run(&mut self) -> Outcome {
        let deadline = self.job.deadline();
        let mut code = Code::NoReplica;
        while self.trace.sends < self.job.route.max_attempts
            && self.connect_failures < MAX_CONNECT_FAILURES
        {
            if Instant::now() >= deadline {
                return self.give_up(Code::TimedOut);
            }
            if self.job.needs_forwarding(self.node, self.trace)
                && let Some(outcome) = self.forward().await
            {
                return outcome;
            }
            let target = match self.choose_target().await {
                Choice::Refused(outcome) => return outcome,
                Choice::Target(target) => target,
            };
            let Some(target) = target else {
                if self.job.needs_forwarding(self.node, self.trace) {
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
            if self.trace.sends > 0 && !self.spend_retry() {
                code = Code::NoBudget;
                break;
            }
            let replica = target.replica.clone();
            let attempt = timeout_at(deadline, self.attempt(&target)).await;
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
                    self.trace.record(&replica, "deadline exceeded");
                    self.trace.may_have_run = true;
                    return self.give_up(Code::TimedOut);
                }
                Attempt::Refused => {
                    self.trace.record(&replica, "refused");
                    counter::retried("refused");
                    self.node.catalog().record_full(target.key, Instant::now());
                    code = Code::Refused;
                    // The replica did not run the request, so it made no copy.
                    self.copy = None;
                    self.refresher = None;
                    if target.copy_from.is_none() {
                        self.trace.excluded.push(replica.id.clone());
                    }
                }
                Attempt::NotSent(cause) => {
                    self.trace.record(&replica, &cause);
                    self.node.eject(target.key, &replica, &cause);
                    self.connect_failures += 1;
                    counter::retried("not_sent");
                }
                Attempt::ErrorReply(reply, body) => {
                    self.node.rollouts().record_error_reply(&replica);
                    self.trace.record(&replica, reply.status.as_u16());
                    self.trace.excluded.push(replica.id.clone());
                    counter::retried("failure");
                    let is_last = self.trace.sends >= self.job.route.max_attempts;
                    let may_repeat = self.job.route.semantics.may_repeat();
                    self.trace.may_have_run = true;
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
                    self.trace.may_have_run = true;
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
        let may_run = !self.trace.may_have_run || self.job.route.semantics.may_repeat();
        if may_run
            && forward::is_last_resort(self.node, self.job, self.trace).await
            && let Some(outcome) = self.forward().await
        {
            return outcome;
        }
        self.give_up(code)
    }

    /// Takes one retry from the budget of the service; `false` if the budget is exhausted.
    fn spend_retry(&self) -> bool {
        if self.has_forwarded {
            self.node.spend_retry(&self.job.service)
        } else {
            self.node.spend_restart(&self.job.service)
        }
    }

    /// Whether the budget of the service has a retry left for this stream.
    fn has_retry(&self) -> bool {
        self.node.has_retry(&self.job.service, self.has_forwarded)
    }

    /// Whether a part of the prompt was quarantined since the request was admitted.
    fn is_quarantined(&self) -> bool {
        let is_trial = self.job.is_trial && self.trace.sends == 0;
        let parts = &self.job.shared_parts;
        !is_trial && self.node.strikes().quarantined_part(parts, Instant::now()).is_some()
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

    /// The outcome of a request that is given up because of `code`.
    ///
    /// A stream that has started is aborted. Otherwise the caller gets an error reply whose
    /// code states whether the request may have run.
    fn give_up(&self, code: Code) -> Outcome {
        if self.out.progress() == Progress::Streaming {
            return Outcome::Aborted(code);
        }
        self.trace.error(code)
    }
}
