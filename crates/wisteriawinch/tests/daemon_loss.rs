//! A caller whose daemon crashes can resume the same answer at another daemon, or gets an error
//! that the answer cannot be resumed.

mod common;

use assert_matches::assert_matches;
use common::{Generation, fleet, until};
use winch_standin::load::Error;

const TOKENS: usize = 150;

/// Starts an answer at the first daemon, kills the daemon while the answer is in progress, and
/// returns the generation with the tokens received until then.
async fn interrupted(world: &common::World, engines: &[common::RunningEngine]) -> Generation {
    let mut generation = Generation::new("reconcile the seat plan", TOKENS);
    let (client, url) = (world.client.clone(), world.url(0).to_owned());
    let runtime = world.daemons[0].runtime.clone();
    let kill = async {
        until("the answer is in progress", || async {
            engines.iter().map(|e| e.engine.generated_tokens()).sum::<u64>() > 40
        })
        .await;
        runtime.kill();
    };
    let (read, ()) = tokio::join!(generation.read(&client, &url), kill);
    assert_matches!(read, Err(Error::Connection { .. } | Error::Incomplete));
    assert!(!generation.caller.tokens.is_empty() && generation.caller.tokens.len() < TOKENS);
    generation
}

#[tokio::test(flavor = "multi_thread")]
async fn with_tokens() {
    let (world, engines) = fleet(2, 2).await;
    let mut generation = interrupted(&world, &engines).await;
    generation.read(&world.client, world.url(1)).await.unwrap();
    generation.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_lost_too() {
    let (world, engines) = fleet(2, 2).await;
    let mut generation = interrupted(&world, &engines).await;
    engines.iter().max_by_key(|e| e.engine.generated_tokens()).unwrap().runtime.kill();
    generation.read(&world.client, world.url(1)).await.unwrap();
    generation.check();
}

/// Resumes like a plain event-stream client, which sends only the last event id.
async fn resume_by_id(world: &common::World, generation: &Generation) -> reqwest::Response {
    world
        .client
        .post(format!("{}/v1/completions", world.url(1)))
        .bearer_auth(common::KEY)
        .header("last-event-id", generation.caller.last_id.clone().unwrap())
        .json(&generation.body)
        .send()
        .await
        .unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn without_tokens() {
    let (world, engines) = fleet(2, 2).await;
    let mut generation = interrupted(&world, &engines).await;
    let text = resume_by_id(&world, &generation).await.text().await.unwrap();
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    for value in data.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok()) {
        let token = value["choices"][0]["text"].as_str().unwrap_or_default();
        if !token.is_empty() {
            generation.caller.tokens.push(token.to_owned());
        }
    }
    generation.check();
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_lost_without_tokens() {
    let (world, engines) = fleet(2, 2).await;
    let generation = interrupted(&world, &engines).await;
    engines.iter().max_by_key(|e| e.engine.generated_tokens()).unwrap().runtime.kill();
    let response = resume_by_id(&world, &generation).await;
    let status = response.status().as_u16();
    let body: serde_json::Value = response.json().await.unwrap();
    assert_eq!((status, body["error"]["code"].as_u64()), (410, Some(204)), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn mismatched_cursor() {
    let (world, engines) = fleet(2, 2).await;
    let mut generation = interrupted(&world, &engines).await;
    generation.caller.tokens.pop();
    let refused = generation.read(&world.client, world.url(1)).await;
    assert_matches!(refused, Err(Error::Refused { body }) if body.contains("bad_ticket"));
    let other =
        Generation { caller: generation.caller, ..Generation::new("another prompt", TOKENS) };
    let response = resume_by_id(&world, &other).await;
    assert_eq!(response.status().as_u16(), 400);
}
