//! Evidence of slowness in batches of attempts.
//!
//! Attempts that run at the same time on one replica or through one daemon share their delays, so
//! one stall can make many of them slow. Counted one by one, as the sequential test
//! assumes of independent attempts, they would look like many faults. All attempts
//! of one batch therefore count together as one.

use crate::evidence::{self, Finding, Options, Tally, sequential_test};

/// Minimum length of a batch, in seconds.
const MIN_BATCH_SECS: f64 = 0.5;

/// The batches of attempts on the new version in one stage.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Batches {
    /// Counts at the end of the last batch.
    counted: Tally,
    /// Time of the end of the last batch, in seconds.
    ended_at: Option<f64>,
    /// Number of batches.
    count: u32,
    /// Sum of the batches' fractions of slow attempts.
    slow: f64,
}

impl Batches {
    /// Starts a new stage. The counts of the former one may still be passed to [`Self::update`] for
    /// some time; they are not counted again.
    pub fn restart(&mut self) {
        (self.count, self.slow) = (0, 0.0);
    }

    /// Ends a batch at `now`, in seconds, if it is long enough and has attempts; `new` are the
    /// counts of the new version in the stage so far.
    pub fn update(&mut self, new: Tally, now: f64) {
        let is_short = self.ended_at.is_some_and(|at| now - at < MIN_BATCH_SECS);
        if is_short {
            return;
        }
        if new.total() < self.counted.total() {
            // The counts were cleared, or a report has expired.
            self.counted = Tally::default();
        }
        let attempts = new.total() - self.counted.total();
        if attempts == 0 {
            return;
        }
        let slow = new.slow.saturating_sub(self.counted.slow).min(attempts);
        self.count += 1;
        self.slow += slow as f64 / attempts as f64;
        self.counted = new;
        self.ended_at = Some(now);
    }

    /// Applies [`sequential_test`]. The new version is found slow only if the batches, each of
    /// which weighs as much as one attempt, show it too.
    pub fn test(&self, new: Tally, old: Tally, options: &Options, daemons: usize) -> Finding {
        let is_confirmed =
            || evidence::shows_slowness(self.slow, f64::from(self.count), old, options, daemons);
        match sequential_test(new, old, options, daemons) {
            Finding::Slow if !is_confirmed() => Finding::Open,
            finding => finding,
        }
    }
}
