//! A model engine: batches, caches prefixes, streams tokens, and fails on demand.

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

/// How the engine behaves when nothing is wrong.
#[derive(Clone, Debug)]
pub struct Options {
    /// The version it runs.
    pub version: String,
    /// Generations it runs at once.
    pub slots: usize,
    /// Time between tokens with an empty batch.
    pub gap: Duration,
    /// Prefill time per token that is not cached.
    pub prefill: Duration,
    /// How long a generation goes on without a reader.
    pub linger: Duration,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Makes its tokens differ from those of other engines.
    pub salt: u8,
}

/// Faults that can be switched on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Streams stop without a word and new requests hang.
    pub freeze: bool,
    /// Factor on the time between tokens; 0 and 1 change nothing.
    pub slow: f64,
    /// Share of requests that fail, in per cent.
    pub fail_percent: u8,
    /// Failures start only above this many running generations.
    pub fail_above: usize,
    /// The process ends when a prompt contains this text.
    pub poison: Option<String>,
    /// One connection is cut each time this many lines were sent.
    pub cut_every: Option<u64>,
    /// Late tokens of cancelled streams are still sent.
    pub ignore_cancel: bool,
}

/// A request to generate.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Request {
    /// Names the request over all its attempts.
    pub request: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens already accepted, to be fed again.
    pub accepted: Vec<String>,
    /// Tokens of the whole answer.
    pub max_tokens: usize,
    /// Lower is more urgent.
    pub priority: u8,
    /// The version expected.
    pub version: String,
    /// True to attach only to a generation that is still running here.
    #[serde(default)]
    pub attach: bool,
}

struct Entry {
    tokens: Mutex<Vec<String>>,
    progress: watch::Sender<usize>,
    total: usize,
}

/// The engine's state; clones share it.
#[derive(Clone)]
pub struct Engine(Arc<Inner>);

struct Inner {
    options: Options,
    version: Mutex<String>,
    fence: AtomicU64,
    fault: watch::Sender<Fault>,
    died: watch::Sender<bool>,
    slots: Semaphore,
    running: AtomicUsize,
    waiting: AtomicUsize,
    served: AtomicU64,
    prefilled: AtomicU64,
    sent: AtomicU64,
    entries: Mutex<HashMap<String, Arc<Entry>>>,
    cache: Mutex<VecDeque<Digest>>,
}

#[derive(Deserialize)]
struct Cancel {
    request: String,
}

#[derive(Deserialize)]
struct Order {
    fence: u64,
    version: String,
}

const CACHED_PREFIXES: usize = 256;
const BEAT: Duration = Duration::from_millis(200);

impl Engine {
    /// An idle engine without faults.
    pub fn new(options: Options) -> Self {
        Self(Arc::new(Inner {
            version: Mutex::new(options.version.clone()),
            fence: AtomicU64::new(0),
            fault: watch::Sender::new(Fault::default()),
            died: watch::Sender::new(false),
            slots: Semaphore::new(options.slots),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            served: AtomicU64::new(0),
            prefilled: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            entries: Mutex::default(),
            cache: Mutex::default(),
            options,
        }))
    }

    /// Switches faults on or off.
    pub fn set_fault(&self, fault: Fault) {
        self.0.fault.send_replace(fault);
    }

    /// Makes the engine die; whoever runs it waits for [`Engine::wait_crashed`].
    pub fn crash(&self) {
        self.0.died.send_replace(true);
    }

    /// Waits until the engine dies.
    pub async fn wait_crashed(&self) {
        let _ = self.0.died.subscribe().wait_for(|died| *died).await;
    }

    /// Generations running now.
    pub fn running(&self) -> usize {
        self.0.running.load(Ordering::Relaxed)
    }

    /// Tokens generated so far.
    pub fn served(&self) -> u64 {
        self.0.served.load(Ordering::Relaxed)
    }

    /// The HTTP interface.
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
            .map(|engine: Self, order: Order| engine.order(&order));
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

