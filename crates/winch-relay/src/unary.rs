//! Relays lookups and orders: requests that get one complete reply.
//!
//! A lookup is idempotent and is retried at other replicas. An order is sent again only
//! if no replica can have run it.

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
    job::{InFlight, Job, Outcome, Trace, is_reply_to},
    node::Node,
    placement,
    prelude::*,
    protocol::Dispatch,
    strikes,
};

/// Longest reply body of a plain service.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Failed connections after which a request is given up.
const MAX_CONNECT_FAILURES: u32 = 4;
/// Timeout of an attempt that may be retried, in mean latencies of its replica.
const ATTEMPT_LATENCIES: f64 = 6.0;
/// Largest share of the remaining time that an attempt that may be retried takes.
const ATTEMPT_SHARE: f64 = 0.5;

/// How one attempt at a replica ended.
enum Attempt {
    /// The replica sent a complete reply.
    Complete(Reply, Bytes),
    /// The replica states that it did not run the request.
    Refused,
    /// The reply is unsigned or encoded; the request may have run.
    Unusable(String),
    /// No connection could be opened.
    NotSent(String),
    /// The exchange failed after sending; the request may have run.
    Broken(String),
    /// No complete reply arrived in time; the request may have run.
    TimedOut,
}

/// Relays a request to one replica after another until one gives a final reply.
pub async fn relay<P: Protocol>(node: &Arc<Node<P>>, job: &Job, trace: &mut Trace) -> Outcome {
    let deadline = job.deadline();
    let repeatable = job.route.semantics.may_repeat();
    let (mut may_have_run, mut timed_out) = (false, false);
    let mut connect_failures = 0;
    let mut error_reply = None;
    let mut code = Code::NoReplica;
    while trace.sends < job.route.max_attempts && connect_failures < MAX_CONNECT_FAILURES {
        let now = Instant::now();
        if now >= deadline {
            timed_out = true;
            break;
        }
        let (service, dc) = (&job.service, &node.settings.dc);
        let choice = {
            let rule = node.rule(service, job.cohort);
            let tried = &trace.tried;
            let is_eligible =
                |replica: &Replica| rule.allows(replica) && !tried.contains(&replica.id);
            let catalog = node.catalog();
            placement::choose_replica(&catalog, service, dc, is_eligible, now, &mut node.rng())
        };
        let Some((key, replica)) = choice else { break };
        if trace.sends > 0 && !node.spend_retry(&job.service) {
            code = Code::NoBudget;
            break;
        }
        trace.tried.push(replica.id.clone());
        let is_last = !repeatable || trace.sends + 1 >= job.route.max_attempts;
        let attempt_deadline = if is_last { deadline } else { retry_deadline(node, key, job, now) };
        match send(node, job, key, &replica, attempt_deadline, trace).await {
            Attempt::Complete(reply, body) if reply.status.is_server_error() && !is_last => {
                trace.record(&replica, reply.status.as_u16());
                counter::retried("failure");
                error_reply = Some(Outcome::Answer { reply, body });
            }
            Attempt::Complete(reply, body) => {
                trace.record(&replica, reply.status.as_u16());
                return Outcome::Answer { reply, body };
            }
            Attempt::Refused => {
                trace.record(&replica, "refused");
                code = Code::Refused;
                counter::retried("refused");
            }
            Attempt::NotSent(cause) => {
                trace.record(&replica, &cause);
                node.eject(key, &replica, &cause);
                connect_failures += 1;
                counter::retried("not_sent");
            }
            Attempt::Unusable(cause) | Attempt::Broken(cause) => {
                trace.record(&replica, &cause);
                node.rollouts().record_broken(&replica, node.uptime());
                may_have_run = true;
                counter::retried("broken");
                if !repeatable {
                    strikes::attribute_crash_later(node, job, &replica);
                    return Outcome::Error(Code::Broken);
                }
                if strikes::attribute_crash(node, job, &replica).await == Disposition::Refused {
                    return Outcome::Error(Code::Broken);
                }
            }
            Attempt::TimedOut => {
                trace.record(&replica, "timed out waiting for the reply");
                node.rollouts().record_broken(&replica, node.uptime());
                may_have_run = true;
                counter::retried("timeout");
                if is_last {
                    return Outcome::Error(Code::TimedOut);
                }
            }
        }
    }
    match error_reply {
        Some(error_reply) => error_reply,
        None if may_have_run && timed_out => Outcome::Error(Code::TimedOut),
        None if may_have_run => Outcome::Error(Code::Broken),
        None if timed_out => Outcome::Error(Code::Expired),
        None => Outcome::Error(code),
    }
}

