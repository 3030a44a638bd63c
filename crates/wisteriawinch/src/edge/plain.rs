//! Calls of plain services: orders run at most once, idempotent calls are retried.

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
    claim::{self, Claim, claim},
    record::{State, StoredReply},
    request_digest,
    settle::{self, settle},
};
use winch_route::{
    admission::Arrival, candidate::Finish, pool::Key, router::Call, urgency::Urgency,
};

use super::{Edge, Request, refuse};
use crate::{counter, emit, generate::admit::admit, prelude::*};

/// Time after which the outcome of a pending claim counts as unknown, because its daemon is
/// assumed dead. The service's timeout is added.
const PENDING_LIMIT_SECONDS: u64 = 60;
/// How long a caller waits for the outcome of its order to be recorded.
const RECORD_WAIT: Duration = Duration::from_millis(250);
/// How long recording an outcome is retried.
const RECORD_LIMIT: Duration = Duration::from_secs(3_600);
/// Backoff between attempts to record an outcome.
const RECORD_BACKOFF: Duration = Duration::from_millis(500);
/// Largest number of attempts of an idempotent call.
const IDEMPOTENT_ATTEMPTS: usize = 3;
/// How long the reply to an order is awaited after the order's timeout.
const LATE_REPLY_WAIT: Duration = Duration::from_secs(60);

/// Result of sending a call to one upstream.
#[derive(Debug)]
enum SendResult {
    /// The upstream replied.
    Replied(StoredReply),
    /// No byte was sent.
    NotSent,
    /// The call may have run.
    Unknown,
}

/// Handles a call of a plain service: finds the service by the path and returns its reply, or
/// the refusal.
pub async fn handle(edge: &Edge, request: Request) -> Response {
    counter::request("service");
    let team = match edge.admit_team(&request) {
        Ok(team) => team,
        Err((code, message)) => return refuse(code, &message),
    };
    let Some(service) = edge.fleet.snapshot.load().service(&request.path).cloned() else {
        return refuse(Code::NoRoute, "no route serves this path");
    };
    let send_deadline = Instant::now() + Duration::from_millis(service.timeout_ms);
    let call = ServiceCall { edge: edge.clone(), service, team, request, send_deadline };
    let is_idempotent =
        call.service.idempotent.iter().any(|m| **m == *call.request.method.as_str());
    // An order continues if its caller disconnects, so that its outcome is recorded.
    let task = edge.fleet.work.spawn(async move {
        if is_idempotent { call.call_idempotent().await } else { call.call_order().await }
    });
    match task.await {
        Ok(Ok(reply)) => respond(reply),
        Ok(Err(code)) => refuse(code, &code.name().replace('_', " ")),
        Err(_) => refuse(Code::OutcomeUnknown, "the call was cut short"),
    }
}

/// One call of a plain service.
struct ServiceCall {
    edge: Edge,
    service: Arc<Service>,
    team: Arc<Team>,
    request: Request,
    /// Time until which the call may be sent: its arrival plus the service's timeout.
    send_deadline: Instant,
}

impl ServiceCall {
    fn timeout(&self) -> Duration {
        Duration::from_millis(self.service.timeout_ms)
    }

    /// Sends an idempotent call, and after a failure sends it to another upstream, within the
    /// service's timeout and the retry budget.
    async fn call_idempotent(&self) -> Result<StoredReply, Code> {
        let fleet = &self.edge.fleet;
        let mut tried = Vec::new();
        let mut may_have_run = false;
        for attempt in 0..IDEMPOTENT_ATTEMPTS {
            let key = match self.choose_upstream(&tried).await {
                Ok(key) => key,
                Err(_) if may_have_run => break,
                Err(code) => return Err(code),
            };
            if attempt > 0 && !fleet.routing().router.spend_retry(&self.service.name) {
                fleet.finish(key, Finish::Cancelled);
                break;
            }
            let sent = timeout_at(self.send_deadline, self.send(&fleet.client, key)).await;
            let sent = sent.unwrap_or(SendResult::Unknown);
            fleet.finish(key, finish_of(&sent));
            may_have_run |= !matches!(sent, SendResult::NotSent);
            match sent {
                SendResult::Replied(reply) if reply.status < 500 => return Ok(reply),
                SendResult::Replied(_) => counter::retried("lookup_failed"),
                SendResult::NotSent => counter::retried("lookup_unreachable"),
                SendResult::Unknown => counter::retried("lookup_broken"),
            }
            tried.push(key);
            if Instant::now() >= self.send_deadline {
                break;
            }
        }
        Err(Code::UpstreamFailed)
    }

    /// Runs an order; the ledger records its outcome only if it has an idempotency key.
    async fn call_order(&self) -> Result<StoredReply, Code> {
        match self.request.header("idempotency-key").map(str::to_owned) {
            Some(idempotency_key) => self.keyed_order(idempotency_key).await,
            None => self.run_order(None).await,
        }
    }

