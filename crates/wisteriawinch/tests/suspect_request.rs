//! A request that crashes engines is refused after few crashes, and other requests complete.

mod common;

use common::{Generation, all_complete, fleet, start_generations, until};
use serde_json::Value;
use winch_standin::{engine::Fault, load::Error};

/// Largest number of engines in the whole fleet that one such request may crash.
const MAX_CRASHED: usize = 3;

#[tokio::test(flavor = "multi_thread")]
async fn crashes_limited() {
    let (world, engines) = fleet(2, 6).await;
    for running in &engines {
        let poison = Some("poison".to_owned());
        running.engine.set_fault(Fault { poison, ..Fault::default() });
    }
    let others = start_generations(&world, 0, 12, 200);
    until("the other requests are in progress", || async {
        engines.iter().map(|e| e.engine.generated_tokens()).sum::<u64>() > 50
    })
    .await;
    let mut refused = 0;
    for attempt in 0..6 {
        // Consecutive attempts go to different daemons, and their prompts differ in white space
        // only.
        let prompt = format!("the poison{}", " ".repeat(attempt));
        let mut generation = Generation::new(&prompt, 20);
        if let Err(Error::Refused { body }) =
            generation.read(&world.client, world.url(attempt % 2)).await
        {
            refused += usize::from(body.contains("suspect"));
        }
    }
    all_complete(others).await;
    let refuses_connection =
        futures_util::future::join_all(engines.iter().map(|running| async {
            tokio::net::TcpStream::connect(running.address).await.is_err()
        }))
        .await;
    let crashed = refuses_connection.into_iter().filter(|refuses| *refuses).count();
    assert!(crashed <= MAX_CRASHED, "{crashed} engines crashed");
    assert!(refused >= 1);
}

// Guards against a promise that a call has not run which has crashed engines.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_call_may_have_run() {
    let (world, engines) = fleet(1, 6).await;
    for running in &engines {
        let poison = Some("poison".to_owned());
        running.engine.set_fault(Fault { poison, ..Fault::default() });
    }
    let mut refusals = Vec::new();
    for _ in 0..2 {
        let mut generation = Generation::new("the poison", 20);
        match generation.read(&world.client, world.url(0)).await {
            Err(Error::Refused { body }) => {
                let body: Value = serde_json::from_str(&body).expect("JSON");
                refusals.push((body["error"]["code"].as_u64(), body["error"]["not_run"].clone()));
            }
            end => panic!("{end:?}"),
        }
    }
    let expected = [(Some(206), Value::from("unknown")), (Some(117), Value::Bool(true))];
    assert_eq!(refusals, expected, "the first call has crashed engines, and the second one none");
}
