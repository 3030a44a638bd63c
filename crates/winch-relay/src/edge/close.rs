//! Why a caller's connection was closed, for the log and the counters.

use crate::{counter, prelude::*};

/// Why a caller's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Close {
    /// The caller closed it between two requests.
    Caller,
    /// It was idle for longer than the limit.
    Idle,
    /// It was idle while the daemon stopped.
    Stopping,
    /// The last reply announced it.
    Announced,
    /// A request did not arrive completely in time.
    SlowRequest,
    /// The connection ended within a request.
    Incomplete,
    /// The bytes that arrived are not an acceptable request.
    Unreadable,
    /// No memory was left for the body of a request.
    NoRoom,
    /// A request ended without a complete reply, or its caller left.
    Unanswered,
}

impl Close {
    /// Name in logs and metric labels.
    fn name(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Idle => "idle",
            Self::Stopping => "stopping",
            Self::Announced => "announced",
            Self::SlowRequest => "slow_request",
            Self::Incomplete => "incomplete",
            Self::Unreadable => "unreadable",
            Self::NoRoom => "no_room",
            Self::Unanswered => "unanswered",
        }
    }

    /// Whether the caller knew that the connection would be closed.
    fn is_expected(self) -> bool {
        matches!(self, Self::Caller | Self::Announced)
    }

    /// Counts the close, and logs it unless the caller expected it.
    pub(super) fn record(self, usage: &Usage) {
        counter::closed(self.name());
        if self.is_expected() {
            return;
        }
        emit!(
            Event::ConnectionClosed,
            reason = self.name(),
            requests = usage.requests,
            last_request = usage.last_request.as_deref().unwrap_or("-"),
            idle_ms = usage.idle_since.elapsed().as_millis()
        );
    }
}

/// What a caller's connection was used for.
#[derive(Debug)]
pub(super) struct Usage {
    /// Number of requests that were read.
    pub(super) requests: u32,
    /// Id of the last request that was read.
    pub(super) last_request: Option<Name>,
    /// When the connection was opened or the last request on it ended.
    pub(super) idle_since: Instant,
}

impl Usage {
    /// The usage of a new connection.
    pub(super) fn new() -> Self {
        Self { requests: 0, last_request: None, idle_since: Instant::now() }
    }

    /// Counts a request that was read.
    pub(super) fn begin(&mut self, id: Option<Name>) {
        self.requests += 1;
        self.last_request = id;
    }

    /// Starts the idle time after a request.
    pub(super) fn end(&mut self) {
        self.idle_since = Instant::now();
    }
}
