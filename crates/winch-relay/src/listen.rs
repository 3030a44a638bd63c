//! Accepts connections for as long as the daemon runs, and those that are under way at the close.

use std::{io, net, num::NonZeroU32};

use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::prelude::*;

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Time for which a closing listener waits for the handshakes that have begun.
pub const HANDSHAKE_TIME: Duration = Duration::from_millis(50);
/// Index of a network interface that no machine has.
const NO_INTERFACE: Option<NonZeroU32> = NonZeroU32::new(i32::MAX.unsigned_abs());
/// Number of queued connections after which a closing listener accepts no more.
const MAX_QUEUED: usize = 1_024;

/// Accepts the next connection.
///
/// Errors are transient, so that they do not end a listener: no file descriptors are left, or the
/// peer has closed the connection first.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// What a listener's close found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed {
    /// Number of connections that came while it closed, or were in its queue.
    pub queued: usize,
    /// Whether the system took the option by which it refuses new connections first; without that,
    /// a connection that is being established at the close is reset.
    pub refused_first: bool,
}

/// Closes `listener`, and hands `serve` the connections that callers had begun to open.
///
/// New connections are refused from the start, so that each caller is either served or refused. It
/// takes [`HANDSHAKE_TIME`].
pub async fn close(listener: TcpListener, mut serve: impl FnMut(TcpStream)) -> Closed {
    let mut queued = 0;
    let mut serve = |stream| {
        queued += 1;
        serve(stream);
    };
    let refused_first = refuse_new(&listener).is_ok();
    if refused_first {
        let accepting = async {
            loop {
                serve(accept(&listener).await);
            }
        };
        let _: Result<(), _> = timeout(HANDSHAKE_TIME, accepting).await;
    }
    take_queued(listener).into_iter().for_each(serve);
    Closed { queued, refused_first }
}

/// Refuses connections that callers begin to open from now on, as a closed port does; handshakes
/// that have begun can be completed, and their connections accepted.
///
/// The system finds no listener for a connection that comes from another interface than the one to
/// which the listener is bound, but completes what it has found one for.
///
/// # Errors
/// The system's error, if it cannot bind a listener to an interface. Linux before 5.7 requires a
/// privilege.
fn refuse_new(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).bind_device_by_index_v4(NO_INTERFACE)
}

/// Closes `listener` and returns the connections that were still in its queue.
fn take_queued(listener: TcpListener) -> Vec<TcpStream> {
    // The queue itself is asked: the runtime may not have seen its newest connections.
    let Ok(listener) = listener.into_std() else { return Vec::new() };
    let mut queued = Vec::new();
    for _ in 0..MAX_QUEUED {
        match listener.accept() {
            Ok((stream, _)) => queued.extend(register(stream)),
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(_) => break,
        }
    }
    queued
}

/// Hands an accepted connection to the runtime; `None` if it has broken.
fn register(stream: net::TcpStream) -> Option<TcpStream> {
    stream.set_nonblocking(true).ok()?;
    TcpStream::from_std(stream).ok()
}
