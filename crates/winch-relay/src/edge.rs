//! Callers' connections: reads requests, admits them, relays them and replies.
//!
//! `idle` decides how long a connection stays open between two requests, and `close` says why it
//! was closed. `request` carries a request out, whose route, service, team and cohort, or the code
//! with which it is refused, are decided by `admission`.

mod admission;
mod close;
mod idle;
mod request;

use http::header;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    time::{timeout, timeout_at},
};
use winch_http::{
    Fault,
    body::Framing,
    server::{Error, Reader},
};

use self::{
    admission::Origin,
    close::{Close, Usage},
    request::Received,
};
use crate::{
    call::reply_time,
    config::Limits,
    counter, intake,
    job::Sends,
    node::Node,
    prelude::*,
    respond::{Progress, Responder},
    unary,
};

/// Time within which the body of a request must arrive after its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long remaining input is read before a connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves one request that another daemon passes on.
pub async fn serve_forwarded<P, R, W>(node: &Arc<Node<P>>, read: R, write: W, sends: Sends)
where
    P: Protocol,
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut reader = Reader::new(read);
    let mut out = Responder::for_daemon(write);
    let origin = Origin::Daemon { sends };
    let request = match read_request(node, &mut reader, &mut out, origin).await {
        Ok(request) => request,
        Err(Unread::NoRoom) => {
            counter::taken("busy");
            reject(&mut reader, &mut out, Code::Busy).await;
            return;
        }
        // The daemon has checked the request; it treats the close as a broken connection.
        Err(_) => return,
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
    request::handle(node, &mut reader, &mut out, request).await;
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
    if close == Close::Caller {
        return;
    }
    if matches!(close, Close::Idle | Close::Stopping) {
        refuse_crossing(&mut out).await;
    }
    out.shutdown().await;
    if out.progress() == Progress::Done {
        // Closing a socket with unread input resets the connection, and the caller could
        // lose a reply that it has not read yet.
        let _ = timeout(LINGER_TIMEOUT, reader.drain()).await;
    }
}

/// Sends the refusal of a request that may cross the close of an idle connection.
async fn refuse_crossing<W: AsyncWrite + Unpin>(out: &mut Responder<W>) {
    out.begin();
    // An error means that the caller has closed the connection.
    let _ = out.send_error(Code::ClosedIdle, None).await;
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
    loop {
        if let Some(close) = idle::wait_for_request(node, reader).await {
            return close;
        }
        match read_request(node, reader, out, Origin::Caller).await {
            Ok(received) => {
                usage.begin(node.protocol.decode_id(&received.request));
                request::handle(node, reader, out, received).await;
                usage.end();
            }
            Err(Unread::Slow) => {
                reject(reader, out, Code::SlowRequest).await;
                return Close::SlowRequest;
            }
            Err(Unread::Incomplete) => return Close::Incomplete,
            Err(Unread::NoRoom) => {
                reject(reader, out, Code::NoRoom).await;
                return Close::NoRoom;
            }
            Err(Unread::Unacceptable(fault)) => {
                reject_unacceptable(reader, out, fault).await;
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

/// Why no complete request was read.
enum Unread {
    /// It did not arrive in time.
    Slow,
    /// The connection ended or broke.
    Incomplete,
    /// The bytes are not an acceptable request.
    Unacceptable(Fault),
    /// No memory is left for its body.
    NoRoom,
}

impl From<intake::Error> for Unread {
    fn from(error: intake::Error) -> Self {
        match error {
            intake::Error::Unread { source } => source.into(),
            intake::Error::NoRoom => Self::NoRoom,
        }
    }
}

impl From<Error> for Unread {
    fn from(error: Error) -> Self {
        match error {
            Error::Broken { .. } => Self::Incomplete,
            Error::Unacceptable { source } => Self::Unacceptable(source),
        }
    }
}

impl From<Fault> for Unread {
    fn from(fault: Fault) -> Self {
        Self::Unacceptable(fault)
    }
}

/// Reads a complete request.
async fn read_request<P, R, W>(
    node: &Node<P>,
    reader: &mut Reader<R>,
    out: &mut Responder<W>,
    origin: Origin,
) -> Result<Received, Unread>
where
    P: Protocol,
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let (limits, tuning) = (current_limits(node), node.tuning());
    out.begin();
    // The caller's time runs while its request arrives, or waits behind another one.
    let received_at = reader.arrived_at();
    let head = timeout(limits.head_timeout, reader.head(limits.head_bytes)).await;
    let request = head.map_err(|_| Unread::Slow)??;
    let framing = Framing::of_request(&request)?;
    out.begin_reply(&request, idle::stated_time_s(&limits));
    if request.headers.get(header::EXPECT).is_some_and(|v| v.as_bytes() == b"100-continue") {
        out.send_continue().await.map_err(|_| Unread::Incomplete)?;
    }
    let reply_time = node.protocol.decode_timeout(&request).map(|timeout| {
        // What arrives later could not be answered in time.
        reply_time(timeout, tuning.passing_time)
    });
    let body_time = reply_time.map_or(BODY_TIMEOUT, |time| time.min(BODY_TIMEOUT));
    let body = intake::read_body(reader, &node.request_blocks, framing, limits.body_bytes);
    let body = timeout_at(received_at + body_time, body).await.map_err(|_| Unread::Slow)??;
    Ok(Received { request, body, received_at, origin })
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
    reject(reader, out, code).await;
}

/// Replies with an error to a request that was not read completely; the connection is then closed.
async fn reject<R, W>(reader: &mut Reader<R>, out: &mut Responder<W>, code: Code)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    counter::refused(code);
    out.close_after();
    if out.send_error(code, unary::retry_after(code)).await.is_ok() {
        let _ = timeout(LINGER_TIMEOUT, reader.drain()).await;
    }
}
