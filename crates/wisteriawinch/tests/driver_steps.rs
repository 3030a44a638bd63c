//! Tests of the driver of one answer against an engine with scripted attempts.

mod common;

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_util::{
    StreamExt,
    stream::{self, BoxStream},
};
use serde_json::json;
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};
use winch_config::{change::Change, object::Team, set::Set};
use winch_generation::{
    cursor::{Cursor, Key},
    digest::Digest,
};
use winch_route::{
    pace::Pacer,
    suspect::{Crash, Disposition},
};
use wisteriawinch::{
    code::Code,
    fleet::Fleet,
    generate::{
        drive::Driver,
        engine::{Batch, Engine, Error, Event, Submission},
        job::Job,
        output::{Chunk, Output},
    },
    rollout::Assignment,
};

/// Time after which an answer without progress must have ended.
const MAX_ANSWER_WAIT: Duration = Duration::from_secs(90);
const KEY: &[u8] = b"fleet-key-0123456789";

/// Batches of an attempt, each with the time that passes before it.
type Attempt = Vec<(Duration, Batch)>;

/// Engine that replays the scripted attempts in order and records the submissions. It is busy
/// after the last one.
#[derive(Clone, Default)]
struct Script {
    attempts: Arc<Mutex<VecDeque<Attempt>>>,
    submitted: Arc<Mutex<Vec<Submission>>>,
}

impl Engine for Script {
    type Stream = BoxStream<'static, Batch>;

    fn submit(&self, _: SocketAddr, submission: Submission) -> Self::Stream {
        self.submitted.lock().unwrap().push(submission);
        let next = self.attempts.lock().unwrap().pop_front();
        let batches = next.unwrap_or_else(|| vec![(Duration::ZERO, Err(Error::Busy))]);
        let delayed = |(delay, batch)| async move {
            sleep(delay).await;
            batch
        };
        stream::iter(batches).then(delayed).boxed()
    }

    async fn cancel(&self, _: SocketAddr, _: &str) {}

    async fn is_dead(&self, _: SocketAddr) -> bool {
        false
    }
}

impl Script {
    fn new(attempts: impl IntoIterator<Item = Vec<Batch>>) -> Self {
        let at_once = |batches: Vec<Batch>| batches.into_iter().map(|b| (Duration::ZERO, b));
        Self::paced(attempts.into_iter().map(|batches| at_once(batches).collect()))
    }

    fn paced(attempts: impl IntoIterator<Item = Attempt>) -> Self {
        let script = Self::default();
        script.attempts.lock().unwrap().extend(attempts);
        script
    }
}

/// Tokens `from..to`, followed by the end marker if `to` is `total`.
fn tokens(from: usize, to: usize, total: usize) -> Vec<Batch> {
    let token = |offset| Event::Token { offset, text: format!(" t{offset}") };
    let mut events: Vec<Event> = (from..to).map(token).collect();
    if to == total {
        events.push(Event::End(total));
    }
    vec![Ok(events)]
}

/// A daemon's state with two replicas of each of two versions.
fn fleet() -> Arc<Fleet> {
    fleet_of(&["v1", "v1", "v2", "v2"])
}

/// A daemon's state with replicas of these versions.
fn fleet_of(replicas: &[&str]) -> Arc<Fleet> {
    let fleet = common::idle_fleet();
    let mut objects = vec![
        json!({ "kind": "version", "name": "v1", "model": "m" }),
        json!({ "kind": "version", "name": "v2", "model": "m" }),
        json!({ "kind": "route", "name": "m", "model": "m", "version": "v1" }),
    ];
    for (number, version) in replicas.iter().enumerate() {
        objects.push(json!({
            "kind": "upstream", "name": format!("e{number}"), "dc": "dc",
            "address": format!("127.0.0.1:{}", 10 + number), "runs": { "version": version },
        }));
    }
    let puts = objects.into_iter().map(|o| serde_json::from_value(o).unwrap()).collect();
    let mut set = Set::default();
    set.apply(&Change { revision: 1, puts, ..Change::default() }).unwrap();
    fleet.install(set);
    fleet
}

/// A job for `max_tokens` tokens, which resumes at the cursor after the tokens if given.
fn job(max_tokens: usize, resume_from: Option<(&Cursor, &[String])>) -> Job {
    let team = Team { name: "t".into(), key_digest: "d".into(), weight: 1 };
    let mut body = json!({ "model": "m", "prompt": "p", "max_tokens": max_tokens, "stream": true });
    let last_event_id = resume_from.map(|(cursor, tokens)| {
        body["accepted"] = json!(tokens);
        cursor.encode(&Key::derive(KEY))
    });
    let body = body.to_string();
    Job::parse(body.as_bytes(), false, team.into(), last_event_id.as_deref(), &Key::derive(KEY))
        .unwrap()
}

/// Assignment to the new version `v2` of a move, with the old version `v1` as fallback.
fn during_move() -> Assignment {
    Assignment { version: "v2".into(), move_subset: None, fallback: Some("v1".into()) }
}

