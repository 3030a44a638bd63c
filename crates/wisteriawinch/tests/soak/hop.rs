//! A series of cuts between one daemon and the replicas, while other daemons keep their paths, beside
//! late replicas: orders, lookups and streams pass over a second daemon.
//!
//! The second daemons are each other's seeds. The first one follows none of them, because its own
//! store is newer; there the same replicas have other addresses, of proxies that only it uses, and
//! the callers' team has another name.

use std::{ops::Range, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use super::{
    caller::{self, Report, read_events, send_one},
    common::{Caller, Proxy, Request, Store, store::Fault, store::config},
    cut::Moves,
    fault,
    fleet::Fleet,
    former, program,
    size::Size,
};

/// Second daemons; the first one has the next number.
pub(crate) const SECOND_DAEMONS: usize = 2;
/// Replicas for streams.
const ENGINES: usize = 2;
const CALLERS: usize = 24;
/// Time that a caller states.
const LIMIT_MS: Range<u64> = 500..1_500;
/// Time after its limit within which a caller still gets a word.
const SLACK: Duration = Duration::from_millis(500);
/// Time until the next request of a caller.
const MAX_REST_MS: u64 = 40;
/// Time within which bytes that are no longer held up arrive.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);
/// Version of the first daemon's configuration and table; above those of the other store.
const FIRST_VERSION: u64 = 1_000;
/// Team of the callers at the first daemon.
const FIRST_TEAM: &str = "team-first";
/// Least number of orders that replicas get from second daemons.
const MIN_ORDERS: usize = 10;

/// Runs the series and returns the violated guarantees.
pub(crate) async fn run(seed: u64) -> Vec<String> {
    let started_at = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let first_store = start_store().await;
    let (fleet, paths) = start_fleet(seed, &first_store).await;
    let builds = format!("{} before {}", fleet.describe(SECOND_DAEMONS), fleet.describe(0));
    let (stop, stopped) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let rng = SmallRng::seed_from_u64(rng.random());
        callers.spawn(call(fleet.clone(), number, rng, stopped.clone()));
    }
    let mut violations = Moves::new(fleet.clone(), paths).run(&mut rng).await;
    stop.send_replace(true);
    let reports = callers.join_all().await;
    sleep(ARRIVAL_TIME).await;
    violations.extend(caller::sum(reports, "beside cuts of one daemon", started_at));
    violations.extend(fault::clear(&fleet).await);
    violations.extend(fleet.run_violations());
    let replicas = fleet.replicas.iter().map(|other| &other.replica);
    violations.extend(fleet.ledger.late_violations(replicas));
    violations.extend(check_orders(&fleet));
    eprintln!("seed {seed}: {} guarantees violated with {builds}", violations.len());
    if !violations.is_empty() {
        fleet.keep_logs();
    }
    violations.into_iter().map(|violation| format!("{violation}; {builds}")).collect()
}

/// Checks that enough orders have passed over a second daemon.
fn check_orders(fleet: &Fleet) -> Option<String> {
    let (own, passed) = (count_orders(fleet, true), count_orders(fleet, false));
    let text = format!("{own} orders of the first daemon, {passed} passed on");
    eprintln!("{text}");
    (passed < MIN_ORDERS).then_some(text)
}

/// Number of orders that replicas have got from the first daemon, or from second ones.
fn count_orders(fleet: &Fleet, of_first: bool) -> usize {
    let replicas = fleet.replicas.iter().map(|other| &other.replica);
    let counts = replicas.map(|replica| {
        replica.count_received(|request| {
            let is_of_first = request.header("tenant-id") == Some(FIRST_TEAM);
            request.target.starts_with("/o/") && is_of_first == of_first
        })
    });
    counts.sum()
}

/// Starts the first daemon's store, without replicas.
async fn start_store() -> Store {
    let store = Store::empty().await;
    store.pass(FIRST_VERSION);
    let mut config = config(FIRST_VERSION);
    config["tenants"][0]["name"] = FIRST_TEAM.into();
    store.put("op", "config", &config);
    store
}

/// Starts the daemons, the first one last, and returns its paths to the replicas. With two builds,
/// the seed decides which one the first daemon is of.
async fn start_fleet(seed: u64, first_store: &Store) -> (Arc<Fleet>, Vec<Proxy>) {
    let (first, second) = if seed.is_multiple_of(2) {
        (former(), program().to_owned())
    } else {
        (program().to_owned(), former())
    };
    let size = Size { daemons: SECOND_DAEMONS, engines: ENGINES, ..Size::from_env() };
    let mut fleet = Fleet::start(size, second).await;
    let mut paths = Vec::new();
    for other in &fleet.replicas {
        let path = Proxy::start(other.replica.address).await;
        let entry = other.replica.entry_at(path.address, "ready");
        first_store.put("servers", &other.replica.id(), &entry);
        paths.push(path);
    }
    fleet.wait_serving().await;
    // A stale seed is not followed.
    fleet.store.set_fault(Some(Fault::Busy));
    fleet.start_reader(&first, first_store.address);
    while count_orders(&fleet, true) == 0 {
        fleet.wait_serving().await;
    }
    fleet.store.set_fault(None);
    (fleet.into(), paths)
}

/// Sends requests to the first daemon until `stopped`, on kept and new connections.
async fn call(
    fleet: Arc<Fleet>,
    number: usize,
    mut rng: SmallRng,
    stopped: watch::Receiver<bool>,
) -> Report {
    let mut report = Report::default();
    let mut kept = None;
    for count in 0.. {
        if *stopped.borrow() {
            break;
        }
        sleep(Duration::from_millis(rng.random_range(0..MAX_REST_MS))).await;
        if kept.is_none() || rng.random_bool(0.2) {
            kept = fleet.caller(SECOND_DAEMONS).await;
        }
        let Some(mut caller) = kept.take() else { continue };
        let id = format!("hop-{number}-{count}-{:x}", rng.random::<u64>());
        let has_word = send(&fleet, &mut caller, &id, &mut rng, &mut report).await;
        if has_word && caller.connection.is_reusable() {
            kept = Some(caller);
        }
    }
    report
}

/// Sends one request; returns whether its caller got a word in time.
async fn send(
    fleet: &Fleet,
    caller: &mut Caller,
    id: &str,
    rng: &mut SmallRng,
    report: &mut Report,
) -> bool {
    let limit = Duration::from_millis(rng.random_range(LIMIT_MS));
    let limit_ms = limit.as_millis().to_string();
    let request = match rng.random_range(0..10) {
        0 => Request::stream(id),
        1..4 => Request::lookup(id),
        _ => Request::order(id),
    };
    let request = request.with("deadline-ms", &limit_ms);
    if request.target.starts_with("/s/") {
        let mut last = 0;
        let stream = read_events(fleet, caller, request, &mut last, report);
        return timeout(limit + SLACK, stream).await.is_ok();
    }
    let is_order = request.target.starts_with("/o/");
    let sent = send_one(fleet, caller, request, id, report);
    let word = timeout(limit + SLACK, sent).await;
    if is_order {
        fleet.ledger.record_end(id, word.as_ref().ok().copied().flatten());
    }
    if word.is_err() {
        report.violations.push(format!("{id} got no word within {:?}", limit + SLACK));
    }
    word.is_ok()
}
