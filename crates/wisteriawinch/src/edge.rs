//! The HTTP interface towards callers and operators.

pub mod generation;
pub mod operator;
pub mod plain;

use std::convert::Infallible;

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use warp::{
    Filter, Rejection, Reply,
    filters::path::FullPath,
    http::{HeaderMap, Method, StatusCode},
    reply::Response,
};
use winch_config::object::Team;

use crate::{
    counter,
    generate::{http::Http, job::Refusal},
    prelude::*,
};

/// What one request brings along.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The query, empty if there is none.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// One header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The bearer token.
    pub fn bearer(&self) -> Option<&str> {
        self.header("authorization")?.strip_prefix("Bearer ")
    }
}

/// State of the edge.
#[derive(Clone, Debug)]
pub struct Edge {
    /// The daemon's state.
    pub fleet: Arc<Fleet>,
    /// Client of engines.
    pub engine: Http,
}

impl Edge {
    /// An edge over the daemon's state.
    pub fn new(fleet: Arc<Fleet>) -> Self {
        let engine = Http::new(fleet.client.clone(), fleet.work.clone());
        Self { fleet, engine }
    }

    /// The whole HTTP interface.
    pub fn filter(
        self,
    ) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone + Send + Sync + 'static
    {
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
                edge.answer(Request { method, path, query, headers, body }).await
            })
            .recover(reject)
    }

    async fn answer(&self, request: Request) -> Response {
        match request.path.as_str() {
            "/health" => StatusCode::OK.into_response(),
            "/ready" => self.ready(),
            path if path.starts_with("/admin/") || path == "/metrics" => {
                operator::answer(self, request).await
            }
            path if path.starts_with("/v1/") => generation::answer(self, request).await,
            _ => plain::answer(self, request).await,
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

    /// Checks that the daemon serves, and finds the caller's team.
    ///
    /// # Errors
    /// The code and message for the caller.
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

/// A counted refusal.
pub fn refuse(code: Code, message: &str) -> Response {
    counter::refused(code);
    code.response_after(message, code.retry().then_some(1))
}

/// Reads a body into memory, up to a limit.
///
/// What goes beyond it is read and dropped for a while, so that the caller sees
/// the refusal rather than a broken connection.
async fn collect<S, B>(body: S, limit: usize) -> Result<Bytes, Refusal>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    const PATIENCE: usize = 4;
    let mut body = std::pin::pin!(body);
    let (mut kept, mut length) = (BytesMut::new(), 0);
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|e| (Code::BadRequest, e.to_string()))?;
        length += chunk.remaining();
        if length > limit.saturating_mul(PATIENCE) {
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

async fn reject(_: Rejection) -> Result<Response, Infallible> {
    Ok(refuse(Code::BadRequest, "the request cannot be read"))
}
