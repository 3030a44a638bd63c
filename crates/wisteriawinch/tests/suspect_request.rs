//! A request that kills engines costs few of them, and innocents complete.

mod common;

use common::{Ask, all_complete, ask_many, fleet, until};
use winch_standin::{engine::Fault, load::Error};

/// Engines that one such request may cost the whole fleet.
const ENGINES_LOST: usize = 3;

#[tokio::test(flavor = "multi_thread")]
async fn few_lost() {
    let (world, engines) = fleet(2, 6).await;
    for part in &engines {
        let poison = Some("poison".to_owned());
        part.engine.set_fault(Fault { poison, ..Fault::default() });
    }
    let innocents = ask_many(&world, 0, 12, 200);
    until("the innocents are under way", || async {
        engines.iter().map(|e| e.engine.served()).sum::<u64>() > 50
    })
    .await;
    let mut refused = 0;
    for attempt in 0..6 {
        // Sent again, to another daemon and with other white space.
        let prompt = format!("the poison{}", " ".repeat(attempt));
        let mut ask = Ask::new(&prompt, 20);
        if let Err(Error::Refused { body }) = ask.read(&world.client, world.url(attempt % 2)).await
        {
            refused += usize::from(body.contains("suspect"));
        }
    }
    all_complete(innocents).await;
    let dead = futures_util::future::join_all(
        engines
            .iter()
            .map(|part| async { tokio::net::TcpStream::connect(part.address).await.is_err() }),
    )
    .await;
    let lost = dead.into_iter().filter(|dead| *dead).count();
    assert!(lost <= ENGINES_LOST, "{lost} engines lost");
    assert!(refused >= 1);
}
