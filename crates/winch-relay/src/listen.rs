//! Accepts connections for as long as the daemon runs.

use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::prelude::*;

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

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
