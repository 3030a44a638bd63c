//! Encoding of an answer into response bytes for the caller: server-sent events or one JSON body.

use std::convert::Infallible;

use bytes::{Bytes, BytesMut};
use serde_json::json;
use tokio::sync::{mpsc, oneshot};
use winch_generation::{cursor, digest::Digest};

use super::job::Refusal;
use crate::prelude::*;

/// Chunk of a response body.
pub type Chunk = Result<Bytes, Infallible>;

/// Sent once per response: `Ok` when it begins, or the refusal to send in its place.
pub type Head = Result<(), Refusal>;

/// Unsent bytes that a slow caller may accumulate. At this limit no more events are read, so that
/// the engine has to wait for the caller.
const MAX_PENDING_BYTES: usize = 256 * 1024;

/// Encoder of one response, with a buffer of unsent bytes.
#[derive(Debug)]
pub struct Output {
    /// `None` once the response has begun or was refused.
    head: Option<oneshot::Sender<Head>>,
    sender: mpsc::Sender<Chunk>,
    /// Encoded bytes that are not sent yet.
    pending: BytesMut,
    /// Part of the event ids that is fixed while one replica serves the answer.
    stem: String,
    /// Replica named by the stem.
    source: Name,
    /// `id` of the response body, the request's id in hexadecimal.
    id: String,
    /// Whether the response has the chat completion format.
    chat: bool,
    /// Buffer for the event that is being encoded, reused to avoid allocations.
    scratch: String,
}

impl Output {
    /// Creates an output for the request with id `request`, with the receivers of the response
    /// head and body.
    pub fn new(request: u64, chat: bool) -> (Self, oneshot::Receiver<Head>, mpsc::Receiver<Chunk>) {
        let (head, head_receiver) = oneshot::channel();
        let (sender, receiver) = mpsc::channel(2);
        let output = Self {
            head: Some(head),
            sender,
            pending: BytesMut::new(),
            stem: String::new(),
            source: Name::default(),
            id: format!("{request:016x}"),
            chat,
            scratch: String::new(),
        };
        (output, head_receiver, receiver)
    }

    /// Whether event ids name this replica; false before the first [`Self::set_source`].
    pub fn is_from(&self, replica: &str) -> bool {
        !self.stem.is_empty() && &*self.source == replica
    }

    /// Sets the replica and the fixed part of subsequent event ids.
    pub fn set_source(&mut self, replica: Name, stem: String) {
        self.source = replica;
        self.stem = stem;
    }

    /// Whether the response has begun.
    pub fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Begins the response, unless it has begun.
    pub fn begin(&mut self) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Ok(()));
        }
    }

    /// Appends the event of one token. `offset` and `digest` of the event id include the token, and
    /// `key` authenticates the id.
    pub fn push_token(&mut self, text: &str, offset: usize, digest: Digest, key: &cursor::Key) {
        self.begin();
        self.scratch.clear();
        self.scratch.push_str("id: ");
        cursor::Cursor::write(&self.stem, offset, digest, key, &mut self.scratch);
        self.scratch.push_str("\ndata: ");
        self.push_choice(Some(text), None);
        self.pending.extend_from_slice(self.scratch.as_bytes());
    }

    /// Appends the end marker.
    pub fn push_end(&mut self) {
        self.begin();
        self.scratch.clear();
        self.scratch.push_str("data: ");
        self.push_choice(None, Some("length"));
        self.scratch.push_str("data: [DONE]\n\n");
        self.pending.extend_from_slice(self.scratch.as_bytes());
    }

    /// Appends the whole answer as one JSON body; `tokens` is its length in tokens.
    pub fn push_whole(&mut self, text: &str, tokens: usize) {
        self.begin();
        let (object, choice) = match self.chat {
            true => {
                ("chat.completion", json!({ "message": { "role": "assistant", "content": text } }))
            }
            false => ("text_completion", json!({ "text": text })),
        };
        let mut choice = choice;
        choice["index"] = json!(0);
        choice["finish_reason"] = json!("length");
        let usage = json!({ "completion_tokens": tokens });
        let body = json!({ "id": self.id, "object": object, "choices": [choice], "usage": usage });
        self.pending.extend_from_slice(body.to_string().as_bytes());
    }

    /// Reports an error: in place of the response if that has not begun, otherwise as its last
    /// event.
    pub fn fail(&mut self, refusal: Refusal) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Err(refusal));
            return;
        }
        let (code, message) = refusal;
        let event = format!("event: error\ndata: {}\n\n", code.body(&message));
        self.pending.extend_from_slice(event.as_bytes());
    }

    /// Appends the JSON of one choice and the end of the event to `scratch`.
    fn push_choice(&mut self, text: Option<&str>, finish: Option<&str>) {
        let text = serde_json::to_string(text.unwrap_or("")).expect("a string serialises to JSON");
        let finish = finish.map_or("null".to_owned(), |reason| format!("\"{reason}\""));
        let (object, field) = match self.chat {
            true => ("chat.completion.chunk", format!("\"delta\":{{\"content\":{text}}}")),
            false => ("text_completion", format!("\"text\":{text}")),
        };
        let parts = [
            "{\"id\":\"",
            &self.id,
            "\",\"object\":\"",
            object,
            "\",\"choices\":[{\"index\":0,",
            &field,
            ",\"finish_reason\":",
            &finish,
            "}]}\n\n",
        ];
        parts.iter().for_each(|part| self.scratch.push_str(part));
    }

    /// Whether the buffer is full because the caller reads slowly.
    pub fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING_BYTES
    }

    /// Whether the buffer holds unsent bytes.
    pub fn is_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Sends the whole buffer once the channel has room; false if the caller has disconnected.
    pub async fn flush(&mut self) -> bool {
        let Ok(permit) = self.sender.reserve().await else {
            return false;
        };
        permit.send(Ok(self.pending.split().freeze()));
        true
    }

    /// Waits until the caller disconnects.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}
