//! Groups of parts that explain crashes.

use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    sync::Arc,
    time::Duration,
};

use super::{Case, Ledger, Part, Strike};
use crate::suspect::Crash;

/// Parts that are refused together, as the cause of some crashes.
#[derive(Clone, Debug)]
pub struct Group {
    /// The parts, sorted.
    pub parts: Arc<[Part]>,
    /// The crashes that the group explains.
    pub(super) crashes: Vec<Crash>,
    pub(super) last_crash_at: Duration,
    /// Number of trials since the quarantine.
    pub(super) trials: u32,
    /// Whether a request that was struck holds all parts. None does if the parts are those of several
    /// requests, each of which may be the cause.
    pub(super) is_held: bool,
}

impl Group {
    /// Whether `parts` contain all parts of the group.
    pub(super) fn is_held_by(&self, parts: &[Part]) -> bool {
        is_subset(&self.parts, parts)
    }
}

/// Whether `parts` contain all of `subset`.
fn is_subset(subset: &[Part], parts: &[Part]) -> bool {
    subset.iter().all(|part| parts.contains(part))
}

/// The parts with the most evidence, and the crashes that they share.
struct Suspects {
    parts: Vec<Part>,
    crashes: BTreeSet<Crash>,
    evidence: usize,
}

impl Ledger {
    /// Finds the groups anew, from all strikes: the one that explains most crashes first, then those
    /// that explain what is left.
    pub(super) fn regroup(&mut self) {
        let former = std::mem::take(&mut self.groups);
        let mut closed = HashSet::new();
        while let Some(suspects) = self.suspects(&closed, &former) {
            closed.extend(&suspects.crashes);
            for parts in self.candidates(&suspects) {
                let group = self.group(parts, &suspects.crashes, &former);
                self.groups.push(group);
            }
        }
    }

    /// The parts against which most of the crashes count that are not `closed`, if these are enough.
    /// Of several with other crashes those of a `former` group stay.
    fn suspects(&self, closed: &HashSet<Crash>, former: &[Group]) -> Option<Suspects> {
        let is_open = |crash| !closed.contains(&crash);
        let is_former = |part: &Part| former.iter().any(|group| group.parts.contains(part));
        let counted = self.long_cases().map(|(part, case)| {
            let evidence = case.evidence(is_open, self.options.crashes_per_request);
            (evidence, is_former(part), *part)
        });
        let (evidence, _, first) = counted.max()?;
        if evidence < self.options.crash_threshold {
            return None;
        }
        let crashes_of = |case: &Case| -> BTreeSet<Crash> {
            case.strikes().iter().map(|strike| strike.crash).filter(|c| is_open(*c)).collect()
        };
        let crashes = crashes_of(&self.cases[&first]);
        let same = self.long_cases().filter(|(_, case)| crashes_of(case) == crashes);
        let mut parts: Vec<Part> = same.map(|(part, _)| *part).collect();
        parts.sort_unstable();
        Some(Suspects { parts, crashes, evidence })
    }

    /// The parts with strikes enough to be suspect.
    fn long_cases(&self) -> impl Iterator<Item = (&Part, &Case)> {
        let threshold = self.options.crash_threshold;
        self.cases.iter().filter(move |(_, case)| case.strikes().len() >= threshold)
    }

    /// The sets of suspects that requests held together in each of the crashes. While few crashes
    /// speak against several sets, all their parts in one, which no sound request holds.
    fn candidates(&self, suspects: &Suspects) -> Vec<Vec<Part>> {
        let sets: BTreeSet<Vec<Part>> =
            suspects.parts.iter().map(|part| self.held_with(*part, &suspects.crashes)).collect();
        if sets.len() > 1 && suspects.evidence < self.options.rival_threshold {
            return vec![suspects.parts.clone()];
        }
        let has_smaller =
            |set: &Vec<Part>| sets.iter().any(|other| other != set && is_subset(other, set));
        sets.iter().filter(|set| !has_smaller(set)).cloned().collect()
    }

    /// The parts that requests held together with `part` in each of these crashes, sorted.
    fn held_with(&self, part: Part, crashes: &BTreeSet<Crash>) -> Vec<Part> {
        let mut held = BTreeMap::<Crash, BTreeSet<Part>>::new();
        for Strike { request, crash, .. } in self.cases[&part].strikes() {
            if crashes.contains(crash) {
                held.entry(*crash).or_default().extend(&self.held[&(*request, *crash)]);
            }
        }
        let common = held.into_values().reduce(|common, parts| &common & &parts);
        common.unwrap_or_default().into_iter().collect()
    }

    fn group(&self, parts: Vec<Part>, crashes: &BTreeSet<Crash>, former: &[Group]) -> Group {
        let known = former.iter().find(|group| *group.parts == *parts);
        let strikes = parts.iter().flat_map(|part| self.cases[part].strikes());
        let struck = strikes.filter(|strike| crashes.contains(&strike.crash));
        Group {
            last_crash_at: struck.map(|strike| strike.at).max().unwrap_or_default(),
            crashes: crashes.iter().copied().collect(),
            trials: known.map_or(0, |group| group.trials),
            is_held: !self.strikes_of(&parts).is_empty(),
            parts: parts.into(),
        }
    }

    /// The strikes of requests that hold all of these parts.
    pub(super) fn strikes_of(&self, parts: &[Part]) -> Vec<Strike> {
        let case = parts.first().and_then(|part| self.cases.get(part));
        let strikes = case.map_or(&[][..], Case::strikes).iter().copied();
        let holds_all = |strike: &Strike| {
            let held = self.held.get(&(strike.request, strike.crash));
            held.is_some_and(|held| is_subset(parts, held))
        };
        strikes.filter(holds_all).collect()
    }
}
