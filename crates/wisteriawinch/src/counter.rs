//! Counters, gauges and histograms of the daemon.

use metrics::{counter, gauge, histogram};

use crate::prelude::*;

/// Counts a received request, by kind.
pub fn request(kind: &'static str) {
    counter!("winch_requests_total", "kind" => kind).increment(1);
}

/// Counts a request that ended with an error, by code.
pub fn refused(code: Code) {
    counter!("winch_refused_total", "code" => code.name()).increment(1);
}

/// Counts an attempt that failed, stalled, was hedged or lost against a hedge, by reason.
pub fn retried(reason: &'static str) {
    counter!("winch_retries_total", "reason" => reason).increment(1);
}

/// Counts a token of an engine that was not accepted into an answer, by reason.
pub fn dropped(reason: &'static str) {
    counter!("winch_tokens_dropped_total", "reason" => reason).increment(1);
}

/// Counts tokens accepted into answers.
pub fn tokens(count: u64) {
    counter!("winch_tokens_total").increment(count);
}

/// Counts tokens that an engine must prefill again for a resume.
pub fn recomputed(count: usize) {
    counter!("winch_tokens_recomputed_total").increment(count as u64);
}

/// Counts an answer that ended, by outcome.
pub fn answer(outcome: &'static str) {
    counter!("winch_answers_total", "outcome" => outcome).increment(1);
}

/// Records the time from the last token before an attempt was lost or hedged to the next
/// token.
pub fn resume_gap(gap: Duration) {
    histogram!("winch_resume_seconds").record(gap.as_secs_f64());
}

/// Records the time from the request's arrival to its first token.
pub fn first_token(time: Duration) {
    histogram!("winch_first_token_seconds").record(time.as_secs_f64());
}

/// Adds `change` to the number of open streams.
pub fn open_streams(change: f64) {
    gauge!("winch_open_streams").increment(change);
}

/// Sets the configuration revision in force.
pub fn revision(revision: u64) {
    gauge!("winch_revision").set(revision as f64);
}

/// Sets the number of peers that are alive or suspected.
pub fn peers(alive: usize) {
    gauge!("winch_peers_alive").set(alive as f64);
}

/// Counts bytes exchanged with peers, by direction.
pub fn peer_bytes(direction: &'static str, bytes: usize) {
    counter!("winch_peer_bytes_total", "direction" => direction).increment(bytes as u64);
}

/// Counts a refused frame from a peer, by reason.
pub fn frame_refused(reason: &'static str) {
    counter!("winch_frames_refused_total", "reason" => reason).increment(1);
}
