//! Calls of plain services: orders at most once, lookups with retries.

use std::{future, net::SocketAddr};

use reqwest::{Client, RequestBuilder};
use tokio::time::{Instant, sleep, timeout_at};
use warp::{
    Reply,
    http::{HeaderName, HeaderValue, StatusCode},
    reply::Response,
};
use winch_config::object::{Service, Team};
use winch_order::{
    body_digest,
    claim::{self, Claim, claim},
    record::{State, StoredReply},
    settle::{self, settle},
};
use winch_route::{
    admission::Arrival, candidate::Finish, pool::Key, router::Call, urgency::Urgency,
};

use super::{Edge, Request, refuse};
use crate::{counter, emit, generate::admit::admit, prelude::*};

/// Seconds after which a claim whose daemon fell silent is taken as unknown.
const PENDING_LIMIT: u64 = 60;
/// Time that recording an outcome may delay its caller.
const SETTLE_WAIT: Duration = Duration::from_millis(250);
/// Time that recording an outcome is tried for.
const SETTLE_LIMIT: Duration = Duration::from_secs(3_600);
/// Pause between tries to record an outcome.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);
/// Attempts of a lookup.
const LOOKUP_ATTEMPTS: usize = 3;
/// How long an upstream's late answer to an order is still waited for.
const LATE_ANSWER: Duration = Duration::from_secs(60);

/// What became of one call to one upstream.
#[derive(Debug)]
enum Sent {
    /// The upstream answered.
    Answered(StoredReply),
    /// Not one byte was sent.
    Unsent,
    /// It may have run.
    Unknown,
}

/// Answers a call of a plain service.
pub async fn answer(edge: &Edge, request: Request) -> Response {
    counter::request("service");
    let team = match edge.admit_team(&request) {
        Ok(team) => team,
        Err((code, message)) => return refuse(code, &message),
    };
    let Some(service) = edge.fleet.view.load().service(&request.path).cloned() else {
        return refuse(Code::NoRoute, "no route serves this path");
    };
    let call = Plain { edge: edge.clone(), service, team, request };
    let idempotent = call.service.idempotent.iter().any(|m| **m == *call.request.method.as_str());
    // An order goes on when its caller leaves, so that its outcome is recorded.
    let task = edge
        .fleet
        .work
        .spawn(async move { if idempotent { call.look_up().await } else { call.order().await } });
    match task.await {
        Ok(Ok(kept)) => respond(kept),
        Ok(Err(code)) => refuse(code, &code.name().replace('_', " ")),
        Err(_) => refuse(Code::OutcomeUnknown, "the call was cut short"),
    }
}

struct Plain {
    edge: Edge,
    service: Arc<Service>,
    team: Arc<Team>,
    request: Request,
}

impl Plain {
    fn timeout(&self) -> Duration {
        Duration::from_millis(self.service.timeout_ms)
    }

    async fn look_up(&self) -> Result<StoredReply, Code> {
        let deadline = Instant::now() + self.timeout();
        let fleet = &self.edge.fleet;
        let mut tried = Vec::new();
        for attempt in 0..LOOKUP_ATTEMPTS {
            if attempt > 0 && !fleet.routing().router.spend_retry(&self.service.name) {
                break;
            }
            let key = self.place(&tried).await?;
            let sent = timeout_at(deadline, self.send(&fleet.client, key)).await;
            let sent = sent.unwrap_or(Sent::Unknown);
            fleet.finish(key, finish(&sent));
            match sent {
                Sent::Answered(kept) if kept.status < 500 => return Ok(kept),
                Sent::Answered(_) => counter::retried("lookup_failed"),
                Sent::Unsent => counter::retried("lookup_unreachable"),
                Sent::Unknown => counter::retried("lookup_broken"),
            }
            tried.push(key);
            if Instant::now() >= deadline {
                break;
            }
        }
        Err(Code::UpstreamFailed)
    }

