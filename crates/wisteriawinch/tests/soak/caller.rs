//! Callers that keep connections, come back after failures, and check what they get.

use std::{sync::Arc, time::Duration};

use rand::{Rng, rngs::SmallRng};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use super::{
    common::{Caller, EVENTS, Request, Response},
    fleet::Fleet,
};

/// Longest wait for an answer; a daemon answers at the latest when the time
/// that the caller states is over, unless it is paused or killed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Resumes of one stream by its caller.
const MAX_RESUMES: usize = 6;

/// What one caller has seen.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) served: u64,
    pub(crate) broken: Vec<String>,
}

/// Sends requests until it is told to stop.
pub(crate) async fn run(
    fleet: Arc<Fleet>,
    number: u64,
    mut rng: SmallRng,
    stopped: watch::Receiver<bool>,
) -> Report {
    let mut report = Report::default();
    let mut kept = None;
    for count in 0.. {
        if *stopped.borrow() {
            break;
        }
        let id = format!("c{number}-{count}-{:x}", rng.random::<u64>());
        if kept.is_none() || rng.random_bool(0.1) {
            kept = fleet.caller(rng.random_range(0..3)).await;
        }
        let Some(mut caller) = kept.take() else {
            sleep(Duration::from_millis(30)).await;
            continue;
        };
        let whole = match rng.random_range(0..3) {
            0 => stream(&fleet, &mut caller, &id, &mut rng, &mut report).await,
            1 => plain(&fleet, &mut caller, Request::order(&id), &id, &mut report).await,
            _ => plain(&fleet, &mut caller, Request::lookup(&id), &id, &mut report).await,
        };
        if whole && caller.connection.is_reusable() {
            kept = Some(caller);
        }
        sleep(Duration::from_millis(rng.random_range(0..20))).await;
    }
    report
}

/// One order or lookup; whether its answer was whole.
async fn plain(
    fleet: &Fleet,
    caller: &mut Caller,
    ask: Request,
    id: &str,
    report: &mut Report,
) -> bool {
    let order = ask.target.starts_with("/o/");
    let Ok(Ok(got)) = timeout(ANSWER_TIMEOUT, caller.send(ask)).await else { return false };
    if got.status.is_success() {
        report.served += 1;
        check_signed(&got, id, report);
        if !got.body.ends_with(&format!("for {id}")) {
            report.broken.push(format!("{id} got an answer of another request: {}", got.body));
        }
    } else if order && matches!(got.status.as_u16(), 408 | 421 | 429 | 503) {
        fleet.promised.lock().expect("no panic under the lock").insert(id.to_owned());
    }
    true
}

fn check_signed(got: &Response, id: &str, report: &mut Report) {
    if !got.headers.contains_key("replica-signature") {
        report.broken.push(format!("{id} got a success that no replica has signed"));
    }
}

/// One stream, resumed by its caller at other daemons when it is cut.
async fn stream(
    fleet: &Fleet,
    caller: &mut Caller,
    id: &str,
    rng: &mut SmallRng,
    report: &mut Report,
) -> bool {
    let brief = format!("brief-{id}");
    let mut last = 0;
    let first = part(caller, Request::stream(id).body(&brief), &brief, &mut last, report).await;
    let mut ended = first;
    for resume in 0..MAX_RESUMES {
        if ended {
            break;
        }
        let Some(mut other) = fleet.caller(rng.random_range(0..3)).await else { continue };
        let next = Request::stream(&format!("{id}-r{resume}")).body(&brief);
        let next = if last > 0 { next.with("last-event-id", &last.to_string()) } else { next };
        ended = part(&mut other, next, &brief, &mut last, report).await;
    }
    if ended && last != EVENTS {
        report.broken.push(format!("stream {id} ended as complete after event {last}"));
    }
    report.served += u64::from(ended);
    first
}

/// One attempt at a stream; whether it ended as complete.
async fn part(
    caller: &mut Caller,
    ask: Request,
    brief: &str,
    last: &mut u64,
    report: &mut Report,
) -> bool {
    let Ok(Ok(reply)) = timeout(ANSWER_TIMEOUT, caller.send_for_head(&ask)).await else {
        return false;
    };
    let mut text = String::new();
    let ended = loop {
        match timeout(ANSWER_TIMEOUT, caller.connection.chunk()).await {
            Ok(Ok(Some(data))) => text.push_str(&String::from_utf8_lossy(&data)),
            Ok(Ok(None)) => break true,
            Ok(Err(_)) | Err(_) => break false,
        }
    };
    if !reply.status.is_success() {
        return false;
    }
    let whole_events = text.rfind("\n\n").map_or(0, |at| at + 2);
    if whole_events != text.len() {
        report.broken.push(format!("a part of an event of {brief}: {:?}", &text[whole_events..]));
    }
    for event in text[..whole_events].split_terminator("\n\n") {
        *last += 1;
        let wanted = format!("id: {last}\ndata: piece {last} of {brief}");
        if event != wanted {
            report.broken.push(format!("wanted {wanted:?}, got {event:?}"));
            return false;
        }
    }
    ended
}
