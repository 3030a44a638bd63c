//! Updates of the daemon's metrics: counters, gauges and histograms.

use metrics::{counter, gauge, histogram};

use crate::{catalog::Verdict, controller::State, prelude::*, trace::Phase};

/// Counts a request that ended and records its duration. The kind is `lookup`, `order` or
/// `stream`, the outcome `served` or `failed`.
pub fn ended(kind: &'static str, outcome: &'static str, duration: Duration) {
    counter!("winch_requests_total", "kind" => kind, "outcome" => outcome).increment(1);
    histogram!("winch_request_seconds", "kind" => kind).record(duration.as_secs_f64());
}

/// Counts a request that this daemon itself refused or failed.
pub fn refused(code: Code) {
    counter!("winch_refused_total", "code" => code.name()).increment(1);
}

/// Counts an answer that had begun and that this daemon broke off, by the code that it ended with.
pub fn cut(code: Code) {
    counter!("winch_cut_total", "code" => code.name()).increment(1);
}

/// Counts a request that the end of a stop's grace period interrupted, by what it was doing.
pub fn grace_ended(phase: Phase) {
    counter!("winch_grace_ended_total", "phase" => phase.name()).increment(1);
}

/// Counts a new stream at a stopping daemon: `taken` if it is expected to end within the grace
/// period, else `refused`.
pub fn stream_while_stopping(result: &'static str) {
    counter!("winch_stopping_streams_total", "result" => result).increment(1);
}

/// Counts a stream that left a silent replica: `silent` if another one has it, `unresponsive`,
/// `replaced` or `gone` if the replica was given up.
pub fn abandoned(reason: &'static str) {
    counter!("winch_abandoned_total", "reason" => reason).increment(1);
}

/// Records by how much this process was late for a timer.
pub fn timer_lag(lag: Duration) {
    histogram!("winch_timer_lag_seconds").record(lag.as_secs_f64());
}

/// Counts a caller's connection that was closed, by reason.
pub fn closed(reason: &'static str) {
    counter!("winch_connections_closed_total", "reason" => reason).increment(1);
}

/// Counts a request that was shed because its service is overloaded. The kind is `lookup` or
/// `order`.
pub fn shed(kind: &'static str) {
    counter!("winch_shed_total", "kind" => kind).increment(1);
}

/// Counts a decision whether a stream is sent to a replica or refused because of the load of its
/// service, by the rank of its priority. The result is `admitted` or `refused`.
pub fn admission(result: &'static str, rank: u32) {
    counter!("winch_admissions_total", "result" => result, "rank" => rank.to_string()).increment(1);
}

/// Counts an attempt that was refused or failed, by reason; usually a retry follows.
pub fn retried(reason: &'static str) {
    counter!("winch_retries_total", "reason" => reason).increment(1);
}

/// Counts a stream that resumed at another replica, from a KV cache copy or from the
/// prompt, and records the gap that its caller saw.
pub fn resumed(from_copy: bool, gap: Duration) {
    let source = if from_copy { "copy" } else { "prompt" };
    counter!("winch_resumes_total", "source" => source).increment(1);
    histogram!("winch_resume_pause_seconds", "source" => source).record(gap.as_secs_f64());
}

/// Records the time from the receipt of a request to the first event of its stream.
pub fn first_event(latency: Duration) {
    histogram!("winch_first_event_seconds").record(latency.as_secs_f64());
}

/// Counts a KV cache copy that a replica was asked to keep.
pub fn copy_requested() {
    counter!("winch_copies_total").increment(1);
}

/// Counts a snapshot of the KV cache of a run without a copy: `ok` or `failed` when it is made,
/// `no_room` when there is no holder for it, `freed` when it is freed, and `left` when that fails
/// and it is left to expire.
pub fn snapshot(result: &'static str) {
    counter!("winch_snapshots_total", "result" => result).increment(1);
}

/// Counts a request for a replica's load report, by result.
pub fn probed(result: &'static str) {
    counter!("winch_probes_total", "result" => result).increment(1);
}

/// Counts a choice of a replica, including one that found none with room, by the rounds of load
/// reports that it took, 1 to 3.
pub fn placed(rounds: u32) {
    let rounds = match rounds {
        1 => "1",
        2 => "2",
        _ => "3",
    };
    counter!("winch_placements_total", "rounds" => rounds).increment(1);
}

