//! Callers' connections: reads requests, admits them, relays them and replies.
//!
//! `admission` decides the route, service, team and cohort of a request, or the code with which
//! it is refused.

mod admission;
mod close;

use std::{future::pending, io};

use bytes::Bytes;
use http::header;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    time::{sleep_until, timeout, timeout_at},
};
use winch_http::{
    Fault,
    body::Framing,
    head::Request,
    server::{Error, Reader},
};

use self::{
    admission::Origin,
    close::{Close, Usage},
};
use crate::{
    call::reply_time,
    config::{Limits, Semantics},
    counter,
    job::{Job, Outcome, Trace},
    node::Node,
    prelude::*,
    respond::{Begun, Progress, Responder},
    stream, unary,
};

/// Time by which callers may know a new limit before this daemon does: a connection stays open for
/// this much longer than the limit says.
const IDLE_TOLERANCE: Duration = Duration::from_secs(3);
/// Time within which the body of a request must arrive after its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long remaining input is read before a connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long idle connections stay open after the stop of the daemon has begun, so that
/// the platform's load balancer stops using the daemon first.
pub const SHUTDOWN_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A request that was read completely.
struct Received {
    request: Request,
    body: Bytes,
    /// When the head had been read.
    received_at: Instant,
    origin: Origin,
}

/// Serves one request that another daemon passes on; it was sent to replicas `sends` times.
pub async fn serve_forwarded<P, R, W>(node: &Arc<Node<P>>, read: R, write: W, sends: u32)
where
    P: Protocol,
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut reader = Reader::new(read);
    let mut out = Responder::for_daemon(write);
    let Ok((request, body, received_at)) =
        read_request(&mut reader, &mut out, &current_limits(node)).await
    else {
        // The daemon has checked the request; it treats the close as a broken connection.
        return;
    };
    out.close_after();
    if node.is_stopping() {
        // The other daemon asks one that is not stopping.
        let _ = out.send_error(Code::Stopping, None).await;
        return;
    }
    let Some(_running) = node.running.enter_forwarded() else {
        counter::taken("busy");
        let _ = out.send_error(Code::Busy, None).await;
        return;
    };
    counter::taken("taken");
    let origin = Origin::Daemon { sends };
    let request = Received { request, body, received_at, origin };
    handle_request(node, &mut reader, &mut out, request).await;
    out.shutdown().await;
}

/// Serves one caller's connection until it is closed.
///
/// Each request is read under the limits in force when it arrives.
pub async fn serve<P, R, W>(node: Arc<Node<P>>, read: R, write: W)
where
    P: Protocol,
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut reader = Reader::new(read);
    let mut out = Responder::new(write);
    let mut usage = Usage::new();
    let close = serve_requests(&node, &mut reader, &mut out, &mut usage).await;
    close.record(&usage);
    if matches!(close, Close::Caller | Close::Idle | Close::Stopping) {
        // No reply is outstanding. A request that crosses the close stays unread, so that its
        // caller knows that it has not run.
        return;
    }
    out.shutdown().await;
    if out.progress() == Progress::Done {
        // Closing a socket with unread input resets the connection, and the caller could
        // lose a reply that it has not read yet.
        let _ = timeout(LINGER_TIMEOUT, reader.closed()).await;
    }
}

/// Serves one request after another; returns why the connection is to be closed.
async fn serve_requests<P, R, W>(
    node: &Arc<Node<P>>,
    reader: &mut Reader<R>,
    out: &mut Responder<W>,
    usage: &mut Usage,
) -> Close
where
    P: Protocol,
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let origin = Origin::Caller;
    loop {
        if let Some(close) = wait_for_request(node, reader).await {
            return close;
        }
        let limits = current_limits(node);
        match read_request(reader, out, &limits).await {
            Ok((request, body, received_at)) => {
                usage.begin(node.protocol.decode_id(&request));
                let request = Received { request, body, received_at, origin };
                handle_request(node, reader, out, request).await;
                usage.end();
            }
            Err(Error::Broken { source }) if source.kind() == io::ErrorKind::TimedOut => {
                return Close::SlowRequest;
            }
            Err(Error::Broken { .. }) => return Close::Incomplete,
            Err(Error::Unacceptable { source }) => {
                reject_unacceptable(reader, out, source).await;
                return Close::Unreadable;
            }
        }
        if !out.keeps_alive() {
            return match out.progress() {
                Progress::Done => Close::Announced,
                Progress::Waiting | Progress::Streaming => Close::Unanswered,
            };
        }
    }
}

fn current_limits<P: Protocol>(node: &Node<P>) -> Limits {
    node.config().map(|config| config.limits).unwrap_or_default()
}

/// Waits for the next request; returns why the connection is to be closed if none comes.
async fn wait_for_request<P, R>(node: &Node<P>, reader: &mut Reader<R>) -> Option<Close>
where
    P: Protocol,
    R: AsyncRead + Unpin,
{
    let stopping = async {
        node.stop_requested().await;
        tokio::time::sleep(SHUTDOWN_IDLE_TIMEOUT).await;
    };
    tokio::select! {
        biased;
        arrived = reader.wait() => (!matches!(arrived, Ok(true))).then_some(Close::Caller),
        () = stopping => Some(Close::Stopping),
        () = idle_for_too_long(node) => Some(Close::Idle),
    }
}

