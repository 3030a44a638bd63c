//! How long a caller's connection stays open between two requests.
//!
//! Each reply states how long its caller may leave the connection idle and still use it, and the
//! daemon keeps it open for longer, unless it stops. A request that crosses the close all the same
//! is refused: the daemon sends a refusal before it closes, which is the reply to such a request.
//! Callers without a request discard it together with the connection.

use tokio::{
    io::AsyncRead,
    time::{sleep, sleep_until},
};
use winch_http::server::Reader;

use super::close::Close;
use crate::{config::Limits, prelude::*};

/// How long idle connections stay open after the stop of the daemon has begun, so that
/// the platform's load balancer stops using the daemon first.
const STOP_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a connection that is opened or becomes idle during the stop stays open, for the request
/// that its caller may already have sent.
const LATE_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a connection stays open beyond the limit, for callers that go by the limit
/// alone and know a new one earlier than this daemon.
const TOLERANCE: Duration = Duration::from_secs(3);

/// The idle time that replies state, in seconds; `None` if it is below a second.
pub(super) fn stated_time_s(limits: &Limits) -> Option<u64> {
    Some(limits.idle_timeout.as_secs()).filter(|seconds| *seconds > 0)
}

/// Waits for the next request; returns why the connection is to be closed if none comes.
pub(super) async fn wait_for_request<P, R>(node: &Node<P>, reader: &mut Reader<R>) -> Option<Close>
where
    P: Protocol,
    R: AsyncRead + Unpin,
{
    let stopping = async {
        let timeout = if node.is_stopping() { LATE_IDLE_TIMEOUT } else { STOP_IDLE_TIMEOUT };
        node.stop_requested().await;
        sleep(timeout).await;
    };
    tokio::select! {
        biased;
        arrived = reader.wait() => (!matches!(arrived, Ok(true))).then_some(Close::Caller),
        () = stopping => Some(Close::Stopping),
        () = node.end_requested() => Some(Close::Stopping),
        () = idle_for_too_long(node) => Some(Close::Idle),
    }
}

/// Completes when a connection that is idle from now on is to be closed.
///
/// Callers that go by the limit know a new one earlier or later than this daemon: the longest one
/// that was in force holds.
async fn idle_for_too_long<P: Protocol>(node: &Node<P>) {
    let since = Instant::now();
    let mut limit = super::current_limits(node).idle_timeout;
    loop {
        sleep_until(since + limit + TOLERANCE).await;
        let current = super::current_limits(node).idle_timeout;
        if current <= limit {
            return;
        }
        limit = current;
    }
}
