//! Answers are resumed completely when an engine crashes, freezes, becomes slow or loses its
//! connections.

mod common;

use std::time::Duration;

use common::{all_complete, fleet, metrics, start_generations, until};
use winch_standin::engine::Fault;

const TOKENS: usize = 120;

/// Waits until every engine has generated more than 20 tokens.
async fn wait_all_generating(engines: &[common::RunningEngine]) {
    until("all engines generate", || async {
        engines.iter().all(|e| e.engine.generated_tokens() > 20)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_crashes() {
    let (world, engines) = fleet(1, 3).await;
    let answers = start_generations(&world, 0, 12, TOKENS);
    wait_all_generating(&engines).await;
    engines[0].runtime.kill();
    all_complete(answers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_crash() {
    let (world, engines) = fleet(1, 4).await;
    let answers = start_generations(&world, 0, 12, TOKENS);
    wait_all_generating(&engines).await;
    engines[0].runtime.kill();
    tokio::time::sleep(Duration::from_millis(150)).await;
    engines[1].runtime.kill();
    all_complete(answers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_freezes() {
    let (world, engines) = fleet(1, 3).await;
    let answers = start_generations(&world, 0, 12, TOKENS);
    wait_all_generating(&engines).await;
    engines[0].engine.set_fault(Fault { freeze: true, ..Fault::default() });
    all_complete(answers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn freeze_ends() {
    let (world, engines) = fleet(1, 3).await;
    let answers = start_generations(&world, 0, 12, TOKENS);
    wait_all_generating(&engines).await;
    // The engine continues the replaced attempts after the freeze, since it ignores the
    // cancellation. Its stale tokens must not reach the callers.
    let fault = Fault { freeze: true, ignore_cancel: true, ..Fault::default() };
    engines[0].engine.set_fault(fault);
    tokio::time::sleep(Duration::from_millis(600)).await;
    engines[0].engine.set_fault(Fault { ignore_cancel: true, ..Fault::default() });
    all_complete(answers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_cut() {
    let (world, engines) = fleet(1, 3).await;
    let answers = start_generations(&world, 0, 12, TOKENS);
    wait_all_generating(&engines).await;
    for running in &engines {
        running.engine.set_fault(Fault { cut_every: Some(40), ..Fault::default() });
    }
    all_complete(answers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_slows() {
    let (world, engines) = fleet(1, 3).await;
    let answers = start_generations(&world, 0, 12, TOKENS);
    wait_all_generating(&engines).await;
    engines[0].engine.set_fault(Fault { slow: 300.0, ..Fault::default() });
    all_complete(answers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answer() {
    let (world, engines) = fleet(1, 3).await;
    let client = world.client.clone();
    let url = format!("{}/v1/completions", world.url(0));
    let body = serde_json::json!({ "model": "layout", "prompt": "p", "max_tokens": TOKENS });
    let request = tokio::spawn(async move {
        client.post(url).bearer_auth(common::KEY).json(&body).send().await.unwrap().json().await
    });
    until("one engine generates", || async {
        engines.iter().any(|e| e.engine.generated_tokens() > 20)
    })
    .await;
    engines.iter().find(|e| e.engine.generated_tokens() > 20).unwrap().runtime.kill();
    let answer: serde_json::Value = request.await.unwrap().unwrap();
    let text = answer["choices"][0]["text"].as_str().unwrap();
    let tokens = winch_standin::verify::split(text);
    assert_eq!(winch_standin::verify::check("p", tokens, TOKENS), Ok(()));
}

#[tokio::test(flavor = "multi_thread")]
async fn losses_counted() {
    let (world, engines) = fleet(1, 3).await;
    let answers = start_generations(&world, 0, 6, TOKENS);
    wait_all_generating(&engines).await;
    engines[0].runtime.kill();
    all_complete(answers).await;
    let metrics = metrics(&world, 0).await;
    let retries = metrics.iter().filter(|(name, _)| name.starts_with("winch_retries_total"));
    assert!(retries.map(|(_, value)| value).sum::<f64>() >= 1.0);
}
