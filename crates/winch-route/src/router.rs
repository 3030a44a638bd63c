//! Routing state of a daemon: pool, admission queues, pacers and retry budgets.
//!
//! The router only decides. Its user sends calls to the upstreams that it
//! returns, wakes the queued calls that it names, and refuses the others.

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

/// Settings of all parts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Options {
    /// Limits of the pool.
    pub pool: pool::Options,
    /// Weights of the choice.
    pub choose: choose::Options,
    /// Limits of each admission queue.
    pub admission: admission::Options,
    /// Size of each retry budget.
    pub budget: budget::Options,
}

/// A call that needs an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// The version or service that must run it.
    pub runs: Arc<str>,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Tokens that need prefill where they are not cached.
    pub prefill_tokens: usize,
    /// Restricts the choice, see [`choose::Request::move_subset`].
    pub move_subset: Option<(u64, usize)>,
    /// The caller's team and how long it waits.
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
    /// It did not run, as its deadline passed or no upstream is eligible.
    Expired(WaiterId),
}

/// The queued calls of one version or service.
#[derive(Debug)]
struct QueuedCalls {
    queue: Queue,
    calls: HashMap<admission::WaiterId, (WaiterId, Call)>,
}

/// The whole routing state of a daemon.
#[derive(Debug)]
pub struct Router {
    options: Options,
    dc: Arc<str>,
    /// The upstreams.
    pub pool: Pool,
    waiting: HashMap<Arc<str>, QueuedCalls>,
    budgets: HashMap<Arc<str>, Budget>,
    pacers: HashMap<Arc<str>, Pacer>,
    random: u64,
    next: u64,
}

impl Router {
    /// Creates an empty router; the same `seed` gives the same choices.
    pub fn new(daemon: &str, dc: Arc<str>, options: Options, seed: u64) -> Self {
        Self {
            options,
            dc: dc.clone(),
            pool: Pool::new(daemon, dc, options.pool),
            waiting: HashMap::new(),
            budgets: HashMap::new(),
            pacers: HashMap::new(),
            random: seed,
            next: 0,
        }
    }

