//! Splitting of byte streams into events, and the times at which a stall is detected.

use std::time::Duration;

use proptest::prelude::*;
use tokio::time::Instant;
use winch_relay::{
    sse::{Event, Splitter},
    stall::Detector,
};

/// Splits the complete text with string functions, as a reference.
fn split_reference(text: &str) -> Vec<(String, Option<u64>)> {
    let mut rest = text;
    let mut events = Vec::new();
    while let Some(end) = rest.find("\n\n") {
        let (event, remainder) = rest.split_at(end + 2);
        let id = event.lines().find_map(|line| line.strip_prefix("id:"));
        events.push((event.to_owned(), id.and_then(|id| id.trim().parse().ok())));
        rest = remainder;
    }
    events
}

proptest! {
    #[test]
    fn split_matches_reference(
        lines in prop::collection::vec("(id: [0-9]{1,4}|data: [a-z]{0,9}|x)?\n", 0..30),
        chunk_len in 1_usize..20,
    ) {
        let text = lines.concat();
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        for chunk in text.as_bytes().chunks(chunk_len) {
            prop_assert!(splitter.push(chunk));
            while let Some(Event { bytes, id }) = splitter.next_event() {
                events.push((String::from_utf8(bytes.to_vec()).unwrap(), id));
            }
        }
        prop_assert_eq!(events, split_reference(&text));
    }
}

#[test]
fn partial_event_held_back() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(splitter.next_event().unwrap().id, Some(1));
    assert_eq!(splitter.next_event(), None);
    assert!(splitter.has_partial());
}

#[test]
fn crlf_line_ends() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 7\r\ndata: a\r\n\r\n");
    assert_eq!(splitter.next_event().unwrap().id, Some(7));
    assert!(!splitter.has_partial());
}

#[test]
fn oversized_event_refused() {
    let mut splitter = Splitter::default();
    let chunk = [b'x'; 64 * 1024];
    assert!((0..100).any(|_| !splitter.push(&chunk)));
}

#[test]
fn probe_follows_mean_gap() {
    let start = Instant::now();
    let max_gap = Duration::from_millis(700);
    // Delays from the last of 50 events to the probe and to the failover.
    let delays = |gap_ms: u64| {
        let mut detector = Detector::new(Some(max_gap), start);
        for number in 1..=50 {
            detector.record_event(start + Duration::from_millis(gap_ms * number));
        }
        let last = start + Duration::from_millis(gap_ms * 50);
        (detector.probe_at() - last, detector.failover_at() - last)
    };
    let (fast_probe, failover) = delays(30);
    let (slow_probe, _) = delays(180);
    assert!(fast_probe < slow_probe, "a slow stream is probed later");
    assert!(slow_probe < failover);
    assert!(failover < max_gap, "failover leaves time for the next event");
}