    async fn order(&self) -> Result<StoredReply, Code> {
        match self.request.header("idempotency-key").map(str::to_owned) {
            Some(key) => self.keyed_order(key).await,
            None => self.run_order(None).await,
        }
    }

    async fn keyed_order(&self, key: String) -> Result<StoredReply, Code> {
        const LONGEST_KEY: usize = 255;
        if key.is_empty() || key.len() > LONGEST_KEY || key.contains('/') {
            return Err(Code::BadRequest);
        }
        let fleet = &self.edge.fleet;
        let path = format!("{}?{}", self.request.path, self.request.query);
        let options = claim::Request {
            team: self.team.name.clone(),
            key,
            digest: body_digest(self.request.method.as_str(), &path, &self.request.body),
            nonce: rand::random(),
            daemon: fleet.incarnation.clone(),
            now: unix_now(),
            pending_limit: PENDING_LIMIT + self.service.timeout_ms / 1_000,
        };
        match claim(&fleet.platform, &options).await {
            Ok(claim::Outcome::Claimed(claim)) => self.run_order(Some(claim)).await,
            Ok(claim::Outcome::Done(kept)) => Ok(kept),
            Ok(claim::Outcome::InProgress) => Err(Code::InProgress),
            Ok(claim::Outcome::Unknown) => Err(Code::OutcomeUnknown),
            Err(claim::Error::Mismatch) => Err(Code::KeyMismatch),
            Err(claim::Error::Table { .. }) if self.service.dedupes => self.run_order(None).await,
            Err(_) => Err(Code::LedgerUnavailable),
        }
    }

    /// Sends an order once, and again only where not one byte was sent.
    async fn run_order(&self, claim: Option<Claim>) -> Result<StoredReply, Code> {
        let fleet = &self.edge.fleet;
        let mut tried = Vec::new();
        loop {
            let key = match self.place(&tried).await {
                Ok(key) => key,
                Err(code) => {
                    self.settle(claim, State::NotRun).await;
                    return Err(code);
                }
            };
            match self.send_order(key, &claim).await {
                Sent::Answered(kept) => {
                    self.settle(claim, State::Done(kept.clone())).await;
                    return Ok(kept);
                }
                Sent::Unknown => {
                    emit!(Event::OrderUnknown, team = self.team.name, path = self.request.path);
                    return Err(Code::OutcomeUnknown);
                }
                Sent::Unsent if fleet.routing().router.spend_retry(&self.service.name) => {
                    counter::retried("order_not_sent");
                    tried.push(key);
                }
                Sent::Unsent => {
                    self.settle(claim, State::NotRun).await;
                    return Err(Code::NoUpstream);
                }
            }
        }
    }

    /// Sends an order and keeps listening for a late answer after its timeout.
    async fn send_order(&self, key: Key, claim: &Option<Claim>) -> Sent {
        let fleet = self.edge.fleet.clone();
        let Some(request) = self.build(&fleet.once, key) else {
            fleet.finish(key, Finish::Cancelled);
            return Sent::Unsent;
        };
        let mut call = Box::pin(perform(request));
        let sent = tokio::time::timeout(self.timeout(), &mut call).await;
        if let Ok(sent) = sent {
            fleet.finish(key, finish(&sent));
            if let (Sent::Unknown, Some(claim)) = (&sent, claim.clone()) {
                record(&fleet, claim, State::Unknown);
            }
            return sent;
        }
        let claim = claim.clone();
        self.edge.fleet.work.spawn(async move {
            let late = tokio::time::timeout(LATE_ANSWER, call).await.unwrap_or(Sent::Unknown);
            fleet.finish(key, Finish::Failed);
            let state = match late {
                Sent::Answered(kept) => State::Done(kept),
                Sent::Unsent => State::NotRun,
                Sent::Unknown => State::Unknown,
            };
            if let Some(claim) = claim {
                record(&fleet, claim, state);
            }
        });
        Sent::Unknown
    }

