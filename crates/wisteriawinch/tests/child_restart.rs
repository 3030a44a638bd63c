//! The supervisor restarts control tasks that fail, up to a limit.

mod common;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use common::idle_fleet;
use wisteriawinch::control::supervisor::{Child, supervise};

/// Panics at its first `failures` starts, and then runs on.
#[derive(Clone)]
struct Failing {
    starts: Arc<AtomicUsize>,
    failures: usize,
}

impl Child for Failing {
    fn name(&self) -> &'static str {
        "failing"
    }

    async fn run(self) {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        assert!(start >= self.failures, "injected failure of start {start}");
        std::future::pending::<()>().await;
    }
}

#[tokio::test(start_paused = true)]
async fn child_restarted() {
    let fleet = idle_fleet();
    let starts = Arc::new(AtomicUsize::new(0));
    let child = Failing { starts: starts.clone(), failures: 2 };
    let supervised = tokio::spawn(supervise(fleet.clone(), child));
    while starts.load(Ordering::Relaxed) < 3 {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    fleet.stop();
    assert_eq!(supervised.await.unwrap(), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn restarts_exhausted() {
    let child = Failing { starts: Arc::default(), failures: usize::MAX };
    assert_eq!(supervise(idle_fleet(), child).await, Err("failing"));
}
