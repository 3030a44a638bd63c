//! The lines of each event are limited per second, and omitted lines are reported.

use winch_event::{Event, limit::Limiter};

const SUCCESS: Event = Event::RequestEnded;
const FAULT: Event = Event::RequestFailed;

fn admitted(limit: &Limiter, event: Event, second: u64, lines: u32) -> u32 {
    (0..lines).map(|_| u32::from(limit.admit(event, second).admitted)).sum()
}

#[test]
fn lines_limited() {
    let limit = Limiter::new();
    let successes = admitted(&limit, SUCCESS, 1, 10_000);
    let faults = admitted(&limit, FAULT, 1, 10_000);
    assert!(successes < faults, "faults have a higher limit than successes");
    assert!(faults < 1_000);
}

#[test]
fn omitted_reported_once() {
    let limit = Limiter::new();
    let written = admitted(&limit, SUCCESS, 1, 500);
    let next = limit.admit(SUCCESS, 2);
    assert!(next.admitted);
    assert_eq!(next.omitted, 500 - written);
    assert_eq!(limit.admit(SUCCESS, 2).omitted, 0);
}

#[test]
fn separate_limits() {
    let limit = Limiter::new();
    admitted(&limit, SUCCESS, 1, 10_000);
    assert!(limit.admit(FAULT, 1).admitted);
}
