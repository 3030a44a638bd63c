//! Attributes crashes of replicas to parts of prompts that requests share.
//!
//! A part on which replicas crash does so in every request that holds it, so that requests which
//! are never repeated can crash one replica after the other. A part is quarantined once several
//! crashes have struck several requests that hold it, and no request that holds it has survived
//! meanwhile. Parts that sound requests hold, too, are cleared by those that survive. A crash
//! that a quarantined part explains counts against nothing else, unless the part is cleared.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use crate::{
    hash,
    suspect::{Crash, Fingerprint},
};

/// Largest number of strikes that are kept for one part.
const MAX_STRIKES: usize = 32;

/// Identifies a part of the prompts of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Part(pub u64);

impl Part {
    /// The part `id` in prompts for `service`.
    pub fn new(service: &str, id: &str) -> Self {
        Self(hash::score(hash::name(service), hash::name(id)))
    }
}

/// Thresholds and limits of a ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Number of crashes at which a part is quarantined.
    pub crash_threshold: usize,
    /// Number of crashes of one request that count, so that a request which crashes replicas by
    /// itself does not quarantine the parts that it shares with others.
    pub crashes_per_request: usize,
    /// How long a strike counts, and how long a quarantine lasts after its last crash.
    pub lifetime: Duration,
    /// How long a part gets no strikes after a request that holds it has survived.
    pub clearance: Duration,
    /// Time from the last crash of a quarantined part until a request may try it again; doubles
    /// with each trial.
    pub trial_interval: Duration,
    /// Number of parts at which old entries are dropped to make room.
    pub max_parts: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            crash_threshold: 3,
            crashes_per_request: 2,
            lifetime: Duration::from_secs(600),
            clearance: Duration::from_secs(30),
            trial_interval: Duration::from_secs(30),
            max_parts: 16_384,
        }
    }
}

/// One crash of an upstream before a request that holds a part had survived there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    /// The request.
    pub request: Fingerprint,
    /// The crash.
    pub crash: Crash,
    /// When it was observed.
    pub at: Duration,
}

/// The strikes against one part.
#[derive(Debug, Default)]
struct Case {
    strikes: Vec<Strike>,
    /// When a quarantined part last crashed a replica; `None` if it is not quarantined.
    last_crash_at: Option<Duration>,
    /// Number of trials since the quarantine.
    trials: u32,
}

impl Case {
    fn add(&mut self, strike: Strike) {
        let Strike { request, crash, .. } = strike;
        if self.strikes.iter().any(|known| known.request == request && known.crash == crash) {
            return;
        }
        if self.strikes.len() == MAX_STRIKES {
            self.strikes.remove(0);
        }
        self.strikes.push(strike);
    }

    /// Number of crashes that count: those for which `is_open` holds, each one once, and only some
    /// of each request.
    fn evidence(&self, is_open: impl Fn(Crash) -> bool, crashes_per_request: usize) -> usize {
        let mut crashes = HashSet::new();
        let mut requests = HashMap::<Fingerprint, usize>::new();
        for strike in self.strikes.iter().filter(|strike| is_open(strike.crash)) {
            let count = requests.entry(strike.request).or_default();
            if *count < crashes_per_request && crashes.insert(strike.crash) {
                *count += 1;
            }
        }
        crashes.len()
    }
}

/// The quarantined part that explains a crash.
#[derive(Clone, Copy, Debug)]
struct Cause {
    part: Part,
    at: Duration,
}

/// The strikes against all parts.
#[derive(Debug)]
pub struct Ledger {
    options: Options,
    cases: HashMap<Part, Case>,
    /// When a request that holds the part last survived.
    cleared: HashMap<Part, Duration>,
    /// Crashes that quarantined parts explain.
    explained: HashMap<Crash, Cause>,
}

/// What a strike changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Finding {
    /// The part that is quarantined because of the strike.
    pub quarantined: Option<Part>,
    /// Crashes that are now explained by a quarantined part.
    pub explained: Vec<Crash>,
}

impl Ledger {
    /// Creates a ledger without strikes.
    pub fn new(options: Options) -> Self {
        let (cases, cleared, explained) = Default::default();
        Self { options, cases, cleared, explained }
    }

    /// Records that an upstream crashed before `request`, whose prompt has the shared `parts` in
    /// this order, had survived there.
    ///
    /// If several parts reach the threshold the last one is quarantined: requests that hold it
    /// are the fewest.
    pub fn record_strike(
        &mut self,
        request: Fingerprint,
        crash: Crash,
        parts: &[Part],
        now: Duration,
    ) -> Finding {
        self.expire(now);
        let strike = Strike { request, crash, at: now };
        let suspects: Vec<Part> =
            parts.iter().copied().filter(|part| !self.is_cleared(*part, now)).collect();
        for part in &suspects {
            self.cases.entry(*part).or_default().add(strike);
        }
        if self.explained.contains_key(&crash) {
            return Finding::default();
        }
        if let Some(part) = parts.iter().find(|part| self.is_quarantined(**part, now)).copied() {
            let case = self.cases.entry(part).or_default();
            case.last_crash_at = case.last_crash_at.max(Some(now));
            return Finding { quarantined: None, explained: self.explain(part, vec![crash], now) };
        }
        let Options { crash_threshold, crashes_per_request, .. } = self.options;
        let is_culprit = |part: &&Part| {
            let is_open = |crash| !self.explained.contains_key(&crash);
            self.cases[part].evidence(is_open, crashes_per_request) >= crash_threshold
        };
        let Some(culprit) = suspects.iter().rev().find(is_culprit).copied() else {
            return Finding::default();
        };
        let case = self.cases.entry(culprit).or_default();
        case.last_crash_at = case.strikes.iter().map(|strike| strike.at).max();
        let crashes = case.strikes.iter().map(|strike| strike.crash).collect();
        Finding { quarantined: Some(culprit), explained: self.explain(culprit, crashes, now) }
    }

