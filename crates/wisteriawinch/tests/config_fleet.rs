//! Configuration changes in a fleet: propagation, concurrent operators, outages of the table.

mod common;

use common::{World, base_objects, engine, engine_options, fleet, until, upstream};
use serde_json::{Value, json};
use winch_standin::platform;

fn team(name: &str) -> Value {
    let digest = blake3::hash(name.as_bytes()).to_hex().to_string();
    json!({ "kind": "team", "name": name, "key_digest": digest })
}

async fn apply(world: &World, daemon: usize, object: Value, base: Option<u64>) -> (u16, Value) {
    let body = json!({ "edit": { "objects": [object] }, "base": base, "wait_ms": 10_000 });
    world.admin(daemon, "/admin/apply", Some(body)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn change_reaches_all() {
    let (world, _engines) = fleet(4, 1).await;
    let (status, body) = apply(&world, 2, team("a"), None).await;
    assert_eq!((status, &body["not_confirmed"]), (200, &json!([])));
    for daemon in 0..4 {
        world.wait_revision(daemon, 2).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_operators() {
    let (world, _engines) = fleet(2, 1).await;
    let (first, second) = tokio::join!(
        apply(&world, 0, team("a"), Some(1)),
        apply(&world, 1, json!({ "kind": "version", "name": "v3", "model": "m" }), Some(1)),
    );
    let mut codes = [first.0, second.0];
    codes.sort_unstable();
    assert_eq!(codes, [200, 409]);
    let (_, loser) = if first.0 == 409 { first } else { second };
    assert_eq!(loser["error"]["head"], 2);
    // A later change on the outdated base is refused too. `conflict_reported` of winch-config
    // checks that the conflicting objects are named.
    let (status, body) = apply(&world, 0, team("a"), Some(1)).await;
    assert_eq!(status, 409, "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_refuses_change() {
    let (world, _engines) = fleet(2, 1).await;
    world.platform.set_fault(&platform::Fault { outage: true, ..Default::default() });
    let (status, body) = apply(&world, 0, team("a"), None).await;
    assert_eq!((status, &body["error"]["code"]), (503, &json!(403)));
    // The revision in force stays in force, and requests are served.
    common::all_complete(common::start_generations(&world, 1, 4, 20)).await;
    world.platform.set_fault(&platform::Fault::default());
    let (status, _) = apply(&world, 0, team("a"), None).await;
    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_in_outage() {
    let (mut world, _engines) = fleet(2, 1).await;
    let (status, _) = apply(&world, 0, team("a"), None).await;
    assert_eq!(status, 200);
    world.platform.set_fault(&platform::Fault { outage: true, ..Default::default() });
    world.add_daemon().await;
    world.wait_revision(2, 2).await;
    let request = world.client.get(format!("{}/ready", world.url(2)));
    until("the new daemon is ready", || async {
        request.try_clone().unwrap().send().await.unwrap().status().as_u16() == 200
    })
    .await;
    common::all_complete(common::start_generations(&world, 2, 2, 20)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_commit_reply() {
    let (world, _engines) = fleet(2, 1).await;
    world.platform.set_fault(&platform::Fault { lose_answers: 1, ..Default::default() });
    let (status, body) = apply(&world, 0, team("a"), None).await;
    assert_eq!((status, &body["revision"]), (200, &json!(2)));
    world.wait_revision(1, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn faults_reported() {
    let (world, _engines) = fleet(1, 1).await;
    let route = json!({ "kind": "route", "name": "r", "model": "m", "version": "nope" });
    let (status, body) = apply(&world, 0, route, None).await;
    assert_eq!((status, &body["error"]["code"]), (422, &json!(401)));
    assert_eq!(body["error"]["faults"][0]["object"], "route/r");
    assert_eq!(body["error"]["faults"][0]["code"], 303);
}

#[tokio::test(flavor = "multi_thread")]
async fn large_change_reaches_all() {
    // The change is too large for a datagram, so the other daemons fetch it over a stream.
    let world = World::new(3).await;
    let running = engine(engine_options("v1")).await;
    let mut objects = base_objects();
    objects.push(upstream("e0", running.address, "v1"));
    objects.extend((0..200).map(|number| team(&format!("team-{number}"))));
    world.apply(&objects).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_token_refused() {
    let (world, _engines) = fleet(1, 1).await;
    let url = format!("{}/admin/status", world.url(0));
    let response = world.client.get(url).bearer_auth("guess").send().await.unwrap();
    assert_eq!(response.status().as_u16(), 401);
}
