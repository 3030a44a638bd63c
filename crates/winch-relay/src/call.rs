//! A caller's request, decoded from the platform's messages.

use std::collections::HashMap;

use bytes::Bytes;
use http::{HeaderMap, Method};
use winch_http::target::Target;

use crate::prelude::*;

/// Largest share of a caller's time that is kept back for the way of the reply.
const MAX_RESERVE_SHARE: f64 = 0.1;
/// Least time that is kept back, whatever its share.
const MIN_RESERVE: Duration = Duration::from_millis(10);

/// Size of a generation as its caller states it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Upper bound on the tokens of the answer.
    pub max_answer_tokens: u64,
}

impl Size {
    /// Upper bound on the KV cache of the run, in tokens: the prompt and the answer.
    pub fn total(self) -> u64 {
        self.prompt_tokens + self.max_answer_tokens
    }
}

/// A part of a prompt, which replicas keep in their KV cache under its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Id of the part; prompts that share the part name the same one.
    pub id: Name,
    /// Its length in tokens.
    pub tokens: u64,
}

/// Time from the receipt of a request until its reply must begin, if its caller waits for `timeout`.
///
/// The caller's time began when it sent the request, and ends when the reply has arrived. How long
/// the request was on its way cannot be seen here; both ways together take as long as a message on
/// its way through the daemon, at most `passing_time`.
pub fn reply_time(timeout: Duration, passing_time: Duration) -> Duration {
    let share = timeout.mul_f64(MAX_RESERVE_SHARE).max(MIN_RESERVE);
    timeout.saturating_sub(passing_time.min(share))
}

/// Share of a prompt that need not be read again where `held` parts are cached, 0 to 1.
///
/// A part counts only if all parts before it are cached, too.
pub fn cached_share(prompt: &[Part], held: &HashMap<Name, u64>) -> f64 {
    let total: u64 = prompt.iter().map(|part| part.tokens).sum();
    let mut cached = 0;
    for part in prompt {
        let tokens = held.get(&part.id).copied().unwrap_or(0).min(part.tokens);
        cached += tokens;
        if tokens < part.tokens {
            break;
        }
    }
    cached as f64 / total.max(1) as f64
}

/// A caller's request, read completely.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id that the caller gave the request; all attempts at replicas carry it.
    pub id: Option<Name>,
    /// HTTP method.
    pub method: Method,
    /// Request target as received: path and query.
    pub target: Target,
    /// Value of the `Host` header; empty if there is none.
    pub host: Name,
    /// How long the caller waits, counted from `received_at`; `None` if the caller sets no
    /// deadline.
    pub timeout: Option<Duration>,
    /// API key that identifies the caller's team.
    pub api_key: Option<Name>,
    /// Id of the last event that the caller has received, if the request resumes a stream.
    pub last_event: Option<u64>,
    /// Size of a generation, if stated.
    pub size: Option<Size>,
    /// Parts of the prompt in their order; empty if they are not stated.
    pub prompt: Vec<Part>,
    /// Headers that are forwarded to the replica unchanged.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// When the first byte of the request arrived.
    pub received_at: Instant,
}

impl Call {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }

    /// The earlier of the caller's deadline and that of a route with this timeout.
    pub fn deadline(&self, route_timeout: Duration) -> Instant {
        self.received_at + self.timeout.map_or(route_timeout, |limit| limit.min(route_timeout))
    }

    /// When the reply must begin: at the end of the route's timeout, or early enough to reach the
    /// caller before its deadline.
    pub fn reply_deadline(&self, route_timeout: Duration, passing_time: Duration) -> Instant {
        let limit = self.timeout.map(|timeout| reply_time(timeout, passing_time));
        self.received_at + limit.map_or(route_timeout, |limit| limit.min(route_timeout))
    }

    /// The tokens of the prompt, and the largest number of those of the answer, if stated.
    pub fn stated_tokens(&self) -> (Option<u64>, Option<u64>) {
        (self.size.map(|size| size.prompt_tokens), self.size.map(|size| size.max_answer_tokens))
    }

    /// The id for log lines; `-` if the caller gave none.
    pub fn label(&self) -> &str {
        self.id.as_deref().unwrap_or("-")
    }
}
