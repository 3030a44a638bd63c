//! Snapshots of a run's KV cache, made on demand while the run has no other copy.
//!
//! The replica that runs a request keeps a copy of the KV cache at another replica from
//! the start of the run if there is room for it. When there is none, or when the holder of that
//! copy is no longer in the catalog, a snapshot is made at a holder with room and replaced by a new
//! one before it expires, until the run ends.

use std::sync::{Mutex, PoisonError};

use tokio::{
    task::AbortHandle,
    time::{sleep, timeout},
};
use winch_http::{client::Error, head::Reply};
use winch_route::engine::Service;

use crate::{
    copy_holder::Wanted, counter, exchange::Query, node::Node, prelude::*, protocol::KvCopy,
};

/// Timeout for making or freeing a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(600);
/// Share of a snapshot's lifetime after which a new one replaces it.
const REFRESH_SHARE: f64 = 0.6;
/// Delay before the next attempt after a failed snapshot; while no holder has room, it doubles
/// with each attempt, since each asks replicas for their load.
const RETRY_BACKOFF: Duration = Duration::from_millis(300);
/// Consecutive failures after which no further snapshot is tried.
const MAX_FAILURES: u32 = 4;
/// Largest reply body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// The run whose KV cache is copied.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the run.
    pub id: Name,
    /// The replica that runs it.
    pub source: Arc<Replica>,
    /// Lifetime of a snapshot.
    pub ttl: Duration,
    /// KV cache that the run may need, in tokens.
    pub tokens: u64,
    /// What is known of the service's engines.
    pub service: Service,
}

/// Keeps a snapshot of one run valid; when the refresher is dropped, the last snapshot
/// is freed.
#[derive(Debug)]
pub struct Refresher<P: Protocol> {
    node: Arc<Node<P>>,
    source: Arc<Replica>,
    /// The newest snapshot; `None` before the first one and after a failed attempt.
    copy: Arc<Mutex<Option<KvCopy>>>,
    task: AbortHandle,
}

impl<P: Protocol> Refresher<P> {
    /// Spawns the task that makes snapshots of `run`.
    pub fn start(node: &Arc<Node<P>>, run: Run) -> Self {
        let copy = Arc::new(Mutex::new(None));
        let source = run.source.clone();
        let task = node.tasks.spawn(refresh(node.clone(), run, copy.clone()));
        Self { node: node.clone(), source, copy, task: task.abort_handle() }
    }

    /// The newest snapshot; `None` if there is none yet.
    pub fn copy(&self) -> Option<KvCopy> {
        self.copy.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Stops the task and returns the newest snapshot, which is not freed.
    pub fn into_copy(self) -> Option<KvCopy> {
        self.take()
    }

    fn take(&self) -> Option<KvCopy> {
        self.copy.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl<P: Protocol> Drop for Refresher<P> {
    fn drop(&mut self) {
        self.task.abort();
        let Some(copy) = self.take() else { return };
        let (node, source) = (self.node.clone(), self.source.clone());
        let release = async move { release(&node, &source, &copy.name).await };
        self.node.tasks.spawn(timeout(SNAPSHOT_TIMEOUT, release));
    }
}

/// Frees a snapshot at its source and its holder. A snapshot that is not freed expires.
async fn release<P: Protocol>(node: &Node<P>, source: &Replica, name: &str) {
    let (method, request) = node.protocol.encode_release_request(name, source);
    let query = Query { method, request, max_body_bytes: MAX_BODY_BYTES };
    let decode = |reply: &Reply, _: &[u8]| {
        node.apply_reply(source, &node.protocol.decode_reply_meta(reply), reply);
        Some(())
    };
    let released = query.ask_alone(node, source, decode).await;
    // `left`: the snapshot is left to expire.
    counter::snapshot(if released.is_ok() { "freed" } else { "left" });
}

/// Makes one snapshot after another, until [`MAX_FAILURES`] attempts in a row have failed.
async fn refresh<P: Protocol>(node: Arc<Node<P>>, run: Run, copy: Arc<Mutex<Option<KvCopy>>>) {
    let mut failures = 0;
    let mut holder = None;
    while failures < MAX_FAILURES {
        let candidate = match holder.take() {
            Some(holder) => Some(holder),
            None => find_holder(&node, &run).await,
        };
        let snapshot = match &candidate {
            Some(candidate) => make_snapshot(&node, &run, candidate).await,
            None => None,
        };
        let (result, delay) = match (&snapshot, &candidate) {
            (Some(_), _) => ("ok", run.ttl.mul_f64(REFRESH_SHARE)),
            (None, Some(_)) => ("failed", RETRY_BACKOFF),
            (None, None) => ("no_room", RETRY_BACKOFF * 2_u32.pow(failures)),
        };
        if snapshot.is_some() {
            failures = 0;
            holder = candidate;
        } else {
            failures += 1;
        }
        counter::snapshot(result);
        *copy.lock().unwrap_or_else(PoisonError::into_inner) = snapshot;
        sleep(delay).await;
    }
}

async fn find_holder<P: Protocol>(node: &Arc<Node<P>>, run: &Run) -> Option<Arc<Replica>> {
    let (source, room, service) = (&run.source, run.tokens, run.service);
    Wanted { source, room, excluded_dc: "", service }.ask(node).await
}

async fn make_snapshot<P: Protocol>(
    node: &Node<P>,
    run: &Run,
    holder: &Arc<Replica>,
) -> Option<KvCopy> {
    let requested = timeout(SNAPSHOT_TIMEOUT, request_snapshot(node, run, holder)).await;
    let name = requested.ok().and_then(Result::ok).flatten()?;
    emit!(
        Event::CopyReplaced,
        request = run.id,
        replica = run.source.id,
        copy = holder.id,
        dc = holder.dc
    );
    Some(KvCopy { replica: holder.clone(), lookup_address: run.source.address, name })
}

/// Asks the source to copy the run to `holder`; returns the name of the snapshot, `None` if
/// the source made none.
///
/// The name decides from whose KV cache a run continues, and the reply does not state the run. So
/// the request gets a connection of its own, on which no other reply can be taken for this one.
async fn request_snapshot<P: Protocol>(
    node: &Node<P>,
    run: &Run,
    holder: &Replica,
) -> Result<Option<Name>, Error> {
    let source = &run.source;
    let (method, request) = node.protocol.encode_snapshot_request(&run.id, source, holder.address);
    let query = Query { method, request, max_body_bytes: MAX_BODY_BYTES };
    let decode = |reply: &Reply, body: &[u8]| {
        node.apply_reply(source, &node.protocol.decode_reply_meta(reply), reply);
        node.protocol.decode_snapshot(reply, body)
    };
    query.ask_alone(node, source, decode).await
}