    /// Claims the key of an order and runs the order, or returns the reply of its earlier run.
    /// While the ledger is unavailable, an order runs only if its service deduplicates calls.
    async fn keyed_order(&self, idempotency_key: String) -> Result<StoredReply, Code> {
        const MAX_KEY_BYTES: usize = 255;
        if idempotency_key.is_empty()
            || idempotency_key.len() > MAX_KEY_BYTES
            || idempotency_key.contains('/')
        {
            return Err(Code::BadRequest);
        }
        let fleet = &self.edge.fleet;
        let path = format!("{}?{}", self.request.path, self.request.query);
        let options = claim::Request {
            team: self.team.name.clone(),
            key: idempotency_key,
            digest: request_digest(self.request.method.as_str(), &path, &self.request.body),
            nonce: rand::random(),
            daemon: fleet.incarnation.clone(),
            now: unix_now(),
            pending_limit_secs: PENDING_LIMIT_SECONDS + self.service.timeout_ms / 1_000,
        };
        match self.claim(options).await {
            Some(Ok(claim::Outcome::Claimed(claim))) => self.run_order(Some(claim)).await,
            Some(Ok(claim::Outcome::Done(reply))) => Ok(reply),
            Some(Ok(claim::Outcome::InProgress)) => Err(Code::InProgress),
            Some(Ok(claim::Outcome::Unknown)) => Err(Code::OutcomeUnknown),
            Some(Err(claim::Error::Mismatch)) => Err(Code::KeyMismatch),
            Some(Err(claim::Error::Table { .. })) | None if self.service.dedupes => {
                self.run_order(None).await
            }
            Some(Err(_)) | None => Err(Code::LedgerUnavailable),
        }
    }

    /// Claims a key; `None` if the table has not confirmed that before the order must be sent. A
    /// claim that succeeds later is settled as not run.
    async fn claim(&self, options: claim::Request) -> Option<Result<claim::Outcome, claim::Error>> {
        let fleet = self.edge.fleet.clone();
        let platform = fleet.platform.clone();
        let mut claiming = Box::pin(async move { claim(&platform, &options).await });
        if let Ok(claimed) = timeout_at(self.send_deadline, &mut claiming).await {
            return Some(claimed);
        }
        let work = fleet.work.clone();
        work.spawn(async move {
            if let Ok(claim::Outcome::Claimed(claim)) = claiming.await {
                record_outcome(&fleet, claim, State::NotRun);
            }
        });
        None
    }

    /// Runs an order. It is sent to another upstream only if no byte was sent before.
    async fn run_order(&self, claim: Option<Claim>) -> Result<StoredReply, Code> {
        let fleet = &self.edge.fleet;
        let mut tried = Vec::new();
        loop {
            let key = match self.choose_upstream(&tried).await {
                Ok(key) => key,
                Err(code) => {
                    self.settle(claim, State::NotRun).await;
                    return Err(code);
                }
            };
            match self.send_order(key, &claim).await {
                SendResult::Replied(reply) => {
                    self.settle(claim, State::Done(reply.clone())).await;
                    return Ok(reply);
                }
                SendResult::Unknown => {
                    emit!(
                        Event::OrderOutcomeUnknown,
                        team = self.team.name,
                        path = self.request.path
                    );
                    return Err(Code::OutcomeUnknown);
                }
                SendResult::NotSent if fleet.routing().router.spend_retry(&self.service.name) => {
                    counter::retried("order_not_sent");
                    tried.push(key);
                }
                SendResult::NotSent => {
                    self.settle(claim, State::NotRun).await;
                    return Err(Code::NoUpstream);
                }
            }
        }
    }

    /// Sends an order. A reply after the timeout is still awaited, in a task of its own, so
    /// that the outcome is recorded.
    async fn send_order(&self, key: Key, claim: &Option<Claim>) -> SendResult {
        let fleet = self.edge.fleet.clone();
        let Some(request) = self.build_request(&fleet.unpooled_client, key) else {
            fleet.finish(key, Finish::Cancelled);
            return SendResult::NotSent;
        };
        let mut call = Box::pin(execute(request));
        let sent = tokio::time::timeout(self.timeout(), &mut call).await;
        if let Ok(sent) = sent {
            fleet.finish(key, finish_of(&sent));
            if let (SendResult::Unknown, Some(claim)) = (&sent, claim.clone()) {
                record_outcome(&fleet, claim, State::Unknown);
            }
            return sent;
        }
        let claim = claim.clone();
        self.edge.fleet.work.spawn(async move {
            let late =
                tokio::time::timeout(LATE_REPLY_WAIT, call).await.unwrap_or(SendResult::Unknown);
            fleet.finish(key, Finish::Failed);
            let state = match late {
                SendResult::Replied(reply) => State::Done(reply),
                SendResult::NotSent => State::NotRun,
                SendResult::Unknown => State::Unknown,
            };
            if let Some(claim) = claim {
                record_outcome(&fleet, claim, state);
            }
        });
        SendResult::Unknown
    }

