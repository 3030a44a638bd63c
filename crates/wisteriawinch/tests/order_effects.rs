//! An order takes effect at most once, and `not_run` in a refusal is correct.

mod common;
#[allow(dead_code, unreachable_pub)]
#[path = "../../../platform/tests/common/proxy.rs"]
mod proxy;

use std::time::Duration;

use common::{World, base_objects, order_objects, service};
use proxy::{Mode, Proxy};
use serde_json::{Value, json};
use winch_standin::{platform, service as standin};

/// Daemons with an upstream for orders, whose calls time out after `timeout_ms`.
async fn world_with_orders(daemons: usize, timeout_ms: u64) -> (World, standin::Service) {
    let world = World::new(daemons).await;
    let (service, address) = service().await;
    let engine = common::engine(common::engine_options("v1")).await;
    let mut objects = base_objects();
    objects.push(common::upstream("e0", engine.address, "v1"));
    objects.extend(order_objects(address, timeout_ms));
    world.apply(&objects).await;
    (world, service)
}

fn total_effects(service: &standin::Service) -> u64 {
    service.effects().values().sum()
}

fn code(body: &Value) -> u64 {
    body["error"]["code"].as_u64().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn same_key_runs_once() {
    let (world, service) = world_with_orders(2, 2_000).await;
    let first = world.call(0, "POST", "/orders/x", Some("k1"), "row 7").await;
    let second = world.call(1, "POST", "/orders/x", Some("k1"), "row 7").await;
    assert_eq!((first.0, &first), (201, &second));
    assert_eq!(total_effects(&service), 1);
    let other = world.call(1, "POST", "/orders/x", Some("k1"), "row 8").await;
    assert_eq!((other.0, code(&other.1)), (422, 118));
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_run_once() {
    let (world, service) = world_with_orders(2, 2_000).await;
    service.set_fault(standin::Fault { delay_before_ms: 150, ..Default::default() });
    let calls = (0..6).map(|n| world.call(n % 2, "POST", "/orders/x", Some("k2"), "row 7"));
    let answers = futures_util::future::join_all(calls).await;
    assert_eq!(total_effects(&service), 1);
    assert_eq!(answers.iter().filter(|(status, _)| *status == 201).count(), 1);
    assert!(answers.iter().all(|(status, body)| *status == 201 || code(body) == 120));
}

#[tokio::test(flavor = "multi_thread")]
async fn late_response_recorded() {
    let (world, service) = world_with_orders(2, 200).await;
    service.set_fault(standin::Fault { delay_after_ms: 600, ..Default::default() });
    let first = world.call(0, "POST", "/orders/x", Some("k3"), "row 7").await;
    assert_eq!((first.0, code(&first.1)), (504, 201));
    common::until("the late reply is recorded", || async {
        world.call(1, "POST", "/orders/x", Some("k3"), "row 7").await.0 == 201
    })
    .await;
    assert_eq!(total_effects(&service), 1);
}

// Guards against an order that a partition holds up and that is recorded otherwise than it ends.
#[tokio::test(flavor = "multi_thread")]
async fn held_order_recorded() {
    let (service, address) = service().await;
    let proxy = Proxy::start(address).await;
    let world = World::new(2).await;
    let engine = common::engine(common::engine_options("v1")).await;
    let mut objects = base_objects();
    objects.push(common::upstream("e0", engine.address, "v1"));
    objects.extend(order_objects(proxy.address, 300));
    world.apply(&objects).await;
    proxy.set_mode(Mode::Hold);
    for key in [Some("k10"), None] {
        let held = world.call(0, "POST", "/orders/x", key, key.unwrap_or("no key")).await;
        assert_eq!((held.0, code(&held.1)), (504, 201), "{key:?}: {}", held.1);
        assert_eq!(held.1["error"]["not_run"], Value::from("unknown"));
    }
    assert_eq!(total_effects(&service), 0);
    proxy.set_mode(Mode::Open);
    common::until("the late reply is recorded", || async {
        world.call(1, "POST", "/orders/x", Some("k10"), "k10").await.0 == 201
    })
    .await;
    assert!(service.effects().values().all(|count| *count == 1), "{:?}", service.effects());
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_refuses_orders() {
    let (world, service) = world_with_orders(1, 2_000).await;
    world.platform.set_fault(&platform::Fault { outage: true, ..Default::default() });
    let (status, body) = world.call(0, "POST", "/orders/x", Some("k4"), "row 7").await;
    assert_eq!((status, code(&body), &body["error"]["not_run"]), (503, 119, &Value::Bool(true)));
    assert_eq!(total_effects(&service), 0);
    // An idempotent call does not need the table.
    assert_eq!(world.call(0, "GET", "/orders/x", None, "").await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_table_responses() {
    let (world, service) = world_with_orders(1, 2_000).await;
    for number in 0..4 {
        world
            .platform
            .set_fault(&platform::Fault { lose_answers: 1 + number % 2, ..Default::default() });
        let key = format!("lost-{number}");
        let (status, _) = world.call(0, "POST", "/orders/x", Some(&key), &key).await;
        assert_eq!(status, 201);
        let (status, _) = world.call(0, "POST", "/orders/x", Some(&key), &key).await;
        assert!([201, 409].contains(&status), "{status}");
    }
    assert!(service.effects().values().all(|count| *count == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_after_claim() {
    let (world, service) = world_with_orders(2, 2_000).await;
    service.set_fault(standin::Fault { delay_after_ms: 300, ..Default::default() });
    let call = world.call(0, "POST", "/orders/x", Some("k5"), "row 7");
    let outage = async {
        common::until("the order has taken effect", || async { total_effects(&service) == 1 })
            .await;
        world.platform.set_fault(&platform::Fault { outage: true, ..Default::default() });
    };
    let ((status, _), ()) = tokio::join!(call, outage);
    assert_eq!(status, 201);
    world.platform.set_fault(&platform::Fault::default());
    service.set_fault(standin::Fault::default());
    common::until("the outcome is recorded", || async {
        world.call(1, "POST", "/orders/x", Some("k5"), "row 7").await.0 == 201
    })
    .await;
    assert_eq!(total_effects(&service), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_daemon_unknown() {
    let (world, service) = world_with_orders(2, 2_000).await;
    service.set_fault(standin::Fault { delay_after_ms: 500, ..Default::default() });
    let url = format!("{}/orders/x", world.url(0));
    let request = world.client.post(url).bearer_auth(common::KEY).header("idempotency-key", "k6");
    let kill = async {
        common::until("the order has taken effect", || async { total_effects(&service) == 1 })
            .await;
        world.daemons[0].runtime.kill();
    };
    let (answer, ()) = tokio::join!(request.body("row 7").send(), kill);
    assert!(answer.is_err());
    service.set_fault(standin::Fault::default());
    let (_, body) = world.call(1, "POST", "/orders/x", Some("k6"), "row 7").await;
    assert_eq!((code(&body), &body["error"]["not_run"]), (120, &Value::from("unknown")));
    assert_eq!(total_effects(&service), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn removal_keeps_order() {
    let (world, service) = world_with_orders(2, 2_000).await;
    service.set_fault(standin::Fault { delay_before_ms: 800, ..Default::default() });
    let call = world.call(0, "POST", "/orders/x", Some("k8"), "row 7");
    let removal = async {
        // The order waits at its upstream while its route, service and upstream are removed.
        tokio::time::sleep(Duration::from_millis(200)).await;
        let id = |kind: &str, name: &str| json!({ "kind": kind, "name": name });
        let deletes = [id("route", "orders"), id("service", "orders"), id("upstream", "orders-1")];
        let body = json!({ "edit": { "deletes": deletes }, "wait_ms": 10_000 });
        let (status, body) = world.admin(0, "/admin/apply", Some(body)).await;
        assert_eq!((status, total_effects(&service)), (200, 0), "{body}");
    };
    let ((status, _), ()) = tokio::join!(call, removal);
    assert_eq!((status, total_effects(&service)), (201, 1));
    let (_, body) = world.call(0, "POST", "/orders/x", Some("k8"), "row 7").await;
    assert_eq!((code(&body), &body["error"]["not_run"]), (104, &Value::Bool(true)));
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_keeps_order() {
    let (mut world, service) = world_with_orders(2, 300).await;
    service.set_fault(standin::Fault { delay_after_ms: 1_500, ..Default::default() });
    let first = world.call(0, "POST", "/orders/x", Some("k9"), "row 7").await;
    assert_eq!((first.0, code(&first.1)), (504, 201));
    // The late reply arrives during the stop.
    world.daemons.remove(0).stop().await;
    let (status, body) = world.call(0, "POST", "/orders/x", Some("k9"), "row 7").await;
    assert_eq!((status, total_effects(&service)), (201, 1), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn unkeyed_order_not_retried() {
    let (world, service) = world_with_orders(1, 2_000).await;
    service.set_fault(standin::Fault { fail_after: 1, ..Default::default() });
    let (status, _) = world.call(0, "POST", "/orders/x", None, "row 7").await;
    assert_eq!(status, 500);
    assert_eq!(total_effects(&service), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_upstream_not_run() {
    let world = World::new(1).await;
    let engine = common::engine(common::engine_options("v1")).await;
    let mut objects = base_objects();
    objects.push(common::upstream("e0", engine.address, "v1"));
    let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    objects.extend(order_objects(closed.local_addr().unwrap(), 500));
    drop(closed);
    world.apply(&objects).await;
    let (_, body) = world.call(0, "POST", "/orders/x", Some("k7"), "row 7").await;
    assert_eq!((code(&body), &body["error"]["not_run"]), (115, &Value::Bool(true)));
}