    fn order(&self, order: &Order) -> StatusCode {
        let newest = self.0.fence.fetch_max(order.fence, Ordering::SeqCst).max(order.fence);
        if self.0.options.fencing && order.fence < newest {
            return StatusCode::PRECONDITION_FAILED;
        }
        order.version.clone_into(&mut self.0.version.lock().unwrap());
        StatusCode::NO_CONTENT
    }

    fn cancel(&self, request: &str) -> StatusCode {
        if !self.0.fault.borrow().ignore_cancel {
            self.0.entries.lock().unwrap().remove(request);
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
            self.thaw().await;
        }
        if *self.0.version.lock().unwrap() != request.version {
            return refuse(StatusCode::CONFLICT, "version");
        }
        if self.fails(&fault) {
            return refuse(StatusCode::INTERNAL_SERVER_ERROR, "fault");
        }
        let Some(entry) = self.entry(&request) else {
            return refuse(StatusCode::GONE, "not running here");
        };
        self.stream(entry, request.accepted.len())
    }

    fn fails(&self, fault: &Fault) -> bool {
        let loaded = self.0.running.load(Ordering::Relaxed) >= fault.fail_above;
        loaded && rand::random_range(0..100) < fault.fail_percent
    }

    async fn thaw(&self) {
        let mut fault = self.0.fault.subscribe();
        let _ = fault.wait_for(|fault| !fault.freeze).await;
    }

    /// The running generation for a request, started unless it only wants to attach.
    fn entry(&self, request: &Request) -> Option<Arc<Entry>> {
        let mut entries = self.0.entries.lock().unwrap();
        if let Some(entry) = entries.get(&request.request) {
            let tokens = entry.tokens.lock().unwrap();
            if tokens.starts_with(&request.accepted) || request.attach {
                drop(tokens);
                return Some(entry.clone());
            }
        }
        if request.attach {
            return None;
        }
        let entry = Arc::new(Entry {
            tokens: Mutex::new(request.accepted.clone()),
            progress: watch::Sender::new(request.accepted.len()),
            total: request.max_tokens,
        });
        entries.insert(request.request.clone(), entry.clone());
        tokio::spawn(self.clone().run(request.clone(), entry.clone()));
        Some(entry)
    }

    async fn run(self, request: Request, entry: Arc<Entry>) {
        self.0.waiting.fetch_add(1, Ordering::Relaxed);
        let permit = self.0.slots.acquire().await;
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
        self.0.running.fetch_add(1, Ordering::Relaxed);
        self.produce(&request, &entry).await;
        self.0.running.fetch_sub(1, Ordering::Relaxed);
        drop(permit);
        let mut entries = self.0.entries.lock().unwrap();
        if entries.get(&request.request).is_some_and(|known| Arc::ptr_eq(known, &entry)) {
            entries.remove(&request.request);
        }
    }

    async fn produce(&self, request: &Request, entry: &Arc<Entry>) {
        self.prefill(request).await;
        let mut digest = Digest::of(request.prompt.as_bytes());
        for token in &request.accepted {
            digest = digest.push(token);
        }
        let mut unread_since = None;
        for offset in request.accepted.len()..request.max_tokens {
            sleep(self.gap()).await;
            if self.0.fault.borrow().freeze {
                self.thaw().await;
            }
            if !self.wanted(&request.request, entry, &mut unread_since) {
                return;
            }
            let token = verify::token(digest, &request.version, self.0.options.salt);
            digest = digest.push(&token);
            entry.tokens.lock().unwrap().push(token);
            entry.progress.send_replace(offset + 1);
            self.0.served.fetch_add(1, Ordering::Relaxed);
        }
        // A reader that lost its connection may still come back for the end.
        if entry.progress.receiver_count() == 0 {
            sleep(self.0.options.linger).await;
        }
    }

