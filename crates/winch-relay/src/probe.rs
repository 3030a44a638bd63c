//! Requests load reports from replicas; a report also shows that its replica is alive.

use bytes::Bytes;
use http::Method;
use tokio::sync::mpsc;
use winch_http::{client::Error, head::Reply};

use crate::{
    call::{self, Part},
    catalog::Key,
    counter,
    exchange::Query,
    opening::Failure,
    prelude::*,
    replica::Report,
    running_time::timeout,
};

/// Longest time to wait for a report.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time to wait for further reports after the first one.
const STRAGGLER_TIMEOUT: Duration = Duration::from_millis(15);
/// Largest report, in bytes.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// A replica and the load report that it has sent.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Key of the replica in the catalog.
    pub key: Key,
    /// The replica.
    pub replica: Arc<Replica>,
    /// Its report.
    pub report: Report,
    /// Share of the prompt that the replica has cached, 0 to 1; zero if it was not asked.
    pub cached: f64,
}

/// What a probe has found.
#[derive(Clone, Debug)]
pub enum Finding {
    /// The replica has sent its report.
    Alive(Report),
    /// No valid report has arrived in time; a healthy replica may pause for a second or so.
    Unresponsive,
    /// This daemon's own host gave it no connection, which says nothing of the replica.
    Unasked,
    /// Another incarnation answers at the replica's address, so that the known one is gone.
    Replaced,
}

/// Requests the report of one replica.
///
/// Another incarnation that answers in its place is inserted into the catalog if its service is
/// certain and it is healthy.
pub async fn probe<P: Protocol>(node: &Node<P>, replica: &Replica) -> Finding {
    let received = timeout(PROBE_TIMEOUT, fetch_report(node, replica)).await;
    if let Ok(Err(error)) = &received
        && Failure::of_exchange(error) == Some(Failure::Host)
    {
        counter::probed("unasked");
        return Finding::Unasked;
    }
    let report = received.ok().and_then(Result::ok).flatten();
    counter::probed(if report.is_some() { "ok" } else { "failed" });
    let Some(report) = report else {
        node.doubt_paths(&replica.service);
        return Finding::Unresponsive;
    };
    if report.is_from_other_incarnation(replica) {
        insert_restarted(node, replica, &report).await;
        return Finding::Replaced;
    }
    Finding::Alive(report)
}

/// Requests the report of one replica; `None` if no valid report arrives in time, or if
/// another incarnation answers. See [`probe()`].
pub async fn request_report<P: Protocol>(node: &Node<P>, replica: &Replica) -> Option<Report> {
    match probe(node, replica).await {
        Finding::Alive(report) => Some(report),
        Finding::Unresponsive | Finding::Unasked | Finding::Replaced => None,
    }
}

/// Whether `replica` belongs to a service of model engines, which report their load.
pub fn has_reports<P: Protocol>(node: &Node<P>, replica: &Replica) -> bool {
    let config = node.config();
    let service = config.as_ref().and_then(|config| config.service(&replica.service));
    service.is_some_and(|service| service.engine.is_some())
}

/// Whether the known incarnation of `replica` seems dead; it does not if this daemon's own host gives
/// no connection to ask it.
///
/// A model engine is alive if it answers with its report. A replica of a plain service
/// has none and is alive if it accepts a new connection.
pub async fn seems_dead<P: Protocol>(node: &Node<P>, replica: &Replica) -> bool {
    if has_reports(node, replica) {
        let finding = probe(node, replica).await;
        return matches!(finding, Finding::Unresponsive | Finding::Replaced);
    }
    let opened = node.open_new(replica).await;
    opened.is_err_and(|error| Failure::of_exchange(&error) != Some(Failure::Host))
}