    /// Marks crashes as explained by `part`; returns those that were not explained before.
    fn explain(&mut self, part: Part, crashes: Vec<Crash>, at: Duration) -> Vec<Crash> {
        let mut is_new = |crash: &Crash| {
            let known = self.explained.contains_key(crash);
            self.explained.entry(*crash).or_insert(Cause { part, at });
            !known
        };
        crashes.into_iter().filter(|crash| is_new(crash)).collect()
    }

    /// Whether a quarantined part explains a crash.
    pub fn explains(&self, crash: Crash) -> bool {
        self.explained.contains_key(&crash)
    }

    /// Removes a crash and its strikes, because the upstream proved to be alive. Parts that are
    /// quarantined without enough other crashes are so no longer.
    pub fn retract(&mut self, crash: Crash) {
        let Self { options, cases, explained, .. } = self;
        explained.remove(&crash);
        let mut released = Vec::new();
        for (part, case) in cases.iter_mut() {
            case.strikes.retain(|strike| strike.crash != crash);
            let is_open = |crash| explained.get(&crash).is_none_or(|cause| cause.part == *part);
            let evidence = case.evidence(is_open, options.crashes_per_request);
            if evidence < options.crash_threshold && case.last_crash_at.take().is_some() {
                case.trials = 0;
                released.push(*part);
            }
        }
        cases.retain(|_, case| !case.strikes.is_empty());
        explained.retain(|_, cause| !released.contains(&cause.part));
    }

    /// Records that a request with these parts has survived, here or at another daemon; returns
    /// the parts that had strikes, which are removed.
    pub fn clear(&mut self, parts: &[Part], now: Duration) -> Vec<Part> {
        self.make_room(now);
        for part in parts {
            let cleared_at = self.cleared.entry(*part).or_default();
            *cleared_at = now.max(*cleared_at);
        }
        let struck: Vec<Part> =
            parts.iter().copied().filter(|part| self.cases.remove(part).is_some()).collect();
        self.explained.retain(|_, cause| !struck.contains(&cause.part));
        struck
    }

    /// Whether a request with this part has survived lately.
    pub fn is_cleared(&self, part: Part, now: Duration) -> bool {
        let clearance = self.options.clearance;
        self.cleared.get(&part).is_some_and(|at| now.saturating_sub(*at) < clearance)
    }

    /// Whether requests with this part are refused.
    pub fn is_quarantined(&self, part: Part, now: Duration) -> bool {
        let last_crash_at = self.cases.get(&part).and_then(|case| case.last_crash_at);
        last_crash_at.is_some_and(|at| now.saturating_sub(at) < self.options.lifetime)
    }

    /// The quarantined parts and the strikes for which they are.
    pub fn quarantined(&self, now: Duration) -> impl Iterator<Item = (Part, &[Strike])> {
        let quarantined =
            self.cases.iter().filter(move |(part, _)| self.is_quarantined(**part, now));
        quarantined.map(|(part, case)| (*part, &*case.strikes))
    }

    /// Takes the right to run one request with this quarantined part, which clears the part if
    /// it survives. False if no trial is due.
    pub fn start_trial(&mut self, part: Part, now: Duration) -> bool {
        let interval = self.options.trial_interval;
        let Some(case) = self.cases.get_mut(&part) else { return false };
        let Some(last_crash_at) = case.last_crash_at else { return false };
        let wait = interval.saturating_mul(1 << case.trials.min(10));
        let is_due = now.saturating_sub(last_crash_at) >= wait;
        if is_due {
            case.trials += 1;
        }
        is_due
    }

    /// Whether no part has a strike.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Drops the clearances that no longer count, if there are many.
    fn make_room(&mut self, now: Duration) {
        let Options { clearance, max_parts, .. } = self.options;
        if self.cleared.len() >= max_parts {
            self.cleared.retain(|_, at| now.saturating_sub(*at) < clearance);
        }
    }

    /// Drops strikes and quarantines that no longer count. If there are still too many parts, it
    /// drops those that are not quarantined.
    fn expire(&mut self, now: Duration) {
        let Options { lifetime, max_parts, .. } = self.options;
        let is_current = |at: Duration| now.saturating_sub(at) < lifetime;
        self.explained.retain(|_, cause| is_current(cause.at));
        for case in self.cases.values_mut().filter(|case| case.last_crash_at.is_none()) {
            case.strikes.retain(|strike| is_current(strike.at));
        }
        self.cases.retain(|_, case| match case.last_crash_at {
            Some(at) => is_current(at),
            None => !case.strikes.is_empty(),
        });
        if self.cases.len() >= max_parts {
            self.cases.retain(|_, case| case.last_crash_at.is_some());
        }
    }
}
