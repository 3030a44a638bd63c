//! Stages of a daemon's graceful stop.

use crate::prelude::*;

/// Time after the stop signal during which a stopping daemon takes streams. Whoever is sent here later
/// comes from a load balancer that does not leave, since it has too few other daemons.
const STREAM_ACCEPT_TIME: Duration = Duration::from_millis(2_500);
/// Time after a pause of this process during which a stopping daemon takes no streams: further
/// pauses are likely, and prolong what other streams have lasted for.
const UNSTEADY_TIME: Duration = Duration::from_secs(3);

/// Stage of a daemon's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It serves requests.
    Running,
    /// It finishes what it has taken.
    Stopping {
        /// When the stop was requested, at the earliest.
        since: Instant,
        /// When the grace period is over.
        deadline: Instant,
    },
    /// The grace period is over: what still runs gets its final reply.
    Ending,
}

impl<P: Protocol> Node<P> {
    /// Whether a stop was requested.
    pub fn is_stopping(&self) -> bool {
        *self.stage.borrow() != Stage::Running
    }

    /// Begins a graceful stop that was requested at `since`, and whose grace period is over at
    /// `deadline`.
    pub fn stop(&self, since: Instant, deadline: Instant) {
        self.stage.send_replace(Stage::Stopping { since, deadline });
    }

    /// Time since a stop was requested; `None` if none was, or its grace period is over.
    pub fn stopping_time(&self) -> Option<Duration> {
        match *self.stage.borrow() {
            Stage::Stopping { since, .. } => Some(since.elapsed()),
            Stage::Running | Stage::Ending => None,
        }
    }

    /// Ends the grace period of a stop.
    pub fn end(&self) {
        self.stage.send_replace(Stage::Ending);
    }

    /// Whether the daemon stops before `deadline`, so that it cannot promise to finish a request
    /// that may last until then.
    pub fn stops_before(&self, deadline: Instant) -> bool {
        match *self.stage.borrow() {
            Stage::Running => false,
            Stage::Stopping { deadline: end, .. } => end < deadline,
            Stage::Ending => true,
        }
    }

    /// Whether the daemon cannot promise to finish a new stream that lasts for `longest_time`: it stops
    /// before, has been stopping for some time, or was paused lately. One of unknown length outlasts it.
    pub fn stops_before_stream(&self, longest_time: Option<Duration>) -> bool {
        match *self.stage.borrow() {
            Stage::Running => false,
            Stage::Stopping { since, deadline } => {
                let now = Instant::now();
                let left = deadline.saturating_duration_since(now);
                longest_time.is_none_or(|time| time > left)
                    || now - since > STREAM_ACCEPT_TIME
                    || self.pulse.was_paused(now, UNSTEADY_TIME)
            }
            Stage::Ending => true,
        }
    }

    /// Completes when a stop is requested.
    pub async fn stop_requested(&self) {
        self.wait_for_stage(|stage| *stage != Stage::Running).await;
    }

    /// Completes when the grace period of a stop is over.
    pub async fn end_requested(&self) {
        self.wait_for_stage(|stage| *stage == Stage::Ending).await;
    }

    async fn wait_for_stage(&self, is_reached: impl FnMut(&Stage) -> bool) {
        let mut stage = self.stage.subscribe();
        // Cannot fail: this node owns the sender.
        let _ = stage.wait_for(is_reached).await;
    }
}
