//! A request while the daemon handles it: its route and service, its deadlines and its outcome.

use std::{future::Future, num::NonZeroU32, pin::pin};

use bytes::Bytes;
use tokio::time::timeout_at;
use winch_http::head::Reply;
use winch_move::evidence::Cohort;
use winch_route::{quarantine::Part, suspect::Fingerprint};

use crate::{
    catalog::Key,
    config::{Route, Semantics, Team},
    node::Node,
    prelude::*,
    priority::Priority,
    strikes,
};

/// A request with everything that decides which replicas may run it.
#[derive(Clone, Debug)]
pub struct Job {
    /// The caller's request.
    pub call: Call,
    /// The route that matched it.
    pub route: Arc<Route>,
    /// Version of the configuration that admitted the request.
    pub version: u64,
    /// Service drawn from the route's shares.
    pub service: Name,
    /// The caller's team.
    pub team: Option<Arc<Team>>,
    /// Priority among the requests of the service.
    pub priority: Priority,
    /// Parts of the prompt that other requests may hold, too.
    pub shared_parts: Arc<[Part]>,
    /// Whether the request may run once although a part of its prompt is quarantined.
    pub is_trial: bool,
    /// Whether another daemon has passed the request on, so that it is not passed on again.
    pub is_forwarded: bool,
    /// Number of sends after which a lookup or an order is sent no more, with those of other daemons.
    pub max_sends: u32,
    /// When the reply must begin, so that it reaches the caller before its deadline.
    pub reply_deadline: Instant,
    /// Version of the service, old or new, for which the request was drawn while the service
    /// is moved.
    pub cohort: Cohort,
}

impl Job {
    /// When an answer that has begun ends: at the earlier of the caller's deadline and the route's.
    ///
    /// The route's timeout is that of the version which admitted the request, or of the one now in
    /// force if that allows more time: its caller cannot know which of the two holds.
    pub fn deadline<P: Protocol>(&self, node: &Node<P>) -> Instant {
        let config = node.config();
        let route = config.as_ref().and_then(|c| c.route(&self.call.host, self.call.path()));
        let current = route.map_or(Duration::ZERO, |route| route.timeout);
        self.call.deadline(current.max(self.route.timeout))
    }

    /// Runs `work` on an answer until it completes; `None` if the answer's deadline passes before,
    /// which may be prolonged meanwhile.
    pub async fn until_deadline<P: Protocol, T>(
        &self,
        node: &Node<P>,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let mut work = pin!(work);
        loop {
            let deadline = self.deadline(node);
            let completed = timeout_at(deadline, work.as_mut()).await.ok();
            if completed.is_some() || self.deadline(node) <= deadline {
                return completed;
            }
        }
    }

    /// Whether a daemon to which the request is passed on gives back what it has earned if the request
    /// has not run there. A stream asks again, and its sends are paid for each time.
    pub fn returns_retry(&self) -> bool {
        !matches!(self.route.semantics, Semantics::Stream { .. })
    }

    /// The key under which strikes against the request are counted.
    pub fn fingerprint(&self) -> Fingerprint {
        strikes::fingerprint(&self.call, self.team.as_ref().map(|team| &team.name))
    }

    /// Time left until the reply must begin; `None` if the caller set no deadline.
    pub fn time_to_reply(&self, now: Instant) -> Option<Duration> {
        self.call.timeout.map(|_| self.reply_deadline.saturating_duration_since(now))
    }

    /// The caller's own deadline; `None` if the caller set none.
    pub fn caller_deadline(&self) -> Option<Instant> {
        self.call.timeout.map(|timeout| self.call.received_at + timeout)
    }

    /// Time left until the caller's own deadline; `None` if the caller set none.
    pub fn time_to_deadline(&self, now: Instant) -> Option<Duration> {
        Some(self.caller_deadline()?.saturating_duration_since(now))
    }
}

/// What a daemon tells of the sends of a request that it passes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sends {
    /// Number of times that the request was sent to replicas.
    pub made: u32,
    /// Number of sends, with these, after which it is sent no more; `None` if only the route's limit
    /// holds.
    pub max: Option<NonZeroU32>,
}

impl Sends {
    /// Number of sends that the daemon may make to which the request is passed on.
    pub fn left(self) -> u32 {
        self.max.map_or(0, |max| max.get().saturating_sub(self.made))
    }

    /// The limit of the sends, which is not above that of the route.
    pub fn limit(self, max_attempts: u32) -> u32 {
        self.max.map_or(max_attempts, |max| max.get().min(max_attempts))
    }
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A complete reply of a replica, successful or not, that is yet to be sent.
    Answer {
        /// Head of the reply.
        reply: Reply,
        /// Its body.
        body: Bytes,
    },
    /// An error reply that the daemon itself makes and is yet to send. The code is why the request was
    /// given up; [`Trace::conclude()`](crate::trace::Trace::conclude) decides what the reply says.
    Error(Code),
    /// An error reply for a request that was shed before it was sent to a replica.
    Shed {
        /// The code of the reply.
        code: Code,
        /// How long the caller should wait before it sends the request again.
        retry_after: Duration,
    },
    /// A stream that was forwarded to its end.
    Streamed,
    /// A stream that was given up after it had started. The connection is closed without the
    /// end of the stream, so that the caller does not take the stream for a complete one.
    Aborted(Code),
    /// The caller closed the connection.
    CallerGone,
}

impl Outcome {
    /// The outcome as the log names it: the status of a reply, or the code's name.
    pub fn result(&self) -> &str {
        match self {
            Self::Answer { reply, .. } => reply.status.as_str(),
            Self::Error(code) | Self::Shed { code, .. } | Self::Aborted(code) => code.name(),
            Self::Streamed => "200",
            Self::CallerGone => "caller_gone",
        }
    }

    /// Whether a replica has run the request to its end with a success, which shows that the request
    /// crashes none.
    pub fn shows_completion(&self) -> bool {
        match self {
            Self::Answer { reply, .. } => reply.status.is_success(),
            Self::Streamed => true,
            Self::Error(_) | Self::Shed { .. } | Self::Aborted(_) | Self::CallerGone => false,
        }
    }

    /// Whether the request counts as failed in the log and the metrics. One whose caller has left does
    /// not, although nothing is known of its end.
    pub fn is_failed(&self) -> bool {
        match self {
            Self::Answer { reply, .. } => !reply.status.is_success(),
            Self::Error(_) | Self::Shed { .. } | Self::Aborted(_) => true,
            Self::Streamed | Self::CallerGone => false,
        }
    }
}

/// Guard that counts a request of this daemon as in flight at a replica.
pub struct InFlightGuard<'a, P: Protocol> {
    node: &'a Node<P>,
    key: Key,
}

impl<'a, P: Protocol> InFlightGuard<'a, P> {
    /// Counts a request at the replica with `key` until the guard is dropped.
    pub fn new(node: &'a Node<P>, key: Key) -> Self {
        node.catalog().update(key, |entry| entry.in_flight += 1);
        Self { node, key }
    }
}

impl<P: Protocol> Drop for InFlightGuard<'_, P> {
    fn drop(&mut self) {
        self.node
            .catalog()
            .update(self.key, |entry| entry.in_flight = entry.in_flight.saturating_sub(1));
    }
}
