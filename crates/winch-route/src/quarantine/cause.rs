//! Finds the groups of parts that explain crashes.

use std::{sync::Arc, time::Duration};

use super::{Case, Cause, Group, GroupKey, Ledger, Options, Part, Strike, is_subset};
use crate::suspect::Crash;

impl Ledger {
    /// Finds what explains a crash that struck a request with these parts, of which it has `held`
    /// strikes. Returns the parts that are quarantined because of it, and the crashes that they
    /// explain.
    pub(super) fn find_cause(
        &mut self,
        crash: Crash,
        parts: &[Part],
        held: &[Part],
        now: Duration,
    ) -> (Vec<Part>, Vec<Crash>) {
        if let Some(cause) = self.explained.get(&crash) {
            let mut groups = cause.groups.iter().copied();
            return match groups.find(|group| self.groups[*group].decided_by == crash) {
                Some(group) => self.weigh_rival(group, held, now),
                None => Default::default(),
            };
        }
        if let Some(group) = self.find_quarantined(&[parts, held].concat(), now) {
            let last_crash_at = &mut self.groups[group].last_crash_at;
            *last_crash_at = now.max(*last_crash_at);
            self.explain(group, &[crash], now);
            return (Vec::new(), vec![crash]);
        }
        let suspects = self.suspects(held);
        if suspects.is_empty() {
            return Default::default();
        }
        let crashes = self.crashes_of(&suspects);
        let explained = self.quarantine(&suspects, crash, &crashes, now);
        (suspects, explained)
    }

    /// Weighs the request with the `held` parts, that the crash has struck with which `group` was
    /// found, against the request for which it was found. Either may be the cause, so only requests
    /// with the suspect parts of both are refused, until many crashes speak against each.
    fn weigh_rival(
        &mut self,
        group: GroupKey,
        held: &[Part],
        now: Duration,
    ) -> (Vec<Part>, Vec<Crash>) {
        let crash = self.groups[group].decided_by;
        let found = self.groups[group].parts.clone();
        let mut crashes: Vec<Crash> = self.explained_by(group);
        self.dissolve(group);
        let suspects = self.suspects(held);
        crashes.extend(self.crashes_of(&suspects));
        crashes.sort_unstable();
        crashes.dedup();
        let mut both = [&found[..], &suspects].concat();
        both.sort_unstable();
        both.dedup();
        let is_decided = crashes.len() >= self.options.rival_threshold;
        if is_decided && both.len() > found.len().max(suspects.len()) {
            self.quarantine(&found, crash, &crashes, now);
            let explained = self.quarantine(&suspects, crash, &crashes, now);
            return (suspects, explained);
        }
        let explained = self.quarantine(&both, crash, &crashes, now);
        if both.len() > found.len() { (both, explained) } else { Default::default() }
    }

    /// Ends the quarantine of the groups that explain a crash.
    pub(super) fn reopen(&mut self, crash: Crash) {
        if let Some(cause) = self.explained.remove(&crash) {
            cause.groups.iter().for_each(|group| self.dissolve(*group));
        }
    }

    /// Ends the quarantine of a group, which then explains no crash.
    fn dissolve(&mut self, group: GroupKey) {
        self.groups.remove(group);
        self.explained.retain(|_, cause| {
            cause.groups.retain(|other| *other != group);
            !cause.groups.is_empty()
        });
    }

    pub(super) fn groups_of(&self, cause: &Cause) -> impl Iterator<Item = &Group> {
        cause.groups.iter().map(|group| &self.groups[*group])
    }

    /// Whether enough crashes count against a part: those that no group explains, or one with the
    /// part.
    fn is_suspect(&self, part: Part) -> bool {
        let Options { crash_threshold, crashes_per_request, .. } = self.options;
        let is_open = |crash| {
            let cause = self.explained.get(&crash);
            cause.is_none_or(|cause| self.groups_of(cause).any(|group| group.parts.contains(&part)))
        };
        let case = self.cases.get(&part);
        case.is_some_and(|case| case.evidence(is_open, crashes_per_request) >= crash_threshold)
    }

    /// The suspects among these parts.
    fn suspects(&self, parts: &[Part]) -> Vec<Part> {
        parts.iter().copied().filter(|part| self.is_suspect(*part)).collect()
    }

    /// Quarantines sorted parts together, in place of the groups that contain them all, as the cause
    /// of `crashes`. Returns these if there is a request that holds all the parts, and is refused.
    fn quarantine(
        &mut self,
        parts: &[Part],
        decided_by: Crash,
        crashes: &[Crash],
        now: Duration,
    ) -> Vec<Crash> {
        let strikes = self.strikes_of(parts);
        let last_crash_at = strikes.iter().map(|strike| strike.at).max().unwrap_or(now);
        let group = Group { parts: parts.into(), decided_by, last_crash_at, trials: 0 };
        let group = self.groups.insert(group);
        self.explain(group, crashes, now);
        self.merge_supersets();
        if strikes.is_empty() { Vec::new() } else { crashes.to_vec() }
    }

    /// The crashes of requests that hold all of these parts.
    fn crashes_of(&self, parts: &[Part]) -> Vec<Crash> {
        self.strikes_of(parts).iter().map(|strike| strike.crash).collect()
    }

    /// The crashes that a group explains.
    fn explained_by(&self, group: GroupKey) -> Vec<Crash> {
        let explained = self.explained.iter().filter(|(_, cause)| cause.groups.contains(&group));
        explained.map(|(crash, _)| *crash).collect()
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

    /// Drops the groups that contain all parts of another one, which refuses more; their crashes
    /// become those of the other one.
    fn merge_supersets(&mut self) {
        let groups: Vec<(GroupKey, Arc<[Part]>)> =
            self.groups.iter().map(|(key, group)| (key, group.parts.clone())).collect();
        for (key, parts) in &groups {
            let is_smaller = |(other, subset): &&(GroupKey, Arc<[Part]>)| {
                other != key && self.groups.contains_key(*other) && is_subset(subset, parts)
            };
            let Some((smaller, _)) = groups.iter().find(is_smaller) else { continue };
            let Some(dropped) = self.groups.remove(*key) else { continue };
            let last_crash_at = &mut self.groups[*smaller].last_crash_at;
            *last_crash_at = dropped.last_crash_at.max(*last_crash_at);
            for cause in self.explained.values_mut() {
                let Some(index) = cause.groups.iter().position(|group| group == key) else {
                    continue;
                };
                cause.groups.swap_remove(index);
                cause.add(*smaller);
            }
        }
    }

    /// Marks crashes as explained by a group.
    fn explain(&mut self, group: GroupKey, crashes: &[Crash], at: Duration) {
        for crash in crashes {
            let cause = self.explained.entry(*crash);
            cause.or_insert_with(|| Cause { groups: Vec::new(), at }).add(group);
        }
    }

    /// Takes the parts against which not enough crashes are left out of their groups.
    pub(super) fn revise_groups(&mut self) {
        self.cases.retain(|_, case| !case.is_empty());
        let keys: Vec<GroupKey> = self.groups.keys().collect();
        for key in keys {
            let parts = self.groups[key].parts.iter().copied();
            let left: Arc<[Part]> = parts.filter(|part| self.is_suspect(*part)).collect();
            if left.is_empty() {
                self.dissolve(key);
            } else {
                self.groups[key].parts = left;
            }
        }
        self.merge_supersets();
    }
}
