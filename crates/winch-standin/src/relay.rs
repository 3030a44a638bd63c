//! A minimal proxy, the baseline for the cost of the request path; unrelated to winch-relay.
//!
//! It sends each request to the next engine in turn and translates the lines of
//! the response into events, without limits, retries or resumes.

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

/// A proxy for a fixed list of engines.
#[derive(Clone, Debug)]
pub struct Relay {
    engines: Arc<[SocketAddr]>,
    version: Arc<str>,
    next_turn: Arc<AtomicUsize>,
    client: Client,
}

/// Body of a request; other fields are ignored.
#[derive(Deserialize)]
struct Body {
    prompt: String,
    max_tokens: usize,
}

/// Line of an engine's response: a token, the end marker, or a load report without both.
#[derive(Deserialize)]
struct Line {
    t: Option<String>,
    end: Option<usize>,
}

impl Relay {
    /// Creates a proxy for `engines`, which run `version`.
    ///
    /// # Panics
    /// If the HTTP client can't be built; building it needs no external resource.
    pub fn new(engines: Vec<SocketAddr>, version: &str) -> Self {
        let client = Client::builder().no_proxy().tcp_nodelay(true).build();
        Self {
            engines: engines.into(),
            version: version.into(),
            next_turn: Arc::default(),
            client: client.expect("a client without TLS always builds"),
        }
    }

    /// Returns the HTTP interface: `POST /v1/completions`, always streamed.
    pub fn filter(self) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone {
        let relay = warp::any().map(move || self.clone());
        warp::path!("v1" / "completions")
            .and(warp::post())
            .and(relay)
            .and(warp::body::json())
            .then(|relay: Self, body: Body| async move { relay.forward(body).await })
    }

    async fn forward(&self, body: Body) -> reply::Response {
        let turn = self.next_turn.fetch_add(1, Ordering::Relaxed);
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

/// Returns the events of an engine's response.
fn events(
    response: Response,
) -> impl futures_util::Stream<Item = Result<Bytes, Infallible>> + Send + Sync + 'static {
    let (sender, mut receiver) = tokio::sync::mpsc::channel(2);
    tokio::spawn(translate(response, sender));
    stream::poll_fn(move |cx| receiver.poll_recv(cx))
}

/// Translates the lines of an engine's response into events until one side closes.
async fn translate(
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