async fn text(mut chunks: mpsc::Receiver<Chunk>) -> String {
    let chunks = stream::poll_fn(move |cx| chunks.poll_recv(cx));
    let bytes: Vec<u8> = chunks.flat_map(|c| stream::iter(c.unwrap().to_vec())).collect().await;
    String::from_utf8(bytes).unwrap()
}

/// Texts of the tokens in the events that the caller received.
fn received(events: &str) -> Vec<String> {
    let data = events.lines().filter_map(|line| line.strip_prefix("data: "));
    data.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|value| value["choices"][0]["text"].as_str().map(str::to_owned))
        .filter(|text| !text.is_empty())
        .collect()
}

/// Drives a job to its end; returns the tokens that the caller received and the state of the
/// daemon that served it.
async fn drive(script: &Script, job: Job, assignment: Assignment) -> (Vec<String>, Arc<Fleet>) {
    drive_on(fleet(), script, job, assignment).await
}

async fn drive_on(
    fleet: Arc<Fleet>,
    script: &Script,
    job: Job,
    assignment: Assignment,
) -> (Vec<String>, Arc<Fleet>) {
    let (output, _head, chunks) = Output::new(job.request, false);
    let driver = Driver::new(fleet.clone(), script.clone(), job, output, assignment);
    let (events, ()) = tokio::join!(text(chunks), driver.run());
    (received(&events), fleet)
}

/// Texts of the tokens `from..to`.
fn expected(from: usize, to: usize) -> Vec<String> {
    (from..to).map(|offset| format!(" t{offset}")).collect()
}

#[tokio::test]
async fn resume_keeps_version() {
    // The caller resumes an answer of the new version and the first attempt breaks. The answer
    // must not fall back to the old version, and no received token may be sent again.
    let accepted = expected(0, 3);
    let digest = accepted.iter().fold(Digest::of(b"p"), |digest, token| digest.push(token));
    let mut cursor = Cursor {
        request: 1,
        body_digest: job(6, None).body_digest,
        version: "v2".into(),
        replica: "e2".into(),
        offset: 3,
        digest,
    };
    cursor.request = 7;
    let script = Script::new([vec![Err(Error::Broken)], tokens(3, 6, 6)]);
    let (received, _) = drive(&script, job(6, Some((&cursor, &accepted))), during_move()).await;
    assert_eq!(received, expected(3, 6));
    for submission in script.submitted.lock().unwrap().iter() {
        assert_eq!((&submission.accepted, submission.version.as_str()), (&accepted, "v2"));
    }
}

#[tokio::test]
async fn failure_falls_back() {
    let script = Script::new([vec![Err(Error::Failed { status: 500 })], tokens(0, 4, 4)]);
    let (received, _) = drive(&script, job(4, None), during_move()).await;
    assert_eq!(received, expected(0, 4));
    let versions: Vec<String> =
        script.submitted.lock().unwrap().iter().map(|s| s.version.clone()).collect();
    assert_eq!(versions, ["v2", "v1"]);
}

#[tokio::test]
async fn begun_answer_stays() {
    // Once a token was sent to the caller, the answer must not change its version.
    let mut first = tokens(0, 2, 4);
    first.push(Err(Error::Broken));
    let script = Script::new([first, tokens(2, 4, 4)]);
    let (received, _) = drive(&script, job(4, None), during_move()).await;
    assert_eq!(received, expected(0, 4));
    let submitted = script.submitted.lock().unwrap();
    assert_eq!((submitted[1].version.as_str(), submitted[1].accepted.len()), ("v2", 2));
}

#[tokio::test]
async fn disconnect_frees_pacer() {
    // The caller disconnects while the resume of its answer is in prefill or waits for an
    // engine. The pacer must not count the resume any longer.
    let script = Script::new([vec![Err(Error::Broken)]]);
    let fleet = fleet();
    let job = job(4, None);
    let (output, _head, chunks) = Output::new(job.request, false);
    let assignment = Assignment { version: "v1".into(), move_subset: None, fallback: None };
    let driver = Driver::new(fleet.clone(), script, job, output, assignment);
    let running = tokio::spawn(driver.run());
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    drop(chunks);
    running.await.unwrap();
    let now = fleet.now();
    let mut routing = fleet.routing();
    let (pacer, _) = routing.router.pacer(&"v1".into(), now);
    let waiters: Vec<u64> = (0..2).map(|_| pacer.enqueue(1)).collect();
    assert!(waiters.into_iter().all(|waiter| pacer.try_start(waiter, 1)));
}

