//! Counts the requests that run in a daemon, and what it has room for.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use crate::prelude::*;

/// Time for which a daemon that did not take a request is not asked again.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Number of forwarded requests for which a daemon has room whatever it serves itself.
const MIN_ROOM: usize = 64;
/// Forwarded requests for which a daemon has room for each request of its own callers.
const ROOM_PER_OWN: usize = 3;

/// Counts the requests that run in this daemon.
#[derive(Debug, Default)]
pub struct Running {
    own: AtomicUsize,
    forwarded: AtomicUsize,
    /// Until when daemons that did not take a request are not asked.
    avoided: Mutex<HashMap<SocketAddr, Instant>>,
}

/// Guard of one running request.
#[derive(Debug)]
pub struct RunningGuard<'a>(&'a AtomicUsize);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Running {
    /// Counts a request of an own caller until the guard is dropped.
    pub fn enter_own(&self) -> RunningGuard<'_> {
        self.own.fetch_add(1, Ordering::Relaxed);
        RunningGuard(&self.own)
    }

    /// Counts a forwarded request until the guard is dropped; `None` if there is no room for it.
    pub fn enter_forwarded(&self) -> Option<RunningGuard<'_>> {
        let room = MIN_ROOM.max(ROOM_PER_OWN * self.own.load(Ordering::Relaxed));
        let running = self.forwarded.fetch_add(1, Ordering::Relaxed);
        let guard = RunningGuard(&self.forwarded);
        (running < room).then_some(guard)
    }

    /// Whether no request of another daemon runs here.
    pub fn serves_no_daemon(&self) -> bool {
        self.forwarded.load(Ordering::Relaxed) == 0
    }

    /// Records that a daemon did not take a request.
    pub(super) fn avoid(&self, daemon: SocketAddr) {
        let now = Instant::now();
        let mut avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        avoided.retain(|_, until| now < *until);
        avoided.insert(daemon, now + AVOID_TIME);
    }

    /// Whether a daemon has not taken a request lately.
    pub(super) fn is_avoided(&self, daemon: SocketAddr) -> bool {
        let avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        avoided.get(&daemon).is_some_and(|until| Instant::now() < *until)
    }
}
