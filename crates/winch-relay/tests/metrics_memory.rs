//! The memory of the metrics does not grow with the requests.

use std::time::Duration;

use tokio::{net::TcpListener, time::sleep};
use winch_relay::{counter, exposition};

/// Requests between two times at which the recorder has the time for its upkeep.
const BATCH: usize = 200_000;
/// Longer than the interval of the upkeep.
const PAUSE: Duration = Duration::from_secs(10);
const BATCHES: usize = 20;
/// Memory that the samples of a few batches may take; all of them take more than twice as much.
const MAX_GROWTH_BYTES: u64 = 24 * 1024 * 1024;

/// Bytes of this process in memory.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a line");
    let kib: u64 = line.trim().trim_end_matches(" kB").parse().expect("a number");
    kib * 1024
}

fn record_batch() {
    for _ in 0..BATCH {
        counter::ended("lookup", "served", Duration::from_millis(3));
    }
}

// Guards against samples that are kept until somebody fetches the metrics.
#[tokio::test(start_paused = true)]
async fn unread_metrics_bounded() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let metrics = tokio::spawn(exposition::run(listener));
    sleep(PAUSE).await;
    for _ in 0..2 {
        record_batch();
        sleep(PAUSE).await;
    }
    let before = resident_bytes();
    for _ in 0..BATCHES {
        record_batch();
        sleep(PAUSE).await;
    }
    let growth = resident_bytes().saturating_sub(before);
    assert!(growth <= MAX_GROWTH_BYTES, "{growth} bytes after {} requests", BATCH * BATCHES);
    metrics.abort();
}
