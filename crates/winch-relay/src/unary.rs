//! Relays lookups and orders: requests that get one complete reply.
//!
//! A lookup is idempotent and is retried at other replicas; an attempt that is late stays open
//! meanwhile, and the first answer counts. An order is sent again only if no replica can have run
//! it. [`relay`] takes an admitted request and returns its outcome; it writes nothing to the caller.

mod attempt;
mod place;
mod running;

use std::future::Future;

use http::StatusCode;
use tokio::time::sleep_until;
use winch_route::suspect::Disposition;

use self::{
    attempt::{Answer, End, Ended, Target},
    place::Place,
    running::Running,
};
use crate::{
    catalog::Key,
    counter,
    delivery::Delivery,
    forward,
    job::{Job, Outcome},
    node::Node,
    prelude::*,
    shed::{self, Sample},
    strikes,
    trace::Trace,
};

/// Number of failed connections after which a request is given up. They are limited
/// separately because they do not count as sends.
const MAX_CONNECT_FAILURES: u32 = 4;
/// Timeout of an attempt that can be followed by another one, in mean latencies of its
/// replica.
const ATTEMPT_TIMEOUT_LATENCIES: f64 = 6.0;
/// Largest share of the time left that an attempt takes if it can be followed by another one,
/// so that the next one has time too.
const MAX_ATTEMPT_SHARE: f64 = 0.5;
/// Result of an attempt that runs when the time of the request is over.
const TIMED_OUT: &str = "timed out waiting for the reply";

/// Relays a request to one replica after another until one gives a final reply, unless it is shed
/// because its service is overloaded.
///
/// Returns [`Outcome::Answer`], [`Outcome::Error`] or [`Outcome::Shed`], which the function's
/// caller sends.
pub async fn relay<P: Protocol>(node: &Arc<Node<P>>, job: &Job, trace: &mut Trace) -> Outcome {
    if let Some(outcome) = shed::admit(node, job) {
        return outcome;
    }
    let mut running = Running::new();
    let mut relay = Relay::new(node, job, trace);
    while Instant::now() < job.reply_deadline {
        if relay.wants_place() {
            let place = tokio::select! {
                biased;
                answer = running.answer() => return relay.answer(answer),
                place = relay.find_place() => place,
            };
            match place {
                Place::Open(target, connection) => {
                    let delivery = relay.start(&target);
                    running.push(attempt::run(node, job, target, connection, delivery));
                }
                Place::Unreachable => {}
                Place::Nowhere => relay.is_exhausted = true,
                Place::Forwarded(outcome) => {
                    if let Some(outcome) = relay.forwarded(outcome) {
                        return outcome;
                    }
                }
            }
            continue;
        }
        if relay.open.is_empty() {
            return relay.give_up().await;
        }
        tokio::select! {
            biased;
            ended = running.next() => {
                if let Some(outcome) = relay.end(ended, &mut running).await {
                    return outcome;
                }
            }
            () = sleep_until(relay.late_at.unwrap_or(job.reply_deadline)) => relay.mark_late(),
        }
    }
    relay.time_out()
}

/// An attempt that runs, as its request sees it.
struct Open<'a, P: Protocol> {
    node: &'a Node<P>,
    replica: Arc<Replica>,
    is_late: bool,
}

impl<P: Protocol> Drop for Open<'_, P> {
    fn drop(&mut self) {
        // What a late attempt says of its version is known once it is closed without an answer.
        if self.is_late {
            self.node.rollouts().record_broken(&self.replica, self.node.uptime());
        }
    }
}

/// A request that is relayed.
struct Relay<'a, P: Protocol> {
    node: &'a Arc<Node<P>>,
    job: &'a Job,
    trace: &'a mut Trace,
    sample: Sample<'a, P>,
    /// The attempts that run. All but the last one are late.
    open: Vec<Open<'a, P>>,
    /// When the last attempt is late; `None` if it is, or if no other one can follow it.
    late_at: Option<Instant>,
    /// Whether there is no place for another attempt until one ends.
    is_exhausted: bool,
    connect_failures: u32,
    /// The result if no replica answers.
    code: Code,
}

