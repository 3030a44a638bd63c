//! The lines of each event are limited per second, and omitted lines are reported.

use winch_event::{Event, limit::Limiter};

const SUCCESS: Event = Event::RequestEnded;
const FAULT: Event = Event::RequestFailed;

fn admitted(limiter: &Limiter, event: Event, second: u64, lines: u32) -> u32 {
    (0..lines).map(|_| u32::from(limiter.admit(event, second).admitted)).sum()
}

#[test]
fn lines_limited() {
    let limiter = Limiter::new();
    let successes = admitted(&limiter, SUCCESS, 1, 10_000);
    let faults = admitted(&limiter, FAULT, 1, 10_000);
    assert!(successes < faults, "faults have a higher limit than successes");
    assert!(faults < 1_000);
}

#[test]
fn omitted_reported_once() {
    let limiter = Limiter::new();
    let written = admitted(&limiter, SUCCESS, 1, 500);
    let next = limiter.admit(SUCCESS, 2);
    assert!(next.admitted);
    assert_eq!(next.omitted, 500 - written);
    assert_eq!(limiter.admit(SUCCESS, 2).omitted, 0);
}

#[test]
fn separate_limits() {
    let limiter = Limiter::new();
    admitted(&limiter, SUCCESS, 1, 10_000);
    assert!(limiter.admit(FAULT, 1).admitted);
}
