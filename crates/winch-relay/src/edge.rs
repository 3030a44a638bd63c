//! Connections of callers.

use bytes::Bytes;
use http::header;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    time::timeout,
};
use winch_http::{
    Fault,
    body::Framing,
    head::Request,
    server::{Error, Reader},
};
use winch_move::evidence::Cohort;
use winch_route::suspect::Disposition;

use crate::{
    counter,
    job::{Ending, Job, Trace},
    node::Node,
    plain,
    plan::{Limits, Route, Semantics, Team},
    prelude::*,
    respond::{Progress, Responder},
    stream, strikes,
};

/// Longest time for the body of a request after its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a refused caller may go on sending before its connection is closed.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// How long idle connections stay open when the daemon stops, so that the
/// platform's balancer notices first.
pub const STOP_IDLE: Duration = Duration::from_millis(2_500);

/// Serves one connection until its end.
pub async fn serve<D, R, W>(node: Arc<Node<D>>, read: R, write: W)
where
    D: Dialect,
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut reader = Reader::new(read);
    let mut out = Responder::new(write);
    loop {
        let limits = limits(&node);
        if !arrives(&node, &mut reader, limits.idle_timeout).await {
            break;
        }
        match read_request(&mut reader, &mut out, &limits).await {
            Ok((request, body, received)) => {
                answer(&node, &mut reader, &mut out, request, body, received).await;
            }
            Err(Error::Broken { .. }) => break,
            Err(Error::Unacceptable { source }) => {
                reject(&mut reader, &mut out, source).await;
                break;
            }
        }
        if !out.keeps_alive() {
            break;
        }
    }
    out.shutdown().await;
    if out.progress() == Progress::Done {
        // A reset would destroy an answer that the caller has not read yet.
        let _ = timeout(DRAIN_TIMEOUT, reader.closed()).await;
    }
}

fn limits<D: Dialect>(node: &Node<D>) -> Limits {
    node.plan().map(|plan| plan.limits).unwrap_or_default()
}

/// Waits for the next request; `false` if the connection is to be closed.
async fn arrives<D, R>(node: &Node<D>, reader: &mut Reader<R>, idle: Duration) -> bool
where
    D: Dialect,
    R: AsyncRead + Unpin,
{
    let stopping = async {
        node.stopped().await;
        tokio::time::sleep(STOP_IDLE).await;
    };
    tokio::select! {
        biased;
        arrived = timeout(idle, reader.wait()) => matches!(arrived, Ok(Ok(true))),
        () = stopping => false,
    }
}

async fn read_request<R, W>(
    reader: &mut Reader<R>,
    out: &mut Responder<W>,
    limits: &Limits,
) -> Result<(Request, Bytes, Instant), Error>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let late = |_| Error::Broken { source: std::io::ErrorKind::TimedOut.into() };
    out.begin(true);
    let head = timeout(limits.head_timeout, reader.head(limits.head_bytes));
    let request = head.await.map_err(late)??;
    let received = Instant::now();
    let framing = Framing::of_request(&request)?;
    out.begin(!request.keeps_alive());
    if request.headers.get(header::EXPECT).is_some_and(|v| v.as_bytes() == b"100-continue") {
        out.proceed().await.map_err(|source| Error::Broken { source })?;
    }
    let body = timeout(BODY_TIMEOUT, reader.body(framing, limits.body_bytes));
    Ok((request, body.await.map_err(late)??, received))
}

async fn reject<R, W>(reader: &mut Reader<R>, out: &mut Responder<W>, fault: Fault)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let code = match fault {
        Fault::Malformed | Fault::Ambiguous => Code::BadRequest,
        Fault::HeadTooLarge => Code::HeadTooLarge,
        Fault::BodyTooLarge => Code::BodyTooLarge,
    };
    emit!(Event::CallerRefused, code = code as u16, fault = fault);
    counter::refused(code);
    out.close_after();
    if out.refuse(code, None).await.is_ok() {
        let _ = timeout(DRAIN_TIMEOUT, reader.drain()).await;
    }
}

async fn answer<D, R, W>(
    node: &Arc<Node<D>>,
    reader: &mut Reader<R>,
    out: &mut Responder<W>,
    request: Request,
    body: Bytes,
    received: Instant,
) where
    D: Dialect,
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    if node.is_stopping() {
        out.close_after();
    }
    let call = node.dialect.call(request, body, received);
    node.informed().await;
    let job = match admit(node, &call) {
        Ok(admitted) => admitted.job(call),
        Err(code) => {
            note_unadmitted(node, &call, code);
            counter::refused(code);
            // A caller that is gone needs no refusal.
            let _ = out.refuse(code, plain::retry_after(code)).await;
            return;
        }
    };
    let mut trace = Trace::default();
    let ending = tokio::select! {
        biased;
        ending = relay(node, &job, out, &mut trace) => ending,
        () = reader.closed() => Ending::CallerGone,
    };
    finish(node, &job, out, ending, &trace).await;
}

