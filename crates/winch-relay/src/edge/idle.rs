//! How long a caller's connection stays open between two requests.
//!
//! A request that crosses the close of its connection gets no reply. So each reply states how long
//! its caller may leave the connection idle and still use it, and the daemon keeps the connection
//! open for longer than it has stated, also while it stops.

use tokio::{
    io::AsyncRead,
    time::{sleep, sleep_until},
};
use winch_http::server::Reader;

use super::close::Close;
use crate::{config::Limits, prelude::*};

/// Longest idle time that replies state.
const MAX_STATED_TIME: Duration = Duration::from_secs(3);
/// Largest share of the grace period of a stop that replies state as the idle time.
const MAX_STATED_SHARE: f64 = 0.5;
/// How long idle connections stay open after the stop of the daemon has begun: for the idle time
/// that replies state, and the time that a request needs to arrive.
const STOP_IDLE_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time for which a connection stays open beyond the limit, for callers that go by the limit
/// alone and know a new one earlier than this daemon.
const TOLERANCE: Duration = Duration::from_secs(3);

/// The idle time that replies state, in seconds; `None` if it is below a second.
pub(super) fn stated_time_s(limits: &Limits, stop_grace: Duration) -> Option<u64> {
    let time = MAX_STATED_TIME.min(limits.idle_timeout).min(stop_grace.mul_f64(MAX_STATED_SHARE));
    Some(time.as_secs()).filter(|seconds| *seconds > 0)
}

/// Waits for the next request; returns why the connection is to be closed if none comes.
pub(super) async fn wait_for_request<P, R>(node: &Node<P>, reader: &mut Reader<R>) -> Option<Close>
where
    P: Protocol,
    R: AsyncRead + Unpin,
{
    let stopping = async {
        node.stop_requested().await;
        sleep(STOP_IDLE_TIMEOUT).await;
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
