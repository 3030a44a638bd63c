//! One request of a caller or of another daemon: admits it, relays it and replies to it.

use std::future::pending;

use bytes::Bytes;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    task::yield_now,
    time::{sleep_until, timeout_at},
};
use winch_http::{head::Request, server::Reader};

use super::admission::{self, Origin, Refusal};
use crate::{
    call::reply_time,
    config::Semantics,
    counter,
    job::{Job, Outcome},
    node::Node,
    prelude::*,
    respond::{Begun, Progress, Responder},
    stream, strikes,
    trace::{Phase, Trace},
    unary,
};

/// A request that was read completely.
pub(super) struct Received {
    pub(super) request: Request,
    pub(super) body: Bytes,
    /// When its first byte arrived.
    pub(super) received_at: Instant,
    pub(super) origin: Origin,
}

/// Admits and relays one request, and replies to it.
pub(super) async fn handle<P, R, W>(
    node: &Arc<Node<P>>,
    reader: &mut Reader<R>,
    out: &mut Responder<W>,
    received: Received,
) where
    P: Protocol,
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    if node.is_stopping() {
        out.close_after();
    }
    let Received { request, body, received_at, origin } = received;
    let call = node.protocol.decode_call(request, body, received_at);
    let passing_time = node.tuning().passing_time;
    wait_initialized(node, &call, passing_time).await;
    let _running = matches!(origin, Origin::Caller).then(|| node.running.enter_own());
    let job = match admission::admit(node, &call, origin) {
        Ok(admitted) => admitted.into_job(call, origin, passing_time),
        Err(Refusal { code, retry_after }) => {
            admission::log_refusal(node, &call, code);
            counter::refused(code);
            // An error means that the caller has closed the connection.
            let _ = out.send_error(code, retry_after).await;
            return;
        }
    };
    let mut trace = Trace::default();
    if let Origin::Daemon { sends } = origin {
        trace.sends = sends.made;
    }
    let begun = out.begun();
    // The runtime may see a close that has arrived with the request one step after its bytes.
    yield_now().await;
    let interrupt = tokio::select! {
        biased;
        // First, so that nothing is sent for a caller whose close has arrived with its request.
        () = reader.closed() => Ok(Interrupt::CallerGone),
        outcome = relay(node, &job, out, &mut trace) => Err(outcome),
        () = is_overdue(&job, &begun) => Ok(Interrupt::Overdue),
        () = node.end_requested() => Ok(Interrupt::DaemonEnds),
    };
    let outcome = match interrupt {
        Ok(interrupt) => interrupt.outcome(out.progress(), &mut trace),
        Err(outcome) => outcome,
    };
    if matches!(outcome, Outcome::CallerGone) {
        trace.interrupt("caller gone");
    }
    let outcome = trace.conclude(job.route.semantics, outcome);
    let outcome = match origin {
        Origin::Daemon { sends } if sends.max.is_none() => for_former_release(&job, outcome),
        _ => outcome,
    };
    if matches!(job.route.semantics, Semantics::Stream { .. }) {
        stream::record_time(node, &job, &outcome);
    }
    if let Origin::Daemon { sends } = origin {
        return_retry(node, &job, &outcome);
        if sends.max.is_some() {
            out.set_sends(trace.sends);
        }
    }
    finish(node, &job, out, outcome, &trace).await;
}

/// The outcome for a daemon that limits no sends. It may be of the release that takes 622 of an order
/// for a request that has not run; 620 says as much as 622 and is kept.
fn for_former_release(job: &Job, outcome: Outcome) -> Outcome {
    match (job.route.semantics, outcome) {
        (Semantics::AtMostOnce, Outcome::Error(Code::TimedOut)) => Outcome::Error(Code::Broken),
        (_, outcome) => outcome,
    }
}

/// Gives back what a request has earned that another daemon has passed on and that has not run here:
/// that daemon takes it back when it reads the reply.
fn return_retry<P: Protocol>(node: &Node<P>, job: &Job, outcome: &Outcome) {
    if let Outcome::Error(code) | Outcome::Shed { code, .. } = outcome
        && !code.may_have_run()
        && job.returns_retry()
    {
        node.give_retry(&job.service);
    }
}

/// Waits until the daemon is initialized, at most until the reply to `call` must begin.
async fn wait_initialized<P: Protocol>(node: &Node<P>, call: &Call, passing_time: Duration) {
    let initialized = node.wait_initialized();
    let Some(limit) = call.timeout else { return initialized.await };
    // A timeout is not an error: the request is then refused for what the daemon lacks.
    let _ = timeout_at(call.received_at + reply_time(limit, passing_time), initialized).await;
}

