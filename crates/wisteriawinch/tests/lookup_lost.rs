//! A lookup whose only upstream has received it is not reported as not run.

mod common;

use common::{World, base_objects, order_objects};
use serde_json::Value;
use tokio::{io::AsyncReadExt, net::TcpListener};

/// Timeout of the service, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;

// Guards against the code of a call that no upstream has received, after one has received it and
// none is left for the next attempt.
#[tokio::test(flavor = "multi_thread")]
async fn lost_lookup_may_have_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            // Closes without a reply.
            let _: usize = stream.read(&mut [0; 4096]).await.unwrap();
        }
    });
    let world = World::new(1).await;
    let engine = common::engine(common::engine_options("v1")).await;
    let mut objects = base_objects();
    objects.push(common::upstream("e0", engine.address, "v1"));
    objects.extend(order_objects(address, TIMEOUT_MS));
    world.apply(&objects).await;
    let (status, body) = world.call(0, "GET", "/orders/x", None, "").await;
    let error = &body["error"];
    assert_eq!((status, error["code"].as_u64()), (502, Some(202)), "{body}");
    assert_ne!(error["not_run"], Value::Bool(true), "an upstream has received it");
}
