//! Relays lookups and orders: requests that get one complete reply.
//!
//! A lookup is idempotent and is retried at other replicas. An order is sent again only
//! if no replica can have run it. [`relay`] takes an admitted request and returns its
//! outcome; it writes nothing to the caller.

use std::{future::Future, pin::pin};

use bytes::Bytes;
use http::StatusCode;
use tokio::time::{sleep, timeout_at};
use winch_http::{
    client::{Connection, Error},
    head::Reply,
};
use winch_route::suspect::Disposition;

use crate::{
    catalog::Key,
    counter,
    exchange::CallReply,
    forward,
    job::{InFlightGuard, Job, Outcome, Trace},
    memory,
    node::Node,
    placement,
    prelude::*,
    protocol::Dispatch,
    reach::LATE_REPLY_TIME,
    shed::{self, Sample},
    strikes,
};

/// Largest reply body of a plain service.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Number of failed connections after which a request is given up. They are limited
/// separately because they do not count as sends.
const MAX_CONNECT_FAILURES: u32 = 4;
/// Timeout of an attempt that can be followed by another one, in mean latencies of its
/// replica.
const ATTEMPT_TIMEOUT_LATENCIES: f64 = 6.0;
/// Largest share of the time left that an attempt takes if it can be followed by another one,
/// so that the next one has time too.
const MAX_ATTEMPT_SHARE: f64 = 0.5;

/// How one attempt at a replica ended.
enum Attempt {
    /// The replica sent a complete reply.
    Complete(Reply, Bytes),
    /// The replica states that it did not run the request.
    Refused {
        /// Whether it has no room for more requests.
        is_full: bool,
    },
    /// The reply is unsigned or encoded; the request may have run.
    Unusable(String),
    /// No connection could be opened; nothing was sent.
    NotSent(String),
    /// The exchange failed after sending; the request may have run.
    Broken(String),
    /// No complete reply arrived in time; the request may have run.
    TimedOut,
}

/// Relays a request to one replica after another until one gives a final reply, unless it is shed
/// because its service is overloaded.
///
/// Returns [`Outcome::Answer`], [`Outcome::Error`] or [`Outcome::Shed`], which the function's
/// caller sends.
pub async fn relay<P: Protocol>(node: &Arc<Node<P>>, job: &Job, trace: &mut Trace) -> Outcome {
    if let Some(outcome) = shed::admit(node, job) {
        return outcome;
    }
    let mut sample = Sample::new(node, job);
    let deadline = job.reply_deadline;
    let may_repeat = job.route.semantics.may_repeat();
    let mut timed_out = false;
    let mut connect_failures = 0;
    let mut code = Code::NoReplica;
    while trace.sends < job.route.max_attempts && connect_failures < MAX_CONNECT_FAILURES {
        let now = Instant::now();
        if now >= deadline {
            timed_out = true;
            break;
        }
        if job.needs_forwarding(node, trace)
            && let Some(outcome) = forward::relay(node, job, trace).await
        {
            return outcome;
        }
        let (service, dc) = (&job.service, &node.settings.dc);
        let choice = {
            let rule = node.rule(service, job.cohort);
            let excluded = &trace.excluded;
            let is_eligible =
                |replica: &Replica| rule.allows(replica) && !excluded.contains(&replica.id);
            let mut catalog = node.catalog();
            let rng = &mut node.rng();
            let choice = placement::choose_replica(&catalog, service, dc, is_eligible, now, rng);
            choice.filter(|(key, _)| catalog.take_slot(*key, now))
        };
        let Some((key, replica)) = choice else {
            if trace.sends == 0 && node.is_limited(service) {
                code = Code::Limited;
            }
            break;
        };
        if trace.sends > 0 && !node.spend_retry(&job.service) {
            code = Code::NoBudget;
            break;
        }
        trace.excluded.push(replica.id.clone());
        let is_last = !may_repeat || trace.sends + 1 >= job.route.max_attempts;
        let attempt_deadline = if is_last { deadline } else { retry_deadline(node, key, job, now) };
        sample.start(&replica);
        let attempt = attempt(node, job, key, &replica, attempt_deadline, trace).await;
        match &attempt {
            Attempt::Complete(reply, _) if !reply.status.is_server_error() => sample.answered(),
            Attempt::Refused { is_full: true } | Attempt::TimedOut => sample.rejected(),
            _ => sample.failed(),
        }
        match attempt {
            Attempt::Complete(reply, body) if reply.status.is_server_error() && !is_last => {
                trace.record(&replica, reply.status.as_u16());
                counter::retried("failure");
                trace.may_have_run = true;
                trace.error_reply = Some((reply, body));
            }
            Attempt::Complete(reply, body) => {
                trace.record(&replica, reply.status.as_u16());
                return Outcome::Answer { reply, body };
            }
            Attempt::Refused { .. } => {
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
                trace.may_have_run = true;
                counter::retried("broken");
                if !may_repeat {
                    strikes::attribute_crash_later(node, job, &replica, false);
                    return Outcome::Error(Code::Broken);
                }
                if strikes::attribute_crash(node, job, &replica).await == Disposition::Refused {
                    return Outcome::Error(Code::Broken);
                }
            }
            Attempt::TimedOut => {
                trace.record(&replica, "timed out waiting for the reply");
                node.rollouts().record_broken(&replica, node.uptime());
                trace.may_have_run = true;
                counter::retried("timeout");
                if is_last {
                    timed_out = true;
                    break;
                }
            }
        }
    }
    // What may have run is repeated only if it is idempotent: everything else has returned above.
    if trace.error_reply.is_none()
        && !timed_out
        && forward::is_last_resort(node, job, trace).await
        && let Some(outcome) = forward::relay(node, job, trace).await
    {
        return outcome;
    }
    match trace.error_reply.take() {
        Some((reply, body)) => Outcome::Answer { reply, body },
        None => trace.error(if timed_out { Code::TimedOut } else { code }),
    }
}

