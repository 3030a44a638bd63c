//! A stopping daemon closes no connection without having announced it in a reply.

mod common;

use std::time::Duration;

use common::{fleet, until};
use http::Method;
use serde_json::{Value, json};
use tokio::time::sleep;
use winch_http::client::{Connection, InOrder};

/// Largest body of a reply in these tests, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time in which a daemon notices that it is to stop.
const NOTICE_TIME: Duration = Duration::from_millis(200);
/// Time after the beginning of a stop at which the balancer no longer uses the daemon.
const BALANCER_TIME: Duration = Duration::from_millis(2_300);

/// A reply, read to its end.
struct Reply {
    status: u16,
    /// Whether it announces that its connection is closed.
    closes: bool,
    body: Vec<u8>,
}

impl Reply {
    /// Result code of a refusal; 0 of any other reply.
    fn code(&self) -> u64 {
        let body: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        body["error"]["code"].as_u64().unwrap_or(0)
    }
}

/// A caller that keeps its connection.
struct Caller(Connection);

impl Caller {
    async fn connect(url: &str) -> Self {
        let address = url.trim_start_matches("http://").parse().unwrap();
        Self(Connection::open(address, common::TIMEOUT).await.unwrap())
    }

    async fn send(&mut self, method: &Method, path: &str, body: &str) -> Reply {
        let (key, length) = (common::KEY, body.len());
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer {key}\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        );
        let reply = self.0.exchange(method, request.as_bytes(), &InOrder).await.expect("a reply");
        let closes = !reply.keeps_alive();
        let body = self.0.body(MAX_BODY_BYTES).await.expect("a complete reply").to_vec();
        Reply { status: reply.status.as_u16(), closes, body }
    }

    async fn generate(&mut self, tokens: usize) -> Reply {
        let body = json!({
            "model": "layout", "prompt": "plan", "max_tokens": tokens, "stream": true,
        });
        self.send(&Method::POST, "/v1/completions", &body.to_string()).await
    }
}

// Guards against refusals of a stopping daemon on connections that it closes a moment later.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_announces_close() {
    let (mut world, _engines) = fleet(1, 1).await;
    let mut caller = Caller::connect(world.url(0)).await;
    let before = caller.generate(2).await;
    assert_eq!((before.status, before.closes), (200, false));
    let stopping = tokio::spawn(world.daemons.remove(0).stop());
    sleep(NOTICE_TIME).await;
    let refused = caller.generate(2).await;
    assert_eq!((refused.status, refused.code(), refused.closes), (503, 116, true));
    stopping.await.unwrap();
}

// Guards against a close at the end of a stream whose head could not announce it: the caller's
// next request crossed it.
#[tokio::test(flavor = "multi_thread")]
async fn request_after_stream() {
    let (mut world, engines) = fleet(1, 1).await;
    let mut caller = Caller::connect(world.url(0)).await;
    let answer = tokio::spawn(async move {
        let answer = caller.generate(400).await;
        (caller, answer)
    });
    until("the stream is running", || async { engines[0].engine.generated_tokens() > 5 }).await;
    let stopping = tokio::spawn(world.daemons.remove(0).stop());
    sleep(BALANCER_TIME).await;
    let (mut caller, answer) = answer.await.unwrap();
    assert_eq!((answer.status, answer.closes), (200, false));
    let refused = caller.generate(2).await;
    assert_eq!((refused.status, refused.code(), refused.closes), (503, 116, true));
    stopping.await.unwrap();
}
