//! The engine protocol over HTTP with lines of JSON; see `docs/engine-protocol.md`.

use std::{
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Buf, BytesMut};
use futures_util::Stream;
use reqwest::{Client, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpStream, sync::mpsc, time::timeout};
use tokio_util::task::TaskTracker;

use super::engine::{Batch, Engine, Error, Event, Submission};

/// Client of engines over HTTP.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client,
    work: TaskTracker,
}

/// Events of one attempt.
#[derive(Debug)]
pub struct Lines(mpsc::Receiver<Batch>);

impl Stream for Lines {
    type Item = Batch;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Batch>> {
        self.0.poll_recv(cx)
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

#[derive(Deserialize)]
struct Line {
    o: Option<usize>,
    t: Option<String>,
    l: Option<u32>,
    end: Option<usize>,
}

const BATCHES: usize = 32;
const LONGEST_LINE: usize = 64 * 1024;
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

impl Http {
    /// A client whose tasks are joined through `work`.
    pub fn new(client: Client, work: TaskTracker) -> Self {
        Self { client, work }
    }
}

impl Engine for Http {
    type Stream = Lines;

    fn submit(&self, target: SocketAddr, submission: Submission) -> Lines {
        let (sender, receiver) = mpsc::channel(BATCHES);
        let client = self.client.clone();
        self.work.spawn(async move {
            tokio::select! {
                () = sender.closed() => {}
                () = pump(client, target, &submission, &sender) => {}
            }
        });
        Lines(receiver)
    }

    async fn cancel(&self, target: SocketAddr, request: &str) {
        let url = format!("http://{target}/cancel");
        let body = serde_json::json!({ "request": request });
        // The engine stops by itself once its stream is unread for a while.
        let _ = self.client.post(url).json(&body).timeout(CANCEL_TIMEOUT).send().await;
    }

    async fn is_dead(&self, target: SocketAddr) -> bool {
        matches!(timeout(PROBE_TIMEOUT, TcpStream::connect(target)).await, Ok(Err(_)))
    }
}

async fn pump(
    client: Client,
    target: SocketAddr,
    submission: &Submission,
    sender: &mpsc::Sender<Batch>,
) {
    if let Err(error) = read(client, target, submission, sender).await {
        let _ = sender.send(Err(error)).await;
    }
}

async fn read(
    client: Client,
    target: SocketAddr,
    submission: &Submission,
    sender: &mpsc::Sender<Batch>,
) -> Result<(), Error> {
    let body = Body {
        request: &submission.request,
        prompt: &submission.prompt,
        accepted: &submission.accepted,
        max_tokens: submission.max_tokens,
        priority: submission.priority,
        version: &submission.version,
        attach: submission.attach,
    };
    let sent = client.post(format!("http://{target}/generate")).json(&body).send().await;
    let mut response = accepted(sent)?;
    let mut buffer = BytesMut::new();
    while let Some(chunk) = response.chunk().await.map_err(|_| Error::Broken)? {
        buffer.extend_from_slice(&chunk);
        let events = parse(&mut buffer)?;
        let ended = matches!(events.last(), Some(Event::End(_)));
        if !events.is_empty() && sender.send(Ok(events)).await.is_err() {
            return Ok(());
        }
        if ended {
            drain(response).await;
            return Ok(());
        }
    }
    Err(Error::Broken)
}

/// Reads to the end, so that the connection can be used again.
async fn drain(mut response: Response) {
    while let Ok(Some(_)) = response.chunk().await {}
}

fn accepted(sent: Result<Response, reqwest::Error>) -> Result<Response, Error> {
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

/// Takes all whole lines out of the buffer.
fn parse(buffer: &mut BytesMut) -> Result<Vec<Event>, Error> {
    let mut events = Vec::new();
    while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
        let line: Line = serde_json::from_slice(&buffer[..end]).map_err(|_| Error::Protocol)?;
        buffer.advance(end + 1);
        events.extend(line.l.map(Event::Load));
        if let (Some(offset), Some(text)) = (line.o, line.t) {
            events.push(Event::Token { offset, text });
        }
        events.extend(line.end.map(Event::End));
    }
    if buffer.len() > LONGEST_LINE { Err(Error::Protocol) } else { Ok(events) }
}