    /// Whether a generation has a reader, had one lately, and was not cancelled.
    fn wanted(&self, request: &str, entry: &Arc<Entry>, unread: &mut Option<Instant>) -> bool {
        let entries = self.0.entries.lock().unwrap();
        if entries.get(request).is_none_or(|known| !Arc::ptr_eq(known, entry)) {
            return false;
        }
        if entry.progress.receiver_count() > 0 {
            *unread = None;
            return true;
        }
        unread.get_or_insert_with(Instant::now).elapsed() < self.0.options.linger
    }

    fn gap(&self) -> Duration {
        let inner = &self.0;
        let running = inner.running.load(Ordering::Relaxed) as f64;
        let batch = 1.0 + 0.5 * running / inner.options.slots as f64;
        let slow = inner.fault.borrow().slow.max(1.0);
        inner.options.gap.mul_f64(batch * slow)
    }

    async fn prefill(&self, request: &Request) {
        let cached = self.touch(Digest::of(request.prompt.as_bytes()));
        let prompt_tokens = if cached { 0 } else { request.prompt.len() / 4 };
        let tokens = prompt_tokens + request.accepted.len();
        self.0.prefilled.fetch_add(tokens as u64, Ordering::Relaxed);
        sleep(self.0.options.prefill * u32::try_from(tokens).unwrap_or(u32::MAX)).await;
    }

    /// Moves a prompt to the front of the prefix cache; true if it was there.
    fn touch(&self, prompt: Digest) -> bool {
        let mut cache = self.0.cache.lock().unwrap();
        let cached = cache.contains(&prompt);
        cache.retain(|known| *known != prompt);
        cache.push_back(prompt);
        if cache.len() > CACHED_PREFIXES {
            cache.pop_front();
        }
        cached
    }

    /// Streams an entry from `offset` on.
    fn stream(&self, entry: Arc<Entry>, offset: usize) -> Response {
        let (sender, mut receiver) = mpsc::channel::<Result<Bytes, Infallible>>(64);
        tokio::spawn(self.clone().feed(entry, offset, sender));
        let lines = futures_util::stream::poll_fn(move |cx| receiver.poll_recv(cx));
        reply::stream(lines).into_response()
    }

    async fn feed(
        self,
        entry: Arc<Entry>,
        mut offset: usize,
        sender: mpsc::Sender<Result<Bytes, Infallible>>,
    ) {
        let mut progress = entry.progress.subscribe();
        loop {
            let changed = tokio::time::timeout(
                BEAT,
                progress.wait_for(|len| *len > offset || offset >= entry.total),
            );
            let line = tokio::select! {
                _ = sender.closed() => return,
                changed = changed => match changed {
                    Ok(Err(_)) => return,
                    Ok(Ok(_)) => self.lines(&entry, &mut offset),
                    Err(_) => Some(self.load()),
                },
            };
            if self.0.fault.borrow().freeze {
                self.thaw().await;
            }
            let Some(line) = line else {
                return;
            };
            if sender.send(Ok(line.into())).await.is_err() || self.cut() {
                return;
            }
            if offset >= entry.total {
                let end = format!("{{\"end\":{}}}\n", entry.total);
                let _ = sender.send(Ok(end.into())).await;
                return;
            }
        }
    }

    fn lines(&self, entry: &Entry, offset: &mut usize) -> Option<String> {
        let tokens = entry.tokens.lock().unwrap();
        let load = self.0.running.load(Ordering::Relaxed) + self.0.waiting.load(Ordering::Relaxed);
        let mut lines = String::new();
        for token in tokens.get(*offset..)? {
            lines += &format!("{{\"o\":{offset},\"t\":\"{token}\",\"l\":{load}}}\n");
            *offset += 1;
        }
        Some(lines)
    }

    fn load(&self) -> String {
        let load = self.0.running.load(Ordering::Relaxed) + self.0.waiting.load(Ordering::Relaxed);
        format!("{{\"l\":{load}}}\n")
    }

    /// Counts what is sent; true when this connection is to be cut.
    fn cut(&self) -> bool {
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
