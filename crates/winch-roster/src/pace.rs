//! Intervals of reading and passing on, derived from the greatest age that knowledge may have.
//!
//! A change reaches a follower after a read by the reader and a heartbeat. Both intervals are a
//! quarter of the greatest age. A read may count twice, because it confirms the state as of its
//! start, so that the age at a follower of the reader stays below three quarters.

use std::time::Duration;

/// Share of the greatest age between two reads, and for which one read waits.
const READ_SHARE: f64 = 0.25;
/// Share of the greatest age between two updates to a follower while nothing changes.
const HEARTBEAT_SHARE: f64 = 0.25;
/// Share of the greatest age at which a daemon that serves others reads by itself, before its
/// own followers find it stale.
const TAKEOVER_SHARE: f64 = 0.8;
/// Bounds of a heartbeat's interval: short enough to find a silent source, and long enough to
/// cost little.
const HEARTBEAT_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(300));
/// Bounds of the interval between two reads.
const READ_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(600));

/// The intervals for one greatest age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Interval between two reads, and the longest time for which a read waits for a change.
    pub read_interval: Duration,
    /// Interval of updates to a follower while nothing changes.
    pub heartbeat: Duration,
    /// Age at which a daemon that serves others reads by itself.
    pub takeover_age: Duration,
    /// Age above which knowledge is stale.
    pub max_age: Duration,
}

impl Pace {
    /// The intervals with which knowledge stays younger than `max_age`.
    pub fn new(max_age: Duration) -> Self {
        let share = |share: f64, (min, max)| max_age.mul_f64(share).clamp(min, max);
        Self {
            read_interval: share(READ_SHARE, READ_RANGE),
            heartbeat: share(HEARTBEAT_SHARE, HEARTBEAT_RANGE),
            takeover_age: max_age.mul_f64(TAKEOVER_SHARE),
            max_age,
        }
    }
}
