//! Control tasks that fail are started again, within a budget.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use wisteriawinch::{
    control::supervisor::{Child, supervise},
    fleet::Fleet,
    settings::{Flags, Settings},
};

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
        assert!(start >= self.failures, "a failure on purpose");
        std::future::pending::<()>().await;
    }
}

fn idle_fleet() -> Arc<Fleet> {
    let text = |text: &str| Some(text.to_owned());
    let flags = Flags {
        name: text("entry-1"),
        dc: text("dc"),
        listen: text("127.0.0.1:1"),
        peer: text("127.0.0.1:2"),
        platform: text("http://127.0.0.1:3"),
        fleet_key: text("fleet-key-0123456789"),
        operator_token: text("operator-token-0123456789"),
        ..Flags::default()
    };
    Fleet::new(Settings::resolve(&flags, |_| None).unwrap())
}

#[tokio::test(start_paused = true)]
async fn restarted() {
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
async fn given_up() {
    let child = Failing { starts: Arc::default(), failures: usize::MAX };
    assert_eq!(supervise(idle_fleet(), child).await, Err("failing"));
}
