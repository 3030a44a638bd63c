//! A client connection matches replies to requests and detects whether it can be reused.

use std::{net::SocketAddr, time::Duration};

use assert_matches::assert_matches;
use http::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use winch_http::{
    Fault,
    client::{Connection, Error, Matcher},
    head::Reply,
};

/// Matches replies that are not marked as old.
struct NotOld;

impl Matcher for NotOld {
    fn matches(&self, reply: &Reply, _: bool) -> bool {
        !reply.headers.contains_key("x-old")
    }
}

const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a server that reads part of a request and writes `text`. It then closes the
/// connection if `closes` is true, or else reads until the client closes it.
async fn server(text: &'static str, closes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 1_000];
        let length = stream.read(&mut bytes).await.unwrap();
        assert!(length > 0, "the client sends a request");
        stream.write_all(text.as_bytes()).await.unwrap();
        while !closes && stream.read(&mut bytes).await.is_ok_and(|length| length > 0) {}
    });
    address
}

async fn exchange(text: &'static str, closes: bool) -> (Connection, Result<String, Error>) {
    let mut connection =
        Connection::open(server(text, closes).await, CONNECT_TIMEOUT).await.unwrap();
    let request = b"GET / HTTP/1.1\r\n\r\n";
    let body = match connection.exchange(&Method::GET, request, &NotOld).await {
        Ok(_) => connection.body(1_000).await,
        Err(error) => Err(error),
    };
    let text = body.map(|body| String::from_utf8(body.to_vec()).unwrap());
    (connection, text)
}

#[tokio::test]
async fn complete_reply_reusable() {
    let (connection, body) = exchange("HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nab", false).await;
    assert_eq!(body.unwrap(), "ab");
    assert!(connection.is_reusable());
}

#[tokio::test]
async fn announced_close_not_reusable() {
    let text = "HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab";
    let (connection, body) = exchange(text, false).await;
    assert_eq!(body.unwrap(), "ab");
    assert!(!connection.is_reusable());
}

#[tokio::test]
async fn extra_bytes_not_reusable() {
    let text = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 X\r\n";
    let (connection, body) = exchange(text, false).await;
    assert_eq!(body.unwrap(), "ab");
    assert!(!connection.is_reusable());
}

// Guards against an idle limit that is beyond all times of the clock.
#[tokio::test]
async fn huge_idle_limit_bounded() {
    let text = "HTTP/1.1 200 X\r\nKeep-Alive: timeout=18446744073709551615\r\n\
                Content-Length: 2\r\n\r\nab";
    let (mut connection, body) = exchange(text, false).await;
    assert_eq!(body.unwrap(), "ab");
    connection.start_idle();
    assert!(connection.is_usable());
}

#[tokio::test]
async fn unaccepted_reply_skipped() {
    let text = "HTTP/1.1 200 X\r\nX-Old: 1\r\nContent-Length: 3\r\n\r\nold\
                HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nnew";
    let (connection, body) = exchange(text, false).await;
    assert_eq!(body.unwrap(), "new");
    assert!(connection.is_reusable());
}

#[tokio::test]
async fn short_body_broken() {
    let (_, body) = exchange("HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nab", true).await;
    assert_matches!(body, Err(Error::Broken { .. }));
    let (_, body) =
        exchange("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", true).await;
    assert_matches!(body, Err(Error::Broken { .. }));
}

#[tokio::test]
async fn refused_connection_sends_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_matches!(Connection::open(address, CONNECT_TIMEOUT).await, Err(Error::Connect { .. }));
}

/// Starts a server that writes `head` and then `repeated` until the client closes the
/// connection, and returns why an exchange with it fails.
async fn endless(head: &'static str, repeated: &'static str) -> Error {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut written = stream.write_all(head.as_bytes()).await;
        while written.is_ok() {
            written = stream.write_all(repeated.as_bytes()).await;
        }
    });
    let mut connection = Connection::open(address, CONNECT_TIMEOUT).await.unwrap();
    let request = b"GET / HTTP/1.1\r\n\r\n";
    let result = match connection.exchange(&Method::GET, request, &NotOld).await {
        Ok(_) => connection.body(100_000).await.map(drop),
        Err(error) => Err(error),
    };
    drop(connection);
    server.await.expect("the server ends with the connection");
    result.expect_err("there is no end")
}

