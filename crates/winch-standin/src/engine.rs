//! A simulated model engine: continuous batching, a prefix cache, token streams
//! and faults that tests inject over HTTP or directly.

use std::{
    collections::{HashMap, VecDeque},
    convert::Infallible,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Semaphore, mpsc, watch},
    time::{Instant, sleep},
};
use warp::{
    Filter, Reply,
    http::StatusCode,
    reply::{self, Response},
};
use winch_generation::digest::Digest;

use crate::verify;

/// Behaviour of an engine without faults.
#[derive(Clone, Debug)]
pub struct Options {
    /// Version that the engine runs at first.
    pub version: String,
    /// Generations that run at the same time; further ones are queued.
    pub slots: usize,
    /// Time between tokens while the batch is empty.
    pub gap: Duration,
    /// Prefill time per uncached token.
    pub prefill: Duration,
    /// Time for which a generation continues without a reader.
    pub linger: Duration,
    /// Whether version changes with an outdated fencing token are refused.
    pub fencing: bool,
    /// Last two hexadecimal digits of each token, which identify the engine.
    pub salt: u8,
}

/// Faults to inject.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Streams stall with their connections open, and new requests hang.
    pub freeze: bool,
    /// Factor on the time between tokens; values up to 1 change nothing.
    pub slow: f64,
    /// Percentage of requests that fail.
    pub fail_percent: u8,
    /// Requests fail only while at least this many generations run.
    pub fail_above: usize,
    /// The engine crashes when a prompt contains this text.
    pub poison: Option<String>,
    /// After each this many chunks sent by the engine, the stream that sent the
    /// last one is closed.
    pub cut_every: Option<u64>,
    /// Cancellations are ignored, so that cancelled streams continue.
    pub ignore_cancel: bool,
}

/// Body of `POST /generate`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Request {
    /// Identifies the request over all its attempts.
    pub request: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens accepted from earlier attempts, which are prefilled again.
    pub accepted: Vec<String>,
    /// Tokens of the whole answer, accepted ones included.
    pub max_tokens: usize,
    /// Lower values are more urgent; the engine ignores the priority.
    pub priority: u8,
    /// Version expected; the engine refuses the request if it runs another.
    pub version: String,
    /// Attaches to a generation that still runs here, and never starts one.
    #[serde(default)]
    pub attach: bool,
}

/// A generation, shared by its task and its readers.
struct Generation {
    tokens: Mutex<Vec<String>>,
    progress: watch::Sender<usize>,
    total: usize,
}

/// Handle to an engine; clones share its state.
#[derive(Clone)]
pub struct Engine(Arc<Inner>);

struct Inner {
    options: Options,
    version: Mutex<String>,
    fence: AtomicU64,
    fault: watch::Sender<Fault>,
    crashed: watch::Sender<bool>,
    slots: Semaphore,
    running: AtomicUsize,
    waiting: AtomicUsize,
    served: AtomicU64,
    prefilled: AtomicU64,
    sent: AtomicU64,
    generations: Mutex<HashMap<String, Arc<Generation>>>,
    cache: Mutex<VecDeque<Digest>>,
}

#[derive(Deserialize)]
struct Cancel {
    request: String,
}

/// Body of `POST /order`: the controller of a version move sets the version.
#[derive(Deserialize)]
struct VersionChange {
    fence: u64,
    version: String,
}

const CACHED_PREFIXES: usize = 256;
/// Interval of load reports on a stream without new tokens.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(200);

impl Engine {
    /// Creates an idle engine without faults.
    pub fn new(options: Options) -> Self {
        Self(Arc::new(Inner {
            version: Mutex::new(options.version.clone()),
            fence: AtomicU64::new(0),
            fault: watch::Sender::new(Fault::default()),
            crashed: watch::Sender::new(false),
            slots: Semaphore::new(options.slots),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            served: AtomicU64::new(0),
            prefilled: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            generations: Mutex::default(),
            cache: Mutex::default(),
            options,
        }))
    }

