//! Streams are split into whole events, and silence is told from slowness.

use std::time::Duration;

use proptest::prelude::*;
use tokio::time::Instant;
use winch_relay::{
    sse::{Event, Splitter},
    stall::Detector,
};

/// The straightforward way, on the whole text.
fn naive(text: &str) -> Vec<(String, Option<u64>)> {
    let mut rest = text;
    let mut events = Vec::new();
    while let Some(end) = rest.find("\n\n") {
        let (event, left) = rest.split_at(end + 2);
        let id = event.lines().find_map(|line| line.strip_prefix("id:"));
        events.push((event.to_owned(), id.and_then(|id| id.trim().parse().ok())));
        rest = left;
    }
    events
}

proptest! {
    #[test]
    fn split_as_naive(
        lines in prop::collection::vec("(id: [0-9]{1,4}|data: [a-z]{0,9}|x)?\n", 0..30),
        piece in 1_usize..20,
    ) {
        let text = lines.concat();
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        for part in text.as_bytes().chunks(piece) {
            prop_assert!(splitter.push(part));
            while let Some(Event { bytes, id }) = splitter.next_event() {
                events.push((String::from_utf8(bytes.to_vec()).unwrap(), id));
            }
        }
        prop_assert_eq!(events, naive(&text));
    }
}

#[test]
fn torn_event_held_back() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(splitter.next_event().unwrap().id, Some(1));
    assert_eq!(splitter.next_event(), None);
    assert!(splitter.has_partial());
}

#[test]
fn carriage_returns() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 7\r\ndata: a\r\n\r\n");
    assert_eq!(splitter.next_event().unwrap().id, Some(7));
    assert!(!splitter.has_partial());
}

#[test]
fn endless_event_refused() {
    let mut splitter = Splitter::default();
    let part = [b'x'; 64 * 1024];
    assert!((0..100).any(|_| !splitter.push(&part)));
}

#[test]
fn check_follows_pace() {
    let start = Instant::now();
    let pause = Duration::from_millis(700);
    let paced = |gap_ms: u64| {
        let mut pace = Detector::new(Some(pause), start);
        for number in 1..=50 {
            pace.record_event(start + Duration::from_millis(gap_ms * number));
        }
        let last = start + Duration::from_millis(gap_ms * 50);
        (pace.probe_at() - last, pace.failover_at() - last)
    };
    let (quick, moved) = paced(30);
    let (slow, _) = paced(180);
    assert!(quick < slow, "a slow stream is checked later");
    assert!(slow < moved);
    assert!(moved < pause, "a stream is moved in time for its next event");
}
