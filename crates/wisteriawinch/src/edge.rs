//! The HTTP interface for callers and operators.
//!
//! Reads a request with its complete body, and passes it to [`generation`], [`plain`] or
//! [`operator`] by its path.

pub mod generation;
pub mod operator;
pub mod plain;

use std::convert::Infallible;

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use warp::{
    Filter, Rejection, Reply,
    filters::path::FullPath,
    http::{HeaderMap, HeaderValue, Method, StatusCode},
    reply::Response,
};
use winch_config::object::Team;

use crate::{
    counter,
    generate::{http::Http, job::Refusal},
    prelude::*,
};

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The query, empty if there is none.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// Returns a header's value; `None` if it is absent or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the bearer token of the `authorization` header.
    pub fn bearer(&self) -> Option<&str> {
        self.header("authorization")?.strip_prefix("Bearer ")
    }
}

/// State of the HTTP interface.
#[derive(Clone, Debug)]
pub struct Edge {
    /// The daemon's state.
    pub fleet: Arc<Fleet>,
    /// HTTP client of engines.
    pub engine: Http,
}

impl Edge {
    /// Makes the interface of a daemon.
    pub fn new(fleet: Arc<Fleet>) -> Self {
        let engine = Http::new(fleet.client.clone(), fleet.work.clone());
        Self { fleet, engine }
    }

    /// Returns the filter that serves all paths.
    pub fn filter(
        self,
    ) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone + Send + Sync + 'static
    {
        let fleet = self.fleet.clone();
        let edge = warp::any().map(move || self.clone());
        let query = warp::query::raw().or(warp::any().map(String::new)).unify();
        warp::method()
            .and(warp::path::full())
            .and(query)
            .and(warp::header::headers_cloned())
            .and(warp::body::stream())
            .and(edge)
            .then(|method, path: FullPath, query, headers, body, edge: Self| async move {
                let limit = edge.fleet.settings.max_body as usize;
                let body = match collect(body, limit).await {
                    Ok(body) => body,
                    Err((code, message)) => return refuse(code, &message),
                };
                let path = path.as_str().to_owned();
                edge.handle(Request { method, path, query, headers, body }).await
            })
            .recover(reject)
            .map(move |reply| announce_close(&fleet, reply))
    }

    async fn handle(&self, request: Request) -> Response {
        match request.path.as_str() {
            "/health" => StatusCode::OK.into_response(),
            "/ready" => self.ready(),
            path if path.starts_with("/admin/") || path == "/metrics" => {
                operator::handle(self, request).await
            }
            path if path.starts_with("/v1/") => generation::handle(self, request).await,
            _ => plain::handle(self, request).await,
        }
    }

    fn ready(&self) -> Response {
        let ready = self.fleet.ready.load(std::sync::atomic::Ordering::Relaxed);
        if self.fleet.is_stopping() {
            Code::Stopping.response("the daemon is stopping")
        } else if ready {
            StatusCode::OK.into_response()
        } else {
            Code::NotReady.response("the daemon has no configuration yet")
        }
    }

    /// Checks that the daemon serves requests, and returns the caller's team.
    ///
    /// # Errors
    /// Returns the code and the message for the caller.
    pub fn admit_team(&self, request: &Request) -> Result<Arc<Team>, Refusal> {
        if self.fleet.is_stopping() {
            return Err((Code::Stopping, "the daemon is stopping".to_owned()));
        }
        let snapshot = self.fleet.snapshot.load();
        if snapshot.revision() == 0 {
            return Err((Code::NotReady, "the daemon has no configuration yet".to_owned()));
        }
        let team = request.bearer().and_then(|key| snapshot.team(key)).cloned();
        team.ok_or_else(|| (Code::Unauthorized, "the API key is not known".to_owned()))
    }
}

/// Counts a refusal and returns its response, with `Retry-After: 1` if the caller should
/// retry.
pub fn refuse(code: Code, message: &str) -> Response {
    counter::refused(code);
    code.response_after(message, code.retry().then_some(1))
}

/// Reads a body of up to `limit` bytes into memory.
///
/// The rest of a larger body is read and discarded, up to a multiple of the limit, so
/// that the caller receives the refusal instead of a broken connection.
async fn collect<S, B>(body: S, limit: usize) -> Result<Bytes, Refusal>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    const DISCARD_FACTOR: usize = 4;
    let mut body = std::pin::pin!(body);
    let (mut kept, mut length) = (BytesMut::new(), 0);
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|e| (Code::BadRequest, e.to_string()))?;
        length += chunk.remaining();
        if length > limit.saturating_mul(DISCARD_FACTOR) {
            break;
        }
        if length <= limit {
            kept.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
        }
    }
    if length > limit {
        return Err((Code::TooLarge, format!("a body has at most {limit} bytes")));
    }
    Ok(kept.freeze())
}

/// States in the replies of a stopping daemon that it closes their connections, so that callers
/// send no request that crosses the close.
fn announce_close(fleet: &Fleet, reply: impl Reply) -> Response {
    let mut response = reply.into_response();
    if fleet.is_stopping() {
        response.headers_mut().insert("connection", HeaderValue::from_static("close"));
    }
    response
}

async fn reject(_: Rejection) -> Result<Response, Infallible> {
    Ok(refuse(Code::BadRequest, "the request cannot be read"))
}
