//! A stand-in for the platform: table, objects, weight permits and membership list, kept
//! in memory and served over HTTP.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};
use warp::{
    Filter, Reply,
    http::StatusCode,
    reply::{self, Response},
};
use winch_platform::{
    membership::{Membership, Vm},
    memory::{self, Memory},
    object::Objects,
    table::{Error, Table, Transaction},
    weight::Permit,
};

/// Faults to inject.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Every request to the table, the objects and the membership list is refused.
    pub outage: bool,
    /// Delay of each request to the table and the objects, and of each reading of the
    /// membership list, in milliseconds.
    pub delay_ms: u64,
    /// Number of the next commits that take effect but whose responses are lost.
    pub lose_answers: u32,
    /// Number of the next commits that are lost before they take effect.
    pub lose_requests: u32,
}

/// Numbers of requests to the table and the objects, and of readings of the membership list.
#[derive(Debug, Default)]
struct Counts {
    reads: AtomicU64,
    writes: AtomicU64,
}

/// Handle to a platform; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    memory: Memory,
    delay_ms: Arc<AtomicU64>,
    counts: Arc<Counts>,
    last_permit_at: Arc<Mutex<Option<Instant>>>,
}

/// Query of `GET /table/row`.
#[derive(Deserialize)]
struct Key {
    key: String,
}

/// Query of `GET /table/scan`.
#[derive(Deserialize)]
struct Scan {
    prefix: String,
    after: String,
    limit: usize,
}

/// Least time between two loads that the weight store permits.
const PERMIT_INTERVAL: Duration = Duration::from_millis(250);

impl Platform {
    /// Returns the storage behind the HTTP interface.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Replaces the injected faults.
    pub fn set_fault(&self, fault: &Fault) {
        self.delay_ms.store(fault.delay_ms, Ordering::Relaxed);
        self.memory.set_fault(memory::Fault {
            outage: fault.outage,
            lose_answers: fault.lose_answers,
            lose_requests: fault.lose_requests,
        });
    }

    /// Counts a read and waits for the injected delay.
    async fn begin_read(&self) {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed))).await;
    }

    /// Counts a write and waits for the injected delay.
    async fn begin_write(&self) {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed))).await;
    }

    /// Permits a load of weights if none was permitted within [`PERMIT_INTERVAL`].
    fn permit(&self) -> Permit {
        let mut last = self.last_permit_at.lock().unwrap();
        let elapsed = last.map_or(PERMIT_INTERVAL, |last| last.elapsed());
        if elapsed < PERMIT_INTERVAL {
            let left = PERMIT_INTERVAL - elapsed;
            return Permit::Wait { retry_ms: left.as_millis() as u64 };
        }
        *last = Some(Instant::now());
        Permit::Granted
    }

    /// Returns the HTTP interface. Beside the interface of the platform it has `POST /fault`, and
    /// `GET /counts` for the numbers of reads and writes.
    pub fn filter(self) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone {
        let other_routes = self.clone().other_routes();
        let platform = self;
        let shared = warp::any().map(move || platform.clone());
        let commit = warp::path!("table" / "commit")
            .and(warp::post())
            .and(shared.clone())
            .and(warp::body::json())
            .then(|p: Self, txn: Transaction| async move {
                p.begin_write().await;
                json(p.memory.commit(txn).await)
            });
        let row = warp::path!("table" / "row").and(shared.clone()).and(warp::query()).then(
            |p: Self, query: Key| async move {
                p.begin_read().await;
                json(p.memory.read(&query.key).await)
            },
        );
        let scan = warp::path!("table" / "scan").and(shared.clone()).and(warp::query()).then(
            |p: Self, query: Scan| async move {
                p.begin_read().await;
                json(p.memory.scan(&query.prefix, &query.after, query.limit).await)
            },
        );
        commit.or(row).or(scan).or(other_routes)
    }

    /// Returns all routes except those of the table.
    fn other_routes(self) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone {
        let platform = self;
        let shared = warp::any().map(move || platform.clone());
        let put = warp::path!("objects" / String)
            .and(warp::put())
            .and(shared.clone())
            .and(warp::body::bytes())
            .then(|name: String, p: Self, body: Bytes| async move {
                p.begin_write().await;
                json(p.memory.put(&name, body).await)
            });
        let get = warp::path!("objects" / String).and(warp::get()).and(shared.clone()).then(
            |name: String, p: Self| async move {
                p.begin_read().await;
                object(p.memory.get(&name).await)
            },
        );
        let members = warp::path!("members").and(warp::get()).and(shared.clone()).then(
            |p: Self| async move {
                p.begin_read().await;
                json(p.memory.list().await)
            },
        );
        let register = warp::path!("members")
            .and(warp::post())
            .and(shared.clone())
            .and(warp::body::json())
            .then(|p: Self, vm: Vm| async move { json(p.memory.register(vm).await) });
        let permit = warp::path!("weights" / "permit")
            .and(warp::post())
            .and(shared.clone())
            .map(|p: Self| reply::json(&p.permit()));
        let fault =
            warp::path!("fault").and(warp::post()).and(shared.clone()).and(warp::body::json()).map(
                |p: Self, fault: Fault| {
                    p.set_fault(&fault);
                    StatusCode::NO_CONTENT
                },
            );
        let counts = warp::path!("counts").and(shared).map(|p: Self| {
            let (reads, writes) = (&p.counts.reads, &p.counts.writes);
            reply::json(&serde_json::json!({
                "reads": reads.load(Ordering::Relaxed),
                "writes": writes.load(Ordering::Relaxed),
            }))
        });
        put.or(get).or(members).or(register).or(permit).or(fault).or(counts)
    }
}

fn json<T: Serialize>(result: Result<T, Error>) -> Response {
    match result {
        Ok(value) => reply::json(&value).into_response(),
        Err(error) => failure(&error),
    }
}

fn object(result: Result<Option<Bytes>, Error>) -> Response {
    match result {
        Ok(Some(body)) => body.to_vec().into_response(),
        Ok(None) => StatusCode::NOT_FOUND.into_response(),
        Err(error) => failure(&error),
    }
}

/// Maps an error to a status. A lost response becomes a gateway error, after which the
/// caller can't know whether the commit took effect.
fn failure(error: &Error) -> Response {
    match error {
        Error::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Error::Lost { .. } => StatusCode::BAD_GATEWAY.into_response(),
    }
}
