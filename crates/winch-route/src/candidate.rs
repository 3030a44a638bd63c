//! What a daemon knows of one upstream.

use std::{collections::VecDeque, sync::Arc, time::Duration};

/// What the configuration says of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// The upstream's name.
    pub name: Arc<str>,
    /// Its data centre.
    pub dc: Arc<str>,
    /// The version or service it runs.
    pub runs: Arc<str>,
    /// Calls it can run at once.
    pub slots: u32,
    /// True when it must get no new work.
    pub leaving: bool,
}

/// How a call ended, as far as the upstream is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// It answered.
    Completed,
    /// It refused because it is busy.
    Busy,
    /// It broke, froze or answered with an error of its own.
    Failed,
    /// It could not be reached at all.
    Unreachable,
    /// The call was called off by us; says nothing about the upstream.
    Cancelled,
}

/// One upstream with this daemon's view of its load and health.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// What the configuration says.
    pub spec: Spec,
    pub(crate) hash: u64,
    pub(crate) inflight: u32,
    reported: u32,
    reported_at: Duration,
    sent_since: u32,
    /// Calls of this daemon that the last look at the room allows at once.
    allowance: u32,
    allowed_at: Duration,
    since: Duration,
    limit: f64,
    failures: u32,
    ejections: u32,
    ejected_until: Duration,
    suspected_until: Duration,
    prefixes: VecDeque<u64>,
}

impl Candidate {
    /// How long a report of an engine's load is believed.
    const REPORT_LIFE: Duration = Duration::from_secs(2);
    /// Time between two looks at the room that a report shows.
    const ALLOWANCE_LIFE: Duration = Duration::from_millis(500);
    /// How long an upstream is avoided after one of its calls went silent.
    const SUSPICION: Duration = Duration::from_secs(1);
    /// How long a new upstream gets only part of its share.
    const SLOW_START: Duration = Duration::from_secs(10);
    /// Failures in a row that eject an upstream.
    const FAILURES: u32 = 3;
    /// First time out of service after an ejection.
    const EJECT_BASE: Duration = Duration::from_secs(1);
    /// Largest power of two by which that time grows.
    const EJECT_DOUBLINGS: u32 = 5;
    /// Prefixes remembered for each upstream.
    const PREFIXES: usize = 128;
    /// Calls beyond the slots that may queue at an engine, per slot; waiting belongs in the gate.
    const QUEUE: f64 = 0.0;

    /// A fresh view of an upstream first seen at `now`.
    pub fn new(spec: Spec, now: Duration) -> Self {
        let limit = f64::from(spec.slots) * (1.0 + Self::QUEUE);
        Self {
            hash: crate::hash::name(&spec.name),
            spec,
            inflight: 0,
            reported: 0,
            reported_at: Duration::ZERO,
            sent_since: 0,
            allowance: 0,
            allowed_at: Duration::ZERO,
            since: now,
            limit,
            failures: 0,
            ejections: 0,
            ejected_until: Duration::ZERO,
            suspected_until: Duration::ZERO,
            prefixes: VecDeque::new(),
        }
    }

    /// Marks the upstream as long known, so that it gets its full share at once.
    pub fn skip_slow_start(&mut self) {
        self.since = Duration::ZERO;
        self.limit = f64::from(self.spec.slots) * (1.0 + Self::QUEUE);
    }

    /// Calls of this daemon that the upstream is running.
    pub fn inflight(&self) -> u32 {
        self.inflight
    }

    /// Calls of the whole fleet that the upstream is likely to hold at `now`.
    ///
    /// `usual` is the usual load of its kind as a part of its slots; it stands
    /// in for a report where there is no fresh one.
    pub fn load(&self, usual: f64, now: Duration) -> f64 {
        let told = match self.is_reported(now) {
            true => f64::from(self.reported + self.sent_since),
            false => usual * f64::from(self.spec.slots),
        };
        told.max(f64::from(self.inflight))
    }

    fn is_reported(&self, now: Duration) -> bool {
        !self.reported_at.is_zero() && now.saturating_sub(self.reported_at) <= Self::REPORT_LIFE
    }

    /// Calls the upstream may hold at `now`, counting all daemons.
    pub fn limit(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.since);
        if self.since.is_zero() || age >= Self::SLOW_START {
            return self.limit;
        }
        let part = age.as_secs_f64() / Self::SLOW_START.as_secs_f64();
        (self.limit * part.max(0.1)).max(1.0)
    }

    /// Whether the upstream may get one more call of this daemon at `now`.
    ///
    /// Room that a report shows is seen by every daemon at once, so each takes
    /// only its share of it until the next report.
    pub fn has_room(&self, usual: f64, now: Duration) -> bool {
        let fits = self.load(usual, now) + 1.0 <= self.limit(now).max(1.0);
        let allowed = !self.is_reported(now) || self.inflight < self.allowance;
        fits && allowed
    }

    /// Whether the upstream is out of service after failures.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Whether a call on the upstream has just gone silent and no other showed life since.
    pub fn is_suspected(&self, now: Duration) -> bool {
        now < self.suspected_until
    }

    pub(crate) fn suspect(&mut self, now: Duration) {
        self.suspected_until = now + Self::SUSPICION;
    }

    /// Whether this daemon sent the prefix here lately.
    pub fn has_prefix(&self, prefix: u64) -> bool {
        self.prefixes.contains(&prefix)
    }

    /// Notes a load report of the engine itself; returns the part of its slots in use.
    pub(crate) fn report(&mut self, load: u32, now: Duration) -> f64 {
        self.suspected_until = Duration::ZERO;
        self.reported = load;
        self.reported_at = now;
        self.sent_since = 0;
        if now.saturating_sub(self.allowed_at) >= Self::ALLOWANCE_LIFE {
            self.allowed_at = now;
            self.allowance = self.inflight + self.share_of_room(now);
        }
        f64::from(load) / f64::from(self.spec.slots.max(1))
    }

    /// This daemon's share of the room, by its share of the load; parts of a call by chance.
    fn share_of_room(&self, now: Duration) -> u32 {
        let room = (self.limit(now) - f64::from(self.reported)).max(0.0);
        let share = f64::from(self.inflight + 1) / f64::from(self.reported.max(self.inflight) + 1);
        let part = room * share;
        let chance = crate::hash::mix(self.hash ^ now.as_nanos() as u64) as f64 / u64::MAX as f64;
        part.floor() as u32 + u32::from(chance < part.fract())
    }

    /// Notes that an engine dropped a prefix from its cache.
    pub fn forget_prefix(&mut self, prefix: u64) {
        self.prefixes.retain(|known| *known != prefix);
    }

    pub(crate) fn begin(&mut self, prefix: u64) {
        self.inflight += 1;
        self.sent_since += 1;
        self.forget_prefix(prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > Self::PREFIXES {
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
            Finish::Unreachable => self.fail(Self::FAILURES, now),
            Finish::Cancelled => {}
        }
    }

    fn succeed(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        let most = f64::from(self.spec.slots) * (1.0 + Self::QUEUE);
        self.limit = (self.limit + 1.0 / self.limit).min(most);
    }

    fn fail(&mut self, count: u32, now: Duration) {
        self.failures += count;
        if self.failures < Self::FAILURES || self.is_ejected(now) {
            return;
        }
        let doublings = self.ejections.min(Self::EJECT_DOUBLINGS);
        self.ejected_until = now + Self::EJECT_BASE * 2_u32.pow(doublings);
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
