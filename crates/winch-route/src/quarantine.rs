//! Attributes crashes of replicas to parts of prompts that requests share.
//!
//! A part on which replicas crash does so in every request that holds it, so that requests which
//! are never repeated can crash one replica after the other. A part is suspect once several
//! crashes have struck several requests that hold it, and no request that holds it has survived
//! meanwhile. Suspect parts that requests held in the same crashes are quarantined together: only
//! requests that hold all of them are refused, so that those without the culprit run, and clear the
//! other parts if they survive. A crash of a request without one of the parts narrows the group
//! down, too. A crash that a group explains counts against no other part.

mod case;
mod clearance;
mod group;

use std::{collections::HashMap, sync::Arc, time::Duration};

pub use self::group::Group;
use self::{case::Case, clearance::Clearances};
use crate::{
    hash,
    suspect::{Crash, Fingerprint},
};

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
    /// Number of crashes at which a part is suspect.
    pub crash_threshold: usize,
    /// Number of crashes at which the parts of several requests are refused, if each of these may
    /// be the cause of the same crashes.
    pub rival_threshold: usize,
    /// Number of crashes of one request that count, so that a request which crashes replicas by
    /// itself does not quarantine the parts that it shares with others.
    pub crashes_per_request: usize,
    /// How long a strike counts, and how long a quarantine lasts after its last crash.
    pub lifetime: Duration,
    /// How long a part gets no strikes after a request that holds it has survived.
    pub clearance: Duration,
    /// Time from the last crash of a quarantined group until a request may try it again; doubles
    /// with each trial.
    pub trial_interval: Duration,
    /// Number of parts at which old entries are dropped to make room.
    pub max_parts: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            crash_threshold: 3,
            rival_threshold: 6,
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

/// The strikes against all parts.
#[derive(Debug)]
pub struct Ledger {
    options: Options,
    cases: HashMap<Part, Case>,
    /// The parts with a strike of each request and crash, sorted.
    held: HashMap<(Fingerprint, Crash), Vec<Part>>,
    clearances: Clearances,
    /// The quarantined groups.
    groups: Vec<Group>,
}

/// What a strike changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Finding {
    /// Whether a part got a strike that it had not.
    pub is_new: bool,
    /// The parts that are quarantined together because of the strike; empty if none are.
    pub quarantined: Vec<Part>,
    /// Crashes that are now explained by a quarantined group.
    pub explained: Vec<Crash>,
}

