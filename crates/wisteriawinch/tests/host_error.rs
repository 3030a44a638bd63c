//! A daemon whose host gives it no connections does not blame its replicas.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
mod entry;

use std::{path::PathBuf, time::Duration};

use common::{Caller, Replica, Request, Step, Store, TIMEOUT, all_events};
use entry::Process;
use tokio::{net::TcpStream, time::sleep};
use winch_http::client::Connection;

/// Open files that the daemon may have: more than it needs itself.
const OPEN_FILES: u32 = 48;
/// Connections that callers open: more than it has files for.
const CONNECTIONS: usize = 80;
/// Time in which the daemon takes as many of them as it can.
const EXHAUSTION_TIME: Duration = Duration::from_millis(500);
/// Number of requests of each kind without a file for their connection.
const REQUESTS: usize = 6;
/// Events that say that a replica has failed: it was ejected, its service is out of reach, its
/// request is suspected to have crashed it.
const VERDICTS: [u16; 3] = [1114, 1121, 1106];

/// Sound replicas, and a daemon process with few files.
struct Fixture {
    replicas: Vec<Replica>,
    _store: Store,
    daemon: Process,
    folder: PathBuf,
}

impl Fixture {
    async fn start() -> Self {
        let mut replicas = Vec::new();
        for (id, service) in
            [("d-1", "desk"), ("d-2", "desk"), ("d-3", "desk"), ("m-1", "model"), ("m-2", "model")]
        {
            let replica = Replica::start(id, service, "a").await;
            // Each request needs a connection of its own.
            replica.set_statement("Connection: close\r\n");
            replicas.push(replica);
        }
        let store = Store::with_replicas(&replicas.iter().collect::<Vec<_>>()).await;
        let folder = entry::folder();
        let daemon = Process::start_limited(store.address, OPEN_FILES, &folder);
        let fixture = Self { replicas, _store: store, daemon, folder };
        fixture.wait_served().await;
        fixture
    }

    async fn caller(&self) -> Option<Caller> {
        let opened = Connection::open(self.daemon.addresses.callers, TIMEOUT).await;
        opened.ok().map(|connection| Caller { connection })
    }

    /// Waits until the daemon serves a lookup and a stream.
    async fn wait_served(&self) {
        for request in [Request::lookup, Request::stream] {
            while !self.serves(request("check")).await {
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    async fn serves(&self, request: Request) -> bool {
        let Some(mut caller) = self.caller().await else { return false };
        caller.send(request).await.is_ok_and(|response| response.status.is_success())
    }

    /// Opens connections until the daemon has no file left.
    async fn exhaust(&self) -> Vec<TcpStream> {
        let mut connections = Vec::new();
        for _ in 0..CONNECTIONS {
            let opened = TcpStream::connect(self.daemon.addresses.callers).await;
            connections.push(opened.expect("a listener"));
        }
        sleep(EXHAUSTION_TIME).await;
        connections
    }

    /// The log's lines of [`VERDICTS`].
    fn verdicts(&self) -> Vec<String> {
        let log = std::fs::read_to_string(self.folder.join("0.log")).expect("the log is read");
        let is_verdict = |line: &&str| {
            VERDICTS.iter().any(|event| line.contains(&format!("\"event\":{event},")))
        };
        log.lines().filter(is_verdict).map(str::to_owned).collect()
    }

    /// How often replicas ran the request with this id.
    fn runs(&self, id: &str) -> usize {
        let count = |replica: &Replica| {
            replica.count_received(|request| {
                request.executed && request.header("attempt-id") == Some(id)
            })
        };
        self.replicas.iter().map(count).sum()
    }
}

// Guards against sound replicas that are ejected, and against a service that is out of reach, for
// want of descriptors.
#[tokio::test]
async fn missing_file_ejects_nobody() {
    let fixture = Fixture::start().await;
    let mut caller = fixture.caller().await.expect("the daemon listens");
    assert!(caller.send(Request::lookup("first")).await.is_ok());
    let connections = fixture.exhaust().await;
    for number in 0..REQUESTS {
        for request in [Request::lookup, Request::order, Request::stream] {
            let response = caller.send(request(&format!("r-{number}"))).await.expect("a reply");
            assert_eq!(response.status.as_u16(), 503, "no file is left: {response:?}");
        }
    }
    assert_eq!(fixture.verdicts(), Vec::<String>::new());
    drop(connections);
    fixture.wait_served().await;
}

// Guards against a stream that leaves its replica since the daemon could not open a connection to
// ask it.
#[tokio::test]
async fn unasked_replica_keeps_stream() {
    let fixture = Fixture::start().await;
    let paused = Step::PauseAfter(3, Duration::from_secs(4));
    fixture.replicas.iter().for_each(|replica| replica.set_default_step(paused.clone()));
    let mut caller = fixture.caller().await.expect("the daemon listens");
    let stream = tokio::spawn(async move { caller.send(Request::stream("s-1")).await });
    common::wait_until("the stream runs", || fixture.runs("s-1") == 1).await;
    let _connections = fixture.exhaust().await;
    let response = stream.await.expect("no panic").expect("a whole stream");
    assert_eq!((response.events(), fixture.runs("s-1")), (all_events(), 1));
    assert_eq!(fixture.verdicts(), Vec::<String>::new());
}
