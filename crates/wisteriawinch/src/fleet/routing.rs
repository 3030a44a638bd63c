//! The router and the calls that wait for its decisions.

use std::collections::HashMap;

use tokio::sync::oneshot;
use winch_route::{
    pool::Key,
    router::{Router, WaiterId, Wake},
    suspect::Fingerprint,
};

/// Outcome of a queued call: the upstream to start on, or `None` if its deadline passed or no
/// upstream was eligible.
pub type Start = Option<Key>;

/// The router with the channels to queued calls.
#[derive(Debug)]
pub struct Routing {
    /// Decides where and when calls start.
    pub router: Router,
    /// Senders of the outcomes of queued calls.
    waiters: HashMap<WaiterId, oneshot::Sender<Start>>,
}

/// Fingerprints of requests whose answers are running, by replica and request id.
#[derive(Debug, Default)]
pub struct Inflight(HashMap<Key, HashMap<u64, Fingerprint>>);

impl Inflight {
    /// Adds a request that starts on a replica.
    pub fn insert(&mut self, key: Key, request: u64, fingerprint: Fingerprint) {
        self.0.entry(key).or_default().insert(request, fingerprint);
    }

    /// Removes a request that ended on a replica.
    pub fn remove(&mut self, key: Key, request: u64) {
        if let Some(requests) = self.0.get_mut(&key) {
            requests.remove(&request);
        }
    }

    /// Replicas with the fingerprints of their requests.
    pub fn iter(&self) -> impl Iterator<Item = (Key, impl Iterator<Item = &Fingerprint>)> {
        self.0.iter().map(|(key, requests)| (*key, requests.values()))
    }
}

impl Routing {
    /// Creates routing state without queued calls.
    pub fn new(router: Router) -> Self {
        Self { router, waiters: HashMap::new() }
    }

    /// Registers a queued call; the receiver gets its outcome.
    pub fn register(&mut self, waiter: WaiterId) -> oneshot::Receiver<Start> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(waiter, sender);
        receiver
    }

    /// Removes a call from the queue of the version or service `runs`, because its caller
    /// disconnected.
    pub fn withdraw(&mut self, runs: &str, waiter: WaiterId) {
        self.waiters.remove(&waiter);
        self.router.remove_waiter(runs, waiter);
    }

    /// Delivers the outcomes of queued calls.
    pub(super) fn deliver(&mut self, wakes: Vec<Wake>) {
        for wake in wakes {
            let (waiter, start) = match wake {
                Wake::Start(waiter, key) => (waiter, Some(key)),
                Wake::Expired(waiter) => (waiter, None),
            };
            if let Some(sender) = self.waiters.remove(&waiter) {
                // The receiver still exists, since withdrawing a call removes its sender.
                let _ = sender.send(start);
            }
        }
    }
}