#[tokio::test]
async fn endless_bytes_end() {
    let ok = "HTTP/1.1 200 X\r\n";
    let cases = [
        ("\u{1}\u{2}", "\u{1}\u{2}\u{3}\u{4}", Fault::Malformed),
        (ok, "X-Field: 0123456789\r\n", Fault::HeadTooLarge),
        (ok, "X", Fault::HeadTooLarge),
        ("", "HTTP/1.1 100 Continue\r\n\r\n", Fault::TooManyReplies),
        ("", "HTTP/1.1 200 X\r\nX-Old: 1\r\nContent-Length: 1\r\n\r\na", Fault::TooManyReplies),
        (
            "HTTP/1.1 200 X\r\nX-Old: 1\r\nContent-Length: 999999999\r\n\r\n",
            "0123456789",
            Fault::BodyTooLarge,
        ),
        ("HTTP/1.1 200 X\r\nContent-Length: 999999999\r\n\r\n", "0123456789", Fault::BodyTooLarge),
        ("HTTP/1.1 200 X\r\n\r\n", "0123456789", Fault::BodyTooLarge),
        (
            "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "X-Trailer: 0123456789\r\n",
            Fault::Malformed,
        ),
        ("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1;", "extension", Fault::Malformed),
    ];
    for (head, repeated, expected) in cases {
        let error = endless(head, repeated).await;
        assert_matches!(error, Error::Unacceptable { source } if source == expected, "{repeated}");
    }
}

// Guards against an idle time that starts when a slow reader takes the end of a reply, although it
// arrived long before: the server counts from when it sent the end.
#[tokio::test]
async fn idle_since_arrival() {
    let text = "HTTP/1.1 200 X\r\nKeep-Alive: timeout=1\r\nTransfer-Encoding: chunked\r\n\r\n\
                2\r\nab\r\n0\r\n\r\n";
    let address = server(text, false).await;
    let mut connection = Connection::open(address, CONNECT_TIMEOUT).await.unwrap();
    let request = b"GET / HTTP/1.1\r\n\r\n";
    connection.exchange(&Method::GET, request, &NotOld).await.unwrap();
    assert_eq!(connection.chunk().await.unwrap().unwrap(), "ab");
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(connection.chunk().await.unwrap().is_none());
    connection.start_idle();
    assert!(!connection.is_usable(), "the stated limit less the margin has passed");
}

// Guards against the same if the end of the reply had arrived, but was not read yet.
#[tokio::test]
async fn idle_since_unread_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 1_000];
        let head = b"HTTP/1.1 200 X\r\nKeep-Alive: timeout=1\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head).await.unwrap();
        stream.write_all(b"2\r\nab\r\n").await.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        stream.write_all(b"0\r\n\r\n").await.unwrap();
        while stream.read(&mut bytes).await.is_ok_and(|length| length > 0) {}
    });
    let mut connection = Connection::open(address, CONNECT_TIMEOUT).await.unwrap();
    let request = b"GET / HTTP/1.1\r\n\r\n";
    connection.exchange(&Method::GET, request, &NotOld).await.unwrap();
    assert_eq!(connection.chunk().await.unwrap().unwrap(), "ab");
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert!(connection.chunk().await.unwrap().is_none());
    connection.start_idle();
    assert!(!connection.is_usable(), "the stated limit less the margin has passed");
}

/// How a connection ends for a server that has sent `reply`, after its client has read it or, if
/// `waits` is false, has given it up.
async fn end_after(reply: &'static str, waits: bool, resets: bool) -> std::io::Result<usize> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut connection =
        Connection::open(listener.local_addr().unwrap(), CONNECT_TIMEOUT).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    if resets {
        connection.reset_pending();
    }
    let client = async move {
        let request = b"GET / HTTP/1.1\r\n\r\n";
        let exchange = connection.exchange(&Method::GET, request, &NotOld).await;
        if waits && exchange.is_ok() {
            connection.body(1_000).await.unwrap();
        }
    };
    let mut bytes = [0; 1_000];
    let served = async {
        assert!(server.read(&mut bytes).await.unwrap() > 0, "the client sends a request");
        server.write_all(reply.as_bytes()).await.unwrap();
    };
    tokio::join!(client, served);
    server.read(&mut bytes).await
}

// Guards against bytes of a request that was given up and arrive at the end of a partition.
#[tokio::test]
async fn given_up_request_reset() {
    let whole = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nab";
    let part = "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nab";
    assert!(end_after(part, false, true).await.is_err(), "a reset");
    assert_matches!(end_after(whole, true, true).await, Ok(0), "the reply was read");
    assert_matches!(end_after(part, false, false).await, Ok(0), "not asked for");
}
