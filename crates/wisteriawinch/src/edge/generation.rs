//! Generation requests: `POST /v1/completions` and `POST /v1/chat/completions`.

use futures_util::stream;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use warp::{
    Reply,
    http::{HeaderValue, Method},
    reply::{self, Response},
};

use super::{Edge, Request, refuse};
use crate::{
    counter,
    generate::{
        drive::Driver,
        job::Job,
        output::{Chunk, Output},
    },
    prelude::*,
};

/// Handles a request under `/v1/`: starts the generation and returns its answer, as an event
/// stream or complete, or the refusal.
pub async fn handle(edge: &Edge, request: Request) -> Response {
    let is_chat = match (request.method.clone(), request.path.as_str()) {
        (Method::POST, "/v1/completions") => false,
        (Method::POST, "/v1/chat/completions") => true,
        _ => return refuse(Code::NoRoute, "use POST /v1/completions or /v1/chat/completions"),
    };
    counter::request("generation");
    let team = match edge.admit_team(&request) {
        Ok(team) => team,
        Err((code, message)) => return refuse(code, &message),
    };
    let last_event_id = request.header("last-event-id");
    match Job::parse(&request.body, is_chat, team, last_event_id, &edge.fleet.cursor_key) {
        Ok(job) => start(edge, job).await,
        Err((code, message)) => refuse(code, &message),
    }
}

async fn start(edge: &Edge, job: Job) -> Response {
    let Some(assignment) = edge.fleet.assign(&job.model, job.request) else {
        return refuse(Code::UnknownModel, "no route serves this model");
    };
    let is_streamed = job.stream;
    let (output, head, chunks) = Output::new(job.request, job.chat);
    let driver = Driver::new(edge.fleet.clone(), edge.engine.clone(), job, output, assignment);
    edge.fleet.work.spawn(driver.run());
    match head.await {
        Ok(Ok(())) if is_streamed => event_stream(chunks),
        Ok(Ok(())) => complete_body(chunks).await,
        Ok(Err((code, message))) => code.response_after(&message, code.retry().then_some(1)),
        Err(_) => Code::GenerationFailed.response("the answer was given up"),
    }
}

fn event_stream(mut chunks: mpsc::Receiver<Chunk>) -> Response {
    let body = stream::poll_fn(move |cx| chunks.poll_recv(cx));
    let mut response = reply::stream(body).into_response();
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", HeaderValue::from_static("no-cache"));
    response
}

async fn complete_body(mut chunks: mpsc::Receiver<Chunk>) -> Response {
    let body = reply::stream(stream::poll_fn(move |cx| chunks.poll_recv(cx))).into_response();
    let Ok(body) = body.into_body().collect().await else {
        return Code::GenerationFailed.response("the answer was given up");
    };
    let body = body.to_bytes().to_vec();
    reply::with_header(body, "content-type", "application/json").into_response()
}
