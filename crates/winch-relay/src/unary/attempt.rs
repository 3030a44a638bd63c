//! One attempt: a lookup or an order at one replica.

use std::{future::Future, pin::pin};

use bytes::Bytes;
use http::StatusCode;
use tokio::time::sleep;
use winch_http::{
    client::{Connection, Error},
    head::Reply,
};

use crate::{
    catalog::Key,
    delivery::Delivery,
    exchange::CallReply,
    forward,
    job::{InFlightGuard, Job},
    memory,
    node::Node,
    prelude::*,
    protocol::Dispatch,
    reach::LATE_REPLY_TIME,
};

/// Largest reply body of a plain service.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The replica of an attempt.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) key: Key,
    pub(super) replica: Arc<Replica>,
}

/// How an attempt ended.
pub(super) enum End {
    /// The replica sent a complete reply.
    Complete(Reply, Bytes),
    /// The replica states that it did not run the request.
    Refused {
        /// Whether it has no room for more requests.
        is_full: bool,
    },
    /// The reply is unsigned or encoded; the request may have run.
    Unusable(String),
    /// The exchange failed after sending; the request may have run.
    Broken(String),
}

/// An attempt that has ended.
pub(super) struct Ended {
    pub(super) target: Target,
    pub(super) end: End,
}

/// The complete reply of a replica.
pub(super) struct Answer {
    pub(super) replica: Arc<Replica>,
    pub(super) reply: Reply,
    pub(super) body: Bytes,
}

/// Sends the request to `target` on `connection`. Records an answer in the catalog and the
/// rollouts, and ejects the replica if the exchange fails.
///
/// The connection is closed if the future is dropped before its end.
pub(super) async fn run<P: Protocol>(
    node: &Node<P>,
    job: &Job,
    target: Target,
    mut connection: Connection,
    delivery: Delivery,
) -> Ended {
    let in_flight = InFlightGuard::new(node, target.key);
    let stopwatch = node.pulse.start();
    let exchange = exchange(node, job, &target.replica, &mut connection, &delivery);
    let exchanged = doubt_if_late(node, job, exchange).await;
    drop(in_flight);
    let end = match exchanged {
        Ok((reply, body)) => {
            let latency = node.pulse.running_time(stopwatch);
            let end = record_reply(node, job, &target, connection, latency, reply, body);
            if matches!(end, End::Refused { .. }) {
                delivery.not_run();
            }
            end
        }
        Err(error) => {
            node.eject(target.key, &target.replica, &error.to_string());
            End::Broken(error.to_string())
        }
    };
    Ended { target, end }
}

/// Records what a complete reply says of its replica, and returns what it says of the request.
fn record_reply<P: Protocol>(
    node: &Node<P>,
    job: &Job,
    target: &Target,
    connection: Connection,
    latency: Duration,
    mut reply: Reply,
    body: Bytes,
) -> End {
    let Target { key, replica } = target;
    let meta = node.protocol.decode_reply_meta(&reply);
    node.apply_reply(replica, &meta, &reply);
    if job.is_forwarded {
        forward::name_replica(&mut reply, replica);
    }
    // After a reply that no replica signs for, others may follow that nobody expects.
    if meta.not_run || meta.signed {
        node.pool.put(replica.address, connection);
    }
    if meta.not_run {
        // A replica that names a limit refuses requests although it has room for them.
        let is_unavailable = reply.status == StatusCode::SERVICE_UNAVAILABLE;
        let is_full = is_unavailable && meta.statement.limit.is_none();
        if is_full {
            node.catalog().record_full(*key, Instant::now());
        }
        return End::Refused { is_full };
    }
    let is_error = reply.status.is_server_error();
    node.catalog().record_answer(*key, Some(latency), is_error, Instant::now());
    if is_error {
        node.rollouts().record_error_reply(replica);
    } else {
        node.rollouts().record_success(replica, latency, None);
    }
    if meta.encoded || !meta.signed {
        let status = reply.status.as_u16();
        return End::Unusable(format!("reply with status {status} is unsigned or encoded"));
    }
    End::Complete(reply, body)
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
    delivery: &Delivery,
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
    let reply = delivery.exchange(connection, &job.call.method, &request, &matcher).await?;
    let body = memory::read_body(connection, &node.body_blocks, MAX_BODY_BYTES).await?;
    Ok((reply, body))
}
