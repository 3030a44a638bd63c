//! Answers to one caller.

use std::io;

use http::{HeaderMap, HeaderValue, StatusCode, header};
use tokio::io::AsyncWrite;
use winch_http::{
    head::{put_reply, strip_hop_by_hop},
    server::Writer,
};

use crate::prelude::*;

/// How far the answer to the current request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing was sent.
    Waiting,
    /// A stream has begun.
    Streaming,
    /// The answer is complete.
    Done,
}

/// Writes the answers of one connection.
#[derive(Debug)]
pub struct Responder<W> {
    writer: Writer<W>,
    progress: Progress,
    close: bool,
}

impl<W: AsyncWrite + Unpin> Responder<W> {
    /// A responder for a new connection.
    pub fn new(io: W) -> Self {
        Self { writer: Writer::new(io), progress: Progress::Waiting, close: false }
    }

    /// Begins the answer to a new request.
    pub fn begin(&mut self, close: bool) {
        self.progress = Progress::Waiting;
        self.close = close;
    }

    /// How far the answer has come.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Whether the connection stays open after this answer.
    pub fn keeps_alive(&self) -> bool {
        !self.close && self.progress == Progress::Done
    }

    /// Announces that the connection closes after this answer.
    pub fn close_after(&mut self) {
        self.close = true;
    }

    /// Tells the caller that it may send the body.
    ///
    /// # Errors
    /// If the caller is gone.
    pub async fn send_continue(&mut self) -> io::Result<()> {
        put_reply(self.writer.buffer(), StatusCode::CONTINUE, &HeaderMap::new());
        self.writer.flush().await
    }

    fn put_head(&mut self, status: StatusCode, mut headers: HeaderMap, framing: (&str, &str)) {
        strip_hop_by_hop(&mut headers, &[]);
        headers.remove(header::CONTENT_LENGTH);
        let (name, value) = framing;
        let name = header::HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.insert(name, value);
        }
        if self.close {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        put_reply(self.writer.buffer(), status, &headers);
    }

    /// Sends a whole answer.
    ///
    /// # Errors
    /// If the caller is gone.
    pub async fn send_reply(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: &[u8],
    ) -> io::Result<()> {
        let length = body.len().to_string();
        self.put_head(status, headers, ("content-length", &length));
        self.writer.buffer().extend_from_slice(body);
        self.writer.flush().await?;
        self.progress = Progress::Done;
        Ok(())
    }

    /// Sends a refusal or failure of the daemon's own.
    ///
    /// # Errors
    /// If the caller is gone.
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
        let body = serde_json::json!({ "error": {
            "code": code as u16,
            "name": code.name(),
            "not_run": !code.may_have_run(),
        }});
        self.send_reply(code.status(), headers, body.to_string().as_bytes()).await
    }

    /// Begins a stream with the head of its first replica.
    pub fn begin_stream(&mut self, status: StatusCode, headers: HeaderMap) {
        self.put_head(status, headers, ("transfer-encoding", "chunked"));
        self.progress = Progress::Streaming;
    }

    /// Adds one event; it is sent by the next [`flush`](Self::flush).
    pub fn put_event(&mut self, event: &[u8]) {
        self.writer.put_chunk(event);
    }

    /// Sends what was added.
    ///
    /// # Errors
    /// If the caller is gone.
    pub async fn flush(&mut self) -> io::Result<()> {
        self.writer.flush().await
    }

    /// Ends a stream that is complete.
    ///
    /// # Errors
    /// If the caller is gone.
    pub async fn end_stream(&mut self) -> io::Result<()> {
        self.writer.put_last_chunk();
        self.writer.flush().await?;
        self.progress = Progress::Done;
        Ok(())
    }

    /// Closes the sending direction.
    pub async fn shutdown(&mut self) {
        // The caller may already be gone, which is as good.
        let _ = self.writer.shutdown().await;
    }
}
