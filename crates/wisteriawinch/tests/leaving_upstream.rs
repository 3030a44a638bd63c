//! A drained upstream gets no new work after a few seconds and completes its running work.

mod common;

use std::time::Duration;

use common::{all_complete, fleet, start_generations};
use serde_json::json;

/// Time after the drain request from which the upstream must get no new work.
const GRACE: Duration = Duration::from_secs(3);

/// Sends requests to every daemon after the grace period; the first engine must get none.
async fn assert_no_new_work(world: &common::World, engines: &[common::RunningEngine]) {
    tokio::time::sleep(GRACE).await;
    let before = engines[0].engine.generated_tokens();
    for daemon in 0..3 {
        all_complete(start_generations(world, daemon, 8, 20)).await;
    }
    assert_eq!(engines[0].engine.generated_tokens(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn drained() {
    let (world, engines) = fleet(3, 2).await;
    all_complete(start_generations(&world, 1, 8, 20)).await;
    let body = json!({ "upstream": "e0", "leaving": true });
    assert_eq!(world.admin(0, "/admin/drain", Some(body)).await.0, 200);
    assert_no_new_work(&world, &engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_during_outage() {
    let (world, engines) = fleet(3, 2).await;
    common::until("peers are known", || async {
        let (_, status) = world.admin(0, "/admin/status", None).await;
        status["peers"].as_array().is_some_and(|peers| peers.len() == 2)
    })
    .await;
    let outage = winch_standin::platform::Fault { outage: true, ..Default::default() };
    world.platform.set_fault(&outage);
    let body = json!({ "upstream": "e0", "leaving": true });
    // The object cannot be changed during the outage, but the gossip fact is propagated.
    assert_eq!(world.admin(0, "/admin/drain", Some(body)).await.0, 503);
    assert_no_new_work(&world, &engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn running_requests_complete() {
    let (world, engines) = fleet(1, 2).await;
    let answers = start_generations(&world, 0, 8, 200);
    common::until("the first engine generates", || async {
        engines[0].engine.generated_tokens() > 20
    })
    .await;
    let body = json!({ "upstream": "e0", "leaving": true });
    assert_eq!(world.admin(0, "/admin/drain", Some(body)).await.0, 200);
    all_complete(answers).await;
}
