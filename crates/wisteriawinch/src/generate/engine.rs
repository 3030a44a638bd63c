//! What the daemon needs from a model engine, whatever its protocol.

use std::{future::Future, net::SocketAddr};

use futures_util::Stream;
use snafu::Snafu;

/// One attempt to be made by an engine.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Names the request over all its attempts.
    pub request: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens already accepted, to be fed again.
    pub accepted: Vec<String>,
    /// Tokens of the whole answer.
    pub max_tokens: usize,
    /// Lower is more urgent.
    pub priority: u8,
    /// The version that must run it.
    pub version: String,
    /// True to attach only to a generation that is still running there.
    pub attach: bool,
}

/// What an engine tells while it generates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// One token.
    Token {
        /// Its place in the answer.
        offset: usize,
        /// Its text.
        text: String,
    },
    /// Calls that the engine holds, running and waiting.
    Load(u32),
    /// The answer is complete with this many tokens.
    End(usize),
}

/// Why an attempt ended without the end mark.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No connection could be made; nothing was sent.
    #[snafu(display("the engine cannot be reached"))]
    Unreachable,
    /// The engine refused because it is busy.
    #[snafu(display("the engine is busy"))]
    Busy,
    /// The engine runs another version.
    #[snafu(display("the engine runs another version"))]
    WrongVersion,
    /// The generation to attach to is not there.
    #[snafu(display("the engine no longer holds the generation"))]
    Gone,
    /// The engine answered with an error of its own.
    #[snafu(display("the engine failed with status {status}"))]
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// The connection broke, or the stream closed without the end mark.
    #[snafu(display("the connection broke"))]
    Broken,
    /// The engine sent something that is not of the protocol.
    #[snafu(display("the engine broke the protocol"))]
    Protocol,
}

impl Error {
    /// Label of the retry counter.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Busy => "busy",
            Self::WrongVersion => "wrong_version",
            Self::Gone => "gone",
            Self::Failed { .. } => "failed",
            Self::Broken => "broken",
            Self::Protocol => "protocol",
        }
    }
}

/// Events that arrived together, or the end of the attempt.
pub type Batch = Result<Vec<Event>, Error>;

/// A protocol towards model engines.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Events of one attempt. Dropping it ends the attempt's connection.
    type Stream: Stream<Item = Batch> + Unpin + Send;

    /// Starts an attempt.
    fn submit(&self, target: SocketAddr, submission: Submission) -> Self::Stream;

    /// Asks an engine to stop a request; best effort.
    fn cancel(&self, target: SocketAddr, request: &str) -> impl Future<Output = ()> + Send;

    /// Whether nothing listens at the engine's address any more.
    fn is_dead(&self, target: SocketAddr) -> impl Future<Output = bool> + Send;
}
