//! Detects requests that crash the replicas that run them.
//!
//! When a replica crashes before it has answered anything, the request that was sent to it
//! gets a strike. A stream that must not be repeated gets one even if the replica crashes
//! after it has yielded events. Daemons share their strikes; a request with several strikes
//! is refused before it is sent to a replica.

use std::collections::VecDeque;

use winch_route::suspect::{self, Crash, Disposition, Fingerprint, Options, Tracker};

use crate::{counter, job::Job, node::Node, peer, prelude::*, probe};

/// Number of recent strikes that are kept for sending to other daemons.
const MAX_RECENT_STRIKES: usize = 256;

/// Evidence that a request crashed a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// The crash that is attributed to it.
    pub crash: Crash,
}

/// All strikes known to this daemon.
#[derive(Debug)]
pub struct Strikes {
    tracker: Tracker,
    /// Start of the time that `tracker` uses.
    origin: Instant,
    /// The newest strikes, oldest first.
    recent: VecDeque<Strike>,
    /// Number of strikes that were removed from `recent`.
    dropped: usize,
}

impl Strikes {
    /// Creates an empty set of strikes; times are measured from `origin`.
    pub fn new(origin: Instant) -> Self {
        let tracker = Tracker::new(Options::default());
        Self { tracker, origin, recent: VecDeque::new(), dropped: 0 }
    }

    fn since_origin(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.origin)
    }

    /// Records a crash that this daemon has observed, and returns whether and how the request
    /// may still run.
    pub fn record_crash(&mut self, strike: Strike, now: Instant) -> Disposition {
        let at = self.since_origin(now);
        if !self.tracker.record_crash(strike.crash, &[strike.request], at).is_empty() {
            self.push_recent(strike);
        }
        self.tracker.disposition(strike.request, at)
    }

    /// Applies a strike received from another daemon, and returns whether it was new.
    pub fn apply(&mut self, strike: Strike, now: Instant) -> bool {
        let at = self.since_origin(now);
        let is_new = self.tracker.record_strike(strike.request, strike.crash, at);
        if is_new {
            self.push_recent(strike);
        }
        is_new
    }

    fn push_recent(&mut self, strike: Strike) {
        self.recent.push_back(strike);
        if self.recent.len() > MAX_RECENT_STRIKES {
            self.recent.pop_front();
            self.dropped += 1;
        }
    }

    /// Whether no request has a strike.
    pub fn is_empty(&self) -> bool {
        self.tracker.is_empty()
    }

    /// Whether and how a request may run at `now`.
    pub fn disposition(&self, request: Fingerprint, now: Instant) -> Disposition {
        self.tracker.disposition(request, self.since_origin(now))
    }

    /// Records that a request ran to its end, which removes its strikes.
    pub fn record_completion(&mut self, request: Fingerprint) {
        self.tracker.record_completion(request);
    }

    /// The strikes that followed the first `count` ones, as far as they are kept, and the
    /// number of all strikes so far; the next call takes this number as its `count`.
    pub fn after(&self, count: usize) -> (Vec<Strike>, usize) {
        let skipped = count.saturating_sub(self.dropped);
        let strikes = self.recent.iter().skip(skipped).copied().collect();
        (strikes, self.dropped + self.recent.len())
    }
}

/// The fingerprint of a request, which is the same when its caller sends it again.
pub fn fingerprint(call: &Call, team: Option<&Name>) -> Fingerprint {
    let body = String::from_utf8_lossy(&call.body);
    suspect::fingerprint(team.map_or("", |team| team), &call.target, &body)
}

/// Attributes the crash of `replica` to a request, if a probe finds the replica dead.
///
/// Called when an attempt failed before the replica sent a complete usable reply or, for a
/// stream, an event. Returns whether and how the request may still run.
pub async fn attribute_crash<P: Protocol>(
    node: &Arc<Node<P>>,
    job: &Job,
    replica: &Replica,
) -> Disposition {
    attribute_crash_to(node, job, replica).await
}

/// Like [`attribute_crash`], in a separate task that does not delay the caller's answer.
///
/// Called for requests that must not be repeated; for a stream, even after the attempt has
/// yielded events.
pub fn attribute_crash_later<P: Protocol>(node: &Arc<Node<P>>, job: &Job, replica: &Arc<Replica>) {
    let (node, job, replica) = (node.clone(), job.clone(), replica.clone());
    let tasks = node.tasks.clone();
    tasks.spawn(async move { attribute_crash_to(&node, &job, &replica).await });
}

async fn attribute_crash_to<P: Protocol>(
    node: &Arc<Node<P>>,
    job: &Job,
    replica: &Replica,
) -> Disposition {
    let request = job.fingerprint();
    if probe::is_alive(node, replica).await {
        return node.strikes().disposition(request, Instant::now());
    }
    let incarnation = format!("{}/{}", replica.id, replica.started_at_ms.unwrap_or_default());
    let strike = Strike { request, crash: Crash(winch_route::hash::name(&incarnation)) };
    let disposition = node.strikes().record_crash(strike, Instant::now());
    emit!(
        Event::RequestSuspected,
        request = job.call.label(),
        parts = job.call.prompt.iter().map(|part| &*part.id).collect::<Vec<_>>().join(","),
        replica = replica.id,
        dc = replica.dc,
        standing = format!("{disposition:?}")
    );
    counter::strike_added("own");
    node.announce_strike();
    let reporter = node.clone();
    node.tasks.spawn(async move { peer::report_strike(&reporter, strike).await });
    disposition
}
