//! Interface to a model engine, independent of its protocol.

use std::{future::Future, net::SocketAddr};

use futures_util::Stream;
use snafu::Snafu;

/// Request for one attempt at an answer.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Id of the request, the same for all its attempts.
    pub request: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens of the answer accepted so far, which the engine prefills after the prompt.
    pub accepted: Vec<String>,
    /// Number of tokens of the whole answer, including the accepted ones.
    pub max_tokens: usize,
    /// Priority in the engine's queue; lower is more urgent.
    pub priority: u8,
    /// Version that the engine must run; an engine with another version refuses the attempt.
    pub version: String,
    /// Whether to attach to a generation of this request that the engine still holds, instead
    /// of starting one.
    pub attach: bool,
}

/// Event in the stream of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// One token.
    Token {
        /// Index of the token in the answer.
        offset: usize,
        /// Text of the token.
        text: String,
    },
    /// Number of calls that the engine holds, running and queued.
    Load(u32),
    /// End marker: the answer is complete with this number of tokens.
    End(usize),
}

/// Why an attempt ended without the end marker.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No connection could be made; nothing was sent.
    #[snafu(display("the engine cannot be reached"))]
    Unreachable,
    /// The engine is busy and refused the attempt.
    #[snafu(display("the engine is busy"))]
    Busy,
    /// The engine runs another version.
    #[snafu(display("the engine runs another version"))]
    WrongVersion,
    /// The engine does not hold the generation to attach to.
    #[snafu(display("the engine no longer holds the generation"))]
    Gone,
    /// The engine answered with another error status.
    #[snafu(display("the engine answered with status {status}"))]
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// The connection broke, or the stream closed without the end marker.
    #[snafu(display("the connection to the engine broke before the end marker"))]
    Broken,
    /// The engine sent data that violates the protocol.
    #[snafu(display("the engine violated the protocol"))]
    Protocol,
}

impl Error {
    /// Label value of the retry counter.
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

/// Events that were received together, or the error that ended the attempt.
pub type Batch = Result<Vec<Event>, Error>;

/// Client of model engines that speak one protocol.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Stream of the events of one attempt. Dropping it closes the attempt's connection.
    type Stream: Stream<Item = Batch> + Unpin + Send;

    /// Starts an attempt on the engine at `target`. An error, also of the connection, is the last
    /// item of the stream.
    fn submit(&self, target: SocketAddr, submission: Submission) -> Self::Stream;

    /// Asks an engine to cancel a request; failures are ignored.
    fn cancel(&self, target: SocketAddr, request: &str) -> impl Future<Output = ()> + Send;

    /// Whether connecting to the engine fails, which is taken as a crash of the engine. A
    /// connection that is only slow does not count as failed.
    fn is_dead(&self, target: SocketAddr) -> impl Future<Output = bool> + Send;
}
