//! Accepts connections for as long as the daemon runs, and those that are queued at the close.

use std::{io, net};

use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::prelude::*;

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
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

/// Closes `listener` and returns the connections that were still in its queue.
pub fn close(listener: TcpListener) -> Vec<TcpStream> {
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
