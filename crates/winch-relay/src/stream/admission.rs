//! Lets streams of the least urgent rank wait in this daemon while all replicas are loaded.
//!
//! A request that queues at a replica keeps its place there although another replica becomes free,
//! and takes KV cache from the runs before it, which are preempted for it. Here it takes nothing,
//! and more urgent requests pass it.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use rand::Rng;
use tokio::{io::AsyncWrite, time::sleep_until};
use winch_route::{backlog::Backlog, overload};

use super::{Session, Target};
use crate::{counter, job::Outcome, prelude::*};

/// Share of the target latency that a request may wait in the daemon. The rest is left for the
/// prefill and a queue at the replica.
const MAX_WAIT_SHARE: f64 = 0.55;
/// Mean time between two rounds of reports of one waiting request.
const POLL_INTERVAL: Duration = Duration::from_millis(350);
/// Largest share by which the interval is shortened or prolonged at random, so that daemons do not
/// ask together.
const POLL_JITTER: f64 = 0.3;
/// Shortest time after which the caller of a refused request may return.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Largest share of the target latency after which the caller may return.
const MAX_RETRY_SHARE: f64 = 0.5;
/// Largest share by which that time is shortened or prolonged at random.
const RETRY_JITTER: f64 = 0.25;

/// The requests of this daemon that wait, by service.
#[derive(Debug, Default)]
pub(crate) struct Backlogs {
    by_service: Mutex<HashMap<Name, Backlog>>,
}

impl Backlogs {
    fn with<T>(&self, service: &Name, act: impl FnOnce(&mut Backlog) -> T) -> T {
        // A panic while the lock is held leaves the counts consistent, so poisoning is ignored.
        let mut by_service = self.by_service.lock().unwrap_or_else(PoisonError::into_inner);
        act(by_service.entry(service.clone()).or_default())
    }
}

/// Guard of one waiting request.
struct Waiting<'a> {
    backlogs: &'a Backlogs,
    service: &'a Name,
}

impl<'a> Waiting<'a> {
    fn new(backlogs: &'a Backlogs, service: &'a Name, now: Duration) -> Self {
        backlogs.with(service, |backlog| backlog.enter(now));
        Self { backlogs, service }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.backlogs.with(self.service, Backlog::leave);
    }
}

/// What becomes of a request that waits.
pub(super) enum Admission {
    /// It starts at an open replica.
    Started(Target),
    /// It starts at the best replica, open or not.
    Passed,
    /// It is refused.
    Refused(Outcome),
}

impl<P: Protocol, W: AsyncWrite + Unpin> Session<'_, P, W> {
    /// Waits until a replica is open, if the request has to leave room to more urgent ones.
    pub(super) async fn wait_for_room(&mut self) -> Admission {
        let has_begun = self.has_forwarded || self.last_event.is_some();
        if has_begun || !self.job.priority.is_last() {
            return Admission::Passed;
        }
        let received_at = self.job.call.received_at;
        let max_wait = self.job.route.target_latency.mul_f64(MAX_WAIT_SHARE);
        let wait_until = (received_at + max_wait).min(self.job.reply_deadline);
        if let Some(target) = self.place_if_open(true).await {
            return Admission::Started(target);
        }
        let (node, service) = (self.node, &self.job.service);
        let expected = node.backlogs.with(service, |backlog| backlog.expected_wait(node.uptime()));
        if self.trace.sends == 0 && Instant::now() + expected > wait_until {
            return Admission::Refused(self.refuse(expected));
        }
        counter::waited("begun");
        let _waiting = Waiting::new(&node.backlogs, service, node.uptime());
        while !self.job.needs_forwarding(node, self.trace) {
            let jitter = node.rng().random_range(1.0 - POLL_JITTER..1.0 + POLL_JITTER);
            let poll_at = Instant::now() + POLL_INTERVAL.mul_f64(jitter);
            if poll_at > wait_until {
                break;
            }
            sleep_until(poll_at).await;
            if let Some(target) = self.place_if_open(false).await {
                node.backlogs.with(service, |backlog| backlog.start(node.uptime()));
                counter::waited("started");
                return Admission::Started(target);
            }
        }
        counter::waited("expired");
        Admission::Passed
    }

    /// The refusal of a request that `target`, the best replica that was found, cannot start in
    /// time; `None` if the request is sent. A request that was sent before is never refused.
    pub(super) fn check_admission(&self, target: Option<&Target>) -> Option<Outcome> {
        let is_new = self.trace.sends == 0 && self.last_event.is_none();
        // An assumed prefill time says nothing about the load.
        let estimate = target?.estimate.filter(|estimate| is_new && estimate.is_measured)?;
        let estimate = overload::Estimate {
            unloaded: estimate.unloaded,
            start: estimate.first_event,
            urgent_start: estimate.urgent_first_event,
        };
        let refusal = self.node.admit_stream(self.job, estimate).err()?;
        Some(Outcome::Shed { code: Code::Overloaded, retry_after: refusal.retry_after })
    }

    /// The refusal of a request that would start after `expected` only.
    fn refuse(&self, expected: Duration) -> Outcome {
        let longest = self.job.route.target_latency.mul_f64(MAX_RETRY_SHARE);
        let jitter = self.node.rng().random_range(1.0 - RETRY_JITTER..1.0 + RETRY_JITTER);
        let retry_after = expected.min(longest).mul_f64(jitter).max(MIN_RETRY_AFTER);
        Outcome::Shed { code: Code::Overloaded, retry_after }
    }
}