impl Ledger {
    /// Creates a ledger without strikes.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            cases: HashMap::new(),
            held: HashMap::new(),
            clearances: Clearances::new(options.clearance, options.max_parts),
            groups: Vec::new(),
        }
    }

    /// Records that an upstream crashed before `request`, whose prompt has the shared `parts`, had
    /// survived there.
    ///
    /// The same strike may be recorded again with further parts: daemons tell each other the parts
    /// that they know. What was found without these is then found anew.
    pub fn record_strike(
        &mut self,
        request: Fingerprint,
        crash: Crash,
        parts: &[Part],
        now: Duration,
    ) -> Finding {
        self.expire(now);
        if !self.add(Strike { request, crash, at: now }, parts) {
            return Finding::default();
        }
        let former: Vec<Arc<[Part]>> =
            self.groups.iter().map(|group| group.parts.clone()).collect();
        self.regroup();
        let explaining: Vec<&Group> = self.groups_of(crash).collect();
        let is_new = |group: &&&Group| !former.contains(&group.parts);
        let found = explaining.iter().find(is_new);
        let mut explained: Vec<Crash> =
            explaining.iter().flat_map(|group| group.crashes.iter().copied()).collect();
        explained.sort_unstable();
        explained.dedup();
        Finding {
            is_new: true,
            quarantined: found.map(|group| group.parts.to_vec()).unwrap_or_default(),
            explained,
        }
    }

    /// The groups for which requests are refused, and that explain a crash.
    fn groups_of(&self, crash: Crash) -> impl Iterator<Item = &Group> {
        self.groups.iter().filter(move |group| group.is_held && group.crashes.contains(&crash))
    }

    /// Whether this strike is known, with all these parts but those that a survival cancels.
    pub fn has_strike(
        &self,
        request: Fingerprint,
        crash: Crash,
        parts: &[Part],
        now: Duration,
    ) -> bool {
        let held = self.held.get(&(request, crash));
        let is_known = |part: &Part, held: &[Part]| {
            held.binary_search(part).is_ok() || self.is_cleared(*part, now)
        };
        held.is_some_and(|held| parts.iter().all(|part| is_known(part, held)))
    }

    /// Adds a strike against those of the parts that no survival cancels; returns whether one of
    /// them had it not.
    fn add(&mut self, strike: Strike, parts: &[Part]) -> bool {
        let key = (strike.request, strike.crash);
        let mut is_new = false;
        for part in parts.iter().copied() {
            if self.is_cleared(part, strike.at) {
                continue;
            }
            let held = self.held.entry(key).or_default();
            let Err(index) = held.binary_search(&part) else { continue };
            held.insert(index, part);
            is_new = true;
            let dropped = self.cases.entry(part).or_default().add(strike);
            self.forget(part, dropped);
        }
        is_new
    }

    /// Records that strikes against `part` are no longer kept.
    fn forget(&mut self, part: Part, strikes: impl IntoIterator<Item = Strike>) {
        for Strike { request, crash, .. } in strikes {
            let Some(held) = self.held.get_mut(&(request, crash)) else { continue };
            held.retain(|other| *other != part);
            if held.is_empty() {
                self.held.remove(&(request, crash));
            }
        }
    }

    /// Whether a crash is explained by a group for which requests are refused.
    pub fn explains(&self, crash: Crash) -> bool {
        self.groups_of(crash).next().is_some()
    }

    /// Removes a crash and its strikes, because the upstream proved to be alive. Parts that are
    /// quarantined without enough other crashes are so no longer.
    pub fn retract(&mut self, crash: Crash) {
        for case in self.cases.values_mut() {
            case.remove(|strike| strike.crash == crash);
        }
        self.held.retain(|(_, struck_by), _| *struck_by != crash);
        self.cases.retain(|_, case| !case.is_empty());
        self.regroup();
    }

    /// Records that a request with these parts has survived here; returns the parts that had
    /// strikes, which are removed. All daemons are to be told that these have survived.
    pub fn clear(&mut self, parts: &[Part], now: Duration) -> Vec<Part> {
        let struck = self.apply_clearance(parts, now);
        for part in &struck {
            self.clearances.mark_told(*part, now);
        }
        struck
    }

    /// Records that a request with this part survived at another daemon, which has told all; returns
    /// whether the part had strikes, which are removed.
    pub fn clear_told(&mut self, part: Part, at: Duration) -> bool {
        let is_struck = !self.apply_clearance(&[part], at).is_empty();
        self.clearances.mark_told(part, at);
        is_struck
    }

    fn apply_clearance(&mut self, parts: &[Part], at: Duration) -> Vec<Part> {
        let mut struck = Vec::new();
        for part in parts {
            self.clearances.add(*part, at);
            let Some(case) = self.cases.get_mut(part) else { continue };
            let clearances = &self.clearances;
            let removed = case.remove(|strike| clearances.cancels(at, strike.at));
            if !removed.is_empty() {
                struck.push(*part);
                self.forget(*part, removed);
            }
        }
        if !struck.is_empty() {
            self.cases.retain(|_, case| !case.is_empty());
            self.regroup();
        }
        struck
    }

    /// The survivals here, with their times, that cancel a strike against these parts of time `at`, as far as the
    /// daemon that recorded it has not been told; from now on it counts as told.
    pub fn take_untold(&mut self, parts: &[Part], at: Duration) -> Vec<(Part, Duration)> {
        self.clearances.take_untold(parts, at)
    }

    /// Whether a survival at `cleared_at` cancels a strike of time `struck_at`.
    pub fn cancels(&self, cleared_at: Duration, struck_at: Duration) -> bool {
        self.clearances.cancels(cleared_at, struck_at)
    }

    /// Whether a request with this part has survived lately.
    pub fn is_cleared(&self, part: Part, now: Duration) -> bool {
        self.clearances.covers(part, now)
    }

    /// The parts for which requests with these ones are refused; `None` if they are not.
    pub fn find_quarantined(&self, parts: &[Part], now: Duration) -> Option<Arc<[Part]>> {
        let mut groups = self.current_groups(now).filter(|group| group.is_held_by(parts));
        groups.next().map(|group| group.parts.clone())
    }

    fn current_groups(&self, now: Duration) -> impl Iterator<Item = &Group> {
        let lifetime = self.options.lifetime;
        let is_current = move |group: &&Group| now.saturating_sub(group.last_crash_at) < lifetime;
        self.groups.iter().filter(is_current)
    }

    /// The quarantined groups, and the strikes for which they are.
    pub fn quarantined(&self, now: Duration) -> impl Iterator<Item = (&Group, Vec<Strike>)> {
        let groups = self.current_groups(now).filter(|group| group.is_held);
        groups.map(|group| (group, self.strikes_of(&group.parts)))
    }

    /// Takes the right to run one request with the `quarantined` parts, which clears them if it
    /// survives. False if no trial is due.
    pub fn start_trial(&mut self, quarantined: &[Part], now: Duration) -> bool {
        let interval = self.options.trial_interval;
        let mut groups = self.groups.iter_mut();
        let Some(group) = groups.find(|group| *group.parts == *quarantined) else { return false };
        let wait = interval.saturating_mul(1 << group.trials.min(10));
        let is_due = now.saturating_sub(group.last_crash_at) >= wait;
        if is_due {
            group.trials += 1;
        }
        is_due
    }

    /// Whether no part has a strike.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Drops strikes and quarantines that no longer count. If there are still too many parts, it
    /// drops those that are not quarantined.
    fn expire(&mut self, now: Duration) {
        let Options { lifetime, max_parts, .. } = self.options;
        let is_current = |at: Duration| now.saturating_sub(at) < lifetime;
        self.groups.retain(|group| is_current(group.last_crash_at));
        let groups = &self.groups;
        let is_quarantined = |part: &Part| groups.iter().any(|group| group.parts.contains(part));
        let is_full = self.cases.len() >= max_parts;
        let mut dropped = Vec::new();
        for (part, case) in self.cases.iter_mut().filter(|(part, _)| !is_quarantined(part)) {
            dropped.push((*part, case.remove(|strike| is_full || !is_current(strike.at))));
        }
        for (part, strikes) in dropped {
            self.forget(part, strikes);
        }
        self.cases.retain(|_, case| !case.is_empty());
    }
}
