//! What the caller of a generation receives.

use std::convert::Infallible;

use bytes::{Bytes, BytesMut};
use serde_json::json;
use tokio::sync::{mpsc, oneshot};
use winch_generation::{cursor, digest::Digest};

use super::job::Refusal;
use crate::prelude::*;

/// Chunks of a streamed answer.
pub type Chunk = Result<Bytes, Infallible>;

/// Told once: that the answer has begun, or why it has not.
pub type Head = Result<(), Refusal>;

/// Bytes that a slow reader may leave waiting before its engine is made to wait.
const MOST_PENDING: usize = 256 * 1024;

/// A streamed answer on its way to the caller.
#[derive(Debug)]
pub struct Output {
    head: Option<oneshot::Sender<Head>>,
    sender: mpsc::Sender<Chunk>,
    pending: BytesMut,
    stem: String,
    source: Name,
    id: String,
    chat: bool,
    scratch: String,
}

impl Output {
    /// An output and what its caller reads from.
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

    /// Whether the event ids already name this replica.
    pub fn is_from(&self, replica: &str) -> bool {
        !self.stem.is_empty() && &*self.source == replica
    }

    /// Sets the replica and the fixed part of the event ids from now on.
    pub fn set_source(&mut self, replica: Name, stem: String) {
        self.source = replica;
        self.stem = stem;
    }

    /// Whether anything has reached the caller.
    pub fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Tells the caller that the answer begins.
    pub fn begin(&mut self) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Ok(()));
        }
    }

    /// Adds one token; `offset` and `digest` are those after it.
    pub fn token(&mut self, text: &str, offset: usize, digest: Digest, key: &cursor::Key) {
        self.begin();
        self.scratch.clear();
        self.scratch.push_str("id: ");
        cursor::Cursor::write(&self.stem, offset, digest, key, &mut self.scratch);
        self.scratch.push_str("\ndata: ");
        self.choice(Some(text), None);
        self.pending.extend_from_slice(self.scratch.as_bytes());
    }

    /// Adds the end mark.
    pub fn end(&mut self) {
        self.begin();
        self.scratch.clear();
        self.scratch.push_str("data: ");
        self.choice(None, Some("length"));
        self.scratch.push_str("data: [DONE]\n\n");
        self.pending.extend_from_slice(self.scratch.as_bytes());
    }

    /// Delivers a whole answer as one JSON body.
    pub fn whole(&mut self, text: &str, tokens: usize) {
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

    /// Ends the answer with an error: as the response itself, or as its last event.
    pub fn fail(&mut self, refusal: Refusal) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Err(refusal));
            return;
        }
        let (code, message) = refusal;
        let event = format!("event: error\ndata: {}\n\n", code.body(&message));
        self.pending.extend_from_slice(event.as_bytes());
    }

    fn choice(&mut self, text: Option<&str>, finish: Option<&str>) {
        let text = serde_json::to_string(text.unwrap_or("")).expect("text is always valid JSON");
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

    /// Whether the caller reads too slowly to take more.
    pub fn is_full(&self) -> bool {
        self.pending.len() >= MOST_PENDING
    }

    /// Whether bytes wait to be sent.
    pub fn is_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Waits until bytes could be sent, or the caller left; true if they were sent.
    pub async fn flush(&mut self) -> bool {
        let Ok(permit) = self.sender.reserve().await else {
            return false;
        };
        permit.send(Ok(self.pending.split().freeze()));
        true
    }

    /// Waits until the caller is gone.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}
