//! Daemons, stand-in engines and a stand-in platform in the test process.
//!
//! Each daemon and engine has its own tokio runtime. Shutting that runtime down
//! drops all tasks and connections at once, as the loss of a VM does.

// Each test file uses only some of these helpers.
#![allow(dead_code)]

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use reqwest::Client;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
    sync::oneshot,
    time::{Instant, sleep, timeout},
};
use winch_standin::{
    engine::{self, Engine},
    load::{Caller, Error},
    platform::Platform,
    service::Service,
    verify,
};
use wisteriawinch::{
    command::Exit,
    daemon::{self, Sockets},
    settings::{Flags, Settings},
};

/// API key of the team in [`base_objects`].
pub(crate) const KEY: &str = "box-office-key";
/// Bearer token for the operator endpoints.
pub(crate) const TOKEN: &str = "operator-token-0123456789";
/// Time after which a wait fails the test.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(60);

/// A tokio runtime that any holder of a clone can shut down.
#[derive(Clone)]
pub(crate) struct SharedRuntime(Arc<Mutex<Option<Runtime>>>);

impl SharedRuntime {
    fn new() -> Self {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        Self(Arc::new(Mutex::new(Some(runtime))))
    }

    fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        if let Some(runtime) = &*self.0.lock().unwrap() {
            runtime.spawn(future);
        }
    }

    /// Drops all tasks and their connections without waiting for them.
    pub(crate) fn kill(&self) {
        if let Some(runtime) = self.0.lock().unwrap().take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for SharedRuntime {
    fn drop(&mut self) {
        if Arc::strong_count(&self.0) == 1 {
            self.kill();
        }
    }
}

/// A stand-in engine that listens on its own runtime.
pub(crate) struct RunningEngine {
    pub(crate) engine: Engine,
    pub(crate) address: SocketAddr,
    pub(crate) runtime: SharedRuntime,
}

/// Options of an engine without faults that runs `version`.
pub(crate) fn engine_options(version: &str) -> engine::Options {
    engine::Options {
        version: version.to_owned(),
        slots: 16,
        gap: Duration::from_millis(10),
        prefill: Duration::from_micros(50),
        linger: Duration::from_secs(20),
        fencing: true,
        salt: rand::random(),
    }
}

/// Starts an engine; its runtime shuts down when the engine simulates a crash.
pub(crate) async fn engine(options: engine::Options) -> RunningEngine {
    let (engine, runtime) = (Engine::new(options), SharedRuntime::new());
    let (sender, address) = oneshot::channel();
    let filter = engine.clone().filter();
    runtime.spawn(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        sender.send(listener.local_addr().unwrap()).unwrap();
        warp::serve(filter).incoming(listener).run().await;
    });
    let (crashing, to_kill) = (engine.clone(), runtime.clone());
    tokio::spawn(async move {
        crashing.wait_crashed().await;
        to_kill.kill();
    });
    RunningEngine { engine, address: address.await.unwrap(), runtime }
}

/// Starts a stand-in service, which listens until the test ends.
pub(crate) async fn service() -> (Service, SocketAddr) {
    let service = Service::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(warp::serve(service.clone().filter()).incoming(listener).run());
    (service, address)
}

/// A daemon that runs on its own runtime.
pub(crate) struct Daemon {
    pub(crate) url: String,
    pub(crate) peer: SocketAddr,
    pub(crate) runtime: SharedRuntime,
    stop: Option<oneshot::Sender<()>>,
    exit: oneshot::Receiver<Exit>,
}

impl Daemon {
    /// Starts a graceful stop and waits until the daemon exits.
    pub(crate) async fn stop(mut self) -> Exit {
        let _ = self.stop.take().unwrap().send(());
        timeout(TIMEOUT, self.exit).await.expect("the daemon exits in time").unwrap()
    }
}

/// A fleet of daemons, its platform and an HTTP client.
pub(crate) struct World {
    pub(crate) platform: Platform,
    pub(crate) platform_url: String,
    pub(crate) client: Client,
    pub(crate) daemons: Vec<Daemon>,
}

impl World {
    /// Starts a platform and `daemons` daemons; no configuration is published.
    pub(crate) async fn new(daemons: usize) -> Self {
        let platform = Platform::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let platform_url = format!("http://{}", listener.local_addr().unwrap());
        tokio::spawn(warp::serve(platform.clone().filter()).incoming(listener).run());
        let client = Client::builder().no_proxy().build().unwrap();
        let mut world = Self { platform, platform_url, client, daemons: Vec::new() };
        for _ in 0..daemons {
            world.add_daemon().await;
        }
        world
    }

    /// Starts one more daemon, with all earlier daemons as its seeds.
    pub(crate) async fn add_daemon(&mut self) {
        let seeds: Vec<String> = self.daemons.iter().map(|d| d.peer.to_string()).collect();
        let number = self.daemons.len() + 1;
        let daemon = start_daemon(number, &self.platform_url, seeds.join(",")).await;
        self.daemons.push(daemon);
    }