/// Completes when the reply to a request must begin and nothing of it has been sent.
async fn is_overdue(job: &Job, begun: &Begun) {
    sleep_until(job.reply_deadline).await;
    if begun.get() {
        pending().await
    }
}

/// What ends a request before its relay does.
#[derive(Clone, Copy, Debug)]
enum Interrupt {
    /// The caller has closed the connection.
    CallerGone,
    /// The reply must begin.
    Overdue,
    /// The daemon ends.
    DaemonEnds,
}

impl Interrupt {
    /// The outcome of the request, of whose reply so much has been sent.
    fn outcome(self, progress: Progress, trace: &mut Trace) -> Outcome {
        let (cause, code) = match self {
            Self::CallerGone => return Outcome::CallerGone,
            Self::Overdue => ("deadline exceeded", Code::TimedOut),
            Self::DaemonEnds => ("daemon ends", Code::Stopping),
        };
        let phase = trace.interrupt(cause);
        if matches!(self, Self::DaemonEnds) {
            counter::grace_ended(phase);
        }
        if progress != Progress::Waiting {
            return Outcome::Aborted(code);
        }
        match trace.error_reply.take() {
            Some((reply, body)) => Outcome::Answer { reply, body },
            None => Outcome::Error(code),
        }
    }
}

async fn relay<P, W>(
    node: &Arc<Node<P>>,
    job: &Job,
    out: &mut Responder<W>,
    trace: &mut Trace,
) -> Outcome
where
    P: Protocol,
    W: AsyncWrite + Unpin,
{
    match job.route.semantics {
        Semantics::Stream { .. } => stream::relay(node, job, out, trace).await,
        Semantics::Idempotent | Semantics::AtMostOnce => unary::relay(node, job, trace).await,
    }
}

/// Logs and counts the outcome of a request, and sends the reply unless it is already sent.
async fn finish<P, W>(
    node: &Arc<Node<P>>,
    job: &Job,
    out: &mut Responder<W>,
    outcome: Outcome,
    trace: &Trace,
) where
    P: Protocol,
    W: AsyncWrite + Unpin,
{
    if node.is_stopping() {
        out.close_after();
    }
    if let Outcome::Aborted(code) = &outcome {
        counter::cut(*code);
    }
    let failed = outcome.is_failed();
    log_ended(job, &outcome, trace);
    if outcome.shows_completion() {
        strikes::record_completion(node, job);
    }
    let kind = match job.route.semantics {
        Semantics::Idempotent => "lookup",
        Semantics::AtMostOnce => "order",
        Semantics::Stream { .. } => "stream",
    };
    let result_label = if failed { "failed" } else { "served" };
    counter::ended(kind, result_label, job.call.received_at.elapsed());
    // An error means that the caller has closed the connection.
    let _ = match outcome {
        Outcome::Answer { reply, body } => out.send_reply(reply.status, reply.headers, &body).await,
        Outcome::Error(code) => {
            counter::refused(code);
            out.send_error(code, unary::retry_after(code)).await
        }
        Outcome::Shed { code, retry_after } => {
            counter::refused(code);
            out.send_error(code, Some(retry_after)).await
        }
        Outcome::Aborted(_) | Outcome::Streamed | Outcome::CallerGone => Ok(()),
    };
}

/// Logs the end of a request.
fn log_ended(job: &Job, outcome: &Outcome, trace: &Trace) {
    let event = if outcome.is_failed() { Event::RequestFailed } else { Event::RequestEnded };
    emit!(
        event,
        request = job.call.label(),
        route = job.route.name,
        version = job.version,
        service = job.service,
        result = outcome.result(),
        cut = matches!(outcome, Outcome::Aborted(_)),
        forwarded = job.is_forwarded,
        may_have_run = trace.may_have_run(),
        sends = trace.sends,
        steps = trace.steps.join(" "),
        first_event_ms =
            trace.first_event.map_or("-".to_owned(), |time| time.as_millis().to_string()),
        longest_gap_ms = trace.longest_gap.as_millis(),
        phase = trace.interrupted_in.map_or("-", Phase::name),
        silent_ms =
            trace.last_event_at.map_or("-".to_owned(), |at| at.elapsed().as_millis().to_string()),
        limit_ms = job.call.timeout.map_or("-".to_owned(), |time| time.as_millis().to_string()),
        timeout_ms = job.route.timeout.as_millis(),
        taken_ms = job.call.received_at.elapsed().as_millis()
    );
}
