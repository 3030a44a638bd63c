//! Supervision of control tasks, which are restarted when they fail, and the wait for a stop
//! signal.

use std::{collections::VecDeque, future::Future};

use tokio::{
    signal::unix::{SignalKind, signal},
    task::{Id, JoinSet},
    time::{Instant, sleep},
};

use crate::{emit, prelude::*};

/// A control task that runs until the daemon stops.
pub trait Child: Clone + Send + 'static {
    /// Name of the task in events.
    fn name(&self) -> &'static str;

    /// Runs the task, which need not end: [`supervise`] aborts it when the daemon stops.
    fn run(self) -> impl Future<Output = ()> + Send;
}

/// Restarts of a task that are allowed within [`RESTART_WINDOW`].
const MAX_RESTARTS: usize = 5;
const RESTART_WINDOW: Duration = Duration::from_secs(60);
const RESTART_BACKOFF: Duration = Duration::from_millis(100);

/// Runs a child until the daemon stops, and restarts it whenever it ends or panics.
///
/// # Errors
/// The name of the child if it ended or panicked more often than its restart limit allows.
pub async fn supervise<C: Child>(fleet: Arc<Fleet>, child: C) -> Result<(), &'static str> {
    let mut restarts: VecDeque<Instant> = VecDeque::new();
    loop {
        let mut task = JoinSet::new();
        let _: Id = task.spawn(child.clone().run()).id();
        let ended = tokio::select! {
            ended = task.join_next() => ended,
            () = fleet.stopped() => {
                task.shutdown().await;
                return Ok(());
            }
        };
        let reason = match ended {
            Some(Err(error)) if error.is_panic() => "panicked",
            _ => "ended",
        };
        emit!(Event::TaskRestarted, child = child.name(), reason = reason);
        let now = Instant::now();
        restarts.retain(|at| now.duration_since(*at) < RESTART_WINDOW);
        restarts.push_back(now);
        if restarts.len() > MAX_RESTARTS {
            emit!(Event::RestartLimitReached, child = child.name());
            return Err(child.name());
        }
        sleep(RESTART_BACKOFF).await;
    }
}

/// Waits for SIGTERM or SIGINT. The signals are handled from the call on, not only once the
/// future is polled.
///
/// # Panics
/// If no signal handler can be installed.
pub fn handle_signal() -> impl Future<Output = ()> {
    let mut terminate = signal(SignalKind::terminate()).expect("a signal handler can be installed");
    let mut interrupt = signal(SignalKind::interrupt()).expect("a signal handler can be installed");
    async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }
}

/// Waits for the next SIGTERM or SIGINT after the first poll.
///
/// # Panics
/// As [`handle_signal()`].
pub async fn wait_for_signal() {
    handle_signal().await;
}
