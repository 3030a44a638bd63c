//! Writes replies to one caller's connection: complete replies, error replies and streams.
//!
//! The responder sets the framing of each reply, and decides whether the connection stays
//! open for another request.

use std::{
    io,
    sync::atomic::{AtomicBool, Ordering},
};

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use tokio::io::AsyncWrite;
use winch_http::{
    body::permits_body,
    head::{Request, put_reply, strip_hop_by_hop},
    server::Writer,
};

use crate::{
    forward::{CODE, REPLICA, SENDS},
    prelude::*,
};

/// How long the caller may leave the connection idle and use it again.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Progress of the reply to the current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing of the reply has been sent.
    Waiting,
    /// A part of a stream has been sent.
    Streaming,
    /// The reply is complete.
    Done,
}

/// Tells others whether anything of a connection's current reply has been sent.
#[derive(Clone, Debug, Default)]
pub struct Begun(Arc<AtomicBool>);

impl Begun {
    /// Whether anything of the reply has been sent.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, begun: bool) {
        self.0.store(begun, Ordering::Relaxed);
    }
}

/// Writes the replies of one connection, one after another.
#[derive(Debug)]
pub struct Responder<W> {
    writer: Writer<W>,
    progress: Progress,
    /// Whether anything of the current reply has been sent.
    begun: Begun,
    must_close: bool,
    /// Whether the head of the current reply announces that the connection closes after it.
    announced_close: bool,
    /// Idle time that the reply states, in seconds.
    idle_time_s: Option<u64>,
    /// Method of the current request, by which its reply has a body or none.
    method: Method,
    /// Whether the stream that was started has a body.
    has_body: bool,
    /// Whether error replies state their code in a header, for another daemon.
    states_code: bool,
    /// Sends of the request that a complete reply states for another daemon.
    sends: Option<u32>,
}

impl<W: AsyncWrite + Unpin> Responder<W> {
    /// Creates a responder for a new connection, which writes to `io`.
    pub fn new(io: W) -> Self {
        Self {
            writer: Writer::new(io),
            progress: Progress::Waiting,
            begun: Begun::default(),
            must_close: false,
            announced_close: false,
            idle_time_s: None,
            method: Method::GET,
            has_body: true,
            states_code: false,
            sends: None,
        }
    }

    /// Creates a responder for a connection of another daemon, which tells error replies from
    /// those of replicas by a header.
    pub fn for_daemon(io: W) -> Self {
        Self { states_code: true, ..Self::new(io) }
    }

    /// Prepares for the reply to a request whose head is still to be read. Such a reply announces
    /// that the connection closes after it.
    pub fn begin(&mut self) {
        self.reset();
        self.must_close = true;
        self.method = Method::GET;
    }

    fn reset(&mut self) {
        self.progress = Progress::Waiting;
        self.begun.set(false);
        self.sends = None;
    }

    /// Prepares for the reply to `request`.
    ///
    /// `idle_time_s` is stated as the time, in seconds, for which the caller may leave the connection
    /// idle and use it again.
    pub fn begin_reply(&mut self, request: &Request, idle_time_s: Option<u64>) {
        self.reset();
        self.must_close = !request.keeps_alive();
        self.idle_time_s = idle_time_s;
        self.method = request.method.clone();
    }

    /// Sets how often the request was sent to replicas, which a complete reply to another daemon
    /// states.
    pub fn set_sends(&mut self, sends: u32) {
        self.sends = self.states_code.then_some(sends);
    }

    /// Progress of the current reply.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Tells, from now on, whether anything of the current reply has been sent.
    pub fn begun(&self) -> Begun {
        self.begun.clone()
    }

    /// Whether another request may follow on the connection.
    pub fn keeps_alive(&self) -> bool {
        !self.announced_close && self.progress == Progress::Done
    }

    /// Closes the connection after the current reply, if its head, which announces that, is still
    /// to be written. Otherwise the connection stays open: its caller may already have sent
    /// the next request.
    pub fn close_after(&mut self) {
        self.must_close = true;
    }

