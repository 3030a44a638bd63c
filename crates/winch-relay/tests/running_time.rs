//! Timeouts count only the time in which the process runs.

use std::{future::pending, time::Duration};

use tokio::time::Instant;
use winch_relay::running_time::{self, Budget};

const LIMIT: Duration = Duration::from_millis(150);
const PAUSE: Duration = Duration::from_millis(1_200);

/// Spends a budget for `limit`; returns the number of ticks and the sum of their lengths. The tick
/// with each number is prolonged by `delay`.
fn spend(limit: Duration, delay: impl Fn(u32) -> Duration) -> (u32, Duration) {
    let mut budget = Budget::new(limit);
    let (mut number, mut length) = (0, Duration::ZERO);
    while !budget.tick().is_zero() {
        let tick = budget.tick();
        budget.record(tick + delay(number));
        (number, length) = (number + 1, length + tick);
        assert!(number < 100, "{budget:?} is never used up");
    }
    (number, length)
}

#[test]
fn punctual_ticks_make_limit() {
    for limit in [1, 15, 25, 150, 310, 800].map(Duration::from_millis) {
        let (_, length) = spend(limit, |_| Duration::ZERO);
        assert_eq!(length, limit);
    }
}

#[test]
fn slight_delays_count() {
    let (_, length) = spend(LIMIT, |_| Duration::from_millis(9));
    assert_eq!(length, LIMIT);
}

// Guards against a verdict in the tick in which the process was paused, in particular the last one.
#[test]
fn pause_counts_nothing() {
    let (ticks, _) = spend(LIMIT, |_| Duration::ZERO);
    for paused in 0..ticks {
        let delay = |number| if number == paused { PAUSE } else { Duration::ZERO };
        assert_eq!(spend(LIMIT, delay).0, ticks + 1, "paused in tick {paused}");
    }
}

// Guards against a process that is always late and waits for ever.
#[test]
fn permanent_delay_ends() {
    let (ticks, length) = spend(LIMIT, |_| PAUSE);
    assert!(ticks > 10, "{ticks} ticks");
    assert!(length <= LIMIT * 3, "{length:?}");
}

#[tokio::test(start_paused = true)]
async fn timeout_ends_on_time() {
    let started_at = Instant::now();
    assert!(running_time::timeout(LIMIT, pending::<()>()).await.is_err());
    assert_eq!(started_at.elapsed(), LIMIT);
}

#[tokio::test(start_paused = true)]
async fn result_ends_timeout() {
    let answer = async {
        tokio::time::sleep(LIMIT - Duration::from_millis(1)).await;
        7
    };
    assert_eq!(running_time::timeout(LIMIT, answer).await.ok(), Some(7));
}
