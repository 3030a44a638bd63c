//! A daemon without file descriptors serves again when it has some.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
mod entry;

use std::{net::SocketAddr, time::Duration};

use common::{Replica, Store, TIMEOUT};
use http::Method;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};
use winch_http::client::{Connection, InOrder};

/// Open files that the daemon may have: more than it needs itself.
const OPEN_FILES: u32 = 48;
/// Connections that callers open: more than it has files for.
const CONNECTIONS: usize = 80;

/// Whether the readiness check is answered.
async fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut connection) = Connection::open(address, Duration::from_secs(1)).await else {
        return false;
    };
    let request = b"GET /wisteriawinch/ready HTTP/1.1\r\nConnection: close\r\n\r\n";
    let reply =
        timeout(Duration::from_secs(1), connection.exchange(&Method::GET, request, &InOrder));
    matches!(reply.await, Ok(Ok(reply)) if reply.status.as_u16() == 200)
}

async fn wait_ready(address: SocketAddr) {
    let ready = async {
        while !is_ready(address).await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, ready).await.expect("the readiness check is answered");
}

// Guards against a listener that ends for good at its first failed accept.
#[tokio::test]
async fn listeners_survive_exhaustion() {
    let replica = Replica::start("d-1", "desk", "a").await;
    let store = Store::with_replicas(&[&replica]).await;
    let folder = entry::folder();
    let mut daemon = entry::Process::start_limited(store.address, OPEN_FILES, &folder);
    wait_ready(daemon.addresses.ready).await;
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        connections.push(TcpStream::connect(daemon.addresses.callers).await.expect("a listener"));
    }
    // Both are taken by the system and cannot be accepted.
    let pending = [daemon.addresses.ready, daemon.addresses.control];
    for address in pending {
        connections.push(TcpStream::connect(address).await.expect("a listener"));
    }
    sleep(Duration::from_millis(500)).await;
    assert!(!is_ready(daemon.addresses.ready).await, "no file is left");
    connections.clear();
    wait_ready(daemon.addresses.ready).await;
    for address in pending {
        TcpStream::connect(address).await.expect("the listener is still there");
    }
    assert_eq!(daemon.exit_status(), None);
}