    /// Sends `100 Continue`.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn send_continue(&mut self) -> io::Result<()> {
        put_reply(self.writer.buffer(), StatusCode::CONTINUE, &HeaderMap::new());
        self.writer.flush().await
    }

    /// Buffers the head of a reply. `framing` is the header that replaces the framing headers among
    /// `headers`; a reply without a body keeps the length that it states.
    fn put_head(
        &mut self,
        status: StatusCode,
        mut headers: HeaderMap,
        framing: (HeaderName, HeaderValue),
    ) {
        // Drops the head of a stream of which nothing was sent.
        self.writer.buffer().clear();
        strip_hop_by_hop(&mut headers, &[]);
        if permits_body(&self.method, status) {
            headers.remove(header::CONTENT_LENGTH);
            headers.insert(framing.0, framing.1);
        }
        self.announced_close = self.must_close;
        if self.must_close {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        } else if let Some(seconds) = self.idle_time_s {
            let value = HeaderValue::from_str(&format!("timeout={seconds}"));
            headers.insert(KEEP_ALIVE, value.expect("digits"));
        }
        put_reply(self.writer.buffer(), status, &headers);
    }

    /// Removes what only daemons tell each other from the headers of a replica's reply.
    fn strip_daemon_headers(&self, headers: &mut HeaderMap) {
        // A replica must not pass for a daemon.
        headers.remove(CODE);
        headers.remove(SENDS);
        if !self.states_code {
            headers.remove(REPLICA);
        }
    }

    /// Sends a complete reply that a replica has made.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn send_reply(
        &mut self,
        status: StatusCode,
        mut headers: HeaderMap,
        body: &[u8],
    ) -> io::Result<()> {
        self.strip_daemon_headers(&mut headers);
        self.send_whole(status, headers, body).await
    }

    /// Sends a complete reply.
    async fn send_whole(
        &mut self,
        status: StatusCode,
        mut headers: HeaderMap,
        body: &[u8],
    ) -> io::Result<()> {
        if let Some(sends) = self.sends {
            headers.insert(SENDS, sends.into());
        }
        self.put_head(status, headers, (header::CONTENT_LENGTH, body.len().into()));
        if permits_body(&self.method, status) {
            self.writer.buffer().extend_from_slice(body);
        }
        self.begun.set(true);
        self.writer.flush().await?;
        self.progress = Progress::Done;
        Ok(())
    }

    /// Sends an error reply that the daemon itself makes.
    ///
    /// `retry_after` is sent as the `Retry-After` header, in seconds with three decimals.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn send_error(
        &mut self,
        code: Code,
        retry_after: Option<Duration>,
    ) -> io::Result<()> {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let seconds = retry_after.map(|after| format!("{:.3}", after.as_secs_f64()));
        if let Some(value) = seconds.and_then(|text| HeaderValue::from_str(&text).ok()) {
            headers.insert(header::RETRY_AFTER, value);
        }
        if self.states_code {
            headers.insert(CODE, (code as u16).into());
        }
        let body = serde_json::json!({ "error": {
            "code": code as u16,
            "name": code.name(),
            "not_run": !code.may_have_run(),
        }});
        self.send_whole(code.status(), headers, body.to_string().as_bytes()).await
    }

    /// Prepares a stream and buffers its head, made from the head of a replica's reply; the
    /// next [`flush`](Self::flush) sends it. Until then, another reply may take its place.
    pub fn begin_stream(&mut self, status: StatusCode, mut headers: HeaderMap) {
        self.strip_daemon_headers(&mut headers);
        let chunked = HeaderValue::from_static("chunked");
        self.put_head(status, headers, (header::TRANSFER_ENCODING, chunked));
        self.has_body = permits_body(&self.method, status);
    }

    /// Buffers one event; the next [`flush`](Self::flush) sends it.
    pub fn buffer_event(&mut self, event: &[u8]) {
        if self.has_body {
            self.writer.put_chunk(event);
        }
    }

    /// Sends the buffered data.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn flush(&mut self) -> io::Result<()> {
        self.begun.set(true);
        self.progress = Progress::Streaming;
        self.writer.flush().await
    }

    /// Sends the buffered data and the end of a complete stream.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn end_stream(&mut self) -> io::Result<()> {
        if self.has_body {
            self.writer.put_last_chunk();
        }
        self.flush().await?;
        self.progress = Progress::Done;
        Ok(())
    }

    /// Shuts down the writing half of the connection.
    pub async fn shutdown(&mut self) {
        // An error means that the caller has already closed the connection.
        let _ = self.writer.shutdown().await;
    }
}
