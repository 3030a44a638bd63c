//! A signal does not end a daemon that has just begun to listen.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
mod entry;

use std::net::TcpStream;

use common::{Store, wait_until};
use entry::{Addresses, Process};

const SIGHUP: u32 = 1;
const SIGTERM: u32 = 15;
/// Starts of the daemon; the moment between two steps of a start is short.
const STARTS: usize = 25;

/// Whether the process handles a signal.
fn handles(daemon: &Process, signal: u32) -> bool {
    let mask = daemon.status("SigCgt").expect("the process runs");
    let mask = u64::from_str_radix(&mask, 16).expect("a mask");
    mask >> (signal - 1) & 1 == 1
}

// Guards against connections that are reset because a signal comes before its handler.
#[tokio::test]
async fn handlers_precede_listeners() {
    let store = Store::empty().await;
    let folder = entry::folder();
    for _ in 0..STARTS {
        let addresses = Addresses::unused();
        let daemon =
            Process::start(0, "a", addresses, &[addresses.control], store.address, &folder);
        while TcpStream::connect(addresses.callers).is_err() {}
        assert!(handles(&daemon, SIGTERM) && handles(&daemon, SIGHUP));
    }
}

#[tokio::test]
async fn early_stop_is_graceful() {
    let store = Store::empty().await;
    let folder = entry::folder();
    let addresses = Addresses::unused();
    let mut daemon =
        Process::start(0, "a", addresses, &[addresses.control], store.address, &folder);
    while TcpStream::connect(addresses.callers).is_err() {}
    daemon.signal("-HUP");
    daemon.signal("-TERM");
    wait_until("the process has exited", || daemon.exit_status().is_some()).await;
    assert!(daemon.exit_status().expect("exited").success());
}
