//! Counters and gauges, by name.

use metrics::{counter, gauge, histogram};

use crate::prelude::*;

/// Requests that arrived, by kind.
pub fn request(kind: &'static str) {
    counter!("winch_requests_total", "kind" => kind).increment(1);
}

/// Requests that ended with a code.
pub fn refused(code: Code) {
    counter!("winch_refused_total", "code" => code.name()).increment(1);
}

/// Attempts that were replaced, by reason.
pub fn retried(reason: &'static str) {
    counter!("winch_retries_total", "reason" => reason).increment(1);
}

/// Tokens that were dropped, by reason.
pub fn dropped(reason: &'static str) {
    counter!("winch_tokens_dropped_total", "reason" => reason).increment(1);
}

/// Tokens passed on to callers.
pub fn tokens(count: u64) {
    counter!("winch_tokens_total").increment(count);
}

/// Tokens fed again to an engine after a loss.
pub fn recomputed(count: usize) {
    counter!("winch_tokens_recomputed_total").increment(count as u64);
}

/// Answers that ended, by outcome.
pub fn answer(outcome: &'static str) {
    counter!("winch_answers_total", "outcome" => outcome).increment(1);
}

/// Time from the last token before a loss to the next one after it.
pub fn resume_gap(gap: Duration) {
    histogram!("winch_resume_seconds").record(gap.as_secs_f64());
}

/// Time from arrival to the first token.
pub fn first_token(time: Duration) {
    histogram!("winch_first_token_seconds").record(time.as_secs_f64());
}

/// Open streams.
pub fn open_streams(change: f64) {
    gauge!("winch_open_streams").increment(change);
}

/// The revision in force.
pub fn revision(revision: u64) {
    gauge!("winch_revision").set(revision as f64);
}

/// Peers by state.
pub fn peers(alive: usize) {
    gauge!("winch_peers_alive").set(alive as f64);
}

/// Bytes sent to and received from peers.
pub fn peer_bytes(direction: &'static str, bytes: usize) {
    counter!("winch_peer_bytes_total", "direction" => direction).increment(bytes as u64);
}

/// Frames of peers that were refused, by reason.
pub fn frame_refused(reason: &'static str) {
    counter!("winch_frames_refused_total", "reason" => reason).increment(1);
}
