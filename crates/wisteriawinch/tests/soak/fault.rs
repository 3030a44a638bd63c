//! Faults from outside, in series that overlap.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng};
use tokio::time::sleep;

use super::{
    common::{Mode, Step, store::Fault, store::config},
    fleet::Fleet,
};

/// Longest pause between two faults; shorter than most of them last.
const MAX_PAUSE_MS: u64 = 400;

/// Lets one random fault begin or end; the promises that it broke.
pub(crate) async fn strike(fleet: &Fleet, rng: &mut SmallRng) -> Vec<String> {
    let daemon = rng.random_range(0..3);
    let server = &fleet.servers[rng.random_range(0..fleet.servers.len())];
    let short = Duration::from_millis(rng.random_range(50..900));
    let mut broken = Vec::new();
    match rng.random_range(0..14) {
        0 => {
            fleet.kill(daemon);
            sleep(short / 4).await;
            fleet.restart(daemon);
        }
        1 => broken.extend(planned_stop(fleet, daemon).await),
        2 => {
            fleet.signal(daemon, "-STOP");
            sleep(short).await;
            fleet.signal(daemon, "-CONT");
        }
        3 => fleet.signal(daemon, "-HUP"),
        4 => server.proxy.reset(),
        5 => {
            server.proxy.set_mode(if rng.random_bool(0.5) {
                Mode::DropToClient
            } else {
                Mode::DropToServer
            });
        }
        6 => server.proxy.set_mode(Mode::Refuse),
        7 => server.proxy.set_delay(short / 4),
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
            let acts = [
                Step::Refuse,
                Step::CloseWithoutReply,
                Step::BreakAfter(last),
                Step::StallAfter(last),
            ];
            let act = acts[rng.random_range(0..acts.len())].clone();
            let streams = server.replica.service == "model";
            if streams || matches!(act, Step::Refuse | Step::CloseWithoutReply) {
                server.replica.push_step(act);
            }
        }
        12 => {
            // All replicas of one data centre break off at once.
            let dc = server.replica.dc;
            let same = fleet.servers.iter().filter(|server| server.replica.dc == dc);
            same.for_each(|server| server.proxy.reset());
        }
        _ => fleet.open_ways(),
    }
    sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
    broken
}

/// Stops one daemon as the platform does, and starts it again.
async fn planned_stop(fleet: &Fleet, daemon: usize) -> Vec<String> {
    fleet.signal(daemon, "-TERM");
    fleet.wait_ended(daemon).await;
    let status = fleet.ended(daemon).expect("it has ended");
    fleet.restart(daemon);
    if status.success() { Vec::new() } else { vec![format!("a planned stop ended with {status}")] }
}

/// Ends all faults, and tells of processes that have ended by themselves.
pub(crate) async fn heal(fleet: &Fleet) -> Vec<String> {
    fleet.open_ways();
    let ended = (0..3).filter_map(|daemon| Some((daemon, fleet.ended(daemon)?)));
    let broken: Vec<String> = ended
        .map(|(daemon, status)| format!("daemon {daemon} ended by itself: {status}"))
        .collect();
    // Replicas that were silent are avoided for a while.
    sleep(Duration::from_millis(200)).await;
    broken
}
