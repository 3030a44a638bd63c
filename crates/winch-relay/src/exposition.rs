//! Exposes the metrics over HTTP, in the Prometheus text format.

use std::convert::Infallible;

use http::{HeaderMap, HeaderValue, StatusCode, header};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpListener,
    task::JoinSet,
    time::{sleep, timeout},
};
use winch_http::server::Reader;

use crate::{counter, listen, prelude::*, respond::Responder};

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS: [f64; 12] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 25.0];
/// Interval at which the samples of the histograms are summed up.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest accepted head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Installs the process-wide metrics recorder.
///
/// Returns `None` if one is already installed, as in tests with several daemons.
pub fn install_recorder() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new().set_buckets(&BUCKETS).ok()?;
    builder.install_recorder().ok()
}

/// Installs the recorder and serves the metrics on `listener`, for as long as the daemon runs.
pub async fn run(listener: TcpListener) {
    let Some(handle) = install_recorder() else { return };
    let mut tasks = JoinSet::new();
    tasks.spawn(keep_up(handle.clone()));
    loop {
        let stream = listen::accept(&listener).await;
        while tasks.try_join_next().is_some() {}
        let (read, write) = stream.into_split();
        let handle = handle.clone();
        tasks.spawn(async move {
            let answer = |_: &winch_http::head::Request| (StatusCode::OK, render(&handle));
            serve(read, write, answer).await;
        });
    }
}

/// Sums up the samples of the histograms, of which the recorder else keeps each until the metrics are
/// fetched, which may be never.
async fn keep_up(handle: PrometheusHandle) {
    loop {
        sleep(UPKEEP_INTERVAL).await;
        handle.run_upkeep();
    }
}

/// Serves one connection: answers each request with the status and body from `answer`.
///
/// Returns when the connection is closed, idle for too long or broken, always with `None`.
pub async fn serve<R, W, A>(read: R, write: W, mut answer: A) -> Option<Infallible>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
    A: FnMut(&winch_http::head::Request) -> (StatusCode, String),
{
    let (mut reader, mut out) = (Reader::new(read), Responder::new(write));
    loop {
        let request = timeout(IDLE_TIMEOUT, reader.head(MAX_HEAD_BYTES)).await.ok()?.ok()?;
        out.begin_reply(&request, None);
        let (status, body) = answer(&request);
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        out.send_reply(status, headers, body.as_bytes()).await.ok()?;
        if !out.keeps_alive() {
            return None;
        }
    }
}

/// All metrics as text, with the counts of lost log lines as they are now.
pub fn render(handle: &PrometheusHandle) -> String {
    counter::log_losses();
    handle.render()
}
