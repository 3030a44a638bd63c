//! An order whose bytes a partition holds up does not reach its replica after its daemon was killed.

#[path = "../../../platform/tests/common/mod.rs"]
mod common;
mod entry;

use std::time::Duration;

use common::{Caller, Mode, Proxy, Replica, Request, Store, TIMEOUT};
use entry::{Addresses, Process};
use tokio::time::{sleep, timeout};
use winch_http::client::Connection;

/// Time within which a daemon sends an order, and bytes that are no longer held up arrive.
const SENDING_TIME: Duration = Duration::from_millis(400);

/// A caller with a connection to the daemon, once it has served a request of this caller.
async fn served_caller(daemon: &Process) -> Caller {
    let serves = async {
        loop {
            if let Ok(connection) = Connection::open(daemon.addresses.callers, TIMEOUT).await {
                let mut caller = Caller { connection };
                let response = caller.send(Request::order("first")).await;
                if response.is_ok_and(|response| response.status.is_success()) {
                    return caller;
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, serves).await.expect("the daemon serves")
}

// Guards against orders that run seconds after the process that sent them has ended.
#[tokio::test]
async fn held_order_ends_with_process() {
    let replica = Replica::start("d-1", "desk", "a").await;
    let proxy = Proxy::start(replica.address).await;
    let store = Store::with_replicas::<Replica>(&[]).await;
    store.put("servers", "d-1", &replica.entry_at(proxy.address, "ready"));
    let (addresses, folder) = (Addresses::unused(), entry::folder());
    let seeds = [addresses.control];
    let mut daemon = Process::start(0, "a", addresses, &seeds, store.address, &folder);
    let mut caller = served_caller(&daemon).await;
    proxy.set_mode(Mode::Hold);
    let order = tokio::spawn(async move { caller.send(Request::order("held")).await });
    sleep(SENDING_TIME).await;
    daemon.kill();
    assert!(order.await.expect("no panic").is_err(), "its connection is closed");
    proxy.set_mode(Mode::Open);
    sleep(SENDING_TIME).await;
    let has_id =
        |id: &str| replica.count_received(|request| request.header("attempt-id") == Some(id)) > 0;
    assert!(has_id("first"));
    assert!(!has_id("held"), "the order has arrived");
}
