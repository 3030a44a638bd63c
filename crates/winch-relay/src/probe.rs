//! Questions for the load of replicas.

use bytes::Bytes;
use http::Method;
use tokio::{
    sync::mpsc,
    time::{timeout, timeout_at},
};
use winch_http::{
    client::{Connection, Error},
    head::Reply,
};

use crate::{catalog::Key, counter, pool::CONNECT_TIMEOUT, prelude::*, replica::Report};

/// Longest wait for a report.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Wait for further reports after the first one.
const STRAGGLER_WAIT: Duration = Duration::from_millis(15);
/// Longest report in bytes.
const MAX_REPORT: usize = 256 * 1024;

/// A replica that has reported its load.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Key in the catalog.
    pub key: Key,
    /// The replica.
    pub replica: Arc<Replica>,
    /// Its report.
    pub report: Report,
}

/// Asks one replica for its report; `None` if it does not answer in time, or if
/// another incarnation answers.
pub async fn request_report<D: Protocol>(node: &Node<D>, replica: &Replica) -> Option<Report> {
    let asked = timeout(PROBE_TIMEOUT, report(node, replica)).await;
    let report = asked.ok().and_then(Result::ok).flatten();
    counter::probed(if report.is_some() { "ok" } else { "failed" });
    match report {
        Some(report) if report.is_foreign(replica) => {
            adopt(node, replica, &report).await;
            None
        }
        report => report,
    }
}

/// Whether the incarnation of `replica` that is known still serves.
///
/// An engine is asked for its report; a plain service has none, and lives if it
/// takes a new connection.
pub async fn is_alive<D: Protocol>(node: &Node<D>, replica: &Replica) -> bool {
    let plan = node.config();
    let service = plan.as_ref().and_then(|plan| plan.service(&replica.service));
    if service.is_some_and(|service| service.engine.is_some()) {
        return request_report(node, replica).await.is_some();
    }
    Connection::open(replica.address, CONNECT_TIMEOUT).await.is_ok()
}

async fn exchange<D: Protocol>(
    node: &Node<D>,
    replica: &Replica,
    (method, request): (Method, Bytes),
) -> Result<(Reply, Bytes), Error> {
    let mut connection = node.pool.open(replica.address).await?;
    let reply = connection.exchange(&method, &request, |_| true).await?;
    let body = connection.body(MAX_REPORT).await?;
    node.pool.put(replica.address, connection);
    Ok((reply, body))
}

async fn report<D: Protocol>(node: &Node<D>, replica: &Replica) -> Result<Option<Report>, Error> {
    let (_, body) = exchange(node, replica, node.protocol.encode_report_request(replica)).await?;
    Ok(node.protocol.decode_report(&body))
}

/// Takes a restarted replica into the catalog before the list shows it.
///
/// A report does not name the service. Only where the configuration has a single
/// service of engines is an engine at the old address known to be of that service.
async fn adopt<D: Protocol>(node: &Node<D>, former: &Replica, report: &Report) {
    let Some(plan) = node.config() else { return };
    let service = plan.only_engine().filter(|service| service.name == former.service);
    let (Some(service), true) = (service, report.total_tokens > 0) else { return };
    let question = node.protocol.encode_health_request(&service.health_path, former);
    let asked = timeout(PROBE_TIMEOUT, exchange(node, former, question)).await;
    let Ok(Ok((reply, _))) = asked else { return };
    let Some(id) = node.protocol.decode_health(&reply) else { return };
    let replica =
        Replica { id, draining: false, started_at_ms: report.started_at_ms, ..former.clone() };
    node.insert_unlisted(replica);
}

/// Asks several replicas at once; late answers are not waited for.
pub async fn request_reports<D: Protocol>(
    node: &Arc<Node<D>>,
    candidates: Vec<(Key, Arc<Replica>)>,
) -> Vec<Answer> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    for (key, replica) in candidates {
        let (node, sender) = (node.clone(), sender.clone());
        let tasks = node.tasks.clone();
        tasks.spawn(async move {
            match request_report(&node, &replica).await {
                // The receiver is gone when the answer is late.
                Some(report) => drop(sender.send(Answer { key, replica, report })),
                None => node.eject(key, &replica, "no report"),
            }
        });
    }
    drop(sender);
    let mut answers = Vec::new();
    let mut until = Instant::now() + PROBE_TIMEOUT;
    while let Ok(Some(answer)) = timeout_at(until, receiver.recv()).await {
        answers.push(answer);
        until = until.min(Instant::now() + STRAGGLER_WAIT);
    }
    answers
}

/// Ends when a replica seems dead: it is asked every `interval` and two questions
/// in a row stay without an answer.
pub async fn wait_until_dead<D: Protocol>(node: &Node<D>, replica: &Replica, interval: Duration) {
    loop {
        tokio::time::sleep(interval).await;
        if request_report(node, replica).await.is_none()
            && request_report(node, replica).await.is_none()
        {
            return;
        }
    }
}
