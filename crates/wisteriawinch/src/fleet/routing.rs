//! Routing state with what the daemon needs to carry its decisions out.

use std::collections::HashMap;

use tokio::sync::oneshot;
use winch_route::{
    pool::Key,
    router::{Router, WaiterId, Wake},
    suspect::Fingerprint,
};

/// What a waiting call is told.
pub type Start = Option<Key>;

/// Routing state with what the daemon needs to carry its decisions out.
#[derive(Debug)]
pub struct Routing {
    /// The decisions.
    pub router: Router,
    waiters: HashMap<WaiterId, oneshot::Sender<Start>>,
}

/// Answers under way, by the replica that serves them.
#[derive(Debug, Default)]
pub struct Running(HashMap<Key, HashMap<u64, Fingerprint>>);

impl Running {
    /// Notes that a request runs on a replica.
    pub fn insert(&mut self, key: Key, request: u64, fingerprint: Fingerprint) {
        self.0.entry(key).or_default().insert(request, fingerprint);
    }

    /// Notes that a request no longer runs on a replica.
    pub fn remove(&mut self, key: Key, request: u64) {
        if let Some(running) = self.0.get_mut(&key) {
            running.remove(&request);
        }
    }

    /// Replicas with their fingerprints.
    pub fn iter(&self) -> impl Iterator<Item = (Key, impl Iterator<Item = &Fingerprint>)> {
        self.0.iter().map(|(key, running)| (*key, running.values()))
    }
}

impl Routing {
    /// Nobody waits yet.
    pub fn new(router: Router) -> Self {
        Self { router, waiters: HashMap::new() }
    }

    /// Registers a waiting call.
    pub fn wait(&mut self, waiting: WaiterId) -> oneshot::Receiver<Start> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(waiting, sender);
        receiver
    }

    /// Takes a waiting call out, because its caller left.
    pub fn forget(&mut self, runs: &str, waiting: WaiterId) {
        self.waiters.remove(&waiting);
        self.router.remove_waiter(runs, waiting);
    }

    /// Tells waiting calls what became of them.
    pub(super) fn carry_out(&mut self, wakes: Vec<Wake>) {
        for wake in wakes {
            let (waiting, start) = match wake {
                Wake::Start(waiting, key) => (waiting, Some(key)),
                Wake::Expired(waiting) => (waiting, None),
            };
            if let Some(sender) = self.waiters.remove(&waiting) {
                // A caller that leaves takes itself out first, so a receiver is there.
                let _ = sender.send(start);
            }
        }
    }
}
