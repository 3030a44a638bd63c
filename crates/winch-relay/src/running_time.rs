//! Timeouts that count only the time in which this process runs.
//!
//! The silence of another process is judged by them. A process that gets no processor time for a
//! while finds its timers expired before it has read what arrived meanwhile, or even before it has
//! sent what it wants to be answered. A timeout is therefore waited for in short ticks, and a tick
//! that ends late does not count. Deadlines of callers are not affected by this: their clocks go on
//! while this process does not run.

use std::{
    convert::Infallible,
    future::{Future, pending},
    pin::pin,
};

use tokio::time::error::Elapsed;

use crate::prelude::*;

/// Number of ticks of a timeout.
const TICKS: u32 = 6;
/// Shortest tick of a timeout that is not shorter itself.
const MIN_TICK: Duration = Duration::from_millis(25);
/// Delay of the end of a tick above which the tick does not count.
const MAX_DELAY: Duration = Duration::from_millis(10);
/// Largest number of late ticks that do not count, so that a process that is always late comes to
/// a verdict, too.
const MAX_LATE_TICKS: u32 = 8;

/// What is left of a timeout.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    left: Duration,
    tick: Duration,
    late_ticks: u32,
}

impl Budget {
    /// The budget of a timeout of this length.
    pub fn new(limit: Duration) -> Self {
        Self { left: limit, tick: (limit / TICKS).max(MIN_TICK), late_ticks: 0 }
    }

    /// Length of the next tick; zero if nothing is left.
    pub fn tick(&self) -> Duration {
        self.tick.min(self.left)
    }

    /// Records that the next tick has ended `elapsed` after its start.
    pub fn record(&mut self, elapsed: Duration) {
        let tick = self.tick();
        if elapsed > tick + MAX_DELAY && self.late_ticks < MAX_LATE_TICKS {
            self.late_ticks += 1;
        } else {
            self.left -= tick;
        }
    }

    /// Completes when the budget is used up.
    pub async fn used_up(&mut self) {
        let Err(_) = self.timeout(pending::<Infallible>()).await;
    }

    /// Completes with `future` if it does so before the budget is used up. What is left can be used
    /// for a further call, also if this one is cancelled.
    ///
    /// # Errors
    /// [`Elapsed`] if it does not.
    pub async fn timeout<F: Future>(&mut self, future: F) -> Result<F::Output, Elapsed> {
        let mut future = pin!(future);
        loop {
            let started_at = Instant::now();
            match tokio::time::timeout(self.tick(), &mut future).await {
                Ok(output) => return Ok(output),
                Err(elapsed) => {
                    self.record(started_at.elapsed());
                    if self.left.is_zero() {
                        return Err(elapsed);
                    }
                }
            }
        }
    }
}

/// Completes with `future` if it does so within `limit` of this process's running time.
///
/// # Errors
/// [`Elapsed`] if it does not.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    Budget::new(limit).timeout(future).await
}
