//! Random faults of processes, connections, replicas and the store; they may overlap.

use std::time::Duration;

use futures_util::future::join_all;
use rand::{Rng, rngs::SmallRng};
use tokio::time::{Instant, sleep, timeout};

use super::{
    common::{Mode, Request, Step, store::Fault, store::config},
    fleet::{Fleet, ProxiedReplica},
};

/// Time within which daemons learn what replicas say of themselves or have crashed on.
const LEARNING_TIME: Duration = Duration::from_millis(1_500);
/// Requests that reach a draining replica after that: one for each daemon that has none of its
/// answers yet, and those that were under way.
const MAX_LATE_REQUESTS: usize = 6;
/// Retries of a refused request that may reach replicas.
const MAX_CRASHING_RETRIES: usize = 3;
/// Body of a request that crashes the replicas that run it.
const CRASHING_BODY: &str = "a brief that crashes engines";
/// Time for which the store turns the daemons away while a replica leaves; less than an entry takes to
/// expire.
const TURNED_AWAY_TIME: Duration = Duration::from_millis(1_000);
/// Time without faults before that: a daemon counts an outage shortly before as a part of the next one.
const CALM_TIME: Duration = Duration::from_millis(3_000);
/// Delay of this process up to which the store has turned the daemons away for only that time.
const MAX_LAG: Duration = Duration::from_millis(250);
/// Time after the removal of its entry in which requests may still reach a replica.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Lookups that each daemon gets after that.
const LATE_LOOKUPS: usize = 12;
/// Patience of callers that leave before there is an answer.
const PATIENCE: Duration = Duration::from_millis(50);
/// Longest time between two faults; shorter than most faults last.
const MAX_INTERVAL_MS: u64 = 400;

/// Time for which a caller waits while all replicas are silent.
const SILENCE_DEADLINE: Duration = Duration::from_secs(3);

/// Silences all replicas, and sends orders to a random daemon over a kept connection; returns an error
/// if one gets no word before its caller stops waiting. A connection that breaks is a word.
pub(crate) async fn silence(fleet: &Fleet, rng: &mut SmallRng) -> Option<String> {
    let mut caller = fleet.caller(rng.random_range(0..fleet.size.daemons)).await?;
    for target in &fleet.replicas {
        target.replica.pause(SILENCE_DEADLINE);
    }
    let deadline_ms = SILENCE_DEADLINE.as_millis().to_string();
    for number in 0..2 {
        let id = format!("silence-{number}-{:x}", rng.random::<u64>());
        let order = Request::order(&id).with("deadline-ms", &deadline_ms);
        let Ok(reply) = timeout(SILENCE_DEADLINE, caller.send(order)).await else {
            return Some(format!("{id} got no word before its caller stopped waiting"));
        };
        reply.ok()?;
    }
    None
}

/// Starts one random fault or ends all network and store faults; returns the
/// violated guarantees.
pub(crate) async fn inject(fleet: &Fleet, rng: &mut SmallRng) -> Vec<String> {
    let daemon = rng.random_range(0..fleet.size.daemons);
    let target = &fleet.replicas[rng.random_range(0..fleet.replicas.len())];
    let short = Duration::from_millis(rng.random_range(50..900));
    let mut violations = Vec::new();
    match rng.random_range(0..18) {
        0 => kill(fleet, daemon, short / 4).await,
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
        13 => violations.extend(stop_beside_pause(fleet, daemon, rng).await),
        14 => {
            // A second reply arrives late, to a stream and to requests for copies.
            let models = fleet.replicas.iter().filter(|other| other.replica.service == "model");
            for other in models {
                other.replica.push_step(Step::CompleteTwice);
                other.replica.set_snapshots(short / 8, rng.random_bool(0.5));
            }
        }
        15 => violations.extend(unlisted_drain(fleet, target, rng).await),
        16 => violations.extend(crashing_request(fleet, rng).await),
        _ => fleet.clear_faults(),
    }
    sleep(Duration::from_millis(rng.random_range(0..MAX_INTERVAL_MS))).await;
    violations
}

/// Kills a daemon, and starts it again after a pause.
pub(crate) async fn kill(fleet: &Fleet, daemon: usize, pause: Duration) {
    let _turn = fleet.turn(daemon).await;
    fleet.kill(daemon);
    sleep(pause).await;
    fleet.restart(daemon);
}

/// Stops a daemon with SIGTERM, as the platform does, and starts it again.
async fn graceful_stop(fleet: &Fleet, daemon: usize) -> Option<String> {
    let _turn = fleet.turn(daemon).await;
    let violation = stop(fleet, daemon).await;
    fleet.restart(daemon);
    violation
}

/// Stops a daemon with SIGTERM.
pub(crate) async fn stop(fleet: &Fleet, daemon: usize) -> Option<String> {
    fleet.terminate(daemon);
    fleet.wait_exited(daemon).await;
    let status = fleet.exit_status(daemon).expect("the process has exited");
    (!status.success()).then(|| format!("a graceful stop exited with {status}"))
}

/// Stops a daemon while healthy replicas pause for a second.
async fn stop_beside_pause(fleet: &Fleet, daemon: usize, rng: &mut SmallRng) -> Option<String> {
    for other in fleet.replicas.iter().filter(|_| rng.random_bool(0.4)) {
        other.replica.pause(Duration::from_millis(1_000));
    }
    graceful_stop(fleet, daemon).await
}

