//! The survivals of requests that hold a part.

use std::{collections::HashMap, time::Duration};

use super::Part;

/// The last survival of a request with a part.
#[derive(Clone, Copy, Debug)]
struct Clearance {
    at: Duration,
    /// The last one that all daemons were told.
    told: Option<Duration>,
}

/// The last survivals by part.
#[derive(Debug)]
pub(super) struct Clearances {
    /// How long a survival cancels later strikes.
    lifetime: Duration,
    /// Number of parts at which those that cancel nothing any more are dropped.
    max_parts: usize,
    survivals: HashMap<Part, Clearance>,
}

impl Clearances {
    pub(super) fn new(lifetime: Duration, max_parts: usize) -> Self {
        Self { lifetime, max_parts, survivals: HashMap::new() }
    }

    /// Whether a survival at `cleared_at` cancels a strike of time `struck_at`.
    pub(super) fn cancels(&self, cleared_at: Duration, struck_at: Duration) -> bool {
        struck_at.saturating_sub(cleared_at) < self.lifetime
    }

    /// Whether a survival cancels `part` a strike of time `struck_at`.
    pub(super) fn covers(&self, part: Part, struck_at: Duration) -> bool {
        self.survivals.get(&part).is_some_and(|known| self.cancels(known.at, struck_at))
    }

    /// Adds a survival.
    pub(super) fn add(&mut self, part: Part, at: Duration) {
        let lifetime = self.lifetime;
        if self.survivals.len() >= self.max_parts {
            self.survivals.retain(|_, known| at.saturating_sub(known.at) < lifetime);
        }
        let known = self.survivals.entry(part).or_insert(Clearance { at, told: None });
        known.at = at.max(known.at);
    }

    /// Records that all daemons are told of a survival at `at`.
    pub(super) fn mark_told(&mut self, part: Part, at: Duration) {
        if let Some(known) = self.survivals.get_mut(&part) {
            known.told = known.told.max(Some(at));
        }
    }

    /// The survivals that cancel a strike of time `struck_at` against these parts, unless one that does was
    /// told; they count as told from now on.
    pub(super) fn take_untold(
        &mut self,
        parts: &[Part],
        struck_at: Duration,
    ) -> Vec<(Part, Duration)> {
        let mut untold = Vec::new();
        for part in parts.iter().copied() {
            let Some(Clearance { at, told }) = self.survivals.get(&part).copied() else { continue };
            let is_told = told.is_some_and(|told| self.cancels(told, struck_at));
            if !is_told && self.cancels(at, struck_at) {
                self.mark_told(part, at);
                untold.push((part, at));
            }
        }
        untold
    }
}
