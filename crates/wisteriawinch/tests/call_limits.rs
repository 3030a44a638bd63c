//! A call of a service is sent within the service's timeout, or refused.

mod common;

use std::time::Duration;

use common::{World, base_objects, order_objects, service};
use serde_json::{Value, json};
use tokio::time::Instant;
use winch_standin::{platform, service as standin};

/// Timeout of the service, in milliseconds.
const TIMEOUT_MS: u64 = 300;
/// Longest time to a refusal: the service's timeout and time for the way.
const REFUSAL_TIME: Duration = Duration::from_millis(700);

/// A daemon with a service that runs one call at a time.
async fn world_with_slot() -> (World, standin::Service) {
    let world = World::new(1).await;
    let (service, address) = service().await;
    let engine = common::engine(common::engine_options("v1")).await;
    let mut objects = base_objects();
    objects.push(common::upstream("e0", engine.address, "v1"));
    let mut orders = order_objects(address, TIMEOUT_MS);
    orders[2]["slots"] = json!(1);
    objects.extend(orders);
    world.apply(&objects).await;
    (world, service)
}

fn code(body: &Value) -> u64 {
    body["error"]["code"].as_u64().unwrap_or(0)
}

// Guards against a wait for a slot that goes on after the time within which the service answers.
#[tokio::test(flavor = "multi_thread")]
async fn busy_service_refuses() {
    let (world, service) = world_with_slot().await;
    service.set_fault(standin::Fault { delay_before_ms: 3_000, ..Default::default() });
    let (status, body) = world.call(0, "POST", "/orders/x", Some("first"), "row 1").await;
    assert_eq!((status, code(&body)), (504, 201), "it occupies the slot");
    for (method, key) in [("GET", None), ("POST", Some("second"))] {
        let started_at = Instant::now();
        let (_, body) = world.call(0, method, "/orders/x", key, "row 2").await;
        assert_eq!((code(&body), &body["error"]["not_run"]), (114, &Value::Bool(true)), "{method}");
        let taken = started_at.elapsed();
        assert!(taken < REFUSAL_TIME, "{method}: {taken:?}");
    }
}

// Guards against an order that is refused only after the ledger has been tried for many times the
// service's timeout, and against a claim that such an order leaves behind.
#[tokio::test(flavor = "multi_thread")]
async fn slow_ledger_refuses() {
    let (world, service) = world_with_slot().await;
    world.platform.set_fault(&platform::Fault { delay_ms: 1_000, ..Default::default() });
    let started_at = Instant::now();
    let (_, body) = world.call(0, "POST", "/orders/x", Some("k"), "row 1").await;
    let taken = started_at.elapsed();
    assert_eq!((code(&body), &body["error"]["not_run"]), (119, &Value::Bool(true)));
    assert!(taken < REFUSAL_TIME, "{taken:?}");
    world.platform.set_fault(&platform::Fault::default());
    common::until("the key can be used again", || async {
        world.call(0, "POST", "/orders/x", Some("k"), "row 1").await.0 == 201
    })
    .await;
    assert_eq!(service.effects().values().sum::<u64>(), 1);
}
