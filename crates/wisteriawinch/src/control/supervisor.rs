//! The supervisor tree: control tasks that are restarted, and a planned stop.

use std::{collections::VecDeque, future::Future};

use tokio::{
    signal::unix::{SignalKind, signal},
    task::{Id, JoinSet},
    time::{Instant, sleep},
};

use crate::{emit, prelude::*};

/// A task that runs until the daemon stops.
pub trait Child: Clone + Send + 'static {
    /// Its name in events.
    fn name(&self) -> &'static str;

    /// Runs it; must end soon after `fleet.stopped()` does.
    fn run(self) -> impl Future<Output = ()> + Send;
}

/// Restarts allowed within [`RESTART_WINDOW`].
const RESTARTS: usize = 5;
const RESTART_WINDOW: Duration = Duration::from_secs(60);
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Runs a child, again after it failed, until the daemon stops.
///
/// # Errors
/// The child's name when it failed too often.
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
        emit!(Event::ChildRestarted, child = child.name(), reason = reason);
        let now = Instant::now();
        restarts.retain(|at| now.duration_since(*at) < RESTART_WINDOW);
        restarts.push_back(now);
        if restarts.len() > RESTARTS {
            emit!(Event::ChildGivenUp, child = child.name());
            return Err(child.name());
        }
        sleep(RESTART_PAUSE).await;
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Panics
/// If the process cannot listen to signals.
pub async fn wait_for_signal() {
    let mut terminate = signal(SignalKind::terminate()).expect("signals can be listened to");
    let mut interrupt = signal(SignalKind::interrupt()).expect("signals can be listened to");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
