//! One daemon's observations of the two versions of a move.

use std::time::Duration;

use crate::evidence::{Cohort, Collector, Quantile};

/// Part of the old version's attempts that is quicker than the bound of slowness.
const SLOW_QUANTILE: f64 = 0.9;
/// Factor on that quantile, so that a tie does not count as slow.
const SLOW_FACTOR: f64 = 1.3;

/// Collects evidence, and tells slow attempts by the pace of the old version.
#[derive(Clone, Debug)]
pub struct Observer {
    /// The evidence.
    pub collector: Collector,
    first: Quantile,
    gap: Quantile,
}

impl Default for Observer {
    fn default() -> Self {
        Self {
            collector: Collector::default(),
            first: Quantile::new(SLOW_QUANTILE),
            gap: Quantile::new(SLOW_QUANTILE),
        }
    }
}

impl Observer {
    /// Notes an attempt that ended well: the time to the first part of its answer,
    /// and the mean time between parts if there were several.
    pub fn record_success(&mut self, side: Cohort, first: Duration, gap: Option<Duration>) {
        let (first, gap) = (first.as_secs_f64(), gap.map(|gap| gap.as_secs_f64()));
        let above = |bound: &Quantile, value: f64| {
            bound.get().is_some_and(|bound| value > bound * SLOW_FACTOR)
        };
        let slow = above(&self.first, first) || gap.is_some_and(|gap| above(&self.gap, gap));
        if side == Cohort::Old {
            self.first.add(first);
            gap.into_iter().for_each(|gap| self.gap.add(gap));
        }
        self.collector.record_success(side, slow);
    }
}
