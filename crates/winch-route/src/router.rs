//! Joins pool, gates, pacing and budgets into one machine for a daemon.
//!
//! The caller carries out what the machine returns: it starts calls on the
//! upstream named, tells waiting ones to go, and refuses the rest.

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
    /// The pool's.
    pub pool: pool::Options,
    /// The choice's.
    pub choose: choose::Options,
    /// Each gate's.
    pub admission: admission::Options,
    /// Each retry budget's.
    pub budget: budget::Options,
}

/// One call to be placed.
#[derive(Clone, Debug)]
pub struct Call {
    /// The version or service that must run it.
    pub runs: Arc<str>,
    /// Hash of its prefix.
    pub prefix: u64,
    /// Tokens that need prefill where they are not cached.
    pub prefill_tokens: usize,
    /// Restricts the choice, see [`choose::Request::move_subset`].
    pub move_subset: Option<(u64, usize)>,
    /// Who calls, and how long they wait.
    pub arrival: Arrival,
}

/// Number of a call that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// What becomes of a call that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// It starts on this upstream.
    Start(Key),
    /// It waits; a later [`Wake`] names it.
    Wait(WaiterId),
    /// It waited for nothing that could come: nothing runs it.
    NoUpstream(choose::Error),
    /// It is refused and did not run.
    Refused(Refusal),
}

/// What becomes of a call that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// It starts on this upstream.
    Start(WaiterId, Key),
    /// Its time is up; it did not run.
    Expired(WaiterId),
}

#[derive(Debug)]
struct Line {
    gate: Queue,
    waiting: HashMap<admission::WaiterId, (WaiterId, Call)>,
}

/// The whole routing state of a daemon.
#[derive(Debug)]
pub struct Router {
    options: Options,
    dc: Arc<str>,
    /// The upstreams.
    pub pool: Pool,
    lines: HashMap<Arc<str>, Line>,
    budgets: HashMap<Arc<str>, Budget>,
    pacers: HashMap<Arc<str>, Pacer>,
    random: u64,
    next: u64,
}

impl Router {
    /// An empty router; `seed` makes its choices repeatable.
    pub fn new(daemon: &str, dc: Arc<str>, options: Options, seed: u64) -> Self {
        Self {
            options,
            dc: dc.clone(),
            pool: Pool::new(daemon, dc, options.pool),
            lines: HashMap::new(),
            budgets: HashMap::new(),
            pacers: HashMap::new(),
            random: seed,
            next: 0,
        }
    }

    /// Places a new call: starts it, lets it wait, or refuses it.
    pub fn place(&mut self, call: Call, now: Duration) -> Placement {
        self.budget(&call.runs).earn();
        let queue = self.lines.get(&call.runs).is_some_and(|line| line.gate.waiting() > 0);
        let chosen = if queue { Err(choose::Error::AllFull) } else { self.choose(&call, &[], now) };
        match chosen {
            Ok(key) => {
                self.pool.begin(key, call.prefix);
                Placement::Start(key)
            }
            Err(choose::Error::AllFull | choose::Error::NoneEligible) => self.wait(call, now),
            Err(error) => Placement::NoUpstream(error),
        }
    }

    /// Starts a call if an upstream has room now; it never waits.
    ///
    /// # Errors
    /// A [`choose::Error`]; the call did not run.
    pub fn try_start(&mut self, call: &Call, now: Duration) -> Result<Key, choose::Error> {
        let key = self.choose(call, &[], now)?;
        self.pool.begin(key, call.prefix);
        Ok(key)
    }

    fn wait(&mut self, call: Call, now: Duration) -> Placement {
        let options = self.options.admission;
        let line = self
            .lines
            .entry(call.runs.clone())
            .or_insert_with(|| Line { gate: Queue::new(options), waiting: HashMap::new() });
        match line.gate.enqueue(&call.arrival, now) {
            Ok(ticket) => {
                let waiting = WaiterId(self.next);
                self.next += 1;
                line.waiting.insert(ticket, (waiting, call));
                Placement::Wait(waiting)
            }
            Err(refusal) => Placement::Refused(refusal),
        }
    }

