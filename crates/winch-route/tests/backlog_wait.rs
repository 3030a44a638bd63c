//! A daemon refuses what would wait in vain, but not what starts in time.

use std::time::Duration;

use winch_route::backlog::Backlog;

/// Longest time that a request waits.
const MAX_WAIT: Duration = Duration::from_millis(5_500);
const TICK: Duration = Duration::from_millis(100);

/// Requests that start within [`MAX_WAIT`], those that wait in vain, and those that are refused on
/// arrival, if one arrives every `arrival` ticks and one can start every `start` ticks.
fn replay(arrival: u32, start: u32, ticks: u32) -> (u32, u32, u32) {
    let mut backlog = Backlog::default();
    let mut waiting = std::collections::VecDeque::new();
    let (mut started, mut expired, mut refused) = (0, 0, 0);
    for tick in 0..ticks {
        let now = TICK * tick;
        while waiting.front().is_some_and(|arrived: &Duration| now >= *arrived + MAX_WAIT) {
            waiting.pop_front();
            backlog.leave();
            expired += 1;
        }
        if tick % arrival == 0 {
            if backlog.expected_wait(now) > MAX_WAIT {
                refused += 1;
            } else {
                backlog.enter(now);
                waiting.push_back(now);
            }
        }
        if tick % start == 0 && waiting.pop_front().is_some() {
            backlog.start(now);
            backlog.leave();
            started += 1;
        }
    }
    (started, expired, refused)
}

/// Guards against refusals while the service keeps up.
#[test]
fn light_load_admitted() {
    let (started, expired, refused) = replay(10, 8, 600);
    assert!(started >= 59, "{started} of 60 have started");
    assert_eq!((expired, refused), (0, 0));
}

/// Guards against a queue of requests that all wait until they are too late.
#[test]
fn excess_refused_early() {
    for excess in [2, 3, 6] {
        let (started, expired, refused) = replay(12 / excess, 12, 2_400);
        assert!(started >= 195, "{started} of 200 possible starts at {excess} times the capacity");
        assert!(
            expired * 10 <= refused,
            "{expired} wait in vain, {refused} are refused at once, at {excess} times the capacity"
        );
    }
}

/// Guards against refusals that outlast an overload.
#[test]
fn refusals_end() {
    let mut backlog = Backlog::default();
    for _ in 0..5 {
        backlog.enter(Duration::ZERO);
    }
    assert!(backlog.expected_wait(Duration::from_secs(4)) > MAX_WAIT, "none has started in 4 s");
    for number in 0..5 {
        backlog.start(Duration::from_secs(4) + TICK * number);
        backlog.leave();
    }
    assert_eq!(backlog.expected_wait(Duration::from_secs(5)), Duration::ZERO);
}
