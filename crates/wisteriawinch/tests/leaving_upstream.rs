//! An upstream that leaves gets no new work after a few seconds.

mod common;

use std::time::Duration;

use common::{all_complete, fleet, start_generations};
use serde_json::json;

/// New work must have ended by then.
const GRACE: Duration = Duration::from_secs(3);

/// Asks at every daemon after the grace; the first engine must not have worked.
async fn nothing_new(world: &common::World, engines: &[common::EngineProcess]) {
    tokio::time::sleep(GRACE).await;
    let before = engines[0].engine.served();
    for daemon in 0..3 {
        all_complete(start_generations(world, daemon, 8, 20)).await;
    }
    assert_eq!(engines[0].engine.served(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn drained() {
    let (world, engines) = fleet(3, 2).await;
    all_complete(start_generations(&world, 1, 8, 20)).await;
    let body = json!({ "upstream": "e0", "leaving": true });
    assert_eq!(world.admin(0, "/admin/drain", Some(body)).await.0, 200);
    nothing_new(&world, &engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_in_outage() {
    let (world, engines) = fleet(3, 2).await;
    common::until("peers are known", || async {
        let (_, status) = world.admin(0, "/admin/status", None).await;
        status["peers"].as_array().is_some_and(|peers| peers.len() == 2)
    })
    .await;
    let outage = winch_standin::platform::Fault { outage: true, ..Default::default() };
    world.platform.set_fault(&outage);
    let body = json!({ "upstream": "e0", "leaving": true });
    // The object cannot be changed, and that is said; the fact spreads all the same.
    assert_eq!(world.admin(0, "/admin/drain", Some(body)).await.0, 503);
    nothing_new(&world, &engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn running_kept() {
    let (world, engines) = fleet(1, 2).await;
    let answers = start_generations(&world, 0, 8, 200);
    common::until("the engine works", || async { engines[0].engine.served() > 20 }).await;
    let body = json!({ "upstream": "e0", "leaving": true });
    assert_eq!(world.admin(0, "/admin/drain", Some(body)).await.0, 200);
    all_complete(answers).await;
}
