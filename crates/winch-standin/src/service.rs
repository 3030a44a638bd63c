//! A plain service that counts how often each order takes effect.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use warp::{
    Filter, Reply,
    http::{Method, StatusCode},
    reply,
};

/// Faults to inject.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Delay before a call takes effect, in milliseconds.
    pub delay_before_ms: u64,
    /// Delay between the effect of a call and its response, in milliseconds.
    pub delay_after_ms: u64,
    /// Number of the next orders that fail after they took effect.
    pub fail_after: u32,
}

#[derive(Debug, Default)]
struct State {
    /// How often each order took effect, by its body.
    effects: BTreeMap<String, u64>,
    lookups: u64,
    fault: Fault,
}

/// Handle to a service; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct Service(Arc<Mutex<State>>);

impl Service {
    /// Replaces the injected faults.
    pub fn set_fault(&self, fault: Fault) {
        self.0.lock().unwrap().fault = fault;
    }

    /// Returns how often each order took effect, by its body.
    pub fn effects(&self) -> BTreeMap<String, u64> {
        self.0.lock().unwrap().effects.clone()
    }

    /// Returns the HTTP interface. On any path, `GET` and `HEAD` are lookups, and all other
    /// methods are orders. Only `/standin/fault` and `/standin/effects` are reserved for tests.
    pub fn filter(self) -> impl Filter<Extract = (impl Reply,), Error = warp::Rejection> + Clone {
        let service = self;
        let shared = warp::any().map(move || service.clone());
        let fault = warp::path!("standin" / "fault")
            .and(warp::post())
            .and(shared.clone())
            .and(warp::body::json())
            .map(|service: Self, fault| {
                service.set_fault(fault);
                StatusCode::NO_CONTENT
            });
        let effects = warp::path!("standin" / "effects")
            .and(shared.clone())
            .map(|service: Self| reply::json(&service.effects()));
        let call = warp::method()
            .and(shared)
            .and(warp::body::bytes())
            .then(|method, service: Self, body| async move { service.call(method, body).await });
        fault.or(effects).or(call)
    }

    async fn call(&self, method: Method, body: Bytes) -> reply::Response {
        let fault = self.0.lock().unwrap().fault.clone();
        sleep(Duration::from_millis(fault.delay_before_ms)).await;
        let answer = match method {
            Method::GET | Method::HEAD => self.look_up(),
            _ => self.take_effect(&body),
        };
        sleep(Duration::from_millis(fault.delay_after_ms)).await;
        answer
    }

    fn look_up(&self) -> reply::Response {
        let mut state = self.0.lock().unwrap();
        state.lookups += 1;
        let total: u64 = state.effects.values().sum();
        reply::json(&serde_json::json!({ "orders": total })).into_response()
    }

    fn take_effect(&self, body: &Bytes) -> reply::Response {
        let mut state = self.0.lock().unwrap();
        let text = String::from_utf8_lossy(body).into_owned();
        let count = state.effects.entry(text).or_insert(0);
        *count += 1;
        let body = reply::json(&serde_json::json!({ "accepted": true, "times": *count }));
        if state.fault.fail_after > 0 {
            state.fault.fail_after -= 1;
            return reply::with_status(body, StatusCode::INTERNAL_SERVER_ERROR).into_response();
        }
        reply::with_status(body, StatusCode::CREATED).into_response()
    }
}
