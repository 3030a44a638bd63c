//! Which connections to replicas are kept for a later request.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use winch_http::client::{Connection, InOrder};
use winch_relay::pool::Pool;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a replica that replies once on each connection, and keeps it open.
async fn replica() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut bytes = [0; 1_000];
                while stream.read(&mut bytes).await.is_ok_and(|length| length > 0) {
                    let reply = b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(reply).await.unwrap();
                }
            });
        }
    });
    address
}

#[tokio::test]
async fn used_connection_kept() {
    let (pool, address) = (Pool::default(), replica().await);
    let mut connection = Connection::open(address, CONNECT_TIMEOUT).await.unwrap();
    connection.exchange(&Method::GET, b"GET / HTTP/1.1\r\n\r\n", &InOrder).await.unwrap();
    pool.put(address, connection);
    assert!(pool.take(address).is_some());
}

// Guards against requests on a connection that its replica closes when it likes: before its first
// reply the replica has named no limit for idle connections.
#[tokio::test]
async fn unused_connection_closed() {
    let (pool, address) = (Pool::default(), replica().await);
    pool.put(address, Connection::open(address, CONNECT_TIMEOUT).await.unwrap());
    assert!(pool.take(address).is_none());
}
