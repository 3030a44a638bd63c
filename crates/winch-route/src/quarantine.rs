//! Attributes crashes of replicas to parts of prompts that requests share.
//!
//! A part on which replicas crash does so in every request that holds it, so that requests which
//! are never repeated can crash one replica after the other. A part is suspect once several
//! crashes have struck several requests that hold it, and no request that holds it has survived
//! meanwhile. The suspect parts of a request are quarantined together: only requests that hold
//! all of them are refused, so that those without the culprit run, and clear the other parts if
//! they survive. Each crash of a request without one of the parts narrows the group down, too.
//! A crash that a group explains counts against no other part.

mod case;
mod cause;
mod clearance;

use std::{collections::HashMap, sync::Arc, time::Duration};

use slotmap::{SlotMap, new_key_type};

use self::{case::Case, clearance::Clearances};
use crate::{
    hash,
    suspect::{Crash, Fingerprint},
};

new_key_type! {
    /// Identifies a quarantined group of parts.
    pub struct GroupKey;
}

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
            rival_threshold: 5,
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

/// The suspect parts of the requests that some crashes struck.
#[derive(Clone, Debug)]
pub struct Group {
    /// The parts, sorted.
    pub parts: Arc<[Part]>,
    /// The crash with which the parts became suspect. Of the requests that it struck any may be the
    /// cause.
    decided_by: Crash,
    last_crash_at: Duration,
    /// Number of trials since the quarantine.
    trials: u32,
}

impl Group {
    /// Whether `parts` contain all parts of the group.
    fn is_held_by(&self, parts: &[Part]) -> bool {
        is_subset(&self.parts, parts)
    }
}

/// Whether `parts` contain all of `subset`.
fn is_subset(subset: &[Part], parts: &[Part]) -> bool {
    subset.iter().all(|part| parts.contains(part))
}

/// The groups that explain a crash; several if it struck several requests, each of which may be
/// the cause.
#[derive(Clone, Debug)]
struct Cause {
    groups: Vec<GroupKey>,
    at: Duration,
}

impl Cause {
    fn add(&mut self, group: GroupKey) {
        if !self.groups.contains(&group) {
            self.groups.push(group);
        }
    }
}

/// The strikes against all parts.
#[derive(Debug)]
pub struct Ledger {
    options: Options,
    cases: HashMap<Part, Case>,
    /// The parts with a strike of each request and crash, sorted.
    held: HashMap<(Fingerprint, Crash), Vec<Part>>,
    clearances: Clearances,
    groups: SlotMap<GroupKey, Group>,
    /// Crashes that quarantined groups explain.
    explained: HashMap<Crash, Cause>,
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
            groups: SlotMap::with_key(),
            explained: HashMap::new(),
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
        let is_known = self.held.contains_key(&(request, crash));
        let is_new = self.add(Strike { request, crash, at: now }, parts);
        match (is_known, is_new) {
            (true, false) => return Finding::default(),
            (true, true) => self.reopen(crash),
            (false, _) => {}
        }
        let known = self.held.get(&(request, crash));
        let held: Arc<[Part]> = known.map(|held| held[..].into()).unwrap_or_default();
        let (quarantined, explained) = self.find_cause(crash, parts, &held, now);
        Finding { is_new, quarantined, explained }
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
        let cause = self.explained.get(&crash);
        let is_held = |group: &Group| !self.strikes_of(&group.parts).is_empty();
        cause.is_some_and(|cause| self.groups_of(cause).any(is_held))
    }

    /// Removes a crash and its strikes, because the upstream proved to be alive. Parts that are
    /// quarantined without enough other crashes are so no longer.
    pub fn retract(&mut self, crash: Crash) {
        self.explained.remove(&crash);
        for case in self.cases.values_mut() {
            case.remove(|strike| strike.crash == crash);
        }
        self.held.retain(|(_, struck_by), _| *struck_by != crash);
        self.revise_groups();
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
            self.revise_groups();
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

    /// The group for which requests with these parts are refused; `None` if they are not.
    pub fn find_quarantined(&self, parts: &[Part], now: Duration) -> Option<GroupKey> {
        let is_current =
            |group: &Group| now.saturating_sub(group.last_crash_at) < self.options.lifetime;
        let mut groups = self.groups.iter();
        groups.find(|(_, group)| group.is_held_by(parts) && is_current(group)).map(|(key, _)| key)
    }

    /// The parts of a quarantined group.
    pub fn group_parts(&self, group: GroupKey) -> &[Part] {
        self.groups.get(group).map_or(&[], |group| &group.parts)
    }

    /// The quarantined groups, and the strikes for which they are.
    pub fn quarantined(&self, now: Duration) -> impl Iterator<Item = (&Group, Vec<Strike>)> {
        let lifetime = self.options.lifetime;
        let groups = self.groups.values();
        let current =
            groups.filter(move |group| now.saturating_sub(group.last_crash_at) < lifetime);
        current.map(|group| (group, self.strikes_of(&group.parts)))
    }

    /// Takes the right to run one request that holds this group, which clears the group if the
    /// request survives. False if no trial is due.
    pub fn start_trial(&mut self, group: GroupKey, now: Duration) -> bool {
        let interval = self.options.trial_interval;
        let Some(group) = self.groups.get_mut(group) else { return false };
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
        self.groups.retain(|_, group| is_current(group.last_crash_at));
        let groups = &self.groups;
        self.explained.retain(|_, cause| {
            cause.groups.retain(|group| groups.contains_key(*group));
            is_current(cause.at) && !cause.groups.is_empty()
        });
        let is_quarantined = |part: &Part| groups.values().any(|group| group.parts.contains(part));
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
