//! A lease has one holder at a time, also when holders pause, restart or lose responses;
//! each new holder gets a higher fencing token.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use assert_matches::assert_matches;
use tokio::time::{Instant, advance};
use winch_platform::{
    lease::{Lease, Options},
    memory::{Fault, Memory},
    table::{Commit, Error, Row, Table, Transaction},
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

/// A table that can go back to an older copy.
#[derive(Clone, Default)]
struct Restorable {
    memory: Memory,
    era: Arc<AtomicU64>,
}

impl Restorable {
    /// Begins a new era without rows, with versions from the first on.
    fn restored(&self) -> Self {
        self.era.fetch_add(1, Ordering::Relaxed);
        Self { memory: Memory::default(), era: self.era.clone() }
    }
}

impl Table for Restorable {
    fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    async fn commit(&self, txn: Transaction) -> Result<Commit, Error> {
        self.memory.commit(txn).await
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        self.memory.read(key).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Error> {
        self.memory.scan(prefix, after, limit).await
    }
}

#[tokio::test(start_paused = true)]
async fn restored_token_higher() {
    let table = Restorable::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    assert_matches!(a.acquire(&table).await, Ok(Some(1)));
    let table = table.restored();
    // The row is gone, and the holder of the lost history still counts on its term.
    let Ok(Some(token)) = b.acquire(&table).await else { panic!("the lease is free") };
    assert!(Some(token) > a.fencing_token(Instant::now()), "tokens never repeat");
    assert_matches!(a.acquire(&table).await, Ok(None));
    assert_eq!(a.fencing_token(Instant::now()), None);
}

#[tokio::test(start_paused = true)]
async fn restored_version_unseen() {
    let table = Restorable::default();
    let (mut a, mut b) = (lease("a"), lease("b"));
    assert_matches!(a.acquire(&table).await, Ok(Some(_)));
    assert_matches!(b.acquire(&table).await, Ok(None));
    let table = table.restored();
    assert_matches!(a.acquire(&table).await, Ok(Some(_)));
    advance(TERM).await;
    // The row has the version that was seen before, but is not the row that was seen.
    assert_matches!(b.acquire(&table).await, Ok(None));
}