// Guards against a request whose strikes are removed by an end that shows nothing.
#[tokio::test]
async fn only_complete_answers_clear() {
    for (caller_leaves, expected) in [(false, Disposition::Clear), (true, Disposition::Struck)] {
        let pause = Duration::from_millis(100);
        let script = Script::paced([vec![
            (Duration::ZERO, tokens(0, 2, 4).remove(0)),
            (pause, tokens(2, 4, 4).remove(0)),
        ]]);
        let (fleet, job) = (fleet(), job(4, None));
        let request = job.fingerprint;
        fleet.suspects().record_strike(request, Crash(1), fleet.now());
        let (output, _head, chunks) = Output::new(job.request, false);
        let assignment = Assignment { version: "v1".into(), move_subset: None, fallback: None };
        let driver = Driver::new(fleet.clone(), script, job, output, assignment);
        let caller = async {
            if caller_leaves {
                sleep(pause / 2).await;
                drop(chunks);
            } else {
                text(chunks).await;
            }
        };
        tokio::join!(driver.run(), caller);
        let disposition = fleet.suspects().disposition(request, fleet.now());
        assert_eq!(disposition, expected, "the caller leaves: {caller_leaves}");
    }
}

/// Drives a job whose first attempt breaks, with the daemon's state `fleet`; returns the code with
/// which the answer fails. The test fails if it does not end.
async fn failure_after_break(fleet: Arc<Fleet>, job: Job) -> Code {
    let script = Script::new([vec![Err(Error::Broken)]]);
    let (output, head, _chunks) = Output::new(job.request, false);
    let assignment = Assignment { version: "v1".into(), move_subset: None, fallback: None };
    let driver = Driver::new(fleet, script, job, output, assignment);
    timeout(MAX_ANSWER_WAIT, driver.run()).await.expect("the answer ends");
    head.await.expect("a word").expect_err("a refusal").0
}

// Guards against an answer that waits for its turn to be resumed for as long as others take.
#[tokio::test(start_paused = true)]
async fn pacer_wait_ends() {
    let fleet = fleet();
    {
        let mut routing = fleet.routing();
        let (pacer, replicas) = routing.router.pacer(&"v1".into(), fleet.now());
        for _ in 0..replicas * Pacer::RESUMES_PER_REPLICA {
            let waiter = pacer.enqueue(0);
            assert!(pacer.try_start(waiter, replicas));
        }
    }
    assert_eq!(failure_after_break(fleet, job(4, None)).await, Code::GenerationFailed);
}

// Guards against an answer that waits for other isolated requests for as long as they take.
#[tokio::test(start_paused = true)]
async fn isolation_wait_ends() {
    let fleet = fleet();
    let _permit = fleet.isolation.clone().try_acquire_owned().unwrap();
    let job = job(4, None);
    for crash in [1, 2] {
        fleet.suspects().record_crash(Crash(crash), &[job.fingerprint], fleet.now());
    }
    assert_eq!(failure_after_break(fleet, job).await, Code::Expired);
}

/// Drives an answer on these replicas of version `v1`. The first attempt yields two tokens, is silent
/// for `silence` and yields the rest; the others follow `later`. Checks that the caller gets the whole
/// answer, and returns the number of attempts.
async fn attempts_beside_silence(
    replicas: usize,
    silence: Duration,
    later: impl IntoIterator<Item = Attempt>,
) -> usize {
    let [begun, rest] = [tokens(0, 2, 6), tokens(2, 6, 6)].map(|mut batches| batches.remove(0));
    let first = vec![(Duration::ZERO, begun), (silence, rest)];
    let script = Script::paced([first].into_iter().chain(later));
    let fleet = fleet_of(&vec!["v1"; replicas]);
    let assignment = Assignment { version: "v1".into(), move_subset: None, fallback: None };
    let driven = drive_on(fleet, &script, job(6, None), assignment);
    let (received, _) = timeout(MAX_ANSWER_WAIT, driven).await.expect("the answer ends");
    assert_eq!(received, expected(0, 6));
    script.submitted.lock().unwrap().len()
}

/// An attempt that yields the rest of the answer after `delay`.
fn rest_after(delay: Duration) -> Attempt {
    tokens(2, 6, 6).into_iter().map(|batch| (delay, batch)).collect()
}

// Guards against an attempt that is cancelled although no other upstream can take its answer.
#[tokio::test(start_paused = true)]
async fn only_upstream_kept() {
    assert_eq!(attempts_beside_silence(1, Duration::from_secs(3), []).await, 1);
}

// Guards against an attempt that is cancelled before its hedge has yielded a token.
#[tokio::test(start_paused = true)]
async fn stalled_kept_beside_hedge() {
    let hedge = rest_after(Duration::from_secs(20));
    assert_eq!(attempts_beside_silence(2, Duration::from_secs(3), [hedge]).await, 2);
}

// Guards against an answer that waits for a lost connection as long as it has no other upstream.
#[tokio::test(start_paused = true)]
async fn lost_connection_replaced() {
    let again = rest_after(Duration::ZERO);
    assert_eq!(attempts_beside_silence(1, Duration::from_secs(3_600), [again]).await, 2);
}

// Guards against two stalled attempts that keep their answer from a third upstream.
#[tokio::test(start_paused = true)]
async fn stalled_hedge_replaced() {
    let lost = Duration::from_secs(3_600);
    let later = [rest_after(lost), rest_after(Duration::ZERO)];
    assert_eq!(attempts_beside_silence(3, lost, later).await, 3);
}