/// Counts a strike that was removed because its replica was found alive.
pub fn strikes_retracted() {
    counter!("winch_strikes_retracted_total").increment(1);
}

/// Counts a pause for which a replica gets no requests of this daemon, because it has refused one.
pub fn replica_paused() {
    counter!("winch_replica_pauses_total").increment(1);
}

/// Counts a stream that was placed at a replica without enough uncommitted KV cache.
pub fn placed_without_room() {
    counter!("winch_placements_without_room_total").increment(1);
}

/// Counts a KV cache copy that was not requested when its run started, by reason: `no_room` if no
/// holder had enough uncommitted KV cache.
pub fn copy_skipped(reason: &'static str) {
    counter!("winch_copies_skipped_total", "reason" => reason).increment(1);
}

/// Counts a stream that waits in this daemon for a replica with room: `begun`, and then `started`
/// or `expired`.
pub fn waited(result: &'static str) {
    counter!("winch_waits_total", "result" => result).increment(1);
}

/// Counts an attempt to open a connection to a replica, by result: `ok` or the name of its failure.
pub fn connected(result: &'static str) {
    counter!("winch_connections_total", "result" => result).increment(1);
}

/// Counts an attempt to pass a request on to another daemon, by result.
pub fn forwarded(result: &'static str) {
    counter!("winch_forwarded_total", "result" => result).increment(1);
}

/// Counts a request that another daemon has passed on, by whether there was room for it.
pub fn taken(result: &'static str) {
    counter!("winch_taken_total", "result" => result).increment(1);
}

/// Counts a call to the platform's store, by kind and result, and records its duration.
pub fn store_called(kind: &'static str, result: &'static str, duration: Duration) {
    counter!("winch_store_calls_total", "kind" => kind, "result" => result).increment(1);
    histogram!("winch_store_call_seconds", "kind" => kind).record(duration.as_secs_f64());
}

/// Counts a page of a table that was read from the platform's store.
pub fn page_read(table: &str) {
    counter!("winch_store_pages_total", "table" => table.to_owned()).increment(1);
}

/// Counts an outage of the store that has ended, by whether entries of live replicas can have
/// expired in it.
pub fn outage_ended(verdict: Verdict) {
    counter!("winch_outages_ended_total", "verdict" => verdict.name()).increment(1);
}

/// Sets the time since the store last confirmed the state of one kind: the list or the
/// configuration.
pub fn state_age(kind: &'static str, age: Duration) {
    gauge!("winch_knowledge_age_seconds", "kind" => kind).set(age.as_secs_f64());
}

/// Counts a replica crash that is attributed to a request. The source is `own` if this daemon
/// observed the crash, else `peer`.
pub fn strike_added(source: &'static str) {
    counter!("winch_strikes_total", "source" => source).increment(1);
}

/// Counts a part of prompts that was quarantined.
pub fn part_quarantined() {
    counter!("winch_quarantined_parts_total").increment(1);
}

/// Counts a version move that this daemon ended, by verdict.
pub fn move_ended(state: State) {
    let verdict = match state {
        State::Running => "running",
        State::Completed => "completed",
        State::TakenBack => "taken_back",
    };
    counter!("winch_moves_total", "verdict" => verdict).increment(1);
}

/// Counts samples of the speed of replicas: `taken` of this daemon's streams, `received` from
/// followers, and `sent` to the daemon that this one follows.
pub fn speed_samples(stage: &'static str, count: usize) {
    counter!("winch_speed_samples_total", "stage" => stage).increment(count as u64);
}

/// Sets the number of replicas of a service with an estimate of their speed, and the ratio of the
/// upper quartile of the estimates to the lower one.
pub fn speed_estimates(service: &Name, known: usize, quartile_ratio: f64) {
    let service = service.to_string();
    gauge!("winch_speed_estimates", "service" => service.clone()).set(known as f64);
    gauge!("winch_speed_spread", "service" => service).set(quartile_ratio);
}

/// Sets the numbers of log lines that were omitted by a limit or dropped at the output.
pub fn log_losses() {
    counter!("winch_log_omitted_total").absolute(winch_event::limit::omitted());
    counter!("winch_log_dropped_total").absolute(winch_event::output::dropped());
}