/// What the configuration says of a request.
struct Admitted {
    route: Arc<Route>,
    service: Name,
    team: Option<Arc<Team>>,
    side: Cohort,
}

impl Admitted {
    fn job(self, call: Call) -> Job {
        let Self { route, service, team, side } = self;
        Job { call, route, service, team, side }
    }
}

/// Finds the route, the service and the team of a request.
fn admit<D: Dialect>(node: &Node<D>, call: &Call) -> Result<Admitted, Code> {
    let plan = node.plan().ok_or(Code::NoPlan)?;
    let route = plan.route(&call.host, call.path()).cloned().ok_or(Code::NoRoute)?;
    let team = call.key.as_deref().and_then(|key| plan.team(key)).cloned();
    if team.is_none() && plan.needs_key(&route) {
        return Err(Code::UnknownKey);
    }
    if node.is_stopping() && matches!(route.semantics, Semantics::Stream { .. }) {
        return Err(Code::Stopping);
    }
    if is_refused(node, call, team.as_deref()) {
        return Err(Code::Suspect);
    }
    let service = route.pick(&mut node.rng()).clone();
    node.earn_retry(&service);
    let side = node.draw_side(&service);
    Ok(Admitted { route, service, team, side })
}

/// Whether the request has crashed several replicas.
fn is_refused<D: Dialect>(node: &Node<D>, call: &Call, team: Option<&Team>) -> bool {
    let strikes = node.strikes();
    // Mostly nobody is struck; then nothing needs to be hashed.
    !strikes.is_empty() && {
        let request = strikes::fingerprint(call, team.map(|team| &team.name));
        strikes.standing(request, Instant::now()) == Disposition::Refused
    }
}

async fn relay<D, W>(
    node: &Arc<Node<D>>,
    job: &Job,
    out: &mut Responder<W>,
    trace: &mut Trace,
) -> Ending
where
    D: Dialect,
    W: AsyncWrite + Unpin,
{
    match job.route.semantics {
        Semantics::Stream { .. } => stream::relay(node, job, out, trace).await,
        Semantics::Idempotent | Semantics::AtMostOnce => plain::relay(node, job, trace).await,
    }
}

async fn finish<D, W>(
    node: &Arc<Node<D>>,
    job: &Job,
    out: &mut Responder<W>,
    ending: Ending,
    trace: &Trace,
) where
    D: Dialect,
    W: AsyncWrite + Unpin,
{
    if node.is_stopping() {
        out.close_after();
    }
    let (result, failed) = match &ending {
        Ending::Answer { reply, .. } => (reply.status.as_str(), !reply.status.is_success()),
        Ending::Own(code) | Ending::Cut(code) => (code.name(), true),
        Ending::Streamed => ("200", false),
        Ending::CallerGone => ("caller_gone", false),
    };
    note(job, result, trace, failed);
    if !failed && !node.strikes().is_empty() {
        node.strikes().completed(job.fingerprint());
    }
    let kind = match job.route.semantics {
        Semantics::Idempotent => "lookup",
        Semantics::AtMostOnce => "order",
        Semantics::Stream { .. } => "stream",
    };
    let outcome = if failed { "failed" } else { "served" };
    counter::ended(kind, outcome, job.call.received.elapsed());
    // A caller that is gone needs no answer.
    let _ = match ending {
        Ending::Answer { reply, body } => out.answer(reply.status, reply.headers, &body).await,
        Ending::Own(code) => {
            counter::refused(code);
            out.refuse(code, plain::retry_after(code)).await
        }
        Ending::Cut(_) | Ending::Streamed | Ending::CallerGone => Ok(()),
    };
}

/// Logs a request that the configuration or the state of the daemon refuses.
fn note_unadmitted<D: Dialect>(node: &Node<D>, call: &Call, code: Code) {
    emit!(
        Event::RequestUnadmitted,
        request = call.label(),
        result = code.name(),
        host = call.host,
        path = call.path(),
        key = if call.key.is_some() { "given" } else { "none" },
        version = node.plan().map_or(0, |plan| plan.version),
        age_ms = node.knowledge_age_ms().map_or("-".to_owned(), |age| age.to_string())
    );
}

/// Logs how a request ended.
fn note(job: &Job, result: &str, trace: &Trace, failed: bool) {
    let event = if failed { Event::RequestFailed } else { Event::RequestEnded };
    emit!(
        event,
        request = job.call.label(),
        route = job.route.name,
        service = job.service,
        result = result,
        sends = trace.sends,
        steps = trace.steps.join(" "),
        taken_ms = job.call.received.elapsed().as_millis()
    );
}
