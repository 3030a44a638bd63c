//! A simulated model engine: continuous batching, a cache of prompts, token streams
//! and faults that tests inject over HTTP or directly.
//!
//! Each token is derived from the prompt and the tokens before it by [`verify::token`](crate::verify::token), so
//! that a reader can verify the answer.

mod decode;
mod stream;

use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::sync::{Semaphore, watch};
use warp::{
    Filter, Reply,
    http::StatusCode,
    reply::{self, Response},
};
use winch_generation::digest::Digest;

/// Behaviour of an engine without faults.
#[derive(Clone, Debug)]
pub struct Options {
    /// Version that the engine runs at first.
    pub version: String,
    /// Maximum number of generations that run at the same time; further ones are queued.
    pub slots: usize,
    /// Time between tokens while the batch is empty.
    pub gap: Duration,
    /// Prefill time per token that is not cached.
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
    /// Percentage of requests that fail before they run.
    pub fail_percent: u8,
    /// Requests fail only while at least this many generations run; despite the name, the bound is
    /// inclusive.
    pub fail_above: usize,
    /// The engine crashes when a prompt contains this text.
    pub poison: Option<String>,
    /// Each time the engine has sent this many chunks over all its streams, the stream of the
    /// last chunk is closed without its end marker.
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
    /// Whether the request only attaches to a generation that still runs here, and never starts
    /// one.
    #[serde(default)]
    pub attach: bool,
}

/// A generation, shared by its task and its readers.
struct Generation {
    tokens: Mutex<Vec<String>>,
    /// Length of `tokens`. Its receivers are the readers of the generation.
    progress: watch::Sender<usize>,
    max_tokens: usize,
}

/// Handle to an engine; clones share its state.
#[derive(Clone)]
pub struct Engine(Arc<Inner>);

struct Inner {
    options: Options,
    version: Mutex<String>,
    /// Highest fencing token of a version change so far.
    fence: AtomicU64,
    fault: watch::Sender<Fault>,
    crashed: watch::Sender<bool>,
    slots: Semaphore,
    running: AtomicUsize,
    waiting: AtomicUsize,
    generated_tokens: AtomicU64,
    prefilled_tokens: AtomicU64,
    /// Chunks counted for [`Fault::cut_every`].
    sent_chunks: AtomicU64,
    /// Queued and running generations by request.
    generations: Mutex<HashMap<String, Arc<Generation>>>,
    /// Digests of cached prompts, least recently used first.
    cache: Mutex<VecDeque<Digest>>,
}

/// Body of `POST /cancel`.
#[derive(Deserialize)]
struct Cancel {
    request: String,
}

/// Body of `POST /order`, which sets the version that the engine runs.
#[derive(Deserialize)]
struct VersionChange {
    fence: u64,
    version: String,
}

const MAX_CACHED_PROMPTS: usize = 256;
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
            generated_tokens: AtomicU64::new(0),
            prefilled_tokens: AtomicU64::new(0),
            sent_chunks: AtomicU64::new(0),
            generations: Mutex::default(),
            cache: Mutex::default(),
            options,
        }))
    }

    /// Replaces the injected faults.
    pub fn set_fault(&self, fault: Fault) {
        self.0.fault.send_replace(fault);
    }

    /// Signals a crash to the callers of [`Engine::wait_crashed`], which have to end the server.
    pub fn crash(&self) {
        self.0.crashed.send_replace(true);
    }

    /// Waits until the engine crashes.
    pub async fn wait_crashed(&self) {
        let _ = self.0.crashed.subscribe().wait_for(|crashed| *crashed).await;
    }

    /// Returns the number of generations that hold a slot.
    pub fn running(&self) -> usize {
        self.0.running.load(Ordering::Relaxed)
    }

    /// Returns the number of tokens generated since the start.
    pub fn generated_tokens(&self) -> u64 {
        self.0.generated_tokens.load(Ordering::Relaxed)
    }

    /// Returns the HTTP interface: `POST` to `/generate`, `/cancel`, `/order`, `/fault` and
    /// `/die`, and `GET /status`.
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
            "served": inner.generated_tokens.load(Ordering::Relaxed),
            "prefilled": inner.prefilled_tokens.load(Ordering::Relaxed),
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
        let is_loaded = self.0.running.load(Ordering::Relaxed) >= fault.fail_above;
        is_loaded && rand::random_range(0..100) < fault.fail_percent
    }

    async fn wait_unfrozen(&self) {
        let mut fault = self.0.fault.subscribe();
        let _ = fault.wait_for(|fault| !fault.freeze).await;
    }

    /// Returns the generation that runs for a request, or starts one.
    ///
    /// A generation whose tokens do not begin with the accepted ones is replaced, unless the
    /// request only attaches. `None` if the request only attaches and no generation runs for it.
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
            max_tokens: request.max_tokens,
        });
        generations.insert(request.request.clone(), generation.clone());
        tokio::spawn(self.clone().run(request.clone(), generation.clone()));
        Some(generation)
    }
}

/// Returns an error response which says that the request was not run.
fn refuse(status: StatusCode, reason: &str) -> Response {
    let body = serde_json::json!({ "error": reason, "not_run": true });
    reply::with_status(reply::json(&body), status).into_response()
}
