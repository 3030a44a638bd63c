//! Whether a daemon reaches the replicas of a service at all.
//!
//! One replica that takes no connection has failed, or is silent for a moment. Several in a row without
//! one that does mean that the daemon is partitioned from all of them, or that all have failed; it
//! cannot tell which, but another daemon that still reaches one can.

use std::{collections::HashSet, time::Duration};

/// Number of different replicas that have to take no connection; fewer if the service has
/// fewer.
const MIN_REPLICAS: usize = 3;
/// Time for which no replica has to take a connection.
const MIN_TIME: Duration = Duration::from_millis(250);
/// Time after a connection was opened within which a slow reply raises no doubt.
const DOUBT_INTERVAL: Duration = Duration::from_secs(1);

/// What a daemon knows of its paths to the replicas of one service.
#[derive(Debug, Default)]
pub struct Reach {
    /// Hashes of the replicas that have taken no connection since one was opened last.
    failed: HashSet<u64>,
    /// When the first of them did not.
    failing_since: Option<Duration>,
    opened_at: Option<Duration>,
    is_doubted: bool,
    is_isolated: bool,
}

impl Reach {
    /// Records that a replica has taken a connection; returns whether the service was out of
    /// reach.
    pub fn record_opened(&mut self, now: Duration) -> bool {
        let was_isolated = self.is_isolated;
        *self = Self { opened_at: Some(now), ..Self::default() };
        was_isolated
    }

    /// Records that `replica`, one of `known`, has taken no connection; returns whether the service
    /// is out of reach since then.
    pub fn record_failed(&mut self, replica: u64, known: usize, now: Duration) -> bool {
        let since = *self.failing_since.get_or_insert(now);
        self.failed.insert(replica);
        let is_isolated = self.failed.len() >= MIN_REPLICAS.min(known) && now >= since + MIN_TIME;
        is_isolated && !std::mem::replace(&mut self.is_isolated, true)
    }

    /// Records that a reply on an open connection is late, which may be its replica's or the
    /// path's fault; returns whether this is worth a check.
    pub fn doubt(&mut self, now: Duration) -> bool {
        self.is_doubted = self.opened_at.is_none_or(|at| now >= at + DOUBT_INTERVAL);
        self.is_doubted
    }

    /// Whether connections should be opened to see if any replica takes one.
    pub fn needs_check(&self) -> bool {
        self.is_doubted || self.failing_since.is_some()
    }

    /// Whether no replica of the service is within reach.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }
}
