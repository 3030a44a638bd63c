//! Attributes crashes of replicas to the requests that ran there.

use tokio::{task::JoinHandle, time::sleep};
use winch_route::{
    quarantine::Part,
    suspect::{Crash, Disposition},
};

use super::Strike;
use crate::{
    counter,
    job::Job,
    node::Node,
    peer,
    prelude::*,
    probe::{self, Finding},
};

/// Time within which a replica that seemed dead is found alive if it only paused, and the interval of
/// the probes.
const VERIFY_TIME: Duration = Duration::from_secs(4);
const VERIFY_INTERVAL: Duration = Duration::from_millis(300);

/// Records that a run of the request has survived, and tells the other daemons if parts of its
/// prompt had strikes.
pub fn record_survival<P: Protocol>(node: &Arc<Node<P>>, job: &Job) {
    let now = Instant::now();
    let cleared = node.strikes().clear(&job.shared_parts, now);
    if cleared.is_empty() {
        return;
    }
    node.announce_strike();
    let (reporter, cleared) = (node.clone(), cleared.into_iter().map(|part| (part, now)).collect());
    node.tasks.spawn(async move { peer::report_cleared(&reporter, cleared).await });
}

/// Tells the other daemons of the survivals here that cancel strikes which they have told.
pub fn report_untold<P: Protocol>(node: &Arc<Node<P>>) {
    let untold = node.strikes().take_untold();
    if untold.is_empty() {
        return;
    }
    let reporter = node.clone();
    node.tasks.spawn(async move { peer::report_cleared(&reporter, untold).await });
}

/// Records that a replica has run the request to its end, and tells the other daemons if the request
/// had strikes.
pub fn record_completion<P: Protocol>(node: &Arc<Node<P>>, job: &Job) {
    // Most daemons have no strikes at most times, and the fingerprint takes time.
    if node.strikes().is_empty() {
        return;
    }
    let (request, at) = (job.fingerprint(), Instant::now());
    if !node.strikes().record_completion(request, at) {
        return;
    }
    emit!(Event::RequestCleared, request = job.call.label());
    node.announce_strike();
    let reporter = node.clone();
    node.tasks.spawn(async move { peer::report_completed(&reporter, request, at).await });
}

/// Attributes the crash of `replica` to a request, if a probe finds the replica dead.
///
/// Called when an attempt failed before the replica sent a complete usable reply or, for a
/// stream, before the attempt had survived. Returns whether and how the request may still run.
pub async fn attribute_crash<P: Protocol>(
    node: &Arc<Node<P>>,
    job: &Job,
    replica: &Arc<Replica>,
) -> Disposition {
    // A task, so that the strike is recorded even if the request ends meanwhile.
    let attribution = spawn_attribution(node, job, replica, job.shared_parts.clone());
    attribution.await.unwrap_or(Disposition::Clear)
}

/// Like [`attribute_crash`], in a separate task that does not delay the caller's answer.
///
/// Called for requests that must not be repeated; for a stream, even after the attempt has
/// survived. The parts of its prompt get no strikes then.
pub fn attribute_crash_later<P: Protocol>(
    node: &Arc<Node<P>>,
    job: &Job,
    replica: &Arc<Replica>,
    has_survived: bool,
) {
    let parts = if has_survived { Arc::default() } else { job.shared_parts.clone() };
    spawn_attribution(node, job, replica, parts);
}

fn spawn_attribution<P: Protocol>(
    node: &Arc<Node<P>>,
    job: &Job,
    replica: &Arc<Replica>,
    parts: Arc<[Part]>,
) -> JoinHandle<Disposition> {
    let (node, job, replica) = (node.clone(), job.clone(), replica.clone());
    let tasks = node.tasks.clone();
    tasks.spawn(async move { attribute_crash_to(&node, &job, &replica, parts).await })
}

async fn attribute_crash_to<P: Protocol>(
    node: &Arc<Node<P>>,
    job: &Job,
    replica: &Replica,
    parts: Arc<[Part]>,
) -> Disposition {
    let request = job.fingerprint();
    if !probe::seems_dead(node, replica).await {
        return node.strikes().disposition(request, &parts, Instant::now());
    }
    let incarnation = format!("{}/{}", replica.id, replica.started_at_ms.unwrap_or_default());
    let crash = Crash(winch_route::hash::name(&incarnation));
    let strike = Strike { request, crash, parts, at: Instant::now() };
    let disposition = node.strikes().record_crash(strike.clone());
    emit!(
        Event::RequestSuspected,
        request = job.call.label(),
        parts = label_parts(job),
        replica = replica.id,
        dc = replica.dc,
        standing = format!("{disposition:?}")
    );
    counter::strike_added("own");
    node.announce_strike();
    let (reporter, replica) = (node.clone(), replica.clone());
    node.tasks.spawn(async move {
        peer::report_strike(&reporter, &strike).await;
        if proves_alive(&reporter, &replica).await {
            retract(&reporter, &strike).await;
        }
    });
    disposition
}

/// Probes a replica that seems dead for a while; returns whether the same incarnation answers.
async fn proves_alive<P: Protocol>(node: &Node<P>, replica: &Replica) -> bool {
    if !probe::has_reports(node, replica) || replica.started_at_ms.is_none() {
        return false;
    }
    let deadline = Instant::now() + VERIFY_TIME;
    while Instant::now() < deadline && !node.is_stopping() {
        sleep(VERIFY_INTERVAL).await;
        match probe::probe(node, replica).await {
            Finding::Alive(report) => return report.started_at_ms == replica.started_at_ms,
            Finding::Replaced => return false,
            Finding::Unresponsive | Finding::Unasked => {}
        }
    }
    false
}

/// Removes a strike whose replica is alive, here and at all other daemons.
async fn retract<P: Protocol>(node: &Node<P>, strike: &Strike) {
    let at = Instant::now();
    if node.strikes().retract(strike.crash, at) {
        emit!(Event::StrikeRetracted, crash = format!("{:016x}", strike.crash.0));
        counter::strikes_retracted();
        node.announce_strike();
        peer::report_retracted(node, strike, at).await;
    }
}

/// The shared parts of a request's prompt for the log, as `ID=HASH`; events about a part name its
/// hash.
fn label_parts(job: &Job) -> String {
    let pairs = job.call.prompt.iter().zip(&*job.shared_parts);
    pairs.map(|(part, hash)| format!("{}={:016x}", part.id, hash.0)).collect::<Vec<_>>().join(",")
}
