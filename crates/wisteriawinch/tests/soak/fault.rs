//! Random faults of processes, connections, replicas and the store; they may overlap.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};
use tokio::time::sleep;

use super::{
    common::{Mode, Step, store::Fault, store::config},
    fleet::Fleet,
};

/// Longest time between two faults; shorter than most faults last.
const MAX_INTERVAL_MS: u64 = 400;

/// Starts one random fault or ends all network and store faults; returns the
/// violated guarantees.
pub(crate) async fn inject(fleet: &Fleet, rng: &mut SmallRng) -> Vec<String> {
    let daemon = rng.random_range(0..3);
    let target = &fleet.replicas[rng.random_range(0..fleet.replicas.len())];
    let short = Duration::from_millis(rng.random_range(50..900));
    let mut violations = Vec::new();
    match rng.random_range(0..14) {
        0 => {
            fleet.kill(daemon);
            sleep(short / 4).await;
            fleet.restart(daemon);
        }
        1 => violations.extend(graceful_stop(fleet, daemon).await),
        2 => {
            fleet.signal(daemon, "-STOP");
            sleep(short).await;
            fleet.signal(daemon, "-CONT");
        }
        3 => fleet.signal(daemon, "-HUP"),
        4 => target.proxy.reset(),
        5 => {
            target.proxy.set_mode(if rng.random_bool(0.5) {
                Mode::DropToClient
            } else {
                Mode::DropToServer
            });
        }
        6 => target.proxy.set_mode(Mode::Refuse),
        7 => target.proxy.set_delay(short / 4),
        8 => fleet.store.set_fault(Some(if rng.random_bool(0.5) {
            Fault::Busy
        } else {
            Fault::Unresponsive
        })),
        9 => fleet.store_proxy.reset(),
        10 => {
            let version = 10 + rng.random_range(1..1_000_000);
            fleet.store.put("op", "config", &config(version));
            fleet.store.compact();
        }
        11 => {
            let last = rng.random_range(0..12);
            let steps = [
                Step::Refuse,
                Step::CloseWithoutReply,
                Step::BreakAfter(last),
                Step::StallAfter(last),
            ];
            let step = steps[rng.random_range(0..steps.len())].clone();
            let serves_streams = target.replica.service == "model";
            if serves_streams || matches!(step, Step::Refuse | Step::CloseWithoutReply) {
                target.replica.push_step(step);
            }
        }
        12 => {
            // Resets the connections to all replicas of one data centre.
            let dc = target.replica.dc;
            let same_dc = fleet.replicas.iter().filter(|other| other.replica.dc == dc);
            same_dc.for_each(|other| other.proxy.reset());
        }
        _ => fleet.clear_faults(),
    }
    sleep(Duration::from_millis(rng.random_range(0..MAX_INTERVAL_MS))).await;
    violations
}

/// Stops a daemon with SIGTERM, as the platform does, and starts it again.
async fn graceful_stop(fleet: &Fleet, daemon: usize) -> Vec<String> {
    fleet.signal(daemon, "-TERM");
    fleet.wait_exited(daemon).await;
    let status = fleet.exit_status(daemon).expect("the process has exited");
    fleet.restart(daemon);
    if status.success() {
        Vec::new()
    } else {
        vec![format!("a graceful stop exited with {status}")]
    }
}

/// Ends all faults and reports daemons that exited by themselves.
pub(crate) async fn clear(fleet: &Fleet) -> Vec<String> {
    fleet.clear_faults();
    let exited = (0..3).filter_map(|daemon| Some((daemon, fleet.exit_status(daemon)?)));
    let violations: Vec<String> = exited
        .map(|(daemon, status)| format!("daemon {daemon} exited by itself: {status}"))
        .collect();
    // Daemons back off from unresponsive replicas for a while after the fault ends.
    sleep(Duration::from_millis(200)).await;
    violations
}
