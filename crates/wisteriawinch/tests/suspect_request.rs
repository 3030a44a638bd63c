//! A request that crashes engines is refused after few crashes, and other requests complete.

mod common;

use common::{Generation, all_complete, fleet, start_generations, until};
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
