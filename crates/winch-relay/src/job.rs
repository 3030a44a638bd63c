//! A request while the daemon handles it: its route and service, its deadlines, its
//! attempts and its outcome.

use std::{future::Future, pin::pin};

use bytes::Bytes;
use tokio::time::timeout_at;
use winch_http::head::Reply;
use winch_move::evidence::Cohort;
use winch_route::{quarantine::Part, suspect::Fingerprint};

use crate::{
    catalog::Key,
    config::{Route, Team},
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
    /// An error reply that the daemon itself makes and is yet to send.
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

    /// Whether the caller gets no answer of a replica that is a success.
    pub fn is_failed(&self) -> bool {
        match self {
            Self::Answer { reply, .. } => !reply.status.is_success(),
            Self::Error(_) | Self::Shed { .. } | Self::Aborted(_) => true,
            Self::Streamed | Self::CallerGone => false,
        }
    }
}

/// What a request was doing when it was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A replica was being chosen or connected to; nobody had the request.
    Choosing,
    /// Somebody had the request and had yielded nothing of the answer.
    Sent,
    /// Somebody had the request and had yielded a part of the answer.
    Running,
}

impl Phase {
    /// The phase as the log and the metrics name it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Choosing => "choosing",
            Self::Sent => "sent",
            Self::Running => "running",
        }
    }
}

/// Attempts made for one request; for the log and for the choice of further replicas.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Number of times that the request was sent, without failed connections.
    pub sends: u32,
    /// Result of each attempt, as `replica@dc:result`.
    pub steps: Vec<String>,
    /// Who has the request and has not replied yet, as `replica@dc` or the address of a daemon.
    pub pending: Option<String>,
    /// Who has the request, too, and is late; named in the same way.
    pub late: Vec<String>,
    /// Whether an attempt that has ended may have run the request.
    pub may_have_run: bool,
    /// The complete error reply of a replica, for the caller if no other attempt succeeds.
    pub error_reply: Option<(Reply, Bytes)>,
    /// Whether other daemons were asked to take the request.
    pub was_forwarded: bool,
    /// Ids of the replicas that are not chosen again for the request, unless they hold the
    /// KV cache copy from which it continues.
    pub excluded: Vec<Name>,
    /// Time from the receipt of the request to the first event of its stream.
    pub first_event: Option<Duration>,
    /// Longest time between two events of the stream.
    pub longest_gap: Duration,
    /// When whoever has the request yielded the first event of its run.
    pub run_began_at: Option<Instant>,
    /// When the last event of the stream was received, from whomever.
    pub last_event_at: Option<Instant>,
    /// What the request was doing when it was interrupted; `None` if it was not.
    pub interrupted_in: Option<Phase>,
}

impl Trace {
    /// Records that a run of the request begins, from which no event has been received.
    pub fn begin_run(&mut self) {
        self.run_began_at = None;
    }

    /// Records events of the run that were received at `now`. Returns when its first ones were.
    pub fn record_event(&mut self, now: Instant) -> Instant {
        self.last_event_at = Some(now);
        *self.run_began_at.get_or_insert(now)
    }

    /// Records what the request is doing, which is interrupted now. Returns it.
    pub fn record_phase(&mut self) -> Phase {
        let is_pending = self.pending.is_some() || !self.late.is_empty();
        let phase = match (is_pending, self.run_began_at) {
            (false, _) => Phase::Choosing,
            (true, None) => Phase::Sent,
            (true, Some(_)) => Phase::Running,
        };
        *self.interrupted_in.insert(phase)
    }

    /// Records that the request is being sent to `replica`.
    pub fn send(&mut self, replica: &Replica) {
        self.sends += 1;
        self.expect(replica);
    }

    /// Records that `replica` has the request and is expected to answer.
    pub fn expect(&mut self, replica: &Replica) {
        self.pending = Some(format!("{}@{}", replica.id, replica.dc));
    }

    /// Records that whoever has the request is late.
    pub fn expect_late(&mut self) {
        self.late.extend(self.pending.take());
    }

    /// Records that the request is interrupted because of `cause`: those who have it are not waited
    /// for any longer. Returns what it was doing.
    pub fn interrupt(&mut self, cause: &str) -> Phase {
        let phase = self.record_phase();
        self.leave_pending(cause);
        phase
    }

    /// Records that another attempt has decided the request.
    pub fn supersede(&mut self) {
        self.leave_pending("superseded");
    }

    fn leave_pending(&mut self, cause: &str) {
        for pending in self.late.drain(..).chain(self.pending.take()) {
            self.steps.push(format!("{pending}:{cause}"));
            self.may_have_run = true;
        }
    }

    /// The error reply of a request that is given up because of `code`: it says that the request has
    /// not run only if that is certain.
    pub fn error(&self, code: Code) -> Outcome {
        let code = match (code, self.may_have_run) {
            (Code::TimedOut | Code::Expired, true) => Code::TimedOut,
            (Code::TimedOut | Code::Expired, false) => Code::Expired,
            (_, true) => Code::Broken,
            (code, false) => code,
        };
        Outcome::Error(code)
    }

    /// Records the result of whoever had the request, as [`Self::pending`] names it.
    pub fn record_end(&mut self, name: &str, result: impl std::fmt::Display) {
        match self.late.iter().position(|late| late == name) {
            Some(index) => drop(self.late.remove(index)),
            None => self.pending = None,
        }
        self.steps.push(format!("{name}:{result}"));
    }

    /// Records the result of an attempt at `replica`.
    pub fn record(&mut self, replica: &Replica, result: impl std::fmt::Display) {
        self.record_end(&format!("{}@{}", replica.id, replica.dc), result);
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
