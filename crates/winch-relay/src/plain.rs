//! Lookups and orders: one request, one whole answer.

use bytes::Bytes;
use http::StatusCode;
use tokio::time::timeout_at;
use winch_http::{
    client::{Connection, Error},
    head::Reply,
};
use winch_route::suspect::Disposition;

use crate::{
    catalog::Key,
    counter,
    dialect::Order,
    job::{Ending, Flight, Job, Trace, belongs},
    node::Node,
    place,
    prelude::*,
    strikes,
};

/// Longest answer of a plain service, in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;
/// Connections that may fail before a request is given up.
const MAX_CONNECT_FAILURES: u32 = 4;
/// Time allowed for an answer that may be asked for again, in mean latencies.
const PATIENCE_LATENCIES: f64 = 6.0;
/// Part of the remaining time after which such an answer is asked for again.
const PATIENCE_SHARE: f64 = 0.5;

enum Attempt {
    Whole(Reply, Bytes),
    Refused,
    Unusable(String),
    NotSent(String),
    Broken(String),
    TimedOut,
}

/// Relays a request whose answer is sent as a whole.
pub async fn relay<D: Dialect>(node: &Arc<Node<D>>, job: &Job, trace: &mut Trace) -> Ending {
    let deadline = job.deadline();
    let repeatable = job.route.semantics.may_repeat();
    let (mut may_have_run, mut timed_out) = (false, false);
    let mut connect_failures = 0;
    let mut failure = None;
    let mut code = Code::NoReplica;
    while trace.sends < job.route.attempts && connect_failures < MAX_CONNECT_FAILURES {
        let now = Instant::now();
        if now >= deadline {
            timed_out = true;
            break;
        }
        let (service, dc) = (&job.service, &node.settings.dc);
        let place = {
            let rule = node.rule(service, job.side);
            let tried = &trace.tried;
            let fit = |replica: &Replica| rule.allows(replica) && !tried.contains(&replica.id);
            let catalog = node.catalog();
            place::plain(&catalog, service, dc, fit, now, &mut node.rng())
        };
        let Some((key, replica)) = place else { break };
        if trace.sends > 0 && !node.spend_retry(&job.service) {
            code = Code::NoBudget;
            break;
        }
        trace.tried.push(replica.id.clone());
        let last = !repeatable || trace.sends + 1 >= job.route.attempts;
        let limit = if last { deadline } else { patience(node, key, job, now) };
        match send(node, job, key, &replica, limit, trace).await {
            Attempt::Whole(reply, body) if reply.status.is_server_error() && !last => {
                trace.step(&replica, reply.status.as_u16());
                counter::retried("failure");
                failure = Some(Ending::Answer { reply, body });
            }
            Attempt::Whole(reply, body) => {
                trace.step(&replica, reply.status.as_u16());
                return Ending::Answer { reply, body };
            }
            Attempt::Refused => {
                trace.step(&replica, "refused");
                code = Code::Refused;
                counter::retried("refused");
            }
            Attempt::NotSent(cause) => {
                trace.step(&replica, &cause);
                node.avoid(key, &replica, &cause);
                connect_failures += 1;
                counter::retried("not_sent");
            }
            Attempt::Unusable(cause) | Attempt::Broken(cause) => {
                trace.step(&replica, &cause);
                node.trials().broke(&replica, node.age());
                may_have_run = true;
                counter::retried("broken");
                if !repeatable {
                    strikes::accuse_later(node, job, &replica);
                    return Ending::Own(Code::Broken);
                }
                if strikes::accuse(node, job, &replica).await == Disposition::Refused {
                    return Ending::Own(Code::Broken);
                }
            }
            Attempt::TimedOut => {
                trace.step(&replica, "no answer in time");
                node.trials().broke(&replica, node.age());
                may_have_run = true;
                counter::retried("timeout");
                if last {
                    return Ending::Own(Code::TimedOut);
                }
            }
        }
    }
    match failure {
        Some(failure) => failure,
        None if may_have_run && timed_out => Ending::Own(Code::TimedOut),
        None if may_have_run => Ending::Own(Code::Broken),
        None if timed_out => Ending::Own(Code::Expired),
        None => Ending::Own(code),
    }
}

fn patience<D: Dialect>(node: &Node<D>, key: Key, job: &Job, now: Instant) -> Instant {
    let left = job.deadline().duration_since(now);
    let latency = node.catalog().get(key).and_then(|entry| entry.latency_ms).unwrap_or_default();
    let usual = Duration::from_secs_f64(latency * PATIENCE_LATENCIES / 1_000.0);
    now + usual.max(job.route.target).min(left.mul_f64(PATIENCE_SHARE))
}

async fn send<D: Dialect>(
    node: &Node<D>,
    job: &Job,
    key: Key,
    replica: &Arc<Replica>,
    limit: Instant,
    trace: &mut Trace,
) -> Attempt {
    let mut connection = match node.pool.open(replica.address).await {
        Ok(connection) => connection,
        Err(error) => return Attempt::NotSent(error.to_string()),
    };
    trace.sends += 1;
    let flight = Flight::new(node, key);
    let started = Instant::now();
    let exchanged = timeout_at(limit, exchange(node, job, replica, &mut connection)).await;
    drop(flight);
    match exchanged {
        Err(_) => Attempt::TimedOut,
        Ok(Err(error)) => {
            node.avoid(key, replica, &error.to_string());
            Attempt::Broken(error.to_string())
        }
        Ok(Ok((reply, body))) => {
            let facts = node.dialect.facts(&reply);
            let taken = started.elapsed();
            node.pool.put(replica.address, connection);
            if facts.not_run {
                return Attempt::Refused;
            }
            let failure = reply.status.is_server_error();
            node.catalog().answered(key, Some(taken), failure);
            if failure {
                node.trials().answered_badly(replica);
            } else {
                node.trials().good(replica, taken, None);
            }
            if facts.encoded || !facts.signed {
                return Attempt::Unusable(format!("unusable {}", reply.status.as_u16()));
            }
            Attempt::Whole(reply, body)
        }
    }
}

async fn exchange<D: Dialect>(
    node: &Node<D>,
    job: &Job,
    replica: &Replica,
    connection: &mut Connection,
) -> Result<(Reply, Bytes), Error> {
    let order = Order {
        replica,
        left: job.left(Instant::now()),
        team: job.team.as_ref().map(|team| &team.name),
        after_event: None,
        copy_to: None,
        copy_from: None,
    };
    let request = node.dialect.request(&job.call, &order);
    let fresh = connection.exchanges() == 0;
    let id = job.call.id.as_ref();
    let accepts = |reply: &Reply| belongs(node, id, fresh, reply);
    let reply = connection.exchange(&job.call.method, &request, accepts).await?;
    let body = connection.body(MAX_ANSWER).await?;
    Ok((reply, body))
}

/// When a caller may come back after a refusal.
pub fn retry_after(code: Code) -> Option<Duration> {
    match code {
        Code::NoPlan | Code::NoReplica => Some(Duration::from_secs(1)),
        Code::Stopping => Some(Duration::from_millis(20)),
        Code::Refused | Code::NoBudget => Some(Duration::from_millis(200)),
        _ => None,
    }
}

/// Whether the status is a refusal that promises that nothing ran.
pub fn is_promise(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
