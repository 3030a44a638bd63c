//! Measures by how much this process is late for its own timers.
//!
//! A process without processor time reads late what has arrived in time. Beside a gap of its own,
//! the silence of others says nothing of them, and neither does the time that they seem to take;
//! what it notices at the end of the gap may have happened at its start.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::time::sleep_until;

use crate::{counter, prelude::*};

/// Time between two measurements.
const INTERVAL: Duration = Duration::from_millis(100);
/// Lag from which on it is logged, and counts as a pause of the process.
const LOGGED_LAG: Duration = Duration::from_millis(100);
/// Longest lag of a process that has processor time.
const MAX_USUAL_LAG: Duration = Duration::from_millis(10);
/// Largest part of a time, one in this many, in which the process may not have run if the time is to
/// say something of others.
const MAX_LOST_PART: u32 = 10;
/// Time after a pause within which this process has noticed what happened meanwhile.
const NOTICE_TIME: Duration = Duration::from_millis(20);
/// Largest ratio of the time that passes to the running time that it counts as.
const MAX_ELAPSED_RATIO: u32 = 3;

/// What is known of the times in which this process did not run.
#[derive(Debug, Default)]
pub(crate) struct Pulse(Mutex<State>);

/// A time in which this process did not run.
#[derive(Clone, Copy, Debug)]
struct Pause {
    /// When it last ran for certain before.
    from: Instant,
    until: Instant,
}

#[derive(Debug, Default)]
struct State {
    /// Sum of the lags so far.
    lost: Duration,
    last_pause: Option<Pause>,
    /// When the next measurement is due; `None` before the first one.
    due: Option<Instant>,
}

impl State {
    /// By how much the next measurement is late at `now`.
    fn lag(&self, now: Instant) -> Duration {
        self.due.map_or(Duration::ZERO, |due| now.saturating_duration_since(due))
    }

    /// How long the process has not run until `now`.
    fn lost_until(&self, now: Instant) -> Duration {
        let lag = self.lag(now);
        self.lost + if lag > MAX_USUAL_LAG { lag } else { Duration::ZERO }
    }

    /// The last pause until `now`, which may just be over.
    fn pause_until(&self, now: Instant) -> Option<Pause> {
        let due = self.due.filter(|_| self.lag(now) >= LOGGED_LAG);
        due.map(|due| Pause { from: due - INTERVAL, until: now }).or(self.last_pause)
    }
}

impl Pulse {
    fn state(&self) -> MutexGuard<'_, State> {
        // A panic while the lock is held leaves the sum consistent, so poisoning is ignored.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long this process has not run until `now`.
    pub(crate) fn lost(&self, now: Instant) -> Duration {
        self.state().lost_until(now)
    }

    /// Starts to measure how long another process takes.
    pub(crate) fn start(&self) -> Stopwatch {
        let started_at = Instant::now();
        Stopwatch { started_at, lost_before: self.lost(started_at) }
    }

    /// The time since `stopwatch` was started; `None` if this process did not run for a good part
    /// of it.
    pub(crate) fn elapsed_if_running(
        &self,
        stopwatch: Stopwatch,
        now: Instant,
    ) -> Option<Duration> {
        let elapsed = now - stopwatch.started_at;
        let lost = self.lost(now).saturating_sub(stopwatch.lost_before);
        (lost <= elapsed / MAX_LOST_PART).then_some(elapsed)
    }

    /// How long this process has run since `stopwatch` was started. At least a share of the time
    /// counts, so that a process that is always late comes to a verdict, too.
    pub(crate) fn running_time(&self, stopwatch: Stopwatch) -> Duration {
        let now = Instant::now();
        let elapsed = now - stopwatch.started_at;
        let lost = self.lost(now).saturating_sub(stopwatch.lost_before);
        elapsed.saturating_sub(lost).max(elapsed / MAX_ELAPSED_RATIO)
    }

    /// The earliest moment at which what this process notices `now` can have happened: the start of
    /// a pause that is just over, or now.
    pub(crate) fn earliest_cause(&self, now: Instant) -> Instant {
        let pause = self.state().pause_until(now).filter(|pause| now <= pause.until + NOTICE_TIME);
        pause.map_or(now, |pause| pause.from)
    }

    /// Whether this process was paused within the last `time` before `now`.
    pub(crate) fn was_paused(&self, now: Instant, time: Duration) -> bool {
        self.state().pause_until(now).is_some_and(|pause| now <= pause.until + time)
    }

    /// Records that a measurement which was due has been made at `now`.
    fn record(&self, now: Instant) {
        let mut state = self.state();
        let (lost, last_pause) = (state.lost_until(now), state.pause_until(now));
        *state = State { lost, last_pause, due: Some(now + INTERVAL) };
    }
}

/// The start of a time that another process takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stopwatch {
    pub(crate) started_at: Instant,
    /// How long this process had not run before.
    lost_before: Duration,
}

/// Measures for as long as the daemon runs.
pub(crate) async fn run<P: Protocol>(node: Arc<Node<P>>) {
    loop {
        let now = Instant::now();
        node.pulse.record(now);
        let due = now + INTERVAL;
        sleep_until(due).await;
        let lag = due.elapsed();
        counter::timer_lag(lag);
        if lag >= LOGGED_LAG {
            emit!(Event::ProcessPaused, gap_ms = (INTERVAL + lag).as_millis());
        }
    }
}