    /// Chooses an upstream with a free slot; the call is queued until there is one, but no longer
    /// than it may be sent. A retry takes an upstream that was not tried, without queueing.
    async fn choose_upstream(&self, tried: &[Key]) -> Result<Key, Code> {
        let fleet = &self.edge.fleet;
        let urgency = Urgency::Immediate;
        let time_left = self.send_deadline.saturating_duration_since(Instant::now());
        let call = Call {
            runs: self.service.name.clone(),
            prefix: rand::random(),
            prefill_tokens: 0,
            move_subset: None,
            arrival: Arrival {
                team: self.team.name.clone(),
                weight: self.team.weight,
                urgency,
                max_wait: fleet.urgency.max_wait(urgency).min(time_left),
            },
        };
        if !tried.is_empty() {
            let replacement = fleet.routing().router.reassign(&call, tried, fleet.now());
            return replacement.map_err(|_| Code::NoUpstream);
        }
        admit(fleet, call, future::pending()).await.map_err(|error| error.code())
    }

    async fn send(&self, client: &Client, key: Key) -> SendResult {
        match self.build_request(client, key) {
            Some(request) => execute(request).await,
            None => SendResult::NotSent,
        }
    }

    /// Builds the request to an upstream; `None` if the upstream is no longer listed.
    fn build_request(&self, client: &Client, key: Key) -> Option<RequestBuilder> {
        let target: SocketAddr = self.edge.fleet.address(key)?;
        let Request { method, path, query, headers, body } = &self.request;
        let separator = if query.is_empty() { "" } else { "?" };
        let url = format!("http://{target}{path}{separator}{query}");
        let mut request = client.request(method.clone(), url).body(body.clone());
        for (name, value) in headers.iter().filter(|(name, _)| is_forwarded(name)) {
            request = request.header(name, value);
        }
        Some(request)
    }

    /// Records an outcome and waits up to [`RECORD_WAIT`] until the table has it.
    async fn settle(&self, claim: Option<Claim>, state: State) {
        if let Some(claim) = claim {
            let recorded = record_outcome(&self.edge.fleet, claim, state);
            let _ = tokio::time::timeout(RECORD_WAIT, recorded).await;
        }
    }
}

/// Records an outcome in a task of its own, which retries while the table is unreachable.
fn record_outcome(fleet: &Arc<Fleet>, claim: Claim, state: State) -> tokio::task::JoinHandle<()> {
    let shared = fleet.clone();
    fleet.work.spawn(async move {
        let started = Instant::now();
        let mut reported = false;
        while let Err(error) = settle(&shared.platform, &claim, state.clone()).await {
            if !std::mem::replace(&mut reported, true) {
                emit!(Event::OutcomeRecordDelayed, reason = settle::Error::to_string(&error));
            }
            if started.elapsed() > RECORD_LIMIT {
                return;
            }
            sleep(RECORD_BACKOFF).await;
        }
    })
}

/// Sends a request and reads the complete reply.
async fn execute(request: RequestBuilder) -> SendResult {
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() || error.is_builder() => return SendResult::NotSent,
        Err(_) => return SendResult::Unknown,
    };
    let status = response.status().as_u16();
    let content_type = response.headers().get("content-type").and_then(|v| v.to_str().ok());
    let content_type = content_type.unwrap_or_default().to_owned();
    match response.bytes().await {
        Ok(body) => SendResult::Replied(StoredReply { status, content_type, body: body.to_vec() }),
        Err(_) => SendResult::Unknown,
    }
}

fn finish_of(sent: &SendResult) -> Finish {
    match sent {
        SendResult::Replied(reply) if reply.status >= 500 => Finish::Failed,
        SendResult::Replied(_) => Finish::Completed,
        SendResult::NotSent => Finish::Unreachable,
        SendResult::Unknown => Finish::Failed,
    }
}

/// Returns whether a caller's header is forwarded to the upstream.
fn is_forwarded(name: &HeaderName) -> bool {
    const FORWARDED: [&str; 5] =
        ["content-type", "accept", "accept-language", "idempotency-key", "user-agent"];
    FORWARDED.contains(&name.as_str()) || name.as_str().starts_with("x-")
}

fn respond(reply: StoredReply) -> Response {
    let mut response = reply.body.into_response();
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    response.headers_mut().remove("content-type");
    if let Ok(value) = HeaderValue::from_str(&reply.content_type)
        && !reply.content_type.is_empty()
    {
        response.headers_mut().insert("content-type", value);
    }
    response
}
