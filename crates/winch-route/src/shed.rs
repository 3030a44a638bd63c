//! Client-side throttling of a service that receives more requests than it answers in time.
//!
//! A daemon counts the requests for a service and those that the service accepted: its replicas
//! neither refused them because they were full nor answered them too late. While more arrive than
//! are accepted, the daemon sheds the excess before it is sent, less urgent requests first. It
//! sends somewhat more than is accepted, so that it notices when the load falls or the capacity
//! grows.

use std::{collections::BTreeMap, time::Duration};

/// Time over which requests and accepted requests are averaged.
const WINDOW: Duration = Duration::from_secs(3);
/// Time over which arrivals are averaged. Shorter than [`WINDOW`], so that shedding ends soon after
/// a burst although the window still holds its requests.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(700);
/// Time for which a replica that rejected a request shows that the overload is not confined to
/// others. Longer than [`WINDOW`], because few requests are rejected once the excess is shed.
const SPREAD_WINDOW: Duration = Duration::from_secs(9);
/// Requests that are sent for each accepted one while the service is overloaded.
const PROBE_FACTOR: f64 = 1.1;
/// Requests in the window below which nothing is shed: a share of a handful says little.
const MIN_REQUESTS: f64 = 15.0;
/// Rejected requests in the window below which nothing is shed.
const MIN_REJECTED: f64 = 2.0;
/// Age of the last rejected request from which on nothing is shed: the excess is over.
const REJECTED_AGE: Duration = Duration::from_secs(1);
/// Replicas that must have rejected requests, or more than half of a service with fewer: the
/// others have room while only single replicas are slow.
const MIN_REPLICAS: usize = 4;
/// Largest share of requests that is shed; the rest finds out when a service has recovered that
/// accepted nothing.
const MAX_SHARE: f64 = 0.95;
/// Sum over the last seconds below which it counts as zero.
const MIN_SUM: f64 = 0.01;
/// Shortest time after which a caller is asked to return.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest time after which a caller is asked to return, without jitter. Callers that return after
/// the end of a burst prolong the overload.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(600);
/// Largest share of the time until a caller returns by which it is shortened or prolonged at
/// random.
const RETRY_JITTER: f64 = 0.25;

/// A sum over the last seconds, which decays exponentially.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Sum {
    value: f64,
    at: Duration,
}

impl Sum {
    fn get(&self, window: Duration, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at);
        self.value * (-age.as_secs_f64() / window.as_secs_f64()).exp()
    }

    fn add(&mut self, window: Duration, now: Duration) {
        self.value = self.get(window, now) + 1.0;
        self.at = self.at.max(now);
    }
}

/// The requests of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Class {
    /// Requests that ended or were shed.
    requests: Sum,
    /// Requests that arrived, over [`ARRIVAL_WINDOW`].
    arrivals: Sum,
}

impl Class {
    /// Requests a second. After a burst these are the arrivals, at its start the requests whose
    /// end is known.
    fn rate(&self, now: Duration) -> f64 {
        let requests = self.requests.get(WINDOW, now) / WINDOW.as_secs_f64();
        let arrivals = self.arrivals.get(ARRIVAL_WINDOW, now) / ARRIVAL_WINDOW.as_secs_f64();
        requests.min(arrivals)
    }
}

/// How a request that was sent has ended. Requests that failed in another way are not counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Answered in time.
    Accepted,
    /// Answered too late, or refused by a full replica.
    Rejected {
        /// Hash of the replica's id.
        replica: u64,
    },
}

/// The load of one service, as one daemon sees it. Times are measured from an origin of the user's
/// choice.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shedder {
    accepted: Sum,
    rejected: Sum,
    /// Requests by priority, the most urgent first.
    classes: BTreeMap<u32, Class>,
    /// The replicas that rejected requests last, and when; at most [`MIN_REPLICAS`].
    rejecting: Vec<(u64, Duration)>,
}

