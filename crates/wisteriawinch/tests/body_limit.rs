//! Bodies are bounded, however they are sent.

mod common;

use common::fleet;

/// Above the default limit of 4 MiB.
const LARGE: usize = 5 * 1024 * 1024;

async fn refused(world: &common::World, body: reqwest::Body) -> (u16, u64) {
    let url = format!("{}/v1/completions", world.url(0));
    let sent = world.client.post(url).bearer_auth(common::KEY).body(body).send().await.unwrap();
    let status = sent.status().as_u16();
    let body: serde_json::Value = sent.json().await.unwrap();
    (status, body["error"]["code"].as_u64().unwrap_or(0))
}

#[tokio::test(flavor = "multi_thread")]
async fn stated_length() {
    let (world, _engines) = fleet(1, 1).await;
    assert_eq!(refused(&world, vec![b' '; LARGE].into()).await, (413, 105));
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked() {
    let (world, _engines) = fleet(1, 1).await;
    let chunks = (0..LARGE / 65_536).map(|_| Ok::<_, std::io::Error>(vec![b' '; 65_536]));
    let body = reqwest::Body::wrap_stream(futures_util::stream::iter(chunks));
    assert_eq!(refused(&world, body).await, (413, 105));
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_json() {
    let (world, _engines) = fleet(1, 1).await;
    assert_eq!(refused(&world, "{".into()).await, (400, 101));
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_key() {
    let (world, _engines) = fleet(1, 1).await;
    let url = format!("{}/v1/completions", world.url(0));
    let sent = world.client.post(url).bearer_auth("guess").body("{}").send().await.unwrap();
    assert_eq!(sent.status().as_u16(), 401);
}
