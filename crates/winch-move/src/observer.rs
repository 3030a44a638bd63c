//! One daemon's observations of the two versions of a move.
//!
//! An observer takes in the times of successful attempts, decides which of them were slow,
//! and adds them to the evidence.

use std::time::Duration;

use crate::evidence::{Cohort, Collector, Quantile};

/// Quantile of the old version's times with which an attempt's times are compared.
const SLOW_QUANTILE: f64 = 0.9;
/// Factor by which a time must exceed that quantile to be slow, so that equally fast versions do
/// not count as slow.
const SLOW_FACTOR: f64 = 1.3;

/// Collects evidence and classifies attempts as slow by comparison with the old
/// version's times.
#[derive(Clone, Debug)]
pub struct Observer {
    /// The evidence collected so far.
    pub collector: Collector,
    /// Estimate for the time to the first part of the old version's replies, in seconds.
    first_part: Quantile,
    /// Estimate for the mean time between parts of the old version's replies, in seconds.
    gap: Quantile,
}

impl Default for Observer {
    fn default() -> Self {
        Self {
            collector: Collector::default(),
            first_part: Quantile::new(SLOW_QUANTILE),
            gap: Quantile::new(SLOW_QUANTILE),
        }
    }
}

impl Observer {
    /// Records a successful attempt.
    ///
    /// `first_part` is the time to the first part of the reply, `gap` the mean time
    /// between parts if there were several.
    pub fn record_success(&mut self, cohort: Cohort, first_part: Duration, gap: Option<Duration>) {
        let (first_part, gap) = (first_part.as_secs_f64(), gap.map(|gap| gap.as_secs_f64()));
        let exceeds = |quantile: &Quantile, value: f64| {
            quantile.get().is_some_and(|bound| value > bound * SLOW_FACTOR)
        };
        let is_slow =
            exceeds(&self.first_part, first_part) || gap.is_some_and(|gap| exceeds(&self.gap, gap));
        if cohort == Cohort::Old {
            self.first_part.add(first_part);
            gap.into_iter().for_each(|gap| self.gap.add(gap));
        }
        self.collector.record_success(cohort, is_slow);
    }
}
