//! Routing state of a daemon: pool, admission queues, pacers and retry budgets.
//!
//! The daemon passes in new calls, the ends of calls and periodic ticks. The router
//! returns the upstream that a call starts on, the queued calls that start or have
//! expired, or the reason for a refusal. It does no I/O: the daemon sends the calls.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    admission::{self, Arrival, Queue, Refusal},
    budget::{self, Budget},
    candidate::{Candidate, Finish},
    choose::{self, choose},
    hash,
    pace::Pacer,
    pool::{self, Key, Pool},
};

/// Settings of the pool, the choice of an upstream, the admission queues and the retry budgets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Options {
    /// Limits of the pool.
    pub pool: pool::Options,
    /// Number of compared upstreams and the weights of their cost.
    pub choose: choose::Options,
    /// Limits of each admission queue.
    pub admission: admission::Options,
    /// Refill rate and size of each retry budget.
    pub budget: budget::Options,
}

/// A call that needs an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// The version or service that must run it.
    pub runs: Arc<str>,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Prompt and accepted tokens that need prefill where they are not cached.
    pub prefill_tokens: usize,
    /// Restricts the choice to some upstreams, see [`choose::Request::move_subset`].
    pub move_subset: Option<(u64, usize)>,
    /// The caller's team, the urgency of the call and how long the caller waits.
    pub arrival: Arrival,
}

/// Identifies a queued call within its [`Router`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// Decision on a new call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// It starts on this upstream.
    Start(Key),
    /// It is queued; a later [`Wake`] carries its id.
    Wait(WaiterId),
    /// It does not run and is not queued, as no upstream runs its version or service.
    NoUpstream(choose::Error),
    /// It does not run, as the admission queue refuses it.
    Refused(Refusal),
}

/// Decision on a queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// It starts on this upstream.
    Start(WaiterId, Key),
    /// It does not run, as its deadline passed, no upstream is eligible or none is configured.
    Expired(WaiterId),
}

/// The queued calls of one version or service.
#[derive(Debug)]
struct QueuedCalls {
    queue: Queue,
    /// Each queued call with its id in the router, by its id in the queue.
    calls: HashMap<admission::WaiterId, (WaiterId, Call)>,
}

/// The whole routing state of a daemon.
#[derive(Debug)]
pub struct Router {
    options: Options,
    dc: Arc<str>,
    /// The upstreams.
    pub pool: Pool,
    queues: HashMap<Arc<str>, QueuedCalls>,
    budgets: HashMap<Arc<str>, Budget>,
    pacers: HashMap<Arc<str>, Pacer>,
    /// State of the random number generator.
    random_state: u64,
    /// Id of the next queued call.
    next_waiter: u64,
}

impl Router {
    /// Creates an empty router; the same `seed` gives the same choices.
    pub fn new(daemon: &str, dc: Arc<str>, options: Options, seed: u64) -> Self {
        Self {
            options,
            dc: dc.clone(),
            pool: Pool::new(daemon, dc, options.pool),
            queues: HashMap::new(),
            budgets: HashMap::new(),
            pacers: HashMap::new(),
            random_state: seed,
            next_waiter: 0,
        }
    }

    /// Decides whether a new call starts, is queued or is refused.
    ///
    /// Each call adds to the retry budget of its version or service. A call is queued
    /// behind earlier ones even if an upstream has room.
    pub fn place(&mut self, call: Call, now: Duration) -> Placement {
        self.budget(&call.runs).earn();
        let has_waiters =
            self.queues.get(&call.runs).is_some_and(|queued| queued.queue.waiting() > 0);
        let chosen =
            if has_waiters { Err(choose::Error::AllFull) } else { self.choose(&call, &[], now) };
        match chosen {
            Ok(key) => {
                self.pool.begin(key, call.prefix);
                Placement::Start(key)
            }
            Err(choose::Error::AllFull | choose::Error::NoneEligible) => self.enqueue(call, now),
            Err(error) => Placement::NoUpstream(error),
        }
    }

