//! Whether a daemon reaches the replicas of a service.
//!
//! One replica that takes no connection has failed, or is silent for a moment. Several without enough
//! others that do mean that the daemon is partitioned from most of them, or that most have failed; it
//! cannot tell which, but another daemon that still reaches them can.

use std::{collections::HashMap, time::Duration};

/// Number of different replicas that have to take no connection; fewer if the service has
/// fewer.
const MIN_FAILED: usize = 3;
/// Replicas that have to take no connection for each one that does.
const FAILED_PER_OPENED: usize = 3;
/// Time for which replicas have to take no connection while this process runs.
const MIN_TIME: Duration = Duration::from_millis(250);
/// Time for which the latest attempt to open a connection to a replica counts.
pub const WINDOW: Duration = Duration::from_millis(1_500);
/// Time after a connection was opened within which a slow reply raises no doubt.
const DOUBT_INTERVAL: Duration = Duration::from_secs(1);

/// A moment on two clocks, each of which began when the process started.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Time since then.
    pub uptime: Duration,
    /// The part of it in which the process ran: beside a pause of its own, failed openings say
    /// nothing of the time between them.
    pub running: Duration,
}

/// The latest attempt to open a connection to one replica.
#[derive(Clone, Copy, Debug)]
struct Opening {
    is_open: bool,
    at: Duration,
}

/// Numbers of replicas by the result of the latest attempt to open a connection to each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Replicas that have taken a connection.
    pub opened: usize,
    /// Replicas that have not.
    pub failed: usize,
}

/// What a daemon knows of its paths to the replicas of one service.
#[derive(Debug, Default)]
pub struct Reach {
    /// Recent openings, by the hash of the replica.
    openings: HashMap<u64, Opening>,
    /// Running time at which connections began to fail; `None` while more are opened than fail.
    failing_since: Option<Duration>,
    opened_at: Option<Duration>,
    is_doubted: bool,
    is_isolated: bool,
}

impl Reach {
    /// Records whether `replica`, one of `known`, has taken a connection. Returns whether
    /// [`Self::is_isolated()`] has changed.
    pub fn record(&mut self, replica: u64, is_open: bool, known: usize, now: Moment) -> bool {
        let Moment { uptime, running } = now;
        self.openings.retain(|_, opening| uptime < opening.at + WINDOW);
        self.openings.insert(replica, Opening { is_open, at: uptime });
        if is_open {
            self.opened_at = Some(uptime);
            self.is_doubted = false;
        }
        let Tally { opened, failed } = self.tally();
        let was_isolated = self.is_isolated;
        if opened >= failed {
            self.failing_since = None;
            self.is_isolated = false;
        } else {
            let since = *self.failing_since.get_or_insert(running);
            let least = MIN_FAILED.min(known).max(FAILED_PER_OPENED * opened);
            self.is_isolated |= failed >= least && running >= since + MIN_TIME;
        }
        self.is_isolated != was_isolated
    }

    /// The attempts that counted when the last one was recorded.
    pub fn tally(&self) -> Tally {
        let opened = self.openings.values().filter(|opening| opening.is_open).count();
        Tally { opened, failed: self.openings.len() - opened }
    }

    /// Records that a reply on an open connection is late, which may be its replica's or the
    /// path's fault; returns whether this is worth a check.
    pub fn doubt(&mut self, now: Duration) -> bool {
        self.is_doubted |= self.opened_at.is_none_or(|at| now >= at + DOUBT_INTERVAL);
        self.is_doubted
    }

    /// Whether connections should be opened to see which replicas take one.
    pub fn needs_check(&self) -> bool {
        self.is_doubted || self.failing_since.is_some()
    }

    /// Whether most replicas of the service are out of reach.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }
}
