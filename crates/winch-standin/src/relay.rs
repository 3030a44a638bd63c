//! A naive pass-through: one upstream after the other, bytes as they come.
//!
//! The baseline of the path's cost. It translates the engine's lines into
//! events, and does nothing about limits, losses or resumes.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::{Buf, Bytes, BytesMut};
use futures_util::stream;
use reqwest::{Client, Response};
use serde::Deserialize;
use warp::{Filter, Reply, http::StatusCode, reply};

/// Where the relay sends its calls.
#[derive(Clone, Debug)]
pub struct Relay {
    engines: Arc<[SocketAddr]>,
    version: Arc<str>,
    next: Arc<AtomicUsize>,
    client: Client,
}

#[derive(Deserialize)]
struct Body {
    prompt: String,
    max_tokens: usize,
}

#[derive(Deserialize)]
struct Line {
    t: Option<String>,
    end: Option<usize>,
}

impl Relay {
    /// A relay to `engines` that run `version`.
    ///
    /// # Panics
    /// If the HTTP library cannot be set up, which needs no outside resource.
    pub fn new(engines: Vec<SocketAddr>, version: &str) -> Self {
        let client = Client::builder().no_proxy().tcp_nodelay(true).build();
        Self {
            engines: engines.into(),
            version: version.into(),
            next: Arc::default(),
            client: client.expect("a client without TLS always builds"),
        }
    }

    /// The HTTP interface: `POST /v1/completions`, streamed.
    pub fn filter(self) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone {
        let relay = warp::any().map(move || self.clone());
        warp::path!("v1" / "completions")
            .and(warp::post())
            .and(relay)
            .and(warp::body::json())
            .then(|relay: Self, body: Body| async move { relay.pass(body).await })
    }

    async fn pass(&self, body: Body) -> reply::Response {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let engine = self.engines[turn % self.engines.len()];
        let request = serde_json::json!({
            "request": format!("{:x}", rand::random::<u64>()), "prompt": body.prompt,
            "accepted": [], "max_tokens": body.max_tokens, "priority": 3, "version": *self.version,
        });
        let sent = self.client.post(format!("http://{engine}/generate")).json(&request).send();
        match sent.await {
            Ok(response) => reply::stream(events(response)).into_response(),
            Err(_) => StatusCode::BAD_GATEWAY.into_response(),
        }
    }
}

fn events(
    response: Response,
) -> impl futures_util::Stream<Item = Result<Bytes, Infallible>> + Send + Sync + 'static {
    let (sender, mut receiver) = tokio::sync::mpsc::channel(2);
    tokio::spawn(pump(response, sender));
    stream::poll_fn(move |cx| receiver.poll_recv(cx))
}

async fn pump(
    mut response: Response,
    sender: tokio::sync::mpsc::Sender<Result<Bytes, Infallible>>,
) {
    let mut buffer = BytesMut::new();
    while let Ok(Some(chunk)) = response.chunk().await {
        buffer.extend_from_slice(&chunk);
        let mut out = String::new();
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Option<Line> = serde_json::from_slice(&buffer[..end]).ok();
            buffer.advance(end + 1);
            if let Some(text) = line.as_ref().and_then(|line| line.t.as_ref()) {
                out += &format!("data: {{\"choices\":[{{\"text\":\"{text}\"}}]}}\n\n");
            }
            if line.is_some_and(|line| line.end.is_some()) {
                out += "data: [DONE]\n\n";
            }
        }
        if !out.is_empty() && sender.send(Ok(out.into())).await.is_err() {
            return;
        }
    }
}