    /// Starts a call if an upstream has room now, and never queues it.
    ///
    /// Unlike [`Router::place`], it starts the call before the queued ones and adds nothing
    /// to the retry budget.
    ///
    /// # Errors
    /// A [`choose::Error`] if no upstream can be chosen; the call did not run.
    pub fn try_start(&mut self, call: &Call, now: Duration) -> Result<Key, choose::Error> {
        let key = self.choose(call, &[], now)?;
        self.pool.begin(key, call.prefix);
        Ok(key)
    }

    fn enqueue(&mut self, call: Call, now: Duration) -> Placement {
        let options = self.options.admission;
        let queued = self
            .queues
            .entry(call.runs.clone())
            .or_insert_with(|| QueuedCalls { queue: Queue::new(options), calls: HashMap::new() });
        match queued.queue.enqueue(&call.arrival, now) {
            Ok(queue_id) => {
                let waiter = WaiterId(self.next_waiter);
                self.next_waiter += 1;
                queued.calls.insert(queue_id, (waiter, call));
                Placement::Wait(waiter)
            }
            Err(refusal) => Placement::Refused(refusal),
        }
    }

    /// Chooses an upstream, not in `tried`, for a call whose attempt failed or never began.
    ///
    /// The call bypasses the queue and may exceed the limit of the upstream, since
    /// its work has already been admitted. It is counted on the returned upstream.
    ///
    /// # Errors
    /// A [`choose::Error`] if no eligible upstream is left.
    pub fn reassign(
        &mut self,
        call: &Call,
        tried: &[Key],
        now: Duration,
    ) -> Result<Key, choose::Error> {
        let key = match self.choose(call, tried, now) {
            Err(choose::Error::AllFull) => self.least_loaded(call, tried, now)?,
            chosen => chosen?,
        };
        self.pool.begin(key, call.prefix);
        Ok(key)
    }

    fn least_loaded(
        &self,
        call: &Call,
        tried: &[Key],
        now: Duration,
    ) -> Result<Key, choose::Error> {
        let eligible = self.eligible(&call.runs, now).filter(|key| !tried.contains(key));
        let typical_load = self.pool.typical_load(&call.runs, now);
        let load = |key: Key| self.pool.get(key).map_or(f64::MAX, |c| c.load(typical_load, now));
        eligible.min_by(|a, b| load(*a).total_cmp(&load(*b))).ok_or(choose::Error::NoneEligible)
    }

    /// Whether [`Self::reassign()`] finds an upstream that is not in `tried`.
    pub fn has_eligible(&self, runs: &str, tried: &[Key], now: Duration) -> bool {
        self.eligible(runs, now).any(|key| !tried.contains(&key))
    }

    fn eligible(&self, runs: &str, now: Duration) -> impl Iterator<Item = Key> {
        self.pool.members(runs).iter().copied().filter(move |key| {
            let is_healthy = |c: &Candidate| !c.is_ejected(now) && !c.is_stalled(now);
            self.pool.get(*key).is_some_and(is_healthy) && !self.pool.is_leaving(*key)
        })
    }

    /// Counts a call that was placed without the router, such as on a replica chosen by name.
    pub fn begin(&mut self, key: Key, prefix: u64) {
        self.pool.begin(key, prefix);
    }

    /// Counts the end of a call and returns the queued calls that start now or can no longer run.
    ///
    /// A call that starts is already counted on its upstream. Returns nothing if the
    /// upstream `key` has left the configuration.
    pub fn finish(&mut self, key: Key, finish: Finish, now: Duration) -> Vec<Wake> {
        let Some(runs) = self.pool.get(key).map(|candidate| candidate.spec.runs.clone()) else {
            return Vec::new();
        };
        self.pool.finish(key, finish, now);
        let mut wakes = Vec::new();
        self.start_waiting(&runs, now, &mut wakes);
        wakes
    }

