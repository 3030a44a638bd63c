//! Requests that crash the replicas that run them.
//!
//! A replica that dies before it has answered anything strikes the request that
//! it had just been sent. Strikes spread between daemons; a request with several
//! of them is refused before it is sent anywhere.

use std::collections::VecDeque;

use winch_route::suspect::{self, Crash, Disposition, Fingerprint, Options, Tracker};

use crate::{counter, job::Job, node::Node, peer, prelude::*, probe};

/// Strikes that are kept to be told to other daemons.
const MAX_TOLD: usize = 256;

/// One strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    /// The request.
    pub request: Fingerprint,
    /// The death of a replica that it is blamed for.
    pub death: Crash,
}

/// The strikes that this daemon knows.
#[derive(Debug)]
pub struct Strikes {
    board: Tracker,
    origin: Instant,
    recent: VecDeque<Strike>,
    /// Number of strikes that are no longer in `recent`.
    dropped: usize,
}

impl Strikes {
    /// No strikes; times count from `origin`.
    pub fn new(origin: Instant) -> Self {
        let board = Tracker::new(Options::default());
        Self { board, origin, recent: VecDeque::new(), dropped: 0 }
    }

    fn since_origin(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.origin)
    }

    /// Notes a death that this daemon has seen; how the request may run now.
    pub fn death(&mut self, strike: Strike, now: Instant) -> Disposition {
        let at = self.since_origin(now);
        if !self.board.record_crash(strike.death, &[strike.request], at).is_empty() {
            self.keep(strike);
        }
        self.board.disposition(strike.request, at)
    }

    /// Takes in a strike that another daemon told.
    pub fn told(&mut self, strike: Strike, now: Instant) {
        let at = self.since_origin(now);
        if self.board.record_strike(strike.request, strike.death, at) {
            self.keep(strike);
        }
    }

    fn keep(&mut self, strike: Strike) {
        self.recent.push_back(strike);
        if self.recent.len() > MAX_TOLD {
            self.recent.pop_front();
            self.dropped += 1;
        }
    }

    /// Whether nobody was struck.
    pub fn is_empty(&self) -> bool {
        self.board.is_empty()
    }

    /// How a request may run.
    pub fn standing(&self, request: Fingerprint, now: Instant) -> Disposition {
        self.board.disposition(request, self.since_origin(now))
    }

    /// Notes that a request ran to its end.
    pub fn completed(&mut self, request: Fingerprint) {
        self.board.record_completion(request);
    }

    /// Strikes after the first `count` ones, as far as they are kept, and their new count.
    pub fn after(&self, count: usize) -> (Vec<Strike>, usize) {
        let skipped = count.saturating_sub(self.dropped);
        let strikes = self.recent.iter().skip(skipped).copied().collect();
        (strikes, self.dropped + self.recent.len())
    }
}

/// Fingerprint of a request: the same for all attempts of its caller.
pub fn fingerprint(call: &Call, team: Option<&Name>) -> Fingerprint {
    let body = String::from_utf8_lossy(&call.body);
    suspect::fingerprint(team.map_or("", |team| team), &call.target, &body)
}

/// Blames a request for the death of the replica that broke off before it answered
/// anything, if the replica is really dead; how the request may run now.
pub async fn accuse<D: Dialect>(node: &Arc<Node<D>>, job: &Job, replica: &Replica) -> Disposition {
    accuse_request(node, job.fingerprint(), job.call.label(), replica).await
}

/// As [`accuse`], beside the caller's answer.
pub fn accuse_later<D: Dialect>(node: &Arc<Node<D>>, job: &Job, replica: &Arc<Replica>) {
    let (node, replica) = (node.clone(), replica.clone());
    let (request, label) = (job.fingerprint(), job.call.label().to_owned());
    let tasks = node.tasks.clone();
    tasks.spawn(async move { accuse_request(&node, request, &label, &replica).await });
}

async fn accuse_request<D: Dialect>(
    node: &Arc<Node<D>>,
    request: Fingerprint,
    label: &str,
    replica: &Replica,
) -> Disposition {
    if probe::lives(node, replica).await {
        return node.strikes().standing(request, Instant::now());
    }
    let incarnation = format!("{}/{}", replica.id, replica.born_ms.unwrap_or_default());
    let strike = Strike { request, death: Crash(winch_route::hash::name(&incarnation)) };
    let standing = node.strikes().death(strike, Instant::now());
    emit!(
        Event::SuspectFound,
        request = label,
        replica = replica.id,
        dc = replica.dc,
        standing = format!("{standing:?}")
    );
    counter::struck();
    node.note_strike();
    let told = node.clone();
    node.tasks.spawn(async move { peer::tell_seeds(&told, strike).await });
    standing
}
