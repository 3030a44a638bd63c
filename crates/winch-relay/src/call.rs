//! A caller's request, decoded.

use bytes::Bytes;
use http::{HeaderMap, Method};

use crate::prelude::*;

/// Size of a generation, as its caller states it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub max_answer_tokens: u64,
}

impl Size {
    /// Memory that the whole run may need.
    pub fn total(self) -> u64 {
        self.prompt_tokens + self.max_answer_tokens
    }
}

/// A caller's request, read to its end.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identity of this attempt of the caller.
    pub id: Option<Name>,
    /// The method.
    pub method: Method,
    /// The target as received.
    pub target: Name,
    /// The host that the caller names.
    pub host: Name,
    /// How long the caller waits, counted from `received_at`.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub api_key: Option<Name>,
    /// The last event that the caller has, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Size of a generation.
    pub size: Option<Size>,
    /// Headers that replicas receive unchanged.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When the head was read.
    pub received_at: Instant,
}

impl Call {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }

    /// The identity as text for logs.
    pub fn label(&self) -> &str {
        self.id.as_deref().unwrap_or("-")
    }
}
