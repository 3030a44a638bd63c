//! Callers that send random requests and check the answers.
//!
//! A caller usually reuses its connection after a complete answer. It resumes cut
//! streams at any daemon and does not repeat failed orders and lookups.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use rand::{Rng, rngs::SmallRng};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

use super::{
    common::{Caller, EVENTS, Request, Response},
    fleet::Fleet,
};

/// Longest wait for an answer. A daemon answers by the deadline that the request
/// states (10 s) unless it is paused or killed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest number of attempts to resume one stream.
const MAX_RESUMES: usize = 6;

/// How an attempt at a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// With a whole body.
    Complete,
    /// Within its body.
    Cut,
    /// With another status than success.
    NotBegun,
    /// Without a reply.
    NoReply,
}

/// Result of one caller.
#[derive(Debug, Default)]
pub(crate) struct Report {
    /// Successful orders and lookups, and streams that ended.
    pub(crate) served: u64,
    /// Violated guarantees.
    pub(crate) violations: Vec<String>,
}

/// Prints what the callers of a series got, and returns the violated guarantees.
pub(crate) fn sum(reports: Vec<Report>, series: &str, started_at: Instant) -> Vec<String> {
    let served: u64 = reports.iter().map(|report| report.served).sum();
    eprintln!("{served} served {series}, in {:?}", started_at.elapsed());
    reports.into_iter().flat_map(|report| report.violations).collect()
}

/// Sends requests until `stopped` is true.
pub(crate) async fn run(
    fleet: Arc<Fleet>,
    number: u64,
    mut rng: SmallRng,
    stopped: watch::Receiver<bool>,
) -> Report {
    let mut report = Report::default();
    let mut reusable = None;
    for count in 0.. {
        if *stopped.borrow() {
            break;
        }
        let id = format!("c{number}-{count}-{:x}", rng.random::<u64>());
        if reusable.is_none() || rng.random_bool(0.1) {
            reusable = fleet.caller(rng.random_range(0..fleet.size.daemons)).await;
        }
        let Some(mut caller) = reusable.take() else {
            sleep(Duration::from_millis(30)).await;
            continue;
        };
        let request = match rng.random_range(0..3) {
            0 => None,
            1 => Some(Request::order(&id)),
            _ => Some(Request::lookup(&id)),
        };
        let is_complete = match request {
            None => run_stream(&fleet, &mut caller, &id, &mut rng, &mut report).await,
            Some(request) => {
                send_one(&fleet, &mut caller, request, &id, &mut report).await.is_some()
            }
        };
        if is_complete && caller.connection.is_reusable() {
            reusable = Some(caller);
        }
        sleep(Duration::from_millis(rng.random_range(0..20))).await;
    }
    report
}

/// Sends one order or lookup; returns the status of a complete answer, `None` if there is none.
pub(crate) async fn send_one(
    fleet: &Fleet,
    caller: &mut Caller,
    request: Request,
    id: &str,
    report: &mut Report,
) -> Option<StatusCode> {
    let is_order = request.target.starts_with("/o/");
    let Ok(Ok(response)) = timeout(ANSWER_TIMEOUT, caller.send(request)).await else {
        return None;
    };
    if response.status.is_success() {
        report.served += 1;
        check_signed(&response, id, report);
        if !response.body.ends_with(&format!("for {id}")) {
            report
                .violations
                .push(format!("{id} got the answer to another request: {}", response.body));
        }
    } else if is_order && matches!(response.status.as_u16(), 408 | 421 | 429 | 503) {
        fleet.ledger.record_refusal(id);
    }
    Some(response.status)
}

fn check_signed(response: &Response, id: &str, report: &mut Report) {
    if !response.headers.contains_key("replica-signature") {
        report.violations.push(format!("{id} got a success without a replica's signature"));
    }
}

/// Runs one stream and resumes it at random daemons when it is cut.
///
/// Returns true if the first attempt ended, so that its connection can be reused.
async fn run_stream(
    fleet: &Fleet,
    caller: &mut Caller,
    id: &str,
    rng: &mut SmallRng,
    report: &mut Report,
) -> bool {
    let brief = format!("brief-{id}");
    let mut last = 0;
    let request = Request::stream(id).body(&brief);
    let first_ended = read_events(fleet, caller, request, &mut last, report).await == End::Complete;
    let mut has_ended = first_ended;
    for resume in 0..MAX_RESUMES {
        if has_ended {
            break;
        }
        let Some(mut other) = fleet.caller(rng.random_range(0..fleet.size.daemons)).await else {
            continue;
        };
        // A new id, so that a refusal of the resumption is told from the earlier attempts.
        let request = Request::stream(&format!("{id}-r{resume}")).body(&brief);
        let request =
            if last > 0 { request.with("last-event-id", &last.to_string()) } else { request };
        let end = read_events(fleet, &mut other, request, &mut last, report).await;
        has_ended = end == End::Complete;
    }
    if has_ended && last != EVENTS {
        report.violations.push(format!("stream {id} ended after event {last} of {EVENTS}"));
    }
    report.served += u64::from(has_ended);
    first_ended
}

/// Reads one attempt at a stream and checks that its events follow on `last` without
/// a gap; `last` becomes the last event read.
pub(crate) async fn read_events(
    fleet: &Fleet,
    caller: &mut Caller,
    request: Request,
    last: &mut u64,
    report: &mut Report,
) -> End {
    let Ok(Ok(reply)) = timeout(ANSWER_TIMEOUT, caller.send_for_head(&request)).await else {
        return End::NoReply;
    };
    let brief = &request.body;
    let mut text = String::new();
    let has_ended = loop {
        match timeout(ANSWER_TIMEOUT, caller.connection.chunk()).await {
            Ok(Ok(Some(data))) => text.push_str(&String::from_utf8_lossy(&data)),
            Ok(Ok(None)) => break true,
            Ok(Err(_)) | Err(_) => break false,
        }
    };
    if !reply.status.is_success() {
        let states_not_run = has_ended && text.contains("\"not_run\":true");
        if let Some(Ok(id)) = request.headers.get("attempt-id").map(|id| id.to_str())
            && states_not_run
        {
            fleet.ledger.record_refusal(id);
        }
        return End::NotBegun;
    }
    let complete_len = text.rfind("\n\n").map_or(0, |at| at + 2);
    if complete_len != text.len() {
        report.violations.push(format!("incomplete event of {brief}: {:?}", &text[complete_len..]));
    }
    for event in text[..complete_len].split_terminator("\n\n") {
        *last += 1;
        let expected = format!("id: {last}\ndata: piece {last} of {brief}");
        if event != expected {
            report.violations.push(format!("expected {expected:?}, got {event:?}"));
            return End::Cut;
        }
    }
    if has_ended { End::Complete } else { End::Cut }
}