async fn fetch_report<P: Protocol>(
    node: &Node<P>,
    replica: &Replica,
) -> Result<Option<Report>, Error> {
    let query = query(node.protocol.encode_report_request(replica));
    let decode = |reply: &Reply, body: &[u8]| {
        let report = node.protocol.decode_report(body)?;
        if !report.is_from_other_incarnation(replica) {
            let mut meta = node.protocol.decode_reply_meta(reply);
            meta.statement.draining |= report.draining;
            node.apply_reply(replica, &meta, reply);
        }
        Some(report)
    };
    query.ask(node, replica, decode).await
}

fn query((method, request): (Method, Bytes)) -> Query {
    Query { method, request, max_body_bytes: MAX_REPORT_BYTES }
}

/// Inserts a restarted replica into the catalog before the list contains it.
///
/// A report does not name the service. An engine at the address of a `former` replica
/// certainly belongs to the same service only if the configuration has a single service
/// of engines; otherwise nothing is inserted.
async fn insert_restarted<P: Protocol>(node: &Node<P>, former: &Replica, report: &Report) {
    let Some(config) = node.config() else { return };
    let service = config.only_engine_service().filter(|service| service.name == former.service);
    let (Some(service), true) = (service, report.total_tokens > 0) else { return };
    let query = query(node.protocol.encode_health_request(&service.health_path, former));
    let asked = query.ask(node, former, |reply, _| node.protocol.decode_health(reply));
    let Ok(Ok(Some(id))) = timeout(PROBE_TIMEOUT, asked).await else { return };
    let replica =
        Replica { id, draining: false, started_at_ms: report.started_at_ms, ..former.clone() };
    node.insert_unlisted(replica);
}

/// The share of `prompt` that a replica has cached; zero if it is not known in time.
async fn request_cached<P: Protocol>(node: &Node<P>, replica: &Replica, prompt: &[Part]) -> f64 {
    if prompt.is_empty() {
        return 0.0;
    }
    let query = query(node.protocol.encode_cache_request(replica));
    let asked = query.ask(node, replica, |_, body| node.protocol.decode_cache(body));
    let held = timeout(PROBE_TIMEOUT, asked).await.ok().and_then(Result::ok).flatten();
    counter::probed(if held.is_some() { "cache_ok" } else { "cache_failed" });
    held.map_or(0.0, |held| call::cached_share(prompt, &held))
}

/// Requests the reports of several replicas at the same time, and returns those that arrive
/// in time, with the share of `prompt` that each replica has cached.
///
/// Ejects each replica that sends no report, or that another incarnation has replaced. An empty
/// `prompt` is not asked for.
pub async fn request_reports<P: Protocol>(
    node: &Arc<Node<P>>,
    candidates: Vec<(Key, Arc<Replica>)>,
    prompt: &[Part],
) -> Vec<Answer> {
    let prompt: Arc<[Part]> = prompt.into();
    let (sender, mut receiver) = mpsc::unbounded_channel();
    for (key, replica) in candidates {
        let (node, sender) = (node.clone(), sender.clone());
        let (tasks, prompt) = (node.tasks.clone(), prompt.clone());
        tasks.spawn(async move {
            let finding = probe(&node, &replica);
            let cached = request_cached(&node, &replica, &prompt);
            let (finding, cached) = tokio::join!(finding, cached);
            match finding {
                // Sending fails if the report is late: the receiver is dropped then.
                Finding::Alive(report) => {
                    drop(sender.send(Answer { key, replica, report, cached }))
                }
                Finding::Unresponsive | Finding::Replaced => {
                    node.eject(key, &replica, "no report");
                }
                Finding::Unasked => {}
            }
        });
    }
    drop(sender);
    let first = timeout(PROBE_TIMEOUT, receiver.recv()).await;
    let mut answers: Vec<_> = first.ok().flatten().into_iter().collect();
    if !answers.is_empty() {
        let stragglers = async {
            while let Some(answer) = receiver.recv().await {
                answers.push(answer);
            }
        };
        // A timeout is not an error: the reports that have arrived are enough.
        let _ = timeout(STRAGGLER_TIMEOUT, stragglers).await;
    }
    answers
}
