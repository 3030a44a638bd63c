//! Load and health of one upstream, as seen by this daemon.

use std::{collections::VecDeque, sync::Arc, time::Duration};

/// Configuration of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// The upstream's name.
    pub name: Arc<str>,
    /// Its data centre.
    pub dc: Arc<str>,
    /// The version or service it runs.
    pub runs: Arc<str>,
    /// Number of calls it can run concurrently.
    pub slots: u32,
    /// True if it must get no new calls.
    pub leaving: bool,
}

/// How a call ended, as evidence about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The upstream answered.
    Completed,
    /// The upstream refused the call because it was busy; its limit is reduced.
    Busy,
    /// The upstream broke the connection, stalled or answered with an error of its own.
    /// Several such calls without a success between them eject it.
    Failed,
    /// No connection to the upstream could be made, which ejects it.
    Unreachable,
    /// The daemon cancelled the call, which says nothing about the upstream.
    Cancelled,
}

/// One upstream with its load and health.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its configuration.
    pub spec: Spec,
    /// Hash of its name, for rendezvous hashing.
    pub(crate) hash: u64,
    /// Calls of this daemon that it is running.
    pub(crate) inflight: u32,
    /// Load in the last report, less the calls of this daemon that have ended since.
    reported: u32,
    /// Time of the last report; zero if there is none.
    reported_at: Duration,
    /// Calls that this daemon has sent since the last report.
    sent_since: u32,
    /// Calls of this daemon that may run concurrently, as computed at `allowance_set_at`.
    allowance: u32,
    allowance_set_at: Duration,
    /// Beginning of the slow start; zero if there is none.
    slow_start_from: Duration,
    /// Calls of all daemons that it may hold after the slow start. Decreases by a factor when it
    /// is busy and increases by about one for each `limit` calls that it completes.
    limit: f64,
    /// Failures since the last success or ejection.
    failures: u32,
    /// Ejections since the last success.
    ejections: u32,
    ejected_until: Duration,
    stalled_until: Duration,
    /// Prefixes that this daemon has sent since the last ejection, oldest first.
    prefixes: VecDeque<u64>,
}

impl Candidate {
    /// How long a load report is used.
    const REPORT_TTL: Duration = Duration::from_secs(2);
    /// Shortest time between two computations of the allowance.
    const ALLOWANCE_INTERVAL: Duration = Duration::from_millis(500);
    /// How long an upstream counts as stalled after one of its calls stalled.
    const STALL_TTL: Duration = Duration::from_secs(1);
    /// How long the limit of a new upstream is reduced.
    const SLOW_START: Duration = Duration::from_secs(10);
    /// Consecutive failures that eject an upstream.
    const EJECT_FAILURES: u32 = 3;
    /// Duration of a first ejection.
    const BASE_EJECTION: Duration = Duration::from_secs(1);
    /// Largest number of times that consecutive ejections double this duration.
    const MAX_EJECTION_DOUBLINGS: u32 = 5;
    /// Largest number of prefixes kept for each upstream.
    const MAX_PREFIXES: usize = 128;
    /// Calls per slot that may queue at an engine; zero, as calls wait in the admission queue.
    const ENGINE_QUEUE_PER_SLOT: f64 = 0.0;

    /// Creates the state of an upstream first seen at `now`, which begins with a slow start.
    pub fn new(spec: Spec, now: Duration) -> Self {
        let limit = f64::from(spec.slots) * (1.0 + Self::ENGINE_QUEUE_PER_SLOT);
        Self {
            hash: crate::hash::name(&spec.name),
            spec,
            inflight: 0,
            reported: 0,
            reported_at: Duration::ZERO,
            sent_since: 0,
            allowance: 0,
            allowance_set_at: Duration::ZERO,
            slow_start_from: now,
            limit,
            failures: 0,
            ejections: 0,
            ejected_until: Duration::ZERO,
            stalled_until: Duration::ZERO,
            prefixes: VecDeque::new(),
        }
    }

    /// Ends the slow start, so that the full limit applies immediately.
    pub fn skip_slow_start(&mut self) {
        self.slow_start_from = Duration::ZERO;
        self.limit = f64::from(self.spec.slots) * (1.0 + Self::ENGINE_QUEUE_PER_SLOT);
    }

    /// Calls of this daemon that the upstream is running.
    pub fn inflight(&self) -> u32 {
        self.inflight
    }

    /// Estimated number of calls of the whole fleet that the upstream holds at `now`.
    ///
    /// `typical_load` is the typical share of slots in use, see
    /// [`Pool::typical_load`](crate::pool::Pool::typical_load); the estimate is based on it
    /// if there is no recent report.
    pub fn load(&self, typical_load: f64, now: Duration) -> f64 {
        let estimate = match self.has_recent_report(now) {
            true => f64::from(self.reported + self.sent_since),
            false => typical_load * f64::from(self.spec.slots),
        };
        estimate.max(f64::from(self.inflight))
    }

