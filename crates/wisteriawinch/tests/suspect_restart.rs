//! A request that is refused because it crashes engines stays refused after the loss of all
//! daemons.

mod common;

use common::{Generation, RunningEngine, World, fleet, until};
use winch_platform::table::Table;
use winch_standin::{engine::Fault, load::Error};

/// Prompt that crashes the engines that run it.
const PROMPT: &str = "the poison";
/// Attempts after which the request must be refused.
const MAX_ATTEMPTS: usize = 8;

async fn crashed_count(engines: &[RunningEngine]) -> usize {
    let mut count = 0;
    for running in engines {
        count += usize::from(tokio::net::TcpStream::connect(running.address).await.is_err());
    }
    count
}

/// Whether the daemon refuses the request.
async fn is_refused(world: &World, daemon: usize) -> bool {
    let mut generation = Generation::new(PROMPT, 20);
    let read = generation.read(&world.client, world.url(daemon)).await;
    matches!(read, Err(Error::Refused { body }) if body.contains("suspect"))
}

// Guards against a refused request that crashes engines again after the loss of all daemons.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_outlives_daemons() {
    let (mut world, engines) = fleet(2, 8).await;
    for running in &engines {
        let poison = Some("poison".to_owned());
        running.engine.set_fault(Fault { poison, ..Fault::default() });
    }
    let mut attempts = 0;
    while !is_refused(&world, attempts % 2).await {
        attempts += 1;
        assert!(attempts < MAX_ATTEMPTS, "it is refused at last");
    }
    let platform = world.platform.clone();
    until("the refusal is stored", || async {
        platform.memory().scan("suspects/", "", 10).await.is_ok_and(|rows| !rows.is_empty())
    })
    .await;
    let crashed = crashed_count(&engines).await;
    world.daemons.iter().for_each(|daemon| daemon.runtime.kill());
    world.daemons.clear();
    for daemon in 0..2 {
        world.add_daemon().await;
        world.wait_revision(daemon, 1).await;
        assert!(is_refused(&world, daemon).await, "by a daemon that has never seen it");
    }
    assert_eq!(crashed_count(&engines).await, crashed);
}
