//! Operator endpoints, which require the operator token.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use warp::{
    Reply,
    http::Method,
    reply::{self, Response},
};
use winch_config::{
    change::{Edit, parse},
    check::{Fault, check},
    object::{Object, Upstream},
    publish::{self, publish},
    set::Set,
};

use super::{Edge, Request, refuse};
use crate::{
    control::{facts, status},
    emit,
    prelude::*,
};

/// Body of `POST /admin/apply`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Apply {
    /// The change, in the form of a configuration file.
    pub edit: Value,
    /// The head revision that the change requires; any if absent.
    pub base: Option<u64>,
    /// Milliseconds to wait until the change is in force on all daemons.
    #[serde(default)]
    pub wait_ms: u64,
}

/// Handles a request to `/metrics` or under `/admin/`, if it has the operator token.
pub async fn handle(edge: &Edge, request: Request) -> Response {
    let token = request.bearer().unwrap_or_default();
    if !edge.fleet.settings.operator_token.matches(token) {
        return refuse(Code::Unauthorized, "the operator token is not known");
    }
    match (&request.method, request.path.as_str()) {
        (&Method::GET, "/metrics") => edge.fleet.metrics().into_response(),
        (&Method::POST, "/admin/check") => check_only(edge, &request),
        (&Method::POST, "/admin/apply") => apply(edge, &request).await,
        (&Method::GET, "/admin/objects") => objects(edge),
        (&Method::GET, "/admin/status") => {
            reply::json(&status::collect(&edge.fleet).await).into_response()
        }
        (&Method::POST, "/admin/drain") => drain(edge, &request).await,
        _ => refuse(Code::NotFound, "there is no such operator endpoint"),
    }
}

fn objects(edge: &Edge) -> Response {
    let snapshot = edge.fleet.snapshot.load();
    let objects: Vec<_> = snapshot.set.objects().collect();
    reply::json(&json!({ "revision": snapshot.revision(), "objects": objects })).into_response()
}

fn read_edit(value: &Value) -> Result<Edit, Vec<Fault>> {
    parse(&value.to_string())
}

fn faults_response(faults: &[Fault]) -> Response {
    let mut body = Code::Faulty.body("the set has faults");
    body["error"]["faults"] = json!(faults);
    error_response(Code::Faulty, &body)
}

fn error_response(code: Code, body: &Value) -> Response {
    let status = warp::http::StatusCode::from_u16(code.status()).expect("a valid status");
    reply::with_status(reply::json(body), status).into_response()
}

fn check_only(edge: &Edge, request: &Request) -> Response {
    let Ok(value) = serde_json::from_slice::<Value>(&request.body) else {
        return refuse(Code::BadRequest, "the body is not JSON");
    };
    let edit = match read_edit(&value) {
        Ok(edit) => edit,
        Err(faults) => return faults_response(&faults),
    };
    let change = winch_config::change::Change {
        puts: edit.puts,
        deletes: edit.deletes,
        ..Default::default()
    };
    let snapshot = edge.fleet.snapshot.load();
    let faults = check(&snapshot.set.preview(&change));
    if !faults.is_empty() {
        return faults_response(&faults);
    }
    reply::json(&json!({ "revision": snapshot.revision(), "faults": [] })).into_response()
}

async fn apply(edge: &Edge, request: &Request) -> Response {
    let apply: Apply = match serde_json::from_slice(&request.body) {
        Ok(apply) => apply,
        Err(error) => return refuse(Code::BadRequest, &error.to_string()),
    };
    let edit = match read_edit(&apply.edit) {
        Ok(edit) => edit,
        Err(faults) => return faults_response(&faults),
    };
    let known = edge.fleet.snapshot.load().set.clone();
    let options = publish::Options { edit, base: apply.base, nonce: rand::random() };
    commit(edge, &known, options, Duration::from_millis(apply.wait_ms)).await
}

/// Publishes a change and waits up to `wait` until it is in force on all daemons. The
/// response lists the daemons that have not confirmed it.
async fn commit(edge: &Edge, known: &Set, options: publish::Options, wait: Duration) -> Response {
    let fleet = &edge.fleet;
    match publish(&fleet.platform, known, &options).await {
        Ok(outcome) => {
            let revision = outcome.change.revision;
            emit!(Event::ChangeCommitted, revision = revision, nonce = options.nonce);
            fleet.install(outcome.set);
            fleet.publish_change(&outcome.change);
            let unconfirmed = status::wait_in_force(fleet, revision, wait).await;
            reply::json(&json!({ "revision": revision, "not_confirmed": unconfirmed }))
                .into_response()
        }
        Err(error) => publish_error_response(&error),
    }
}

/// Body of `POST /admin/drain`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Drain {
    /// The upstream's name.
    pub upstream: Name,
    /// True takes the upstream out of service, false back into it.
    pub leaving: bool,
}

/// Takes an upstream out of service or back into it. A gossip fact takes effect at once,
/// also while the table is unreachable; the changed object makes it permanent.
async fn drain(edge: &Edge, request: &Request) -> Response {
    let drain: Drain = match serde_json::from_slice(&request.body) {
        Ok(drain) => drain,
        Err(error) => return refuse(Code::BadRequest, &error.to_string()),
    };
    let fleet = &edge.fleet;
    let set = fleet.snapshot.load().set.clone();
    let Some(upstream) = set.upstream(&drain.upstream).cloned() else {
        return refuse(Code::NotFound, "no upstream is called so");
    };
    fleet.publish(facts::leave(&drain.upstream, drain.leaving));
    let object = Object::Upstream(Upstream { leaving: drain.leaving, ..upstream });
    let edit = Edit { puts: vec![Arc::new(object)], deletes: Vec::new() };
    let options = publish::Options { edit, base: None, nonce: rand::random() };
    commit(edge, &set, options, Duration::ZERO).await
}

/// Logs why nothing was published, or may not have been, and returns the response.
fn publish_error_response(error: &publish::Error) -> Response {
    let code = match error {
        publish::Error::Faulty { faults } => return faults_response(faults),
        publish::Error::Conflict { .. } => Code::Conflict,
        publish::Error::Load { .. } | publish::Error::Refused { .. } => Code::TableUnavailable,
        publish::Error::Unknown { .. } => Code::ChangeUnknown,
    };
    emit!(Event::ChangeRefused, reason = error);
    let mut body = code.body(&error.to_string());
    if let publish::Error::Conflict { base, head, objects } = error {
        let names: Vec<String> = objects.iter().map(ToString::to_string).collect();
        body["error"]["base"] = json!(base);
        body["error"]["head"] = json!(head);
        body["error"]["objects"] = json!(names);
    }
    error_response(code, &body)
}
