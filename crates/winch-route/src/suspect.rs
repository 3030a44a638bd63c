//! Requests suspected of killing the engines that run them.
//!
//! A death strikes everything the engine was running. One strike proves
//! little; a second one isolates the request, a third refuses it. Strikes are
//! named by their death, so hearing of one twice changes nothing.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Fingerprint of a team's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

/// Names one death of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Crash(pub u64);

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Like any other.
    Clear,
    /// Like any other, but not beside another struck request.
    Struck,
    /// Alone on one replica, one such request at a time.
    Isolated,
    /// Not at all.
    Refused,
}

/// Limits of the board.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Strikes that isolate.
    pub isolation_threshold: usize,
    /// Strikes that refuse.
    pub refusal_threshold: usize,
    /// How long a strike counts.
    pub lifetime: Duration,
    /// Deaths within [`Options::shared_window`] that point to a shared cause.
    pub shared_crashes: usize,
    /// See [`Options::shared_crashes`].
    pub shared_window: Duration,
    /// Fingerprints remembered at most.
    pub max_fingerprints: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            isolation_threshold: 2,
            refusal_threshold: 3,
            lifetime: Duration::from_secs(600),
            shared_crashes: 4,
            shared_window: Duration::from_secs(2),
            max_fingerprints: 16_384,
        }
    }
}

/// All strikes that still count.
#[derive(Debug)]
pub struct Tracker {
    options: Options,
    strikes: HashMap<Fingerprint, Vec<(Crash, Duration)>>,
    deaths: VecDeque<(Crash, Duration)>,
}

/// Fingerprint of a prompt: white space is folded, the caller's key plays no part.
pub fn fingerprint(team: &str, model: &str, prompt: &str) -> Fingerprint {
    let words = prompt.split_whitespace().map(crate::hash::name);
    let seed = crate::hash::score(crate::hash::name(team), crate::hash::name(model));
    Fingerprint(words.fold(seed, |hash, word| crate::hash::mix(hash ^ word)))
}

impl Tracker {
    /// A board without strikes.
    pub fn new(options: Options) -> Self {
        Self { options, strikes: HashMap::new(), deaths: VecDeque::new() }
    }

    /// Notes a death and the requests it strikes; returns those newly struck.
    ///
    /// Many deaths at nearly the same time have a shared cause, such as a rack
    /// or a bad version, and then accuse nobody; but a request that was on
    /// several of the dead upstreams, one after the other, stays accused unless
    /// so many were that the version itself must be the cause.
    pub fn record_crash(
        &mut self,
        death: Crash,
        running: &[Fingerprint],
        now: Duration,
    ) -> Vec<Fingerprint> {
        if self.deaths.iter().all(|(known, _)| *known != death) {
            self.deaths.push_back((death, now));
        }
        let horizon = now.saturating_sub(self.options.shared_window);
        while self.deaths.front().is_some_and(|(_, at)| *at < horizon) {
            self.deaths.pop_front();
        }
        let struck = running
            .iter()
            .copied()
            .filter(|request| self.record_strike(*request, death, now))
            .collect();
        if self.deaths.len() >= self.options.shared_crashes {
            self.pardon();
        }
        struck
    }

    /// Takes a death back: the upstream proved to be alive.
    pub fn retract(&mut self, death: Crash) {
        self.deaths.retain(|(known, _)| *known != death);
        self.strikes.retain(|_, strikes| {
            strikes.retain(|(known, _)| *known != death);
            !strikes.is_empty()
        });
    }

    /// Notes one strike, told by a peer or found here; false if it was known.
    pub fn record_strike(&mut self, request: Fingerprint, death: Crash, now: Duration) -> bool {
        self.forget(now);
        let strikes = self.strikes.entry(request).or_default();
        let new = strikes.iter().all(|(known, _)| *known != death);
        if new {
            strikes.push((death, now));
        }
        new
    }

    /// Takes back the strikes of a burst that point to its shared cause.
    fn pardon(&mut self) {
        /// Repeated strikes in one burst that still point to single requests.
        const FEW: usize = 4;
        /// Part of the struck requests above which repeats point to the version.
        const MANY: f64 = 1.0 / 3.0;
        let burst: Vec<Crash> = self.deaths.iter().map(|(death, _)| *death).collect();
        let hits = |strikes: &[(Crash, Duration)]| {
            strikes.iter().filter(|(death, _)| burst.contains(death)).count()
        };
        let counts: Vec<usize> =
            self.strikes.values().map(|s| hits(s)).filter(|count| *count > 0).collect();
        let repeats = counts.iter().filter(|count| **count > 1).count();
        let everyone = repeats > FEW && repeats as f64 > counts.len() as f64 * MANY;
        self.strikes.retain(|_, strikes| {
            if everyone || hits(strikes) == 1 {
                strikes.retain(|(death, _)| !burst.contains(death));
            }
            !strikes.is_empty()
        });
    }

    /// Notes that a request ran to its end, which clears it.
    pub fn record_completion(&mut self, request: Fingerprint) {
        self.strikes.remove(&request);
    }

    /// How a request may run at `now`.
    pub fn disposition(&self, request: Fingerprint, now: Duration) -> Disposition {
        let Some(strikes) = self.strikes.get(&request) else {
            return Disposition::Clear;
        };
        let live = |at: Duration| now.saturating_sub(at) < self.options.lifetime;
        match strikes.iter().filter(|(_, at)| live(*at)).count() {
            0 => Disposition::Clear,
            n if n >= self.options.refusal_threshold => Disposition::Refused,
            n if n >= self.options.isolation_threshold => Disposition::Isolated,
            _ => Disposition::Struck,
        }
    }

    /// Number of fingerprints remembered.
    pub fn len(&self) -> usize {
        self.strikes.len()
    }

    /// Whether nobody was struck.
    pub fn is_empty(&self) -> bool {
        self.strikes.is_empty()
    }

    fn forget(&mut self, now: Duration) {
        if self.strikes.len() < self.options.max_fingerprints {
            return;
        }
        let life = self.options.lifetime;
        self.strikes.retain(|_, strikes| {
            strikes.retain(|(_, at)| now.saturating_sub(*at) < life);
            !strikes.is_empty()
        });
        // Under a flood of strikes the single ones say least.
        if self.strikes.len() >= self.options.max_fingerprints {
            self.strikes.retain(|_, strikes| strikes.len() > 1);
        }
    }
}
