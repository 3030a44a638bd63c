//! Sheds unary requests of services that receive more than they answer in time.
//!
//! [`winch_route::shed`] decides; this module holds its state for each service, and tells it how
//! requests end.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use rand::Rng;
use winch_route::{
    hash,
    shed::{Ending, Shedder},
};

use crate::{
    config::Semantics,
    counter,
    job::{Job, Outcome},
    node::Node,
    prelude::*,
    pulse::Stopwatch,
};

/// The load of each service, as this daemon sees it.
#[derive(Debug, Default)]
pub(crate) struct Shedders {
    by_service: Mutex<HashMap<Name, Shedder>>,
}

impl Shedders {
    fn with<T>(&self, service: &Name, act: impl FnOnce(&mut Shedder) -> T) -> T {
        // A panic while the lock is held leaves the counts consistent, so poisoning is ignored.
        let mut by_service = self.by_service.lock().unwrap_or_else(PoisonError::into_inner);
        if !by_service.contains_key(service) {
            by_service.insert(service.clone(), Shedder::default());
        }
        act(by_service.get_mut(service).expect("the shedder was just inserted"))
    }
}

/// Counts a request before it is sent, and returns its outcome if it is shed.
///
/// Requests that another daemon has passed on are not shed: that daemon has let them pass.
pub(crate) fn admit<P: Protocol>(node: &Node<P>, job: &Job) -> Option<Outcome> {
    if job.is_forwarded {
        return None;
    }
    let replicas = node.catalog().serving(&job.service).count();
    let mut rng = node.rng();
    let (draw, jitter, now) = (rng.random(), rng.random(), node.uptime());
    let admit = |shedder: &mut Shedder| shedder.admit(priority(job), replicas, now, draw, jitter);
    let retry_after = node.shedders.with(&job.service, admit)?;
    counter::shed(match job.route.semantics {
        Semantics::AtMostOnce => "order",
        Semantics::Idempotent | Semantics::Stream { .. } => "lookup",
    });
    Some(Outcome::Shed { code: Code::Overloaded, retry_after })
}

fn priority(job: &Job) -> u32 {
    job.team.as_ref().and_then(|team| team.priority).unwrap_or(job.route.priority)
}

/// A request that was let pass; records how its last attempt has ended when it
/// is dropped.
pub(crate) struct Sample<'a, P: Protocol> {
    node: &'a Node<P>,
    job: &'a Job,
    /// The attempts that run: start, and hash of the replica.
    running: Vec<(Stopwatch, u64)>,
    /// `None` if the last attempt that has ended says nothing of the service's load.
    ending: Option<Ending>,
}

impl<'a, P: Protocol> Sample<'a, P> {
    pub(crate) fn new(node: &'a Node<P>, job: &'a Job) -> Self {
        Self { node, job, running: Vec::new(), ending: None }
    }

    /// Begins an attempt.
    pub(crate) fn start(&mut self, replica: &Replica) {
        self.running.push((self.node.pulse.start(), hash::name(&replica.id)));
        self.ending = None;
    }

    /// Ends an attempt with an answer, which is accepted if it is in time.
    pub(crate) fn answered(&mut self, replica: &Replica) {
        let attempt = self.end(replica);
        self.ending = attempt.map_or(Some(Ending::Accepted), |attempt| self.judge(attempt));
    }

    /// Ends an attempt without an answer because the replica is full or late.
    pub(crate) fn rejected(&mut self, replica: &Replica) {
        let attempt = self.end(replica);
        self.ending = attempt.map(|(_, replica)| Ending::Rejected { replica });
    }

    /// Ends an attempt with a failure that is no sign of overload.
    pub(crate) fn failed(&mut self, replica: &Replica) {
        self.end(replica);
    }

    fn end(&mut self, replica: &Replica) -> Option<(Stopwatch, u64)> {
        let hash = hash::name(&replica.id);
        let index = self.running.iter().position(|(_, replica)| *replica == hash)?;
        Some(self.running.remove(index))
    }

    /// How an attempt that is over now has ended; `None` if it seems to be late, but this process did
    /// not run for a good part of the time.
    fn judge(&self, (stopwatch, replica): (Stopwatch, u64)) -> Option<Ending> {
        let (now, target) = (Instant::now(), self.job.route.target_latency);
        if now - stopwatch.started_at <= target {
            return Some(Ending::Accepted);
        }
        self.node.pulse.elapsed_if_running(stopwatch, now).map(|_| Ending::Rejected { replica })
    }
}

impl<P: Protocol> Drop for Sample<'_, P> {
    fn drop(&mut self) {
        // A caller that has left after the target latency has waited too long.
        let oldest = self.running.first().copied();
        let late = || {
            let ending = oldest.and_then(|attempt| self.judge(attempt));
            ending.filter(|ending| *ending != Ending::Accepted)
        };
        let Some(ending) = self.ending.or_else(late) else { return };
        let now = self.node.uptime();
        let record = |shedder: &mut Shedder| shedder.record(priority(self.job), ending, now);
        self.node.shedders.with(&self.job.service, record);
    }
}
