//! Client of the engine protocol: JSON lines over HTTP; see `docs/engine-protocol.md`.

use std::{
    future::Future,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, BytesMut};
use futures_util::Stream;
use http_body_util::BodyExt;
use reqwest::{Client, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpStream, sync::oneshot, time::timeout};
use tokio_util::task::TaskTracker;
use warp::hyper::body::Body as _;

use super::engine::{Batch, Engine, Error, Event, Submission};

/// Client of engines that speak the protocol over HTTP.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client,
    work: TaskTracker,
}

/// Stream of the events of one attempt, decoded from JSON lines.
#[derive(Debug)]
pub struct Lines {
    state: State,
    work: TaskTracker,
}

#[derive(Debug)]
enum State {
    /// Waits for the response head. Dropping the receiver cancels the task that sends the request.
    AwaitingHead(oneshot::Receiver<Result<Response, Error>>),
    Reading(reqwest::Body, BytesMut),
    Ended,
}

impl Stream for Lines {
    type Item = Batch;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Batch>> {
        loop {
            match &mut self.state {
                State::AwaitingHead(receiver) => {
                    let response = ready!(Pin::new(receiver).poll(cx));
                    match response.unwrap_or(Err(Error::Broken)) {
                        Ok(response) => {
                            self.state = State::Reading(response.into(), BytesMut::new());
                        }
                        Err(error) => return self.fail(error),
                    }
                }
                State::Reading(body, buffer) => {
                    let Some(Ok(frame)) = ready!(Pin::new(body).poll_frame(cx)) else {
                        return self.fail(Error::Broken);
                    };
                    buffer.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
                    match parse(buffer) {
                        Ok(events) if events.is_empty() => {}
                        Ok(events) => return self.yield_events(events),
                        Err(error) => return self.fail(error),
                    }
                }
                State::Ended => return Poll::Ready(None),
            }
        }
    }
}

impl Lines {
    fn fail(&mut self, error: Error) -> Poll<Option<Batch>> {
        self.state = State::Ended;
        Poll::Ready(Some(Err(error)))
    }

    /// Yields events. After the end marker the rest of the body is read in a separate task.
    fn yield_events(&mut self, events: Vec<Event>) -> Poll<Option<Batch>> {
        if matches!(events.last(), Some(Event::End(_)))
            && let State::Reading(body, _) = std::mem::replace(&mut self.state, State::Ended)
        {
            self.work.spawn(drain(body));
        }
        Poll::Ready(Some(Ok(events)))
    }
}

#[derive(Serialize)]
struct Body<'a> {
    request: &'a str,
    prompt: &'a str,
    accepted: &'a [String],
    max_tokens: usize,
    priority: u8,
    version: &'a str,
    attach: bool,
}

/// One line of the response, which may carry a token, the engine's load and the end marker.
#[derive(Deserialize)]
struct Line {
    #[serde(rename = "o")]
    offset: Option<usize>,
    #[serde(rename = "t")]
    text: Option<String>,
    #[serde(rename = "l")]
    load: Option<u32>,
    end: Option<usize>,
}

/// Largest incomplete line that is buffered.
const MAX_LINE_BYTES: usize = 64 * 1024;
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which a connection must fail for its engine to count as dead.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

impl Http {
    /// Creates a client that spawns its tasks on `work`.
    pub fn new(client: Client, work: TaskTracker) -> Self {
        Self { client, work }
    }
}

impl Engine for Http {
    type Stream = Lines;

    fn submit(&self, target: SocketAddr, submission: Submission) -> Lines {
        let (mut sender, receiver) = oneshot::channel();
        let client = self.client.clone();
        self.work.spawn(async move {
            tokio::select! {
                () = sender.closed() => {}
                response = request_generation(client, target, &submission) => {
                    // The receiver is closed if the attempt was dropped in the meantime.
                    let _ = sender.send(response);
                }
            }
        });
        Lines { state: State::AwaitingHead(receiver), work: self.work.clone() }
    }

    async fn cancel(&self, target: SocketAddr, request: &str) {
        let url = format!("http://{target}/cancel");
        let body = serde_json::json!({ "request": request });
        // A lost cancellation is harmless: an engine ends a stream that is not read for a while.
        let _ = self.client.post(url).json(&body).timeout(CANCEL_TIMEOUT).send().await;
    }

    async fn is_dead(&self, target: SocketAddr) -> bool {
        matches!(timeout(PROBE_TIMEOUT, TcpStream::connect(target)).await, Ok(Err(_)))
    }
}

/// Sends the request and waits for the response head.
async fn request_generation(
    client: Client,
    target: SocketAddr,
    submission: &Submission,
) -> Result<Response, Error> {
    let body = Body {
        request: &submission.request,
        prompt: &submission.prompt,
        accepted: &submission.accepted,
        max_tokens: submission.max_tokens,
        priority: submission.priority,
        version: &submission.version,
        attach: submission.attach,
    };
    check_response(client.post(format!("http://{target}/generate")).json(&body).send().await)
}

/// Reads a body to its end, so that the connection can be reused.
async fn drain(mut body: reqwest::Body) {
    while let Some(Ok(_)) = body.frame().await {}
}

/// Maps a failed request or an error status to the error of the attempt.
fn check_response(sent: Result<Response, reqwest::Error>) -> Result<Response, Error> {
    let response =
        sent.map_err(|e| if e.is_connect() { Error::Unreachable } else { Error::Broken })?;
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(Error::Busy),
        StatusCode::CONFLICT => Err(Error::WrongVersion),
        StatusCode::GONE => Err(Error::Gone),
        status => Err(Error::Failed { status: status.as_u16() }),
    }
}

/// Decodes and removes all complete lines from the buffer.
///
/// Fails if a line cannot be decoded or the remaining incomplete line is too long.
fn parse(buffer: &mut BytesMut) -> Result<Vec<Event>, Error> {
    let mut events = Vec::new();
    while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
        let line: Line = serde_json::from_slice(&buffer[..end]).map_err(|_| Error::Protocol)?;
        buffer.advance(end + 1);
        events.extend(line.load.map(Event::Load));
        if let (Some(offset), Some(text)) = (line.offset, line.text) {
            events.push(Event::Token { offset, text });
        }
        events.extend(line.end.map(Event::End));
    }
    if buffer.len() > MAX_LINE_BYTES { Err(Error::Protocol) } else { Ok(events) }
}
