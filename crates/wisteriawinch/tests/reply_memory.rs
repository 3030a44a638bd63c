//! The memory of a daemon process under replies without end.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
mod entry;

use std::time::Duration;

use common::{Replica, Request, Step, Store, TIMEOUT};
use entry::{Addresses, Process};
use futures_util::future::join_all;
use tokio::time::{sleep, timeout};
use winch_http::client::Connection;

/// Memory of the smallest VM of a deployment.
const VM_BYTES: u64 = 96 * 1024 * 1024;
/// Streams at the same time.
const STREAMS: usize = 160;

async fn caller(daemon: &Process) -> common::Caller {
    let connection = Connection::open(daemon.addresses.callers, TIMEOUT).await;
    common::Caller { connection: connection.expect("the daemon listens") }
}

/// Largest resident memory of the process so far, in bytes.
fn peak_bytes(daemon: &Process) -> u64 {
    let text = daemon.status("VmHWM").expect("the process runs");
    let kib: u64 = text.trim_end_matches(" kB").parse().expect("a number");
    kib * 1024
}

/// Sends streams to an engine that answers with `head` and then bytes without end, and returns the
/// peak of the daemon's memory.
async fn peak_under(head: &'static str) -> u64 {
    let block: &str = Box::leak("0123456789abcdef".repeat(4_096).into_boxed_str());
    let engine = Replica::start("e-1", "model", "a").await;
    let store = Store::with_replicas(&[&engine]).await;
    let (addresses, folder) = (Addresses::unused(), entry::folder());
    let daemon = Process::start(0, "a", addresses, &[addresses.control], store.address, &folder);
    let serves = async {
        loop {
            let connection = Connection::open(addresses.callers, TIMEOUT).await;
            if let Ok(connection) = connection {
                let mut caller = common::Caller { connection };
                let response = caller.send(Request::stream("first")).await;
                if response.is_ok_and(|response| response.status.is_success()) {
                    return;
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, serves).await.expect("the daemon serves");
    engine.set_default_step(Step::Endless(head, block, Duration::from_millis(2)));
    let streams = (0..STREAMS).map(|number| {
        let daemon = &daemon;
        async move {
            let mut caller = caller(daemon).await;
            timeout(TIMEOUT, caller.send(Request::stream(&format!("s-{number}")))).await
        }
    });
    let ended = join_all(streams).await;
    assert!(ended.iter().all(Result::is_ok), "each stream ends");
    peak_bytes(&daemon)
}

// Guards against error replies that together take the memory of a VM.
#[tokio::test]
async fn error_replies_fit() {
    let head = "HTTP/1.1 500 X\r\nAttempt-Id: {id}\r\nReplica-Signature: s\r\n\r\n";
    let peak = peak_under(head).await;
    assert!(peak < VM_BYTES, "{peak} bytes");
}

// Guards against the same by events that do not end.
#[tokio::test]
async fn events_fit() {
    let head = "HTTP/1.1 200 X\r\nAttempt-Id: {id}\r\nReplica-Signature: s\r\n\r\n";
    let peak = peak_under(head).await;
    assert!(peak < VM_BYTES, "{peak} bytes");
}

// Guards against the same by heads that do not end.
#[tokio::test]
async fn heads_fit() {
    let peak = peak_under("HTTP/1.1 200 X\r\nX-Field: ").await;
    assert!(peak < VM_BYTES, "{peak} bytes");
}
