//! What upstreams send that is no reply, as the daemon's client of upstreams reads it.

mod common;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// More than the buffers of both sockets hold.
const UPLOAD_BYTES: usize = 4 * 1024 * 1024;
/// A write or a read may meet a reset first, by chance.
const ROUNDS: usize = 40;

/// Sends a request with `length` bytes to an upstream that reads its head, replies with `text` and closes
/// the connection. Returns the body of the reply, if the client takes it for whole.
async fn post(text: &str, length: usize) -> Option<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/generate", listener.local_addr().unwrap());
    let upstream = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        stream.write_all(text.as_bytes()).await.unwrap();
    };
    let call = async {
        let response = common::idle_fleet().client.post(url).body("x".repeat(length)).send().await;
        response.ok()?.text().await.ok()
    };
    tokio::join!(upstream, call).1
}

// Guards against a part of a reply that passes for the whole, because the connection was reset while the
// call was still written.
#[tokio::test]
async fn part_is_no_reply() {
    for round in 0..ROUNDS {
        let body = post("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part", UPLOAD_BYTES).await;
        assert_eq!(body, None, "round {round}");
    }
}

// Guards against a head that is none, which passes for that of a reply.
#[tokio::test]
async fn malformed_heads_refused() {
    let heads = [
        "HTTP/1.1 000 X\r\n",
        "HTTP/1.1 099 X\r\n",
        "HTTP/1.1 2000 X\r\n",
        "HTTP/1.1 200 X\r\nX Y: 1\r\n",
        "HTTP/1.1 200 X\r\nX\u{1}Y: 1\r\n",
        "HTTP/1.1 200 X\r\nContent-Length : 1\r\n",
    ];
    let reply = |head| format!("{head}Content-Length: 2\r\n\r\nok");
    assert_eq!(post(&reply("HTTP/1.1 200 X\r\n"), 0).await.as_deref(), Some("ok"));
    for head in heads {
        assert_eq!(post(&reply(head), 0).await, None, "{head:?}");
    }
}