/// Completes when a connection that is idle from now on is to be closed.
///
/// Callers reuse a connection by the limit that they know, which may have been raised or lowered
/// meanwhile: the longest one that was in force holds.
async fn idle_for_too_long<P: Protocol>(node: &Node<P>) {
    let since = Instant::now();
    let mut limit = current_limits(node).idle_timeout;
    loop {
        sleep_until(since + limit + IDLE_TOLERANCE).await;
        let current = current_limits(node).idle_timeout;
        if current <= limit {
            return;
        }
        limit = current;
    }
}

/// Reads a complete request, and returns it with the time at which its head had been read.
async fn read_request<R, W>(
    reader: &mut Reader<R>,
    out: &mut Responder<W>,
    limits: &Limits,
) -> Result<(Request, Bytes, Instant), Error>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let timed_out = |_| Error::Broken { source: io::ErrorKind::TimedOut.into() };
    out.begin();
    let head = timeout(limits.head_timeout, reader.head(limits.head_bytes));
    let request = head.await.map_err(timed_out)??;
    let received_at = Instant::now();
    let framing = Framing::of_request(&request)?;
    out.begin_reply(&request);
    if request.headers.get(header::EXPECT).is_some_and(|v| v.as_bytes() == b"100-continue") {
        out.send_continue().await.map_err(|source| Error::Broken { source })?;
    }
    let body = timeout(BODY_TIMEOUT, reader.body(framing, limits.body_bytes));
    Ok((request, body.await.map_err(timed_out)??, received_at))
}

/// Replies to input that is not an acceptable request; the connection is then closed.
async fn reject_unacceptable<R, W>(reader: &mut Reader<R>, out: &mut Responder<W>, fault: Fault)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let code = match fault {
        // Callers send no replies, so that `TooManyReplies` cannot occur here.
        Fault::Malformed | Fault::Ambiguous | Fault::TooManyReplies => Code::BadRequest,
        Fault::HeadTooLarge => Code::HeadTooLarge,
        Fault::BodyTooLarge => Code::BodyTooLarge,
    };
    emit!(Event::RequestUnreadable, code = code as u16, fault = fault);
    counter::refused(code);
    out.close_after();
    if out.send_error(code, None).await.is_ok() {
        let _ = timeout(LINGER_TIMEOUT, reader.drain()).await;
    }
}

/// Admits and relays one request, and replies to it.
async fn handle_request<P, R, W>(
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
        Err(code) => {
            admission::log_refusal(node, &call, code);
            counter::refused(code);
            // An error means that the caller has closed the connection.
            let _ = out.send_error(code, unary::retry_after(code)).await;
            return;
        }
    };
    let mut trace = Trace::default();
    if let Origin::Daemon { sends } = origin {
        trace.sends = sends;
    }
    let begun = out.begun();
    let interrupt = tokio::select! {
        biased;
        outcome = relay(node, &job, out, &mut trace) => Err(outcome),
        () = reader.closed() => Ok(Interrupt::CallerGone),
        () = is_overdue(&job, &begun) => Ok(Interrupt::Overdue),
        () = node.end_requested() => Ok(Interrupt::DaemonEnds),
    };
    let outcome = match interrupt {
        Ok(interrupt) => interrupt.outcome(out.progress(), &mut trace),
        Err(outcome) => outcome,
    };
    finish(node, &job, out, outcome, &trace).await;
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
        let (cause, not_run, may_have_run) = match self {
            Self::CallerGone => {
                trace.interrupt("caller gone");
                return Outcome::CallerGone;
            }
            Self::Overdue => ("deadline exceeded", Code::Expired, Code::TimedOut),
            Self::DaemonEnds => ("daemon ends", Code::Stopping, Code::Broken),
        };
        trace.interrupt(cause);
        match progress {
            Progress::Waiting if trace.may_have_run => Outcome::Error(may_have_run),
            Progress::Waiting => Outcome::Error(not_run),
            Progress::Streaming | Progress::Done => Outcome::Aborted(not_run),
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
    let (result, failed) = match &outcome {
        Outcome::Answer { reply, .. } => (reply.status.as_str(), !reply.status.is_success()),
        Outcome::Error(code) | Outcome::Shed { code, .. } | Outcome::Aborted(code) => {
            (code.name(), true)
        }
        Outcome::Streamed => ("200", false),
        Outcome::CallerGone => ("caller_gone", false),
    };
    log_ended(job, result, trace, failed);
    if !failed && !node.strikes().is_empty() {
        node.strikes().record_completion(job.fingerprint());
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

fn log_ended(job: &Job, result: &str, trace: &Trace, failed: bool) {
    let event = if failed { Event::RequestFailed } else { Event::RequestEnded };
    emit!(
        event,
        request = job.call.label(),
        route = job.route.name,
        service = job.service,
        result = result,
        sends = trace.sends,
        steps = trace.steps.join(" "),
        first_event_ms =
            trace.first_event.map_or("-".to_owned(), |time| time.as_millis().to_string()),
        longest_gap_ms = trace.longest_gap.as_millis(),
        limit_ms = job.call.timeout.map_or("-".to_owned(), |time| time.as_millis().to_string()),
        taken_ms = job.call.received_at.elapsed().as_millis()
    );
}