    /// Decides whether a new call starts, is queued or is refused.
    pub fn place(&mut self, call: Call, now: Duration) -> Placement {
        self.budget(&call.runs).earn();
        let queued =
            self.waiting.get(&call.runs).is_some_and(|waiting| waiting.queue.waiting() > 0);
        let chosen =
            if queued { Err(choose::Error::AllFull) } else { self.choose(&call, &[], now) };
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
    /// # Errors
    /// A [`choose::Error`] if no upstream can be chosen; the call did not run.
    pub fn try_start(&mut self, call: &Call, now: Duration) -> Result<Key, choose::Error> {
        let key = self.choose(call, &[], now)?;
        self.pool.begin(key, call.prefix);
        Ok(key)
    }

    fn enqueue(&mut self, call: Call, now: Duration) -> Placement {
        let options = self.options.admission;
        let waiting = self
            .waiting
            .entry(call.runs.clone())
            .or_insert_with(|| QueuedCalls { queue: Queue::new(options), calls: HashMap::new() });
        match waiting.queue.enqueue(&call.arrival, now) {
            Ok(queue_id) => {
                let waiter = WaiterId(self.next);
                self.next += 1;
                waiting.calls.insert(queue_id, (waiter, call));
                Placement::Wait(waiter)
            }
            Err(refusal) => Placement::Refused(refusal),
        }
    }

    /// Chooses an upstream, not in `tried`, for a call whose attempt failed or never began.
    ///
    /// The call bypasses the queue and may exceed the limit of the upstream, since
    /// its work has already been admitted.
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

    fn eligible(&self, runs: &str, now: Duration) -> impl Iterator<Item = Key> {
        self.pool.members(runs).iter().copied().filter(move |key| {
            let healthy = |c: &Candidate| !c.is_ejected(now) && !c.is_suspected(now);
            self.pool.get(*key).is_some_and(healthy) && !self.pool.is_leaving(*key)
        })
    }

    /// Counts a call that was placed without the router, such as on a replica chosen by name.
    pub fn begin(&mut self, key: Key, prefix: u64) {
        self.pool.begin(key, prefix);
    }

    /// Counts the end of a call and returns the queued calls that may start now.
    pub fn finish(&mut self, key: Key, finish: Finish, now: Duration) -> Vec<Wake> {
        let Some(runs) = self.pool.get(key).map(|candidate| candidate.spec.runs.clone()) else {
            return Vec::new();
        };
        self.pool.finish(key, finish, now);
        let mut wakes = Vec::new();
        self.start_waiting(&runs, now, &mut wakes);
        wakes
    }

    /// Returns the queued calls that may start or have expired.
    ///
    /// Must be called at intervals of some ten milliseconds.
    pub fn tick(&mut self, now: Duration) -> Vec<Wake> {
        let mut wakes = Vec::new();
        let all_runs: Vec<Arc<str>> = self.waiting.keys().cloned().collect();
        for runs in all_runs {
            self.expire(&runs, now, &mut wakes);
            self.start_waiting(&runs, now, &mut wakes);
        }
        wakes
    }

    fn expire(&mut self, runs: &str, now: Duration, wakes: &mut Vec<Wake>) {
        let Some(waiting) = self.waiting.get_mut(runs) else {
            return;
        };
        for queue_id in waiting.queue.expire(now) {
            if let Some((waiter, _)) = waiting.calls.remove(&queue_id) {
                wakes.push(Wake::Expired(waiter));
            }
        }
    }

    fn start_waiting(&mut self, runs: &str, now: Duration, wakes: &mut Vec<Wake>) {
        while self.has_room(runs, now) {
            let Some(waiting) = self.waiting.get_mut(runs) else {
                return;
            };
            let Some(queue_id) = waiting.queue.start_next(now) else {
                return;
            };
            let Some((waiter, call)) = waiting.calls.remove(&queue_id) else {
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
        let open = |key| self.pool.get(key).is_some_and(|c| c.has_room(typical_load, now));
        self.eligible(runs, now).any(open)
    }

    /// Removes a queued call, such as one whose caller disconnected.
    pub fn remove_waiter(&mut self, runs: &str, waiter: WaiterId) {
        let Some(waiting) = self.waiting.get_mut(runs) else {
            return;
        };
        let queue_id =
            waiting.calls.iter().find(|(_, queued)| queued.0 == waiter).map(|(id, _)| *id);
        if let Some(queue_id) = queue_id {
            waiting.calls.remove(&queue_id);
            waiting.queue.remove(queue_id);
        }
    }

    /// Number of queued calls of one version or service.
    pub fn waiting(&self, runs: &str) -> usize {
        self.waiting.get(runs).map_or(0, |waiting| waiting.queue.waiting())
    }

    /// Takes a retry from the budget of a version or service; false if none is left.
    pub fn spend_retry(&mut self, runs: &Arc<str>) -> bool {
        self.budget(runs).spend()
    }

    fn budget(&mut self, runs: &Arc<str>) -> &mut Budget {
        let options = self.options.budget;
        self.budgets.entry(runs.clone()).or_insert_with(|| Budget::new(options))
    }

    /// The pacer of a version, with the number of its eligible replicas.
    pub fn pacer(&mut self, runs: &Arc<str>, now: Duration) -> (&mut Pacer, usize) {
        let eligible = self.eligible(runs, now).count();
        (self.pacers.entry(runs.clone()).or_default(), eligible)
    }

    fn choose(&mut self, call: &Call, tried: &[Key], now: Duration) -> Result<Key, choose::Error> {
        self.random = hash::mix(self.random);
        let request = choose::Request {
            runs: &call.runs,
            prefix: call.prefix,
            prefill_tokens: call.prefill_tokens,
            exclude: tried,
            move_subset: call.move_subset,
            dc: &self.dc,
        };
        choose(&self.pool, &request, &self.options.choose, self.random, now)
    }
}