/// When an attempt that may be retried is given up: after several mean latencies of the
/// replica and at least the route's target latency, within a share of the time left.
fn retry_deadline<P: Protocol>(node: &Node<P>, key: Key, job: &Job, now: Instant) -> Instant {
    let time_left = job.deadline().duration_since(now);
    let latency = node.catalog().get(key).and_then(|entry| entry.latency_ms).unwrap_or_default();
    let expected = Duration::from_secs_f64(latency * ATTEMPT_LATENCIES / 1_000.0);
    now + expected.max(job.route.target_latency).min(time_left.mul_f64(ATTEMPT_SHARE))
}

async fn send<P: Protocol>(
    node: &Node<P>,
    job: &Job,
    key: Key,
    replica: &Arc<Replica>,
    deadline: Instant,
    trace: &mut Trace,
) -> Attempt {
    let mut connection = match node.pool.open(replica.address).await {
        Ok(connection) => connection,
        Err(error) => return Attempt::NotSent(error.to_string()),
    };
    trace.sends += 1;
    let in_flight = InFlight::new(node, key);
    let sent_at = Instant::now();
    let exchanged = timeout_at(deadline, exchange(node, job, replica, &mut connection)).await;
    drop(in_flight);
    match exchanged {
        Err(_) => Attempt::TimedOut,
        Ok(Err(error)) => {
            node.eject(key, replica, &error.to_string());
            Attempt::Broken(error.to_string())
        }
        Ok(Ok((reply, body))) => {
            let meta = node.protocol.decode_reply_meta(&reply);
            let latency = sent_at.elapsed();
            node.pool.put(replica.address, connection);
            if meta.not_run {
                return Attempt::Refused;
            }
            let is_error = reply.status.is_server_error();
            node.catalog().record_answer(key, Some(latency), is_error);
            if is_error {
                node.rollouts().record_error_reply(replica);
            } else {
                node.rollouts().record_success(replica, latency, None);
            }
            if meta.encoded || !meta.signed {
                return Attempt::Unusable(format!(
                    "reply with status {} is unsigned or encoded",
                    reply.status.as_u16()
                ));
            }
            Attempt::Complete(reply, body)
        }
    }
}

async fn exchange<P: Protocol>(
    node: &Node<P>,
    job: &Job,
    replica: &Replica,
    connection: &mut Connection,
) -> Result<(Reply, Bytes), Error> {
    let dispatch = Dispatch {
        replica,
        time_left: job.time_left(Instant::now()),
        team: job.team.as_ref().map(|team| &team.name),
        after_event: None,
        copy_to: None,
        copy_from: None,
    };
    let request = node.protocol.encode_request(&job.call, &dispatch);
    let first_exchange = connection.exchanges() == 0;
    let id = job.call.id.as_ref();
    let accepts = |reply: &Reply| is_reply_to(node, id, first_exchange, reply);
    let reply = connection.exchange(&job.call.method, &request, accepts).await?;
    let body = connection.body(MAX_BODY_BYTES).await?;
    Ok((reply, body))
}

/// Value of the `Retry-After` header of an error reply; `None` if it has none.
pub fn retry_after(code: Code) -> Option<Duration> {
    match code {
        Code::NoConfig | Code::NoReplica => Some(Duration::from_secs(1)),
        Code::Stopping => Some(Duration::from_millis(20)),
        Code::Refused | Code::NoBudget => Some(Duration::from_millis(200)),
        _ => None,
    }
}

/// Whether the status guarantees to the caller that the request did not run.
pub fn guarantees_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