impl<'a, P: Protocol> Relay<'a, P> {
    fn new(node: &'a Arc<Node<P>>, job: &'a Job, trace: &'a mut Trace) -> Self {
        Self {
            node,
            job,
            trace,
            sample: Sample::new(node, job),
            open: Vec::new(),
            late_at: None,
            is_exhausted: false,
            connect_failures: 0,
            code: Code::NoReplica,
        }
    }

    fn may_repeat(&self) -> bool {
        self.job.route.semantics.may_repeat()
    }

    fn has_sends(&self) -> bool {
        self.trace.sends < self.job.max_sends
    }

    /// Whether another attempt is to be made now, if there is a place for it.
    fn wants_place(&self) -> bool {
        self.has_sends()
            && self.trace.may_send(self.job.route.semantics)
            && self.connect_failures < MAX_CONNECT_FAILURES
            && !self.is_exhausted
            && self.open.iter().all(|attempt| attempt.is_late)
    }

    /// Records that an attempt at `target` begins, and begins its delivery.
    fn start(&mut self, target: &Target) -> Delivery {
        let Target { key, replica } = target;
        let can_follow = self.may_repeat() && self.trace.sends + 1 < self.job.max_sends;
        self.late_at =
            can_follow.then(|| retry_deadline(self.node, *key, self.job, Instant::now()));
        self.sample.start(replica);
        self.open.push(Open { node: self.node, replica: replica.clone(), is_late: false });
        self.trace.send(replica)
    }

    /// Records that the last attempt is late. It stays open while another replica is asked.
    fn mark_late(&mut self) {
        if self.late_at.take().is_none() {
            return;
        }
        counter::retried("timeout");
        self.open.iter_mut().for_each(|attempt| attempt.is_late = true);
        self.trace.expect_late();
    }

    /// The outcome at other daemons, if it ends the request: an error does not while a replica may
    /// still answer here.
    fn forwarded(&mut self, outcome: Outcome) -> Option<Outcome> {
        if let Outcome::Error(code) = outcome
            && !self.open.is_empty()
        {
            self.code = code;
            self.is_exhausted = true;
            return None;
        }
        self.trace.supersede();
        Some(match outcome {
            Outcome::Error(code) => self.fail(code),
            outcome => outcome,
        })
    }

    /// Takes note of an attempt that has ended; returns the outcome if it decides the request.
    async fn end<F>(&mut self, ended: Ended, running: &mut Running<F>) -> Option<Outcome>
    where
        F: Future<Output = Ended>,
    {
        let Ended { target: Target { replica, .. }, end } = ended;
        self.close(&replica);
        match end {
            End::Complete(reply, body) if reply.status.is_server_error() && self.can_go_on() => {
                self.sample.failed(&replica);
                self.trace.record(&replica, reply.status.as_u16());
                counter::retried("failure");
                self.trace.error_reply = Some((reply, body));
                None
            }
            End::Complete(reply, body) => Some(self.answer(Answer { replica, reply, body })),
            End::Refused { is_full } => {
                match is_full {
                    true => self.sample.rejected(&replica),
                    false => self.sample.failed(&replica),
                }
                self.trace.record(&replica, "refused");
                self.code = Code::Refused;
                counter::retried("refused");
                None
            }
            End::Unusable(cause) | End::Broken(cause) => {
                self.record_failure(&replica, &cause);
                self.attribute(&replica, running).await
            }
        }
    }

    /// Removes an attempt that has ended by itself.
    fn close(&mut self, replica: &Replica) {
        let Some(index) = self.open.iter().position(|attempt| attempt.replica.id == replica.id)
        else {
            return;
        };
        let mut attempt = self.open.remove(index);
        if !attempt.is_late {
            self.late_at = None;
        }
        attempt.is_late = false;
        self.is_exhausted = false;
    }

    /// Whether the request may be answered by another replica than the one that has just replied.
    fn can_go_on(&self) -> bool {
        self.may_repeat() && (self.has_sends() || !self.open.is_empty())
    }