    /// Returns the queued calls of all versions and services that start now or have expired.
    ///
    /// A call that starts is already counted on its upstream. Must be called every few tens
    /// of milliseconds, as load reports and the ends of ejections also make room.
    pub fn tick(&mut self, now: Duration) -> Vec<Wake> {
        let mut wakes = Vec::new();
        let queue_names: Vec<Arc<str>> = self.queues.keys().cloned().collect();
        for runs in queue_names {
            self.expire(&runs, now, &mut wakes);
            self.start_waiting(&runs, now, &mut wakes);
        }
        wakes
    }

    fn expire(&mut self, runs: &str, now: Duration, wakes: &mut Vec<Wake>) {
        let Some(queued) = self.queues.get_mut(runs) else {
            return;
        };
        if self.pool.members(runs).is_empty() {
            // The configuration lists no upstream any more that could take them.
            wakes.extend(queued.calls.values().map(|(waiter, _)| Wake::Expired(*waiter)));
            self.queues.remove(runs);
            return;
        }
        for queue_id in queued.queue.expire(now) {
            if let Some((waiter, _)) = queued.calls.remove(&queue_id) {
                wakes.push(Wake::Expired(waiter));
            }
        }
    }

    fn start_waiting(&mut self, runs: &str, now: Duration, wakes: &mut Vec<Wake>) {
        while self.has_room(runs, now) {
            let Some(queued) = self.queues.get_mut(runs) else {
                return;
            };
            let Some(queue_id) = queued.queue.start_next(now) else {
                return;
            };
            let Some((waiter, call)) = queued.calls.remove(&queue_id) else {
                continue;
            };
            match self.reassign(&call, &[], now) {
                Ok(key) => wakes.push(Wake::Start(waiter, key)),
                Err(_) => wakes.push(Wake::Expired(waiter)),
            }
        }
    }

    fn has_room(&self, runs: &str, now: Duration) -> bool {
        let typical_load = self.pool.typical_load(runs, now);
        let has_room = |key| self.pool.get(key).is_some_and(|c| c.has_room(typical_load, now));
        self.eligible(runs, now).any(has_room)
    }

    /// Removes a queued call, such as one whose caller disconnected.
    pub fn remove_waiter(&mut self, runs: &str, waiter: WaiterId) {
        let Some(queued) = self.queues.get_mut(runs) else {
            return;
        };
        let queue_id = queued.calls.iter().find(|(_, entry)| entry.0 == waiter).map(|(id, _)| *id);
        if let Some(queue_id) = queue_id {
            queued.calls.remove(&queue_id);
            queued.queue.remove(queue_id);
        }
    }

    /// Number of queued calls of one version or service.
    pub fn waiting(&self, runs: &str) -> usize {
        self.queues.get(runs).map_or(0, |queued| queued.queue.waiting())
    }

    /// Takes a retry from the budget of a version or service; false if none is left.
    pub fn spend_retry(&mut self, runs: &Arc<str>) -> bool {
        self.budget(runs).spend()
    }

    fn budget(&mut self, runs: &Arc<str>) -> &mut Budget {
        let options = self.options.budget;
        self.budgets.entry(runs.clone()).or_insert_with(|| Budget::new(options))
    }

    /// The resume pacer of a version, with the number of the version's eligible replicas.
    pub fn pacer(&mut self, runs: &Arc<str>, now: Duration) -> (&mut Pacer, usize) {
        let eligible = self.eligible(runs, now).count();
        (self.pacers.entry(runs.clone()).or_default(), eligible)
    }

    fn choose(&mut self, call: &Call, tried: &[Key], now: Duration) -> Result<Key, choose::Error> {
        self.random_state = hash::mix(self.random_state);
        let request = choose::Request {
            runs: &call.runs,
            prefix: call.prefix,
            prefill_tokens: call.prefill_tokens,
            tried,
            move_subset: call.move_subset,
            dc: &self.dc,
        };
        choose(&self.pool, &request, &self.options.choose, self.random_state, now)
    }
}
