//! Splits a stream into whole events.

use bytes::{Bytes, BytesMut};

/// Longest event in bytes; more without an end is a fault of the replica.
const MAX_EVENT: usize = 256 * 1024;

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
    /// Its number, if it states one.
    pub id: Option<u64>,
}

/// Collects bytes into events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    scanned: usize,
}

impl Splitter {
    /// Adds bytes; `false` if an event is longer than the limit.
    pub fn push(&mut self, data: &[u8]) -> bool {
        self.pending.extend_from_slice(data);
        self.pending.len() <= MAX_EVENT
    }

    /// Whether bytes of an unfinished event are left.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.end()?;
        let bytes = self.pending.split_to(end).freeze();
        self.scanned = 0;
        let id = number(&bytes);
        Some(Event { bytes, id })
    }

    fn end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let window = &self.pending[from..];
        let feeds = window.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
        let returns = window.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
        let end = match (feeds, returns) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (found, other) => found.or(other),
        };
        if end.is_none() {
            self.scanned = self.pending.len();
        }
        end.map(|end| from + end)
    }
}

fn number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
