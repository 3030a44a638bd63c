//! Splits a byte stream into server-sent events.
//!
//! A blank line ends an event. Events are forwarded byte for byte; only the `id` field is
//! decoded.

use bytes::{Bytes, BytesMut};

/// Largest event; a replica that sends more bytes without ending the event is faulty.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Raw bytes, including the blank line that ends the event.
    pub bytes: Bytes,
    /// Value of the `id` field, if it is present and a number.
    pub id: Option<u64>,
}

impl Event {
    /// Whether the event advances a stream whose last event had the id `last`. Comments, events
    /// that were received before, and events without an id in a stream that has ids do not.
    pub fn is_progress(&self, last: Option<u64>) -> bool {
        match self.id {
            Some(id) => last.is_none_or(|last| id > last),
            None => last.is_none() && self.has_data(),
        }
    }

    fn has_data(&self) -> bool {
        self.bytes.split(|byte| *byte == b'\n').any(|line| line.starts_with(b"data"))
    }
}

/// Collects received bytes and returns complete events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    /// Length of the prefix of `pending` in which no event ends.
    scanned: usize,
}

impl Splitter {
    /// Number of bytes of the event that has not ended yet.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Appends received bytes; `false` if the pending bytes now exceed the size limit of an
    /// event.
    pub fn push(&mut self, data: &[u8]) -> bool {
        self.pending.extend_from_slice(data);
        self.pending.len() <= MAX_EVENT_BYTES
    }

    /// Whether bytes of an incomplete event are pending.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Removes and returns the next complete event; `None` if there is none yet.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.pending.split_to(end).freeze();
        self.scanned = 0;
        let id = parse_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Length of the first pending event, with the blank line that ends it.
    fn find_end(&mut self) -> Option<usize> {
        // A terminator of up to four bytes may begin in the last three scanned bytes.
        let from = self.scanned.saturating_sub(3);
        let window = &self.pending[from..];
        let lf = window.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
        let crlf = window.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
        let end = match (lf, crlf) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (found, other) => found.or(other),
        };
        if end.is_none() {
            self.scanned = self.pending.len();
        }
        end.map(|end| from + end)
    }
}

fn parse_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