    /// Replaces the injected faults.
    pub fn set_fault(&self, fault: Fault) {
        self.0.fault.send_replace(fault);
    }

    /// Signals a crash to [`Engine::wait_crashed`], whose caller ends the server.
    pub fn crash(&self) {
        self.0.crashed.send_replace(true);
    }

    /// Waits until the engine crashes.
    pub async fn wait_crashed(&self) {
        let _ = self.0.crashed.subscribe().wait_for(|crashed| *crashed).await;
    }

    /// Returns the number of running generations.
    pub fn running(&self) -> usize {
        self.0.running.load(Ordering::Relaxed)
    }

    /// Returns the number of tokens generated since the start.
    pub fn served(&self) -> u64 {
        self.0.served.load(Ordering::Relaxed)
    }

    /// Returns the HTTP interface.
    pub fn filter(self) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone {
        let engine = self;
        let shared = warp::any().map(move || engine.clone());
        let generate = warp::path!("generate")
            .and(warp::post())
            .and(shared.clone())
            .and(warp::body::json())
            .then(|engine: Self, request| async move { engine.generate(request).await });
        let cancel = warp::path!("cancel")
            .and(warp::post())
            .and(shared.clone())
            .and(warp::body::json())
            .map(|engine: Self, cancel: Cancel| engine.cancel(&cancel.request));
        let order = warp::path!("order")
            .and(warp::post())
            .and(shared.clone())
            .and(warp::body::json())
            .map(|engine: Self, change: VersionChange| engine.change_version(&change));
        let fault =
            warp::path!("fault").and(warp::post()).and(shared.clone()).and(warp::body::json()).map(
                |engine: Self, fault: Fault| {
                    engine.set_fault(fault);
                    StatusCode::NO_CONTENT
                },
            );
        let die = warp::path!("die").and(warp::post()).and(shared.clone()).map(|engine: Self| {
            engine.crash();
            StatusCode::NO_CONTENT
        });
        let status =
            warp::path!("status").and(warp::get()).and(shared).map(|engine: Self| engine.status());
        generate.or(cancel).or(order).or(fault).or(die).or(status)
    }

    fn status(&self) -> reply::Json {
        let inner = &self.0;
        reply::json(&serde_json::json!({
            "version": *inner.version.lock().unwrap(),
            "running": inner.running.load(Ordering::Relaxed),
            "waiting": inner.waiting.load(Ordering::Relaxed),
            "served": inner.served.load(Ordering::Relaxed),
            "prefilled": inner.prefilled.load(Ordering::Relaxed),
            "fence": inner.fence.load(Ordering::Relaxed),
        }))
    }

    fn change_version(&self, change: &VersionChange) -> StatusCode {
        let newest = self.0.fence.fetch_max(change.fence, Ordering::SeqCst).max(change.fence);
        if self.0.options.fencing && change.fence < newest {
            return StatusCode::PRECONDITION_FAILED;
        }
        change.version.clone_into(&mut self.0.version.lock().unwrap());
        StatusCode::NO_CONTENT
    }

    fn cancel(&self, request: &str) -> StatusCode {
        if !self.0.fault.borrow().ignore_cancel {
            self.0.generations.lock().unwrap().remove(request);
        }
        StatusCode::NO_CONTENT
    }

    async fn generate(&self, request: Request) -> Response {
        let fault = self.0.fault.borrow().clone();
        if fault.poison.as_ref().is_some_and(|text| request.prompt.contains(text)) {
            self.crash();
            std::future::pending::<()>().await;
        }
        if fault.freeze {
            self.wait_unfrozen().await;
        }
        if *self.0.version.lock().unwrap() != request.version {
            return refuse(StatusCode::CONFLICT, "version");
        }
        if self.should_fail(&fault) {
            return refuse(StatusCode::INTERNAL_SERVER_ERROR, "fault");
        }
        let Some(generation) = self.find_or_start(&request) else {
            return refuse(StatusCode::GONE, "not running here");
        };
        self.stream(generation, request.accepted.len())
    }