    fn has_recent_report(&self, now: Duration) -> bool {
        !self.reported_at.is_zero() && now.saturating_sub(self.reported_at) <= Self::REPORT_TTL
    }

    /// Calls of all daemons that the upstream may hold at `now`; reduced during the slow start.
    pub fn limit(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.slow_start_from);
        if self.slow_start_from.is_zero() || age >= Self::SLOW_START {
            return self.limit;
        }
        let progress = age.as_secs_f64() / Self::SLOW_START.as_secs_f64();
        (self.limit * progress.max(0.1)).max(1.0)
    }

    /// Whether this daemon may send one more call at `now`.
    ///
    /// All daemons see the room in a report at the same time, so each uses only
    /// its allowance, a share of that room, until the allowance is computed again.
    /// The allowance does not apply if there is no recent report.
    pub fn has_room(&self, typical_load: f64, now: Duration) -> bool {
        let is_within_limit = self.load(typical_load, now) + 1.0 <= self.limit(now).max(1.0);
        let is_within_allowance = !self.has_recent_report(now) || self.inflight < self.allowance;
        is_within_limit && is_within_allowance
    }

    /// Whether the upstream gets no new calls at `now`, after failures.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Whether a call has recently stalled and no load report has arrived since.
    pub fn is_stalled(&self, now: Duration) -> bool {
        now < self.stalled_until
    }

    pub(crate) fn mark_stalled(&mut self, now: Duration) {
        self.stalled_until = now + Self::STALL_TTL;
    }

    /// Whether the prefix is among the last ones that this daemon has sent to this upstream.
    pub fn has_prefix(&self, prefix: u64) -> bool {
        self.prefixes.contains(&prefix)
    }

    /// Applies a load report of the engine; returns the share of its slots in use.
    pub(crate) fn record_load(&mut self, load: u32, now: Duration) -> f64 {
        self.stalled_until = Duration::ZERO;
        self.reported = load;
        self.reported_at = now;
        self.sent_since = 0;
        if now.saturating_sub(self.allowance_set_at) >= Self::ALLOWANCE_INTERVAL {
            self.allowance_set_at = now;
            self.allowance = self.inflight + self.share_of_room(now);
        }
        f64::from(load) / f64::from(self.spec.slots.max(1))
    }

    /// This daemon's share of the free room, in calls, in proportion to its share of the load.
    ///
    /// A fraction of a call is rounded up with a probability equal to the fraction.
    fn share_of_room(&self, now: Duration) -> u32 {
        let room = (self.limit(now) - f64::from(self.reported)).max(0.0);
        let share = f64::from(self.inflight + 1) / f64::from(self.reported.max(self.inflight) + 1);
        let calls = room * share;
        let uniform = crate::hash::mix(self.hash ^ now.as_nanos() as u64) as f64 / u64::MAX as f64;
        calls.floor() as u32 + u32::from(uniform < calls.fract())
    }

    /// Removes a prefix, such as one that the engine has dropped from its cache.
    pub fn remove_prefix(&mut self, prefix: u64) {
        self.prefixes.retain(|known| *known != prefix);
    }

    pub(crate) fn begin(&mut self, prefix: u64) {
        self.inflight += 1;
        self.sent_since += 1;
        self.remove_prefix(prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > Self::MAX_PREFIXES {
            self.prefixes.pop_front();
        }
    }

    pub(crate) fn finish(&mut self, finish: Finish, now: Duration) {
        self.inflight = self.inflight.saturating_sub(1);
        self.reported = self.reported.saturating_sub(1);
        match finish {
            Finish::Completed => self.succeed(),
            Finish::Busy => self.limit = (self.limit * 0.9).max(1.0),
            Finish::Failed => self.fail(1, now),
            Finish::Unreachable => self.fail(Self::EJECT_FAILURES, now),
            Finish::Cancelled => {}
        }
    }

    fn succeed(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        let max_limit = f64::from(self.spec.slots) * (1.0 + Self::ENGINE_QUEUE_PER_SLOT);
        self.limit = (self.limit + 1.0 / self.limit).min(max_limit);
    }

    /// Adds `count` failures, and ejects the upstream if they now reach `EJECT_FAILURES`.
    fn fail(&mut self, count: u32, now: Duration) {
        self.failures += count;
        if self.failures < Self::EJECT_FAILURES || self.is_ejected(now) {
            return;
        }
        let doublings = self.ejections.min(Self::MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now + Self::BASE_EJECTION * 2_u32.pow(doublings);
        self.ejections += 1;
        self.failures = 0;
        self.prefixes.clear();
    }

    pub(crate) fn reinstate(&mut self) {
        self.ejected_until = Duration::ZERO;
    }

    pub(crate) fn ejected_until(&self) -> Duration {
        self.ejected_until
    }
}
