//! Whether entries of live replicas can have expired while the list was not read.
//!
//! The store removes an entry that its replica has not renewed for some intervals. During an
//! outage nobody renews anything, and entries of live replicas expire. A daemon that alone was
//! refused sees the same failed reads, but nothing has expired. Two things tell them apart: an
//! outage must last for some intervals before an entry expires, and other daemons may have read
//! the list all the while. The entries themselves do not: a replica that is refused counts on, and
//! the store need not make a new version of an entry that is only renewed.

use super::{Catalog, REMOVAL_GRACE};
use crate::prelude::*;

/// Time within which every live replica renews its entry, in renewal intervals.
const RENEWAL_INTERVALS: f64 = 1.25;
/// Shortest outage in which an entry expires, in renewal intervals: the store removes an entry after
/// three intervals of silence, some of which may have passed before the outage.
const EXPIRY_INTERVALS: f64 = 3.0 - RENEWAL_INTERVALS;

/// How a state of the list was learned that shows the store as reachable.
#[derive(Clone, Copy, Debug)]
pub struct Recovery {
    /// As of when the state is known.
    pub read_at: Instant,
    /// As of when the state before it is known; `None` if there is none.
    pub confirmed_at: Option<Instant>,
    /// Since when its source knows the list without a gap in which entries can have expired;
    /// `read_at` if the source is the store, and `None` if it does not tell.
    pub steady_since: Option<Instant>,
    /// Interval at which replicas renew their entries; `None` if it is not known.
    pub renewal_interval: Option<Duration>,
}

/// A time in which the list was not read, with those shortly before it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Gap {
    since: Instant,
    until: Instant,
}

impl Recovery {
    /// The gap that ends with this state; `None` if there is no state before.
    ///
    /// After the `last` gap, replicas may not have renewed their entries before this one began. Both
    /// then count as one.
    fn gap(&self, last: Option<Gap>) -> Option<Gap> {
        let confirmed_at = self.confirmed_at?;
        let renewal = self.renewal_interval.unwrap_or_default().mul_f64(RENEWAL_INTERVALS);
        let joined = last.filter(|last| confirmed_at < last.until + renewal);
        Some(Gap { since: joined.map_or(confirmed_at, |last| last.since), until: self.read_at })
    }

    /// Whether no entry of a live replica can have expired in `gap`.
    fn is_steady(&self, gap: Gap) -> bool {
        let length = gap.until.saturating_duration_since(gap.since);
        let is_short = self
            .renewal_interval
            .is_some_and(|interval| length < interval.mul_f64(EXPIRY_INTERVALS));
        is_short || self.vouches_for(gap)
    }

    /// Whether the source has known the list all through `gap`.
    fn vouches_for(&self, gap: Gap) -> bool {
        self.steady_since.is_some_and(|since| since <= gap.since)
    }
}

/// What a daemon found out about an outage that it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No entry of a live replica can have expired: removals take effect.
    Steady,
    /// Entries of live replicas can have expired: removals are held back.
    Doubtful,
}

impl Verdict {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Doubtful => "doubtful",
        }
    }
}

impl Catalog {
    /// Marks the store as reachable, before a state of the list is applied. Returns the verdict on
    /// the outage that ends with it, if there was one.
    ///
    /// Removals are held back for a while if entries can have expired in the outage.
    pub fn mark_store_reachable(&mut self, recovery: &Recovery, now: Instant) -> Option<Verdict> {
        let had_outage = std::mem::take(&mut self.in_outage);
        if self.last_outage.is_some_and(|outage| recovery.vouches_for(outage)) {
            // The doubt of this daemon was unfounded.
            self.grace_until = None;
        }
        let gap = recovery.gap(self.last_outage.filter(|_| had_outage));
        if had_outage {
            self.last_outage = gap;
        }
        if gap.is_some_and(|gap| recovery.is_steady(gap)) {
            self.steady_since = self.steady_since.or(recovery.steady_since);
            return had_outage.then_some(Verdict::Steady);
        }
        self.steady_since = recovery.steady_since;
        if had_outage {
            self.first_read_pending = true;
            self.grace_until = Some(now + REMOVAL_GRACE);
        }
        had_outage.then_some(Verdict::Doubtful)
    }

    /// Since when this daemon knows the list without a gap in which entries can have expired;
    /// `None` if that is not known.
    pub fn steady_since(&self) -> Option<Instant> {
        self.steady_since
    }
}