    fn should_fail(&self, fault: &Fault) -> bool {
        let loaded = self.0.running.load(Ordering::Relaxed) >= fault.fail_above;
        loaded && rand::random_range(0..100) < fault.fail_percent
    }

    async fn wait_unfrozen(&self) {
        let mut fault = self.0.fault.subscribe();
        let _ = fault.wait_for(|fault| !fault.freeze).await;
    }

    /// Returns the generation that runs for a request, or starts one.
    ///
    /// `None` if the request only attaches and no generation runs for it.
    fn find_or_start(&self, request: &Request) -> Option<Arc<Generation>> {
        let mut generations = self.0.generations.lock().unwrap();
        if let Some(generation) = generations.get(&request.request) {
            let tokens = generation.tokens.lock().unwrap();
            if tokens.starts_with(&request.accepted) || request.attach {
                drop(tokens);
                return Some(generation.clone());
            }
        }
        if request.attach {
            return None;
        }
        let generation = Arc::new(Generation {
            tokens: Mutex::new(request.accepted.clone()),
            progress: watch::Sender::new(request.accepted.len()),
            total: request.max_tokens,
        });
        generations.insert(request.request.clone(), generation.clone());
        tokio::spawn(self.clone().run(request.clone(), generation.clone()));
        Some(generation)
    }

    async fn run(self, request: Request, generation: Arc<Generation>) {
        self.0.waiting.fetch_add(1, Ordering::Relaxed);
        let permit = self.0.slots.acquire().await;
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
        self.0.running.fetch_add(1, Ordering::Relaxed);
        self.decode(&request, &generation).await;
        self.0.running.fetch_sub(1, Ordering::Relaxed);
        drop(permit);
        let mut generations = self.0.generations.lock().unwrap();
        let current = generations.get(&request.request);
        if current.is_some_and(|current| Arc::ptr_eq(current, &generation)) {
            generations.remove(&request.request);
        }
    }

    async fn decode(&self, request: &Request, generation: &Arc<Generation>) {
        self.prefill(request).await;
        let mut digest = Digest::of(request.prompt.as_bytes());
        for token in &request.accepted {
            digest = digest.push(token);
        }
        let mut unread_since = None;
        for offset in request.accepted.len()..request.max_tokens {
            sleep(self.gap()).await;
            if self.0.fault.borrow().freeze {
                self.wait_unfrozen().await;
            }
            if !self.should_continue(&request.request, generation, &mut unread_since) {
                return;
            }
            let token = verify::token(digest, &request.version, self.0.options.salt);
            digest = digest.push(&token);
            generation.tokens.lock().unwrap().push(token);
            generation.progress.send_replace(offset + 1);
            self.0.served.fetch_add(1, Ordering::Relaxed);
        }
        // A reader that lost its connection may reattach to read the end.
        if generation.progress.receiver_count() == 0 {
            sleep(self.0.options.linger).await;
        }
    }

    /// Whether a generation was neither cancelled nor without a reader for too long.
    ///
    /// `unread_since` keeps the time at which the last reader was found missing.
    fn should_continue(
        &self,
        request: &str,
        generation: &Arc<Generation>,
        unread_since: &mut Option<Instant>,
    ) -> bool {
        let generations = self.0.generations.lock().unwrap();
        if generations.get(request).is_none_or(|current| !Arc::ptr_eq(current, generation)) {
            return false;
        }
        if generation.progress.receiver_count() > 0 {
            *unread_since = None;
            return true;
        }
        unread_since.get_or_insert_with(Instant::now).elapsed() < self.0.options.linger
    }

    /// Time to the next token, which grows with the batch.
    fn gap(&self) -> Duration {
        let inner = &self.0;
        let running = inner.running.load(Ordering::Relaxed) as f64;
        let batch = 1.0 + 0.5 * running / inner.options.slots as f64;
        let slow = inner.fault.borrow().slow.max(1.0);
        inner.options.gap.mul_f64(batch * slow)
    }

