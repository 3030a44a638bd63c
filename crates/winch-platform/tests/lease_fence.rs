//! A lease has one holder at a time, also when holders pause, restart or lose responses;
//! each new holder gets a higher fencing token.

use std::time::Duration;

use assert_matches::assert_matches;
use tokio::time::{Instant, advance};
use winch_platform::{
    lease::{Lease, Options},
    memory::{Fault, Memory},
    table::Error,
};

const TERM: Duration = Duration::from_secs(6);

fn lease(holder: &str) -> Lease {
    Lease::new(Options { key: "lease/m".into(), holder: holder.into(), term: TERM })
}

#[tokio::test(start_paused = true)]
async fn one_holder() {
    let table = Memory::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    assert_matches!(a.acquire(&table).await, Ok(Some(1)));
    for _ in 0..10 {
        assert_matches!(b.acquire(&table).await, Ok(None));
        advance(TERM / 3).await;
        assert_matches!(a.acquire(&table).await, Ok(Some(1)));
    }
}

#[tokio::test(start_paused = true)]
async fn paused_holder() {
    let table = Memory::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    assert_matches!(a.acquire(&table).await, Ok(Some(1)));
    assert_matches!(b.acquire(&table).await, Ok(None));
    advance(TERM).await;
    // By its own clock the old holder loses the lease before the new one acquires it.
    assert_eq!(a.fencing_token(Instant::now()), None);
    assert_matches!(b.acquire(&table).await, Ok(Some(2)));
    assert_matches!(a.acquire(&table).await, Ok(None));
    assert_eq!(b.fencing_token(Instant::now()), Some(2));
}

#[tokio::test(start_paused = true)]
async fn lost_response() {
    let table = Memory::default();
    let mut a = lease("a");
    table.set_fault(Fault { lose_answers: 1, ..Fault::default() });
    assert_matches!(a.acquire(&table).await, Err(Error::Lost { .. }));
    assert_eq!(a.fencing_token(Instant::now()), None);
    // The token of the lost commit is never used.
    assert_matches!(a.acquire(&table).await, Ok(Some(2)));
}

#[tokio::test(start_paused = true)]
async fn restarted_holder() {
    let table = Memory::default();
    assert_matches!(lease("a").acquire(&table).await, Ok(Some(1)));
    assert_matches!(lease("a").acquire(&table).await, Ok(Some(2)));
}

#[tokio::test(start_paused = true)]
async fn outage_expires() {
    let table = Memory::default();
    let mut a = lease("a");
    assert_matches!(a.acquire(&table).await, Ok(Some(1)));
    table.set_fault(Fault { outage: true, ..Fault::default() });
    assert_matches!(a.acquire(&table).await, Err(Error::Unavailable { .. }));
    assert_eq!(a.fencing_token(Instant::now()), Some(1));
    advance(TERM).await;
    assert_eq!(a.fencing_token(Instant::now()), None);
}
