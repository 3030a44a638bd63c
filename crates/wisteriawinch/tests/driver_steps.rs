//! One answer's driver against a scripted engine.

mod common;

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use futures_util::{StreamExt, stream};
use serde_json::json;
use tokio::sync::mpsc;
use winch_config::{change::Change, object::Team, set::Set};
use winch_generation::{
    cursor::{Cursor, Key},
    digest::Digest,
};
use wisteriawinch::{
    fleet::Fleet,
    generate::{
        drive::Driver,
        engine::{Batch, Engine, Error, Event, Submission},
        job::Job,
        output::{Chunk, Output},
    },
    trial::Plan,
};

const KEY: &[u8] = b"fleet-key-0123456789";

/// Plays one scripted attempt after the other and notes what was asked of it.
#[derive(Clone, Default)]
struct Script {
    attempts: Arc<Mutex<VecDeque<Vec<Batch>>>>,
    submitted: Arc<Mutex<Vec<Submission>>>,
}

impl Engine for Script {
    type Stream = stream::Iter<std::vec::IntoIter<Batch>>;

    fn submit(&self, _: SocketAddr, submission: Submission) -> Self::Stream {
        self.submitted.lock().unwrap().push(submission);
        let next = self.attempts.lock().unwrap().pop_front();
        stream::iter(next.unwrap_or_else(|| vec![Err(Error::Busy)]))
    }

    async fn cancel(&self, _: SocketAddr, _: &str) {}

    async fn is_dead(&self, _: SocketAddr) -> bool {
        false
    }
}

impl Script {
    fn new(attempts: impl IntoIterator<Item = Vec<Batch>>) -> Self {
        let script = Self::default();
        script.attempts.lock().unwrap().extend(attempts);
        script
    }
}

/// Tokens from `from` on, with the end mark after `total`.
fn tokens(from: usize, to: usize, total: usize) -> Vec<Batch> {
    let token = |offset| Event::Token { offset, text: format!(" t{offset}") };
    let mut events: Vec<Event> = (from..to).map(token).collect();
    if to == total {
        events.push(Event::End(total));
    }
    vec![Ok(events)]
}

fn fleet() -> Arc<Fleet> {
    let fleet = common::idle_fleet();
    let mut objects = vec![
        json!({ "kind": "version", "name": "v1", "model": "m" }),
        json!({ "kind": "version", "name": "v2", "model": "m" }),
        json!({ "kind": "route", "name": "m", "model": "m", "version": "v1" }),
    ];
    for (number, version) in ["v1", "v1", "v2", "v2"].into_iter().enumerate() {
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

fn job(max_tokens: usize, held: Option<(&Cursor, &[String])>) -> Job {
    let team = Team { name: "t".into(), key_digest: "d".into(), weight: 1 };
    let mut body = json!({ "model": "m", "prompt": "p", "max_tokens": max_tokens, "stream": true });
    let id = held.map(|(cursor, tokens)| {
        body["accepted"] = json!(tokens);
        cursor.encode(&Key::derive(KEY))
    });
    let body = body.to_string();
    Job::read(body.as_bytes(), false, team.into(), id.as_deref(), &Key::derive(KEY)).unwrap()
}

/// On trial: `v2`, and `v1` where the trial cannot serve.
fn on_trial() -> Plan {
    Plan { version: "v2".into(), first: None, fallback: Some("v1".into()) }
}

async fn text(mut chunks: mpsc::Receiver<Chunk>) -> String {
    let chunks = stream::poll_fn(move |cx| chunks.poll_recv(cx));
    let bytes: Vec<u8> = chunks.flat_map(|c| stream::iter(c.unwrap().to_vec())).collect().await;
    String::from_utf8(bytes).unwrap()
}

/// Texts of the tokens that the caller received.
fn told(events: &str) -> Vec<String> {
    let data = events.lines().filter_map(|line| line.strip_prefix("data: "));
    data.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|value| value["choices"][0]["text"].as_str().map(str::to_owned))
        .filter(|text| !text.is_empty())
        .collect()
}

async fn drive(script: &Script, job: Job, plan: Plan) -> (Vec<String>, Arc<Fleet>) {
    let fleet = fleet();
    let (output, _head, chunks) = Output::new(job.request, false);
    let driver = Driver::new(fleet.clone(), script.clone(), job, output, plan);
    let (events, ()) = tokio::join!(text(chunks), driver.run());
    (told(&events), fleet)
}

fn expected(from: usize, to: usize) -> Vec<String> {
    (from..to).map(|offset| format!(" t{offset}")).collect()
}

#[tokio::test]
async fn resumed_trial_keeps_prefix() {
    // A caller comes back for an answer of the version on trial, and its engine breaks.
    let held = expected(0, 3);
    let digest = held.iter().fold(Digest::of(b"p"), |digest, token| digest.push(token));
    let mut cursor = Cursor {
        request: 1,
        body: job(6, None).body,
        version: "v2".into(),
        replica: "e2".into(),
        offset: 3,
        digest,
    };
    cursor.request = 7;
    let script = Script::new([vec![Err(Error::Broken)], tokens(3, 6, 6)]);
    let (told, _) = drive(&script, job(6, Some((&cursor, &held))), on_trial()).await;
    assert_eq!(told, expected(3, 6));
    for submission in script.submitted.lock().unwrap().iter() {
        assert_eq!((&submission.accepted, submission.version.as_str()), (&held, "v2"));
    }
}

#[tokio::test]
async fn fresh_trial_falls_back() {
    let script = Script::new([vec![Err(Error::Failed { status: 500 })], tokens(0, 4, 4)]);
    let (told, _) = drive(&script, job(4, None), on_trial()).await;
    assert_eq!(told, expected(0, 4));
    let versions: Vec<String> =
        script.submitted.lock().unwrap().iter().map(|s| s.version.clone()).collect();
    assert_eq!(versions, ["v2", "v1"]);
}

#[tokio::test]
async fn begun_trial_stays() {
    // Once a token has reached the caller the answer stays on its version.
    let mut first = tokens(0, 2, 4);
    first.push(Err(Error::Broken));
    let script = Script::new([first, tokens(2, 4, 4)]);
    let (told, _) = drive(&script, job(4, None), on_trial()).await;
    assert_eq!(told, expected(0, 4));
    let submitted = script.submitted.lock().unwrap();
    assert_eq!((submitted[1].version.as_str(), submitted[1].accepted.len()), ("v2", 2));
}

#[tokio::test]
async fn turn_given_back() {
    // A caller that leaves while its answer looks for an engine frees its turn.
    let script = Script::new([vec![Err(Error::Broken)]]);
    let fleet = fleet();
    let job = job(4, None);
    let (output, _head, chunks) = Output::new(job.request, false);
    let plan = Plan { version: "v1".into(), first: None, fallback: None };
    let driver = Driver::new(fleet.clone(), script, job, output, plan);
    let running = tokio::spawn(driver.run());
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    drop(chunks);
    running.await.unwrap();
    let now = fleet.now();
    let mut routing = fleet.routing();
    let (pacer, _) = routing.router.pacer(&"v1".into(), now);
    let tickets: Vec<u64> = (0..2).map(|_| pacer.enqueue(1)).collect();
    assert!(tickets.into_iter().all(|ticket| pacer.try_start(ticket, 1)));
}