    /// Base URL of the daemon with this index.
    pub(crate) fn url(&self, daemon: usize) -> &str {
        &self.daemons[daemon].url
    }

    /// Calls an operator endpoint: POST with a body, GET without one.
    pub(crate) async fn admin(
        &self,
        daemon: usize,
        path: &str,
        body: Option<Value>,
    ) -> (u16, Value) {
        let url = format!("{}{path}", self.url(daemon));
        let request = match body {
            Some(body) => self.client.post(url).json(&body),
            None => self.client.get(url),
        };
        let response = request.bearer_auth(TOKEN).send().await.unwrap();
        let status = response.status().as_u16();
        (status, response.json().await.unwrap_or(Value::Null))
    }

    /// Publishes objects and waits until their revision is in force at all daemons.
    pub(crate) async fn apply(&self, objects: &[Value]) -> u64 {
        let body = json!({ "edit": { "objects": objects }, "wait_ms": 10_000 });
        let (status, body) = self.admin(0, "/admin/apply", Some(body)).await;
        assert_eq!(status, 200, "{body}");
        let revision = body["revision"].as_u64().unwrap();
        for daemon in 0..self.daemons.len() {
            self.wait_revision(daemon, revision).await;
        }
        revision
    }

    /// Waits until at least this revision is in force at a daemon.
    pub(crate) async fn wait_revision(&self, daemon: usize, revision: u64) {
        until("the revision is in force", || async {
            let (_, status) = self.admin(daemon, "/admin/status", None).await;
            status["revision"].as_u64() >= Some(revision)
        })
        .await;
    }

    /// Status of a version move as a daemon reports it; null if it reports none.
    pub(crate) async fn move_status(&self, daemon: usize, name: &str) -> Value {
        let (_, status) = self.admin(daemon, "/admin/status", None).await;
        let moves = status["moves"].as_array().cloned().unwrap_or_default();
        moves.into_iter().find(|m| m["name"] == name).unwrap_or(Value::Null)
    }

