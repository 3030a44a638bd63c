//! One request on its way: what decides it, how it ended, and what happened.

use bytes::Bytes;
use winch_http::head::Reply;
use winch_move::evidence::Cohort;
use winch_route::suspect::Fingerprint;

use crate::{
    catalog::Key,
    node::Node,
    plan::{Route, Team},
    prelude::*,
    strikes,
};

/// A request with everything that decides its way.
#[derive(Clone, Debug)]
pub struct Job {
    /// The caller's request.
    pub call: Call,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that the route's shares gave it.
    pub service: Name,
    /// The caller's team.
    pub team: Option<Arc<Team>>,
    /// Which version it was drawn for, where its service is being moved.
    pub side: Cohort,
}

impl Job {
    /// When the request's time is over.
    pub fn deadline(&self) -> Instant {
        let timeout = self.route.timeout;
        self.call.received + self.call.patience.map_or(timeout, |p| p.min(timeout))
    }

    /// What the request is known by when it is blamed for a replica's death.
    pub fn fingerprint(&self) -> Fingerprint {
        strikes::fingerprint(&self.call, self.team.as_ref().map(|team| &team.name))
    }

    /// What is left of the caller's own time.
    pub fn left(&self, now: Instant) -> Option<Duration> {
        let end = self.call.received + self.call.patience?;
        Some(end.saturating_duration_since(now))
    }
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Ending {
    /// A replica's whole answer, success or failure.
    Answer {
        /// Head of the reply.
        reply: Reply,
        /// Its body.
        body: Bytes,
    },
    /// A refusal or failure of the daemon's own.
    Own(Code),
    /// The whole answer was sent while it was made.
    Streamed,
    /// A stream was broken off.
    Cut(Code),
    /// The caller has left.
    CallerGone,
}

/// What happened on the way, for the log.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Times the request was sent.
    pub sends: u32,
    /// Replicas that it was tried at, with the cause of each failure.
    pub steps: Vec<String>,
    /// Replicas that were tried.
    pub tried: Vec<Name>,
}

impl Trace {
    /// Notes a replica and what came of it.
    pub fn step(&mut self, replica: &Replica, result: impl std::fmt::Display) {
        self.steps.push(format!("{}@{}:{result}", replica.id, replica.dc));
    }
}

/// Counts a request of this daemon at a replica while it runs there.
pub struct Flight<'a, D: Dialect> {
    node: &'a Node<D>,
    key: Key,
}

impl<'a, D: Dialect> Flight<'a, D> {
    /// Counts the request until the value is dropped.
    pub fn new(node: &'a Node<D>, key: Key) -> Self {
        node.catalog().update(key, |entry| entry.in_flight += 1);
        Self { node, key }
    }
}

impl<D: Dialect> Drop for Flight<'_, D> {
    fn drop(&mut self) {
        self.node
            .catalog()
            .update(self.key, |entry| entry.in_flight = entry.in_flight.saturating_sub(1));
    }
}

/// Whether a reply on `connection` belongs to the request with identity `id`.
///
/// A late second answer to an earlier request bears the earlier identity.
pub fn belongs<D: Dialect>(node: &Node<D>, id: Option<&Name>, fresh: bool, reply: &Reply) -> bool {
    let facts = node.dialect.facts(reply);
    match (facts.id, id) {
        (Some(theirs), Some(ours)) => theirs == *ours,
        (Some(_), None) => false,
        (None, _) => fresh || !reply.status.is_success(),
    }
}
