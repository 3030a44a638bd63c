//! The size of request bodies is limited with and without a stated length, and invalid
//! requests are refused.

mod common;

use common::fleet;

/// A body above the default limit of 4 MiB.
const LARGE_BYTES: usize = 5 * 1024 * 1024;

async fn send(world: &common::World, body: reqwest::Body) -> (u16, u64) {
    let url = format!("{}/v1/completions", world.url(0));
    let sent = world.client.post(url).bearer_auth(common::KEY).body(body).send().await.unwrap();
    let status = sent.status().as_u16();
    let body: serde_json::Value = sent.json().await.unwrap();
    (status, body["error"]["code"].as_u64().unwrap_or(0))
}

#[tokio::test(flavor = "multi_thread")]
async fn stated_length_limited() {
    let (world, _engines) = fleet(1, 1).await;
    assert_eq!(send(&world, vec![b' '; LARGE_BYTES].into()).await, (413, 105));
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_body_limited() {
    let (world, _engines) = fleet(1, 1).await;
    let chunks = (0..LARGE_BYTES / 65_536).map(|_| Ok::<_, std::io::Error>(vec![b' '; 65_536]));
    let body = reqwest::Body::wrap_stream(futures_util::stream::iter(chunks));
    assert_eq!(send(&world, body).await, (413, 105));
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_json_refused() {
    let (world, _engines) = fleet(1, 1).await;
    assert_eq!(send(&world, "{".into()).await, (400, 101));
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_key_refused() {
    let (world, _engines) = fleet(1, 1).await;
    let url = format!("{}/v1/completions", world.url(0));
    let sent = world.client.post(url).bearer_auth("guess").body("{}").send().await.unwrap();
    assert_eq!(sent.status().as_u16(), 401);
}