    /// Sends a call to a service, with an idempotency key if one is given.
    pub(crate) async fn call(
        &self,
        daemon: usize,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> (u16, Value) {
        let url = format!("{}{path}", self.url(daemon));
        let mut request = self.client.request(method.parse().unwrap(), url).bearer_auth(KEY);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let response = request.body(body.to_owned()).send().await.unwrap();
        let status = response.status().as_u16();
        (status, response.json().await.unwrap_or(Value::Null))
    }
}

async fn start_daemon(number: usize, platform: &str, seeds: String) -> Daemon {
    let runtime = SharedRuntime::new();
    let (stop, stopped) = oneshot::channel::<()>();
    let (exited, exit) = oneshot::channel();
    let (sender, addresses) = oneshot::channel();
    let platform = platform.to_owned();
    runtime.spawn(async move {
        let sockets = bind().await;
        let listen = sockets.callers.local_addr().unwrap();
        let peer = sockets.datagrams.local_addr().unwrap();
        let settings = settings(number, &platform, listen, peer, seeds);
        sender.send((listen, peer)).unwrap();
        let stop = async move {
            let _ = stopped.await;
        };
        let exit = daemon::run(settings, sockets, stop, std::future::pending()).await;
        let _ = exited.send(exit);
    });
    let (listen, peer) = addresses.await.unwrap();
    Daemon { url: format!("http://{listen}"), peer, runtime, stop: Some(stop), exit }
}

/// Binds free ports; the peer port must be free for both TCP and UDP.
async fn bind() -> Sockets {
    let callers = TcpListener::bind("127.0.0.1:0").await.unwrap();
    loop {
        let streams = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = streams.local_addr().unwrap();
        if let Ok(datagrams) = tokio::net::UdpSocket::bind(address).await {
            return Sockets { callers, datagrams: datagrams.into(), streams: streams.into() };
        }
    }
}

fn settings(
    number: usize,
    platform: &str,
    listen: SocketAddr,
    peer: SocketAddr,
    seeds: String,
) -> Settings {
    let flags = Flags {
        name: Some(format!("entry-{number}")),
        dc: Some(format!("dc-{}", number % 2)),
        listen: Some(listen.to_string()),
        peer: Some(peer.to_string()),
        platform: Some(platform.to_owned()),
        fleet_key: Some("fleet-key-0123456789".to_owned()),
        operator_token: Some(TOKEN.to_owned()),
        seeds: Some(seeds),
        ..Flags::default()
    };
    Settings::resolve(&flags, |_| None).unwrap()
}

/// Configuration objects: a team, and a model with two versions and a route.
pub(crate) fn base_objects() -> Vec<Value> {
    let digest = blake3::hash(KEY.as_bytes()).to_hex().to_string();
    vec![
        json!({ "kind": "version", "name": "v1", "model": "layout" }),
        json!({ "kind": "version", "name": "v2", "model": "layout" }),
        json!({ "kind": "route", "name": "layout", "model": "layout", "version": "v1" }),
        json!({ "kind": "team", "name": "box-office", "key_digest": digest }),
    ]
}

/// Configuration object of an engine.
pub(crate) fn upstream(name: &str, address: SocketAddr, version: &str) -> Value {
    json!({
        "kind": "upstream", "name": name, "address": address, "dc": "dc-1",
        "runs": { "version": version },
    })
}

/// Configuration objects: a service with its route and one upstream.
pub(crate) fn order_objects(address: SocketAddr, timeout_ms: u64) -> Vec<Value> {
    vec![
        json!({ "kind": "service", "name": "orders", "idempotent": ["GET"], "timeout_ms": timeout_ms }),
        json!({ "kind": "route", "name": "orders", "prefix": "/orders", "service": "orders" }),
        json!({
            "kind": "upstream", "name": "orders-1", "address": address, "dc": "dc-1",
            "runs": { "service": "orders" },
        }),
    ]
}

/// Starts a fleet with engines of version `v1` and applies its configuration.
pub(crate) async fn fleet(daemons: usize, engines: usize) -> (World, Vec<RunningEngine>) {
    let world = World::new(daemons).await;
    let mut running = Vec::new();
    let mut objects = base_objects();
    for number in 0..engines {
        let started = engine(engine_options("v1")).await;
        objects.push(upstream(&format!("e{number}"), started.address, "v1"));
        running.push(started);
    }
    world.apply(&objects).await;
    (world, running)
}

/// Polls a condition until it holds; panics after [`TIMEOUT`].
pub(crate) async fn until<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let end = Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// One streamed generation, its caller and the tokens received so far.
pub(crate) struct Generation {
    pub(crate) prompt: String,
    pub(crate) tokens: usize,
    pub(crate) body: Value,
    pub(crate) caller: Caller,
}

impl Generation {
    /// Prepares a request for `tokens` tokens, and sends nothing.
    pub(crate) fn new(prompt: &str, tokens: usize) -> Self {
        let body = json!({
            "model": "layout", "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        Self { prompt: prompt.to_owned(), tokens, body, caller: Caller::default() }
    }

    /// Sends the request, or resumes the stream, and reads to the end marker.
    pub(crate) async fn read(&mut self, client: &Client, url: &str) -> Result<(), Error> {
        let read = self.caller.read(client, url, KEY, &self.body, Instant::now());
        timeout(TIMEOUT, read).await.expect("the stream ends in time")
    }

    /// Panics unless all tokens arrived, each once and in order.
    pub(crate) fn check(&self) {
        let tokens = self.caller.tokens.iter().map(String::as_str);
        assert_eq!(verify::check(&self.prompt, tokens, self.tokens), Ok(()));
    }
}

/// Starts `count` generations at a daemon; each is read to its end and checked.
pub(crate) fn start_generations(
    world: &World,
    daemon: usize,
    count: usize,
    tokens: usize,
) -> tokio::task::JoinSet<Result<(), String>> {
    let mut set = tokio::task::JoinSet::new();
    for number in 0..count {
        let (client, url) = (world.client.clone(), world.url(daemon).to_owned());
        set.spawn(async move {
            let mut generation = Generation::new(&format!("plan {number} of {count}"), tokens);
            generation.read(&client, &url).await.map_err(|error| error.to_string())?;
            generation.check();
            Ok(())
        });
    }
    set
}

/// Waits for all generations; panics if one failed.
pub(crate) async fn all_complete(set: tokio::task::JoinSet<Result<(), String>>) {
    let results: Vec<Result<(), String>> = set.join_all().await;
    let failed: Vec<&String> = results.iter().filter_map(|r| r.as_ref().err()).collect();
    assert!(failed.is_empty(), "{failed:?}");
}

/// A daemon's metrics: values by name and labels, as written in the text format.
pub(crate) async fn metrics(world: &World, daemon: usize) -> HashMap<String, f64> {
    let url = format!("{}/metrics", world.url(daemon));
    let text = world.client.get(url).bearer_auth(TOKEN).send().await.unwrap().text().await.unwrap();
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines
        .filter_map(|line| line.rsplit_once(' '))
        .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
        .collect()
}

/// A daemon's state without sockets or tasks, for tests of single modules.
pub(crate) fn idle_fleet() -> Arc<wisteriawinch::fleet::Fleet> {
    let unused = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let settings = settings(1, "http://127.0.0.1:3", unused(1), unused(2), String::new());
    wisteriawinch::fleet::Fleet::new(settings)
}
