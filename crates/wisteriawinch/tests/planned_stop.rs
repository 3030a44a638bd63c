//! A graceful stop lets running requests complete, refuses new ones and notifies peers.

mod common;

use common::{all_complete, fleet, start_generations, until};
use wisteriawinch::command::Exit;

#[tokio::test(flavor = "multi_thread")]
async fn running_requests_complete() {
    let (mut world, engines) = fleet(2, 2).await;
    let answers = start_generations(&world, 0, 10, 300);
    until("the requests are running", || async {
        engines.iter().map(|e| e.engine.generated_tokens()).sum::<u64>() > 50
    })
    .await;
    let url = world.url(0).to_owned();
    let client = world.client.clone();
    let stopping = tokio::spawn(world.daemons.remove(0).stop());
    until("the daemon reports not ready", || async {
        let ready = client.get(format!("{url}/ready")).send().await;
        ready.is_ok_and(|ready| ready.status().as_u16() == 503)
    })
    .await;
    let body = serde_json::json!({ "model": "layout", "prompt": "late", "max_tokens": 2 });
    let late = client.post(format!("{url}/v1/completions")).bearer_auth(common::KEY).json(&body);
    let refused: serde_json::Value = late.send().await.unwrap().json().await.unwrap();
    assert_eq!(
        (&refused["error"]["code"], &refused["error"]["not_run"]),
        (&116.into(), &true.into())
    );
    all_complete(answers).await;
    assert_eq!(stopping.await.unwrap(), Exit::Success);
}

#[tokio::test(flavor = "multi_thread")]
async fn peers_notified() {
    let (mut world, _engines) = fleet(3, 1).await;
    until("all peers are known", || async {
        let (_, status) = world.admin(1, "/admin/status", None).await;
        status["peers"].as_array().is_some_and(|peers| peers.len() == 2)
    })
    .await;
    assert_eq!(world.daemons.remove(0).stop().await, Exit::Success);
    until("a peer reports the daemon as left", || async {
        let (_, status) = world.admin(0, "/admin/status", None).await;
        let peers = status["peers"].as_array().cloned().unwrap_or_default();
        peers.iter().any(|p| p["name"] == "entry-1" && p["state"] == "left")
    })
    .await;
}
