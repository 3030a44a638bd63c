//! Each version move ends in one verdict, and a faulty version loses its traffic.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use common::{
    Generation, RunningEngine, World, base_objects, engine, engine_options, until, upstream,
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};
use winch_platform::{lease, table::Table};
use winch_standin::{engine::Fault, platform};
use wisteriawinch::prelude::unix_now;

/// Two daemons, four engines of the old version and two of the new one.
async fn world_with_versions() -> (World, Vec<RunningEngine>) {
    let world = World::new(2).await;
    let mut objects = base_objects();
    let mut engines = Vec::new();
    for (number, version) in ["v1", "v1", "v1", "v1", "v2", "v2"].into_iter().enumerate() {
        let mut options = engine_options(version);
        options.gap = Duration::from_millis(2);
        let running = engine(options).await;
        objects.push(upstream(&format!("e{number}"), running.address, version));
        engines.push(running);
    }
    world.apply(&objects).await;
    (world, engines)
}

/// A move from `v1` to `v2` that starts now and has to end within `within` seconds.
fn move_object(within: u64) -> Value {
    let start = unix_now();
    json!({
        "kind": "move", "name": "to-v2", "route": "layout", "from": "v1", "to": "v2",
        "start": start, "deadline": start + within,
    })
}

/// Sends requests to all daemons except the first `skipped` ones until the flag is set.
///
/// The task returns the number of complete answers.
fn start_traffic(
    world: &World,
    skipped: usize,
) -> (Arc<AtomicBool>, tokio::task::JoinHandle<usize>) {
    let urls: Vec<String> = world.daemons[skipped..].iter().map(|d| d.url.clone()).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let (stopped, client) = (stop.clone(), world.client.clone());
    let handle = tokio::spawn(async move {
        let mut complete = 0;
        while !stopped.load(Ordering::Relaxed) {
            let generations = (0..12).map(|number| {
                let (client, url) = (client.clone(), urls[number % urls.len()].clone());
                async move {
                    let mut generation =
                        Generation::new(&format!("plan {number} {}", rand::random::<u32>()), 5);
                    generation.read(&client, &url).await.unwrap();
                    generation.check();
                }
            });
            complete += futures_util::future::join_all(generations).await.len();
        }
        complete
    });
    (stop, handle)
}

/// Waits until every daemon has the verdict, and returns the status of the move.
async fn wait_verdict(world: &World) -> Value {
    for daemon in 0..world.daemons.len() {
        until("the move has its verdict", || async {
            !world.move_status(daemon, "to-v2").await["verdict"].is_null()
        })
        .await;
    }
    world.move_status(0, "to-v2").await
}

#[tokio::test(flavor = "multi_thread")]
async fn good_version_completes() {
    let (world, engines) = world_with_versions().await;
    let (stop, traffic) = start_traffic(&world, 0);
    world.apply(&[move_object(40)]).await;
    let status = wait_verdict(&world).await;
    assert_eq!(status["verdict"], "completed", "{status}");
    let tokens_before: u64 = engines[..4].iter().map(|e| e.engine.generated_tokens()).sum();
    common::all_complete(common::start_generations(&world, 1, 8, 10)).await;
    stop.store(true, Ordering::Relaxed);
    assert!(traffic.await.unwrap() > 100);
    let tokens_after: u64 = engines[..4].iter().map(|e| e.engine.generated_tokens()).sum();
    assert_eq!(tokens_before, tokens_after, "the old version gets no requests after the verdict");
}

