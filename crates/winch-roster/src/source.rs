//! Whom a daemon follows, and when it reads the list itself.
//!
//! Of the daemons that serve others, the first one in the order of their addresses that is up to
//! date reads; the next ones follow it and take over. All other daemons follow any of them. A
//! [`Rotation`] tries the sources one after the other until none is left.
//!
//! A server follows only a daemon that reads, so that servers never follow each other in a
//! circle.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng, seq::IteratorRandom};

/// Time for which a source must have been followed to count as up to date.
const MIN_FOLLOWED_TIME: Duration = Duration::from_secs(1);
/// Time after a daemon's start within which a source may be unreachable because it is started,
/// too.
const UNREACHABLE_PATIENCE: Duration = Duration::from_millis(1_200);
/// Time after a daemon's start within which a source may still be making its first read.
const STARTING_PATIENCE: Duration = Duration::from_millis(3_000);
/// Longest time for which the last stale source is still followed after all were tried, as a
/// share of the age above which state is stale.
const LINGER_SHARE: f64 = 0.33;

/// What a daemon does for others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It serves others. It reads unless one of the daemons that precede it does.
    Server {
        /// Daemons that precede it, first the one that is to read.
        preceding: Vec<SocketAddr>,
        /// Daemons that follow it in the order; it follows one of them only if it cannot read.
        succeeding: Vec<SocketAddr>,
    },
    /// It follows one of the servers.
    Follower {
        /// All servers.
        servers: Vec<SocketAddr>,
    },
}

impl Role {
    /// The role of the daemon at `own` in a fleet with these servers. Without any, every daemon
    /// reads.
    pub fn new(servers: &[SocketAddr], own: SocketAddr) -> Self {
        if !servers.is_empty() && !servers.contains(&own) {
            return Self::Follower { servers: servers.to_vec() };
        }
        let mut others = servers.to_vec();
        others.sort_unstable();
        others.retain(|server| *server != own);
        let (preceding, succeeding) = others.into_iter().partition(|server| *server < own);
        Self::Server { preceding, succeeding }
    }

    /// The daemons that may be followed; `can_read` tells whether this one reads the list without
    /// failures.
    pub fn sources(&self, can_read: bool) -> Vec<SocketAddr> {
        match self {
            Self::Server { preceding, .. } if can_read => preceding.clone(),
            Self::Server { preceding, succeeding } => [&preceding[..], succeeding].concat(),
            Self::Follower { servers } => servers.clone(),
        }
    }

    /// The role of a follower while it is elected to read for others: all servers precede it.
    pub fn elected(&self) -> Self {
        Self::Server { preceding: self.sources(false), succeeding: Vec::new() }
    }

    /// Whether other daemons follow this one.
    pub fn serves(&self) -> bool {
        matches!(self, Self::Server { .. })
    }
}

/// Why a source is not followed any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It has made no read yet.
    Starting,
    /// Its state is older than allowed, or older than the follower's.
    Stale,
    /// The connection failed, or the source sent nothing usable.
    Unreachable,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Follow this source.
    Follow(SocketAddr),
    /// Follow this source although it is stale, for this share of the age above which state is
    /// stale: when all sources are, the store itself may be slow, and the daemons should not all
    /// turn to it at the same time.
    Linger(SocketAddr, f64),
    /// Try again later, as the sources may be starting.
    Wait,
    /// Read the list directly.
    Read,
}

/// The sources that were tried since one was last up to date.
#[derive(Debug, Default)]
pub struct Rotation {
    tried: Vec<SocketAddr>,
    /// The last stale source; taken when it is followed again.
    stale: Option<SocketAddr>,
    waits: bool,
}

impl Rotation {
    /// The next step of a follower of `sources`.
    pub fn next<R: Rng>(&mut self, sources: &[SocketAddr], rng: &mut R) -> Step {
        if std::mem::take(&mut self.waits) {
            return Step::Wait;
        }
        let untried = sources.iter().filter(|source| !self.tried.contains(source));
        if let Some(source) = untried.choose(rng) {
            return Step::Follow(*source);
        }
        match self.stale.take() {
            Some(source) => Step::Linger(source, LINGER_SHARE * rng.random::<f64>()),
            None => Step::Read,
        }
    }

    /// Number of `sources` that were not tried yet.
    pub fn untried(&self, sources: &[SocketAddr]) -> usize {
        sources.iter().filter(|source| !self.tried.contains(source)).count()
    }

    /// Records why `source` is not followed any more after it was for `followed`. `starting` is
    /// the time since the start of a daemon that has no list yet, and `None` for any other.
    ///
    /// Returns whether the source counts as lost, and not only as starting.
    pub fn ended(
        &mut self,
        source: SocketAddr,
        end: End,
        followed: Duration,
        starting: Option<Duration>,
    ) -> bool {
        let patience = match end {
            End::Starting => STARTING_PATIENCE,
            End::Stale | End::Unreachable => UNREACHABLE_PATIENCE,
        };
        if starting.is_some_and(|uptime| uptime < patience) {
            self.waits = true;
            return false;
        }
        if followed >= MIN_FOLLOWED_TIME {
            *self = Self::default();
        }
        let is_first_try = !self.tried.contains(&source);
        self.tried.push(source);
        if is_first_try && end == End::Stale {
            self.stale = Some(source);
        }
        true
    }
}
