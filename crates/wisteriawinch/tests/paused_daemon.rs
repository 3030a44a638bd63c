//! A daemon process that was paused catches up with the fleet; a signal stops it cleanly.

mod common;

use std::{
    net::{SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
};

use common::{
    KEY, TOKEN, World, base_objects, engine, engine_options, order_objects, service, until,
    upstream,
};
use serde_json::{Value, json};

/// A daemon in a separate process, which is killed on drop.
struct Process {
    child: Child,
    url: String,
}

impl Process {
    fn start(world: &World) -> Self {
        let free_address =
            || -> SocketAddr { TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap() };
        let (listen, peer) = (free_address(), free_address());
        let child = Command::new(env!("CARGO_BIN_EXE_wisteriawinch"))
            .args(["serve", "--name", "entry-p", "--dc", "dc-1", "--log-level", "error"])
            .args(["--listen", &listen.to_string(), "--peer", &peer.to_string()])
            .args(["--platform", &world.platform_url, "--operator-token", TOKEN])
            .args(["--fleet-key", "fleet-key-0123456789"])
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self { child, url: format!("http://{listen}") }
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    async fn wait_ready(&self, world: &World) {
        until("the process is ready", || async {
            let response = world.client.get(format!("{}/ready", self.url)).send().await;
            response.is_ok_and(|response| response.status().as_u16() == 200)
        })
        .await;
    }

    async fn revision(&self, world: &World) -> u64 {
        let url = format!("{}/admin/status", self.url);
        let response = world.client.get(url).bearer_auth(TOKEN).send().await.unwrap();
        response.json::<Value>().await.unwrap()["revision"].as_u64().unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One daemon in this process, with one engine and a service for orders.
async fn world() -> (World, winch_standin::service::Service) {
    let world = World::new(1).await;
    let (service, address) = service().await;
    let running = engine(engine_options("v1")).await;
    let mut objects = base_objects();
    objects.push(upstream("e0", running.address, "v1"));
    objects.extend(order_objects(address, 10_000));
    world.apply(&objects).await;
    // The engine keeps running until the test process ends.
    std::mem::forget(running);
    (world, service)
}

#[tokio::test(flavor = "multi_thread")]
async fn order_survives_pause() {
    let (world, service) = world().await;
    let process = Process::start(&world);
    process.wait_ready(&world).await;
    let delay = winch_standin::service::Fault { delay_after_ms: 300, ..Default::default() };
    service.set_fault(delay);
    let request = world
        .client
        .post(format!("{}/orders/x", process.url))
        .bearer_auth(KEY)
        .header("idempotency-key", "paused")
        .body("row 7");
    let call = tokio::spawn(request.send());
    until("the service has executed the order", || async { service.effects().len() == 1 }).await;
    process.signal("-STOP");
    // The order is sent again while the daemon that runs it is paused.
    let (_, body) = world.call(0, "POST", "/orders/x", Some("paused"), "row 7").await;
    assert_eq!(body["error"]["code"], 120);
    process.signal("-CONT");
    assert_eq!(call.await.unwrap().unwrap().status().as_u16(), 201);
    let (status, _) = world.call(0, "POST", "/orders/x", Some("paused"), "row 7").await;
    assert_eq!((status, service.effects().values().sum::<u64>()), (201, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn revision_catches_up() {
    let (world, _service) = world().await;
    let process = Process::start(&world);
    process.wait_ready(&world).await;
    until("the process is a peer", || async {
        let (_, status) = world.admin(0, "/admin/status", None).await;
        status["peers"].as_array().is_some_and(|peers| peers.iter().any(|p| p["name"] == "entry-p"))
    })
    .await;
    process.signal("-STOP");
    let digest = blake3::hash(b"new").to_hex().to_string();
    let team = json!({ "kind": "team", "name": "new", "key_digest": digest });
    let body = json!({ "edit": { "objects": [team] }, "wait_ms": 500 });
    let (status, body) = world.admin(0, "/admin/apply", Some(body)).await;
    // The change is committed, and the paused daemon is reported as not confirmed.
    assert_eq!((status, &body["not_confirmed"]), (200, &json!(["entry-p"])));
    process.signal("-CONT");
    until("revision 2 is in force", || async { process.revision(&world).await == 2 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn missed_revisions_in_outage() {
    // The daemon misses two changes, and the table is unavailable when it resumes, so that it
    // has to read the revisions from its peers.
    let (world, _service) = world().await;
    let process = Process::start(&world);
    process.wait_ready(&world).await;
    process.signal("-STOP");
    for name in ["a", "b"] {
        let digest = blake3::hash(name.as_bytes()).to_hex().to_string();
        let team = json!({ "kind": "team", "name": name, "key_digest": digest });
        let body = json!({ "edit": { "objects": [team] } });
        assert_eq!(world.admin(0, "/admin/apply", Some(body)).await.0, 200);
    }
    let outage = winch_standin::platform::Fault { outage: true, ..Default::default() };
    world.platform.set_fault(&outage);
    process.signal("-CONT");
    until("revision 3 is in force", || async { process.revision(&world).await == 3 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn signal_drains() {
    let (world, _service) = world().await;
    let mut process = Process::start(&world);
    process.wait_ready(&world).await;
    let mut generation = common::Generation::new("plan", 200);
    let (client, url) = (world.client.clone(), process.url.clone());
    let stream = tokio::spawn(async move {
        generation.read(&client, &url).await.unwrap();
        generation.check();
    });
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    process.signal("-TERM");
    stream.await.unwrap();
    let status = tokio::task::spawn_blocking(move || process.child.wait().unwrap().code());
    assert_eq!(status.await.unwrap(), Some(0));
}

// Guards against a daemon that takes its own pause for a stall of its engines.
#[tokio::test(flavor = "multi_thread")]
async fn pause_hedges_nothing() {
    let world = World::new(1).await;
    let engines = [engine(engine_options("v1")).await, engine(engine_options("v1")).await];
    let mut objects = base_objects();
    for (number, running) in engines.iter().enumerate() {
        objects.push(upstream(&format!("e{number}"), running.address, "v1"));
    }
    world.apply(&objects).await;
    let process = Process::start(&world);
    process.wait_ready(&world).await;
    let mut streams = tokio::task::JoinSet::new();
    for number in 0..8 {
        let (client, url) = (world.client.clone(), process.url.clone());
        streams.spawn(async move {
            let mut generation = common::Generation::new(&format!("plan {number}"), 600);
            generation.read(&client, &url).await.unwrap();
            generation.check();
        });
    }
    for _ in 0..5 {
        tokio::time::sleep(std::time::Duration::from_millis(400)).await;
        process.signal("-STOP");
        tokio::time::sleep(std::time::Duration::from_millis(700)).await;
        process.signal("-CONT");
    }
    streams.join_all().await;
    let generated: u64 = engines.iter().map(|running| running.engine.generated_tokens()).sum();
    assert_eq!(generated, 8 * 600, "no token was generated twice");
}
