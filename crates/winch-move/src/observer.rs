//! One daemon's observations of the two versions of a move.

use std::time::Duration;

use crate::evidence::{Cohort, Collector, Quantile};

/// Quantile of the old version's times above which an attempt may be slow.
const SLOW_QUANTILE: f64 = 0.9;
/// Factor on that quantile, so that equally fast versions do not count as slow.
const SLOW_FACTOR: f64 = 1.3;

/// Collects evidence and classifies attempts as slow by comparison with the old
/// version's times.
#[derive(Clone, Debug)]
pub struct Observer {
    /// The evidence collected so far.
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
    /// Records a successful attempt.
    ///
    /// `first` is the time to the first part of the reply, `gap` the mean time
    /// between parts if there were several.
    pub fn record_success(&mut self, cohort: Cohort, first: Duration, gap: Option<Duration>) {
        let (first, gap) = (first.as_secs_f64(), gap.map(|gap| gap.as_secs_f64()));
        let exceeds = |quantile: &Quantile, value: f64| {
            quantile.get().is_some_and(|bound| value > bound * SLOW_FACTOR)
        };
        let slow = exceeds(&self.first, first) || gap.is_some_and(|gap| exceeds(&self.gap, gap));
        if cohort == Cohort::Old {
            self.first.add(first);
            gap.into_iter().for_each(|gap| self.gap.add(gap));
        }
        self.collector.record_success(cohort, slow);
    }
}
