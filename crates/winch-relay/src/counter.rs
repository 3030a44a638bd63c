//! Counters and histograms, by name.

use metrics::{counter, gauge, histogram};

use crate::{controller::State, prelude::*};

/// Requests that ended, by kind and outcome.
pub fn ended(kind: &'static str, outcome: &'static str, taken: Duration) {
    counter!("winch_requests_total", "kind" => kind, "outcome" => outcome).increment(1);
    histogram!("winch_request_seconds", "kind" => kind).record(taken.as_secs_f64());
}

/// Requests that this daemon refused or failed by itself.
pub fn refused(code: Code) {
    counter!("winch_refused_total", "code" => code.name()).increment(1);
}

/// Requests sent once more, by reason.
pub fn retried(reason: &'static str) {
    counter!("winch_retries_total", "reason" => reason).increment(1);
}

/// Streams that went on at another replica, and the pause that their callers saw.
pub fn resumed(from_copy: bool, pause: Duration) {
    let source = if from_copy { "copy" } else { "prompt" };
    counter!("winch_resumes_total", "source" => source).increment(1);
    histogram!("winch_resume_pause_seconds", "source" => source).record(pause.as_secs_f64());
}

/// Time to the first event of a stream.
pub fn first_event(taken: Duration) {
    histogram!("winch_first_event_seconds").record(taken.as_secs_f64());
}

/// Copies that replicas were asked to keep.
pub fn copy_requested() {
    counter!("winch_copies_total").increment(1);
}

/// Snapshots of runs whose copy was lost, by result.
pub fn snapshot(result: &'static str) {
    counter!("winch_snapshots_total", "result" => result).increment(1);
}

/// Questions for a replica's report, by result.
pub fn probed(result: &'static str) {
    counter!("winch_probes_total", "result" => result).increment(1);
}

/// Connections opened to replicas.
pub fn connected(result: &'static str) {
    counter!("winch_connections_total", "result" => result).increment(1);
}

/// Calls to the platform's store, by kind and result.
pub fn store_called(kind: &'static str, result: &'static str, taken: Duration) {
    counter!("winch_store_calls_total", "kind" => kind, "result" => result).increment(1);
    histogram!("winch_store_call_seconds", "kind" => kind).record(taken.as_secs_f64());
}

/// Time since the list and the configuration were last confirmed by the store.
pub fn state_age(kind: &'static str, age: Duration) {
    gauge!("winch_knowledge_age_seconds", "kind" => kind).set(age.as_secs_f64());
}

/// Deaths of replicas that this daemon blames on a request.
pub fn strike_added() {
    counter!("winch_strikes_total").increment(1);
}

/// Version moves that this daemon has ended, by verdict.
pub fn move_ended(state: State) {
    let verdict = match state {
        State::Running => "running",
        State::Completed => "completed",
        State::TakenBack => "taken_back",
    };
    counter!("winch_moves_total", "verdict" => verdict).increment(1);
}

/// Lines of the log that were left out.
pub fn log_losses() {
    counter!("winch_log_omitted_total").absolute(winch_event::limit::omitted());
    counter!("winch_log_dropped_total").absolute(winch_event::output::dropped());
}