    /// Waits for an upstream's room.
    async fn place(&self, tried: &[Key]) -> Result<Key, Code> {
        let fleet = &self.edge.fleet;
        let urgency = Urgency::Immediate;
        let call = Call {
            runs: self.service.name.clone(),
            prefix: rand::random(),
            prefill_tokens: 0,
            move_subset: None,
            arrival: Arrival {
                team: self.team.name.clone(),
                weight: self.team.weight,
                urgency,
                wait: fleet.urgency.wait(urgency),
            },
        };
        if !tried.is_empty() {
            let again = fleet.routing().router.reassign(&call, tried, fleet.now());
            return again.map_err(|_| Code::NoUpstream);
        }
        admit(fleet, call, future::pending()).await.map_err(|error| error.code())
    }

    async fn send(&self, client: &Client, key: Key) -> Sent {
        match self.build(client, key) {
            Some(request) => perform(request).await,
            None => Sent::Unsent,
        }
    }

    fn build(&self, client: &Client, key: Key) -> Option<RequestBuilder> {
        let target: SocketAddr = self.edge.fleet.address(key)?;
        let Request { method, path, query, headers, body } = &self.request;
        let mark = if query.is_empty() { "" } else { "?" };
        let url = format!("http://{target}{path}{mark}{query}");
        let mut request = client.request(method.clone(), url).body(body.clone());
        for (name, value) in headers.iter().filter(|(name, _)| is_passed_on(name)) {
            request = request.header(name, value);
        }
        Some(request)
    }

    /// Records an outcome; delays the caller only a little.
    async fn settle(&self, claim: Option<Claim>, state: State) {
        if let Some(claim) = claim {
            let recorded = record(&self.edge.fleet, claim, state);
            let _ = tokio::time::timeout(SETTLE_WAIT, recorded).await;
        }
    }
}

/// Records an outcome in a task of its own, for as long as the table is out.
fn record(fleet: &Arc<Fleet>, claim: Claim, state: State) -> tokio::task::JoinHandle<()> {
    let shared = fleet.clone();
    fleet.work.spawn(async move {
        let started = Instant::now();
        let mut told = false;
        while let Err(error) = settle(&shared.platform, &claim, state.clone()).await {
            if !std::mem::replace(&mut told, true) {
                emit!(Event::SettleDelayed, reason = settle::Error::to_string(&error));
            }
            if started.elapsed() > SETTLE_LIMIT {
                return;
            }
            sleep(SETTLE_PAUSE).await;
        }
    })
}

async fn perform(request: RequestBuilder) -> Sent {
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() || error.is_builder() => return Sent::Unsent,
        Err(_) => return Sent::Unknown,
    };
    let status = response.status().as_u16();
    let content_type = response.headers().get("content-type").and_then(|v| v.to_str().ok());
    let content_type = content_type.unwrap_or_default().to_owned();
    match response.bytes().await {
        Ok(body) => Sent::Answered(StoredReply { status, content_type, body: body.to_vec() }),
        Err(_) => Sent::Unknown,
    }
}

fn finish(sent: &Sent) -> Finish {
    match sent {
        Sent::Answered(kept) if kept.status >= 500 => Finish::Failed,
        Sent::Answered(_) => Finish::Completed,
        Sent::Unsent => Finish::Unreachable,
        Sent::Unknown => Finish::Failed,
    }
}

/// Headers of the caller that the upstream gets too.
fn is_passed_on(name: &HeaderName) -> bool {
    const KEPT: [&str; 5] =
        ["content-type", "accept", "accept-language", "idempotency-key", "user-agent"];
    KEPT.contains(&name.as_str()) || name.as_str().starts_with("x-")
}

fn respond(kept: StoredReply) -> Response {
    let mut response = kept.body.into_response();
    *response.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::BAD_GATEWAY);
    response.headers_mut().remove("content-type");
    if let Ok(value) = HeaderValue::from_str(&kept.content_type)
        && !kept.content_type.is_empty()
    {
        response.headers_mut().insert("content-type", value);
    }
    response
}