    async fn prefill(&self, request: &Request) {
        let cached = self.touch_cache(Digest::of(request.prompt.as_bytes()));
        let prompt_tokens = if cached { 0 } else { request.prompt.len() / 4 };
        let tokens = prompt_tokens + request.accepted.len();
        self.0.prefilled.fetch_add(tokens as u64, Ordering::Relaxed);
        sleep(self.0.options.prefill * u32::try_from(tokens).unwrap_or(u32::MAX)).await;
    }

    /// Makes a prompt the most recent one of the prefix cache; returns whether it was cached.
    fn touch_cache(&self, prompt: Digest) -> bool {
        let mut cache = self.0.cache.lock().unwrap();
        let cached = cache.contains(&prompt);
        cache.retain(|other| *other != prompt);
        cache.push_back(prompt);
        if cache.len() > CACHED_PREFIXES {
            cache.pop_front();
        }
        cached
    }

    /// Responds with the tokens of a generation from `offset` on.
    fn stream(&self, generation: Arc<Generation>, offset: usize) -> Response {
        let (sender, mut receiver) = mpsc::channel::<Result<Bytes, Infallible>>(64);
        tokio::spawn(self.clone().send_lines(generation, offset, sender));
        let lines = futures_util::stream::poll_fn(move |cx| receiver.poll_recv(cx));
        reply::stream(lines).into_response()
    }

    /// Sends token lines, load reports while there are none, and the end marker.
    async fn send_lines(
        self,
        generation: Arc<Generation>,
        mut offset: usize,
        sender: mpsc::Sender<Result<Bytes, Infallible>>,
    ) {
        let mut progress = generation.progress.subscribe();
        loop {
            let changed = tokio::time::timeout(
                LOAD_REPORT_INTERVAL,
                progress.wait_for(|len| *len > offset || offset >= generation.total),
            );
            let line = tokio::select! {
                _ = sender.closed() => return,
                changed = changed => match changed {
                    Ok(Err(_)) => return,
                    Ok(Ok(_)) => self.token_lines(&generation, &mut offset),
                    Err(_) => Some(self.load_line()),
                },
            };
            if self.0.fault.borrow().freeze {
                self.wait_unfrozen().await;
            }
            let Some(line) = line else {
                return;
            };
            if sender.send(Ok(line.into())).await.is_err() || self.should_close() {
                return;
            }
            if offset >= generation.total {
                let end = format!("{{\"end\":{}}}\n", generation.total);
                let _ = sender.send(Ok(end.into())).await;
                return;
            }
        }
    }

    fn token_lines(&self, generation: &Generation, offset: &mut usize) -> Option<String> {
        let tokens = generation.tokens.lock().unwrap();
        let load = self.0.running.load(Ordering::Relaxed) + self.0.waiting.load(Ordering::Relaxed);
        let mut lines = String::new();
        for token in tokens.get(*offset..)? {
            lines += &format!("{{\"o\":{offset},\"t\":\"{token}\",\"l\":{load}}}\n");
            *offset += 1;
        }
        Some(lines)
    }

    fn load_line(&self) -> String {
        let load = self.0.running.load(Ordering::Relaxed) + self.0.waiting.load(Ordering::Relaxed);
        format!("{{\"l\":{load}}}\n")
    }

    /// Counts a sent chunk; returns whether the fault closes its stream.
    fn should_close(&self) -> bool {
        let Some(every) = self.0.fault.borrow().cut_every else {
            return false;
        };
        let sent = self.0.sent.fetch_add(1, Ordering::Relaxed) + 1;
        sent.is_multiple_of(every.max(1))
    }
}

fn refuse(status: StatusCode, reason: &str) -> Response {
    let body = serde_json::json!({ "error": reason, "not_run": true });
    reply::with_status(reply::json(&body), status).into_response()
}