impl Shedder {
    /// Counts a request of `priority` that has arrived and decides whether it is shed: `None` if it
    /// may be sent, else the time after which its caller should send it again.
    ///
    /// `replicas` is the number of the service's replicas; `draw` and `jitter` are random numbers
    /// from 0 to 1.
    pub fn admit(
        &mut self,
        priority: u32,
        replicas: usize,
        now: Duration,
        draw: f64,
        jitter: f64,
    ) -> Option<Duration> {
        let share = if self.is_overloaded(replicas, now) { self.share(priority, now) } else { 0.0 };
        let is_shed = draw < share;
        if !self.classes.contains_key(&priority) {
            // Priorities that the configuration no longer has are dropped.
            self.classes.retain(|_, class| class.arrivals.get(SPREAD_WINDOW, now) > MIN_SUM);
        }
        let class = self.classes.entry(priority).or_default();
        class.arrivals.add(ARRIVAL_WINDOW, now);
        if !is_shed {
            return None;
        }
        class.requests.add(WINDOW, now);
        Some(self.retry_after(now, jitter))
    }

    /// Records how a request ended that [`Self::admit`] has let pass.
    pub fn record(&mut self, priority: u32, ending: Ending, now: Duration) {
        self.classes.entry(priority).or_default().requests.add(WINDOW, now);
        match ending {
            Ending::Accepted => self.accepted.add(WINDOW, now),
            Ending::Rejected { replica } => {
                self.rejected.add(WINDOW, now);
                self.rejecting.retain(|(other, _)| *other != replica);
                if self.rejecting.len() >= MIN_REPLICAS {
                    self.rejecting.remove(0);
                }
                self.rejecting.push((replica, now));
            }
        }
    }

    /// Whether enough requests were rejected, by enough replicas.
    fn is_overloaded(&self, replicas: usize, now: Duration) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) < SPREAD_WINDOW;
        let is_current = |at: Duration| now.saturating_sub(at) < REJECTED_AGE;
        let rejecting = self.rejecting.iter().filter(|(_, at)| is_recent(*at)).count();
        rejecting >= MIN_REPLICAS.min(replicas / 2 + 1)
            && self.rejecting.last().is_some_and(|(_, at)| is_current(*at))
            && self.rejected.get(WINDOW, now) >= MIN_REJECTED
            && self.requests(now) >= MIN_REQUESTS
    }

    fn requests(&self, now: Duration) -> f64 {
        self.classes.values().map(|class| class.requests.get(WINDOW, now)).sum()
    }

    /// Share of the requests of `priority` that is shed: those beyond what the service accepts and
    /// more urgent requests leave.
    fn share(&self, priority: u32, now: Duration) -> f64 {
        let rate = self.classes.get(&priority).map_or(0.0, |class| class.rate(now));
        if rate <= 0.0 {
            return 0.0;
        }
        let accepted = self.accepted.get(WINDOW, now) / WINDOW.as_secs_f64();
        let more_urgent: f64 =
            self.classes.range(..priority).map(|(_, class)| class.rate(now)).sum();
        (1.0 - (PROBE_FACTOR * accepted - more_urgent) / rate).clamp(0.0, MAX_SHARE)
    }

    /// Time in which the service would accept the requests of the window that it has not accepted,
    /// within limits.
    fn retry_after(&self, now: Duration, jitter: f64) -> Duration {
        let accepted = self.accepted.get(WINDOW, now);
        let excess = self.requests(now) - accepted;
        let time = WINDOW.mul_f64((excess / accepted.max(1.0)).clamp(0.0, 1.0));
        // With the minimum applied before the jitter, callers return apart after the shortest time,
        // too.
        let min = MIN_RETRY_AFTER.div_f64(1.0 - RETRY_JITTER);
        let factor = 1.0 + RETRY_JITTER * (2.0 * jitter - 1.0);
        time.clamp(min, MAX_RETRY_AFTER).mul_f64(factor).max(MIN_RETRY_AFTER)
    }
}