/// When an attempt that can be followed by another one is given up: after several mean
/// latencies of the replica and at least the route's target latency, but within a share of
/// the time left.
fn retry_deadline<P: Protocol>(node: &Node<P>, key: Key, job: &Job, now: Instant) -> Instant {
    let time_left = job.reply_deadline.duration_since(now);
    let latency = node.catalog().get(key).and_then(|entry| entry.latency_ms).unwrap_or_default();
    let expected = Duration::from_secs_f64(latency * ATTEMPT_TIMEOUT_LATENCIES / 1_000.0);
    now + expected.max(job.route.target_latency).min(time_left.mul_f64(MAX_ATTEMPT_SHARE))
}

/// Sends the request to `replica`. Records an answer in the catalog and the rollouts, and
/// ejects the replica if the exchange fails.
async fn attempt<P: Protocol>(
    node: &Node<P>,
    job: &Job,
    key: Key,
    replica: &Arc<Replica>,
    deadline: Instant,
    trace: &mut Trace,
) -> Attempt {
    let mut connection = match node.open(replica).await {
        Ok(connection) => connection,
        Err(error) => return Attempt::NotSent(error.to_string()),
    };
    trace.send(replica);
    let in_flight = InFlightGuard::new(node, key);
    let sent_at = Instant::now();
    let exchange = exchange(node, job, replica, &mut connection);
    let exchanged = timeout_at(deadline, doubt_if_late(node, job, exchange)).await;
    drop(in_flight);
    match exchanged {
        Err(_) => Attempt::TimedOut,
        Ok(Err(error)) => {
            node.eject(key, replica, &error.to_string());
            Attempt::Broken(error.to_string())
        }
        Ok(Ok((mut reply, body))) => {
            let meta = node.protocol.decode_reply_meta(&reply);
            node.apply_reply(replica, &meta, &reply);
            if job.is_forwarded {
                forward::name_replica(&mut reply, replica);
            }
            let latency = sent_at.elapsed();
            // After a reply that no replica signs for, others may follow that nobody expects.
            if meta.not_run || meta.signed {
                node.pool.put(replica.address, connection);
            }
            if meta.not_run {
                // A replica that names a limit refuses requests although it has room for them.
                let is_unavailable = reply.status == StatusCode::SERVICE_UNAVAILABLE;
                let is_full = is_unavailable && meta.statement.limit.is_none();
                if is_full {
                    node.catalog().record_full(key, Instant::now());
                }
                return Attempt::Refused { is_full };
            }
            let is_error = reply.status.is_server_error();
            node.catalog().record_answer(key, Some(latency), is_error, Instant::now());
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

/// Completes with `exchange`; puts the paths to the service in doubt if that takes long.
async fn doubt_if_late<P: Protocol, T>(
    node: &Node<P>,
    job: &Job,
    exchange: impl Future<Output = T>,
) -> T {
    let mut exchange = pin!(exchange);
    tokio::select! {
        biased;
        exchanged = &mut exchange => return exchanged,
        () = sleep(LATE_REPLY_TIME) => node.doubt_paths(&job.service),
    }
    exchange.await
}

/// Sends the request on `connection` and reads the complete reply.
async fn exchange<P: Protocol>(
    node: &Node<P>,
    job: &Job,
    replica: &Replica,
    connection: &mut Connection,
) -> Result<(Reply, Bytes), Error> {
    let dispatch = Dispatch {
        replica,
        time_left: job.time_to_reply(Instant::now()),
        team: job.team.as_ref().map(|team| &team.name),
        priority: job.priority.level(false),
        after_event: None,
        copy_to: None,
        copy_from: None,
    };
    let request = node.protocol.encode_request(&job.call, &dispatch);
    let matcher = CallReply { protocol: &node.protocol, id: job.call.id.as_ref() };
    let reply = connection.exchange(&job.call.method, &request, &matcher).await?;
    let body = memory::read_body(connection, &node.body_blocks, MAX_BODY_BYTES).await?;
    Ok((reply, body))
}

/// How long the caller should wait before it sends the request again, as the `Retry-After`
/// header of the error reply states it; `None` if the reply has no such header.
pub fn retry_after(code: Code) -> Option<Duration> {
    match code {
        Code::NoConfig | Code::NoReplica | Code::Overloaded => Some(Duration::from_secs(1)),
        Code::Stopping => Some(Duration::from_millis(20)),
        Code::Refused | Code::NoBudget | Code::Limited | Code::Busy => {
            Some(Duration::from_millis(200))
        }
        _ => None,
    }
}

/// Whether a reply with this status guarantees to the caller that the request did not run.
pub fn guarantees_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
