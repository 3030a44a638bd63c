//! Streams: whole events are passed on, and a lost stream goes on at another replica.
//!
//! `target` chooses the replica of each attempt, `attempt` carries it out.

mod attempt;
mod target;

use tokio::{io::AsyncWrite, time::timeout_at};
use winch_http::head::Reply;
use winch_route::suspect::Disposition;

use crate::{
    catalog::Key,
    counter,
    dialect::Copy,
    job::{Ending, Job, Trace},
    node::Node,
    plan::Semantics,
    prelude::*,
    protect::Protector,
    respond::{Progress, Responder},
    silence::Pace,
    strikes,
};

/// Connections that may fail before a stream is given up.
const MAX_CONNECT_FAILURES: u32 = 6;

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
    protector: Option<Protector<D>>,
    lost_dc: Option<Name>,
    /// Whether the caller has got an event.
    began: bool,
    /// Whether the present attempt has made an event.
    answered: bool,
    may_have_run: bool,
    connect_failures: u32,
    pace: Pace,
    /// Time from the first send to the first event.
    first_event: Option<Duration>,
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
        answered: false,
        may_have_run: false,
        connect_failures: 0,
        pace: Pace::new(pause, now),
        first_event: None,
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
                    // What goes on elsewhere says little of the usual pace.
                    if let (1, Some(first)) = (self.trace.sends, self.first_event) {
                        self.node.trials().good(&replica, first, self.pace.mean_gap());
                    }
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
                    self.node.trials().answered_badly(&replica);
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
                    self.node.trials().broke(&replica, self.node.age());
                    self.trace.step(&replica, &cause);
                    self.trace.tried.push(replica.id.clone());
                    self.node.avoid(target.key, &replica, &cause);
                    self.lost_dc = Some(replica.dc.clone());
                    self.may_have_run = true;
                    counter::retried("lost");
                    if !self.job.route.semantics.may_repeat() {
                        strikes::accuse_later(self.node, self.job, &replica);
                        return self.give_up(Code::Broken);
                    }
                    if self.is_refused(&replica).await {
                        return self.give_up(Code::Broken);
                    }
                }
            }
        }
        self.give_up(code)
    }

    /// Whether the request is blamed for too many deaths, that of `replica` among them.
    async fn is_refused(&self, replica: &Replica) -> bool {
        if self.answered {
            return false;
        }
        strikes::accuse(self.node, self.job, replica).await == Disposition::Refused
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
}