#[tokio::test(flavor = "multi_thread")]
async fn failing_version_taken_back() {
    let (world, engines) = world_with_versions().await;
    for running in &engines[4..] {
        running.engine.set_fault(Fault { fail_percent: 100, ..Fault::default() });
    }
    let (stop, traffic) = start_traffic(&world, 0);
    world.apply(&[move_object(40)]).await;
    let status = wait_verdict(&world).await;
    assert_eq!(status["verdict"], "taken_back", "{status}");
    stop.store(true, Ordering::Relaxed);
    // All requests were completed by the old version.
    assert!(traffic.await.unwrap() > 0);
    assert_eq!(engines[4].engine.generated_tokens() + engines[5].engine.generated_tokens(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn fault_without_table() {
    let (world, engines) = world_with_versions().await;
    let (stop, traffic) = start_traffic(&world, 0);
    world.apply(&[move_object(60)]).await;
    until("the move has started", || async {
        world.move_status(0, "to-v2").await["stage"].as_u64() >= Some(2)
    })
    .await;
    world.platform.set_fault(&platform::Fault { outage: true, ..Default::default() });
    for running in &engines[4..] {
        running.engine.set_fault(Fault { fail_percent: 100, ..Fault::default() });
    }
    for daemon in 0..2 {
        until("the fault is reported", || async {
            world.move_status(daemon, "to-v2").await["fault"] == true
        })
        .await;
    }
    // The verdict is recorded only when the table is available again.
    assert!(world.move_status(0, "to-v2").await["verdict"].is_null());
    world.platform.set_fault(&platform::Fault::default());
    assert_eq!(wait_verdict(&world).await["verdict"], "taken_back");
    stop.store(true, Ordering::Relaxed);
    traffic.await.unwrap();
}

// Guards against a holder that gives up its evidence since it cannot record a step for a moment.
#[tokio::test(flavor = "multi_thread")]
async fn failed_record_keeps_evidence() {
    let (world, _engines) = world_with_versions().await;
    let (stop, traffic) = start_traffic(&world, 0);
    world.apply(&[move_object(40)]).await;
    until("the move has started", || async {
        world.move_status(0, "to-v2").await["stage"].as_u64() >= Some(2)
    })
    .await;
    // Then the next step is due within the outage, which is shorter than the term of a lease.
    sleep(Duration::from_secs(3)).await;
    world.platform.set_fault(&platform::Fault { outage: true, ..Default::default() });
    let mut ends_at = Some(Instant::now() + Duration::from_secs(4));
    let mut last = [(0, 0); 2];
    let mut lost = Vec::new();
    while world.move_status(0, "to-v2").await["verdict"].is_null() {
        if ends_at.take_if(|ends_at| Instant::now() >= *ends_at).is_some() {
            world.platform.set_fault(&platform::Fault::default());
        }
        for (daemon, last) in last.iter_mut().enumerate() {
            let status = world.move_status(daemon, "to-v2").await;
            let (stage, good) = (status["stage"].as_u64(), status["new"]["good"].as_u64());
            let seen = (stage.unwrap_or(0), good.unwrap_or(0));
            if seen.0 <= last.0 && seen.1 < last.1 {
                lost.push((daemon, *last, seen));
            }
            *last = seen;
        }
        sleep(Duration::from_millis(100)).await;
    }
    assert!(lost.is_empty(), "evidence before and after: {lost:?}");
    assert_eq!(world.move_status(0, "to-v2").await["verdict"], "completed");
    stop.store(true, Ordering::Relaxed);
    traffic.await.unwrap();
}

/// Number of times that the lease of the move has been acquired or renewed.
async fn renewals(world: &World) -> u64 {
    let row = world.platform.memory().read("lease/move/to-v2").await.expect("no outage");
    row.map_or(0, |row| serde_json::from_str::<lease::Record>(&row.value).expect("a lease").beat)
}

// Guards against a holder that waits for a whole interval after a renewal that failed, while its lease runs out.
#[tokio::test(flavor = "multi_thread")]
async fn failed_renewal_repeated() {
    let (world, _engines) = world_with_versions().await;
    world.apply(&[move_object(40)]).await;
    until("the lease is held", || async { renewals(&world).await > 0 }).await;
    let held = renewals(&world).await;
    until("the lease is renewed", || async { renewals(&world).await > held }).await;
    let renewed = renewals(&world).await;
    // The next renewal is due 2 s to 2.5 s after that one.
    sleep(Duration::from_millis(1_900)).await;
    world.platform.set_fault(&platform::Fault { outage: true, ..Default::default() });
    sleep(Duration::from_millis(800)).await;
    world.platform.set_fault(&platform::Fault::default());
    let ended_at = Instant::now();
    until("the lease is renewed again", || async { renewals(&world).await > renewed }).await;
    let waited = ended_at.elapsed();
    assert!(waited < Duration::from_secs(1), "renewed {waited:?} after the outage");
}

#[tokio::test(flavor = "multi_thread")]
async fn deadline_expires() {
    let (world, engines) = world_with_versions().await;
    world.apply(&[move_object(3)]).await;
    let status = wait_verdict(&world).await;
    assert_eq!(status["verdict"], "expired", "{status}");
    common::all_complete(common::start_generations(&world, 0, 8, 10)).await;
    assert_eq!(engines[4].engine.generated_tokens() + engines[5].engine.generated_tokens(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_cancels() {
    let (world, _engines) = world_with_versions().await;
    let object = move_object(60);
    world.apply(std::slice::from_ref(&object)).await;
    let mut cancelled = object;
    cancelled["cancelled"] = json!(true);
    world.apply(&[cancelled]).await;
    assert_eq!(wait_verdict(&world).await["verdict"], "cancelled");
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_dies() {
    let (mut world, _engines) = world_with_versions().await;
    world.add_daemon().await;
    world.wait_revision(2, 1).await;
    let (stop, traffic) = start_traffic(&world, 1);
    world.apply(&[move_object(50)]).await;
    until("the move has started", || async {
        world.move_status(1, "to-v2").await["stage"].as_u64() >= Some(1)
    })
    .await;
    world.daemons[0].runtime.kill();
    until("the move has its verdict", || async {
        !world.move_status(1, "to-v2").await["verdict"].is_null()
    })
    .await;
    assert_eq!(world.move_status(1, "to-v2").await["verdict"], "completed");
    stop.store(true, Ordering::Relaxed);
    traffic.await.unwrap();
}