/// Lets a replica drain, which says so in its replies only, while the daemons do not reach the
/// store. It comes back with another incarnation.
async fn unlisted_drain(fleet: &Fleet, target: &ProxiedReplica, rng: &mut SmallRng) -> Vec<String> {
    let _turns = fleet.all_turns().await;
    fleet.store.set_fault(Some(Fault::Unresponsive));
    target.replica.set_statement("Server-Leaving: 1\r\n");
    sleep(LEARNING_TIME).await;
    let known = target.replica.received().len();
    sleep(Duration::from_millis(rng.random_range(100..600))).await;
    // Each daemon may learn it from an answer of its own.
    let late = target.replica.received().len() - known;
    target.replica.set_statement("");
    fleet.store.set_fault(None);
    fleet.renew(target);
    let is_late = late > MAX_LATE_REQUESTS;
    let text = format!("{late} requests reached {} while it was draining", target.replica.id());
    is_late.then_some(text).into_iter().collect()
}

/// Lets a replica leave while the store turns all daemons away for a moment, which is no outage in which
/// its entry could have expired. It comes back with another incarnation.
pub(crate) async fn refused_removal(fleet: &Fleet) -> Vec<String> {
    fleet.clear_faults();
    fleet.wait_serving().await;
    sleep(CALM_TIME).await;
    let target = fleet.replicas.last().expect("some replicas");
    let turned_away_at = Instant::now();
    fleet.store_proxy.set_mode(Mode::Refuse);
    fleet.store_proxy.reset();
    sleep(TURNED_AWAY_TIME / 2).await;
    fleet.store.remove("servers", &target.replica.id());
    sleep(TURNED_AWAY_TIME / 2).await;
    fleet.store_proxy.set_mode(Mode::Open);
    // A process without processor time has turned them away for longer than it meant to.
    let was_short = turned_away_at.elapsed() < TURNED_AWAY_TIME + MAX_LAG;
    sleep(DRAIN_TIME - TURNED_AWAY_TIME / 2).await;
    let known = target.replica.received().len();
    // At the same time, so that each replica in use gets some.
    let lookups = (0..fleet.size.daemons * LATE_LOOKUPS).map(async |number| {
        let Some(mut caller) = fleet.caller(number % fleet.size.daemons).await else { return };
        // What becomes of it is not checked.
        let request = Request::lookup(&format!("late-{number}"));
        let _ = timeout(LEARNING_TIME, caller.send(request)).await;
    });
    join_all(lookups).await;
    let late = target.replica.received().len() - known;
    fleet.renew(target);
    let text = format!("{late} requests reached {} after it had left", target.replica.id());
    (was_short && late > 0).then_some(text).into_iter().collect()
}

/// Sends a request that crashes replicas, and kills all daemons twice meanwhile.
async fn crashing_request(fleet: &Fleet, rng: &mut SmallRng) -> Vec<String> {
    let _turns = fleet.all_turns().await;
    fleet.clear_faults();
    fleet.replicas.iter().for_each(|other| other.replica.crash_on(CRASHING_BODY));
    let number: u64 = rng.random();
    let send = async |daemon: usize, round: u32| {
        let Some(mut caller) = fleet.caller(daemon).await else { return };
        let id = format!("crash-{number:x}-{round}-{daemon}");
        let request = Request::stream(&id).body(CRASHING_BODY);
        // What becomes of it is not checked. Some callers leave before there is an answer.
        let leaves = number.rotate_right(round * 8 + daemon as u32).is_multiple_of(4);
        let patience = if leaves { PATIENCE } else { LEARNING_TIME };
        let _ = timeout(patience, caller.send(request)).await;
    };
    for daemon in 0..fleet.size.daemons {
        send(daemon, 0).await;
    }
    sleep(LEARNING_TIME).await;
    let is_stored = fleet.store.keys("quarantine").iter().any(|key| key.starts_with("request-"));
    let known = crash_count(fleet);
    for round in 1..=2 {
        (0..fleet.size.daemons).for_each(|daemon| fleet.kill(daemon));
        (0..fleet.size.daemons).for_each(|daemon| fleet.restart(daemon));
        sleep(LEARNING_TIME).await;
        for daemon in 0..fleet.size.daemons {
            send(daemon, round).await;
        }
    }
    let retries = crash_count(fleet) - known;
    for other in &fleet.replicas {
        other.replica.recover();
        fleet.renew(other);
    }
    let is_late = is_stored && retries > MAX_CRASHING_RETRIES;
    let text = format!("{retries} retries of a refused request reached replicas");
    is_late.then_some(text).into_iter().collect()
}

/// Number of arrivals of the crashing request at replicas.
fn crash_count(fleet: &Fleet) -> usize {
    let received = fleet.replicas.iter().flat_map(|other| other.replica.received());
    received.filter(|request| request.body == CRASHING_BODY).count()
}

/// Ends all faults and reports daemons that exited by themselves.
pub(crate) async fn clear(fleet: &Fleet) -> Vec<String> {
    fleet.clear_faults();
    let exited =
        (0..fleet.size.daemons).filter_map(|daemon| Some((daemon, fleet.exit_status(daemon)?)));
    let violations: Vec<String> = exited
        .map(|(daemon, status)| format!("daemon {daemon} exited by itself: {status}"))
        .collect();
    // Daemons back off from unresponsive replicas for a while after the fault ends.
    sleep(Duration::from_millis(200)).await;
    violations
}