    /// A reply as the outcome; the other attempts are closed.
    fn answer(&mut self, answer: Answer) -> Outcome {
        let Answer { replica, reply, body } = answer;
        self.close(&replica);
        match reply.status.is_server_error() {
            true => self.sample.failed(&replica),
            false => self.sample.answered(&replica),
        }
        self.trace.record(&replica, reply.status.as_u16());
        self.trace.supersede();
        Outcome::Answer { reply, body }
    }

    fn record_failure(&mut self, replica: &Replica, cause: &str) {
        self.sample.failed(replica);
        self.trace.record(replica, cause);
        self.node.rollouts().record_broken(replica, self.node.uptime());
        counter::retried("broken");
    }

    /// Finds out whether the request has crashed `replica`; returns the outcome if it may not run
    /// again, or is answered meanwhile.
    async fn attribute<F>(
        &mut self,
        replica: &Arc<Replica>,
        running: &mut Running<F>,
    ) -> Option<Outcome>
    where
        F: Future<Output = Ended>,
    {
        if !self.may_repeat() {
            strikes::attribute_crash_later(self.node, self.job, replica, false);
            return Some(Outcome::Error(Code::Broken));
        }
        let disposition = tokio::select! {
            biased;
            answer = running.answer() => return Some(self.answer(answer)),
            disposition = strikes::attribute_crash(self.node, self.job, replica) => disposition,
        };
        if disposition != Disposition::Refused {
            return None;
        }
        self.trace.supersede();
        Some(Outcome::Error(Code::Broken))
    }

    /// The outcome if no attempt runs and no other one can be made.
    async fn give_up(mut self) -> Outcome {
        // What may have run is repeated only if it is idempotent: everything else has returned.
        if self.trace.error_reply.is_none()
            && forward::is_last_resort(self.node, self.job, self.trace).await
            && let Some(outcome) = forward::relay(self.node, self.job, self.trace).await
            && let Some(outcome) = self.forwarded(outcome)
        {
            return outcome;
        }
        self.fail(self.code)
    }

    /// The outcome when the time of the request is over. The attempts that run are closed.
    fn time_out(mut self) -> Outcome {
        for attempt in &mut self.open {
            if !attempt.is_late {
                counter::retried("timeout");
            }
            attempt.is_late = true;
            self.sample.rejected(&attempt.replica);
        }
        self.trace.interrupt(TIMED_OUT);
        self.fail(Code::TimedOut)
    }

    /// The error reply of a replica, or else one of this daemon.
    fn fail(&mut self, code: Code) -> Outcome {
        match self.trace.error_reply.take() {
            Some((reply, body)) => Outcome::Answer { reply, body },
            None => Outcome::Error(code),
        }
    }
}

/// When an attempt that can be followed by another one is late: after several mean latencies of
/// the replica and at least the route's target latency, but within a share of the time left.
fn retry_deadline<P: Protocol>(node: &Node<P>, key: Key, job: &Job, now: Instant) -> Instant {
    let time_left = job.reply_deadline.duration_since(now);
    let latency = node.catalog().get(key).and_then(|entry| entry.latency_ms).unwrap_or_default();
    let expected = Duration::from_secs_f64(latency * ATTEMPT_TIMEOUT_LATENCIES / 1_000.0);
    now + expected.max(job.route.target_latency).min(time_left.mul_f64(MAX_ATTEMPT_SHARE))
}

/// How long the caller should wait before it sends the request again, as the `Retry-After`
/// header of the error reply states it; `None` if the reply has no such header.
pub fn retry_after(code: Code) -> Option<Duration> {
    match code {
        Code::NoConfig | Code::NoReplica | Code::Overloaded => Some(Duration::from_secs(1)),
        Code::Stopping => Some(Duration::from_millis(20)),
        Code::Refused | Code::NoBudget | Code::Limited | Code::Busy | Code::NoRoom => {
            Some(Duration::from_millis(200))
        }
        _ => None,
    }
}

/// Whether a reply with this status guarantees to the caller that the request did not run.
pub fn guarantees_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