    /// Chooses another upstream for a call whose attempt was lost or never began.
    ///
    /// It goes before everything that waits and may exceed an upstream's room:
    /// the work it continues was already admitted.
    ///
    /// # Errors
    /// A [`choose::Error`] when nothing fit is left.
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
        let fit = self.fit(&call.runs, now).filter(|key| !tried.contains(key));
        let usual = self.pool.typical_load(&call.runs, now);
        let load = |key: Key| self.pool.get(key).map_or(f64::MAX, |r| r.load(usual, now));
        fit.min_by(|a, b| load(*a).total_cmp(&load(*b))).ok_or(choose::Error::NoneEligible)
    }

    fn fit(&self, runs: &str, now: Duration) -> impl Iterator<Item = Key> {
        self.pool.members(runs).iter().copied().filter(move |key| {
            let healthy = |r: &Candidate| !r.is_ejected(now) && !r.is_suspected(now);
            self.pool.get(*key).is_some_and(healthy) && !self.pool.is_leaving(*key)
        })
    }

    /// Counts a call that was placed by other means, such as on a named replica.
    pub fn begin(&mut self, key: Key, prefix: u64) {
        self.pool.begin(key, prefix);
    }

    /// Counts the end of a call and wakes those that may start now.
    pub fn finish(&mut self, key: Key, finish: Finish, now: Duration) -> Vec<Wake> {
        let Some(runs) = self.pool.get(key).map(|replica| replica.spec.runs.clone()) else {
            return Vec::new();
        };
        self.pool.finish(key, finish, now);
        let mut wakes = Vec::new();
        self.serve(&runs, now, &mut wakes);
        wakes
    }

    /// Wakes what may start and what waited too long. Call it every few hundredths of a second.
    pub fn tick(&mut self, now: Duration) -> Vec<Wake> {
        let mut wakes = Vec::new();
        let lines: Vec<Arc<str>> = self.lines.keys().cloned().collect();
        for runs in lines {
            self.expire(&runs, now, &mut wakes);
            self.serve(&runs, now, &mut wakes);
        }
        wakes
    }

    fn expire(&mut self, runs: &str, now: Duration, wakes: &mut Vec<Wake>) {
        let Some(line) = self.lines.get_mut(runs) else {
            return;
        };
        for ticket in line.gate.expire(now) {
            if let Some((waiting, _)) = line.waiting.remove(&ticket) {
                wakes.push(Wake::Expired(waiting));
            }
        }
    }

    fn serve(&mut self, runs: &str, now: Duration, wakes: &mut Vec<Wake>) {
        while self.has_room(runs, now) {
            let Some(line) = self.lines.get_mut(runs) else {
                return;
            };
            let Some(ticket) = line.gate.start_next(now) else {
                return;
            };
            let Some((waiting, call)) = line.waiting.remove(&ticket) else {
                continue;
            };
            match self.reassign(&call, &[], now) {
                Ok(key) => wakes.push(Wake::Start(waiting, key)),
                Err(_) => wakes.push(Wake::Expired(waiting)),
            }
        }
    }

    fn has_room(&self, runs: &str, now: Duration) -> bool {
        let usual = self.pool.typical_load(runs, now);
        let open = |key| self.pool.get(key).is_some_and(|r| r.has_room(usual, now));
        self.fit(runs, now).any(open)
    }

    /// Takes a waiting call out, such as one whose caller left.
    pub fn remove_waiter(&mut self, runs: &str, waiting: WaiterId) {
        let Some(line) = self.lines.get_mut(runs) else {
            return;
        };
        let ticket = line.waiting.iter().find(|(_, held)| held.0 == waiting).map(|(t, _)| *t);
        if let Some(ticket) = ticket {
            line.waiting.remove(&ticket);
            line.gate.remove(ticket);
        }
    }

    /// Calls that wait for one version or service.
    pub fn waiting(&self, runs: &str) -> usize {
        self.lines.get(runs).map_or(0, |line| line.gate.waiting())
    }

    /// Takes a retry from the budget of a version or service, if there is one.
    pub fn spend_retry(&mut self, runs: &Arc<str>) -> bool {
        self.budget(runs).spend()
    }

    fn budget(&mut self, runs: &Arc<str>) -> &mut Budget {
        let options = self.options.budget;
        self.budgets.entry(runs.clone()).or_insert_with(|| Budget::new(options))
    }

    /// The pacer of a version, with the number of its fit replicas.
    pub fn pacer(&mut self, runs: &Arc<str>, now: Duration) -> (&mut Pacer, usize) {
        let fit = self.fit(runs, now).count();
        (self.pacers.entry(runs.clone()).or_default(), fit)
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
