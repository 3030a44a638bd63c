//! A series of silences of sound replicas and of daemons, beside changes and refusals, while the
//! network is clean.
//!
//! Each stream that has begun must come whole in its first connection.

use std::{sync::Arc, time::Duration};

use rand::{Rng, rngs::SmallRng};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep},
};

use super::{
    caller::{End, Report, read_events},
    common::{Refusal, Replica, Request, Step, store::config, wait_until},
    fleet::Fleet,
};

/// Number of concurrent streams. If those of one daemon leave their replicas in the same instant,
/// its budget has too few retries.
const STREAMS: usize = 36;
/// Events of a stream, and the time between two.
const EVENTS: u64 = 40;
const INTERVAL: Duration = Duration::from_millis(50);
/// Number of moves of the series.
const MOVES: usize = 14;
/// Longest time between two moves.
const MAX_MOVE_INTERVAL_MS: u64 = 300;
/// Time for which a replica is silent.
const SILENCE_MS: std::ops::Range<u64> = 300..1_000;
/// Time for which a daemon process is stopped.
const STOP_MS: std::ops::Range<u64> = 300..1_200;
/// Shortest time between two silences of the same replica.
const MIN_REST: Duration = Duration::from_millis(200);
/// Version of the first configuration; above those of the faults.
const FIRST_VERSION: u64 = 2_000_000;

/// Runs the series and returns the violated guarantees.
pub(crate) async fn run(fleet: &Arc<Fleet>, rng: &mut SmallRng) -> Vec<String> {
    let started_at = Instant::now();
    fleet.clear_faults();
    fleet.replicas.iter().for_each(|other| other.replica.clear_steps());
    fleet.wait_serving().await;
    let engines: Vec<&Replica> = fleet.replicas.iter().map(|other| &other.replica).collect();
    let engines: Vec<_> = engines.into_iter().filter(|other| other.service == "model").collect();
    engines.iter().for_each(|engine| engine.set_default_step(Step::Paced(EVENTS, INTERVAL)));
    let (stop, stopped) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..STREAMS {
        let (daemon, tag) = (rng.random_range(0..3), rng.random::<u64>());
        let name = format!("series-{number}-{tag:x}");
        callers.spawn(call(fleet.clone(), daemon, name, stopped.clone()));
    }
    wait_until("the streams have begun", || running(&engines) >= STREAMS).await;
    let mut series = Series {
        fleet,
        silent_until: vec![Instant::now(); engines.len()],
        engines,
        stops: JoinSet::new(),
        version: FIRST_VERSION,
    };
    for _ in 0..MOVES {
        series.inject(rng);
        sleep(Duration::from_millis(rng.random_range(0..MAX_MOVE_INTERVAL_MS))).await;
    }
    while series.stops.join_next().await.is_some() {}
    series.engines.iter().for_each(|engine| engine.set_refusal(None));
    stop.send_replace(true);
    let reports = callers.join_all().await;
    series.engines.iter().for_each(|engine| engine.clear_steps());
    let whole: u64 = reports.iter().map(|report| report.served).sum();
    eprintln!("{whole} streams came whole beside silences, in {:?}", started_at.elapsed());
    reports.into_iter().flat_map(|report| report.violations).collect()
}

/// Number of streams of the series that replicas have run.
fn running(engines: &[&Replica]) -> usize {
    let received = engines.iter().flat_map(|engine| engine.received());
    let is_run = |id: Option<&str>| id.is_some_and(|id| id.starts_with("series-"));
    received.filter(|request| request.executed && is_run(request.header("attempt-id"))).count()
}

/// State of the series.
struct Series<'a> {
    fleet: &'a Arc<Fleet>,
    engines: Vec<&'a Replica>,
    /// When the last silence of each replica ends.
    silent_until: Vec<Instant>,
    /// Daemon processes that are to go on.
    stops: JoinSet<()>,
    version: u64,
}

impl Series<'_> {
    /// Begins one random move.
    fn inject(&mut self, rng: &mut SmallRng) {
        let daemon = rng.random_range(0..3);
        match rng.random_range(0..9) {
            0..3 => self.silence(rng),
            3..5 => self.stop(daemon, rng),
            5 => {
                self.version += 1;
                self.fleet.store.put("op", "config", &config(self.version));
            }
            6 => self.fleet.signal(daemon, "-HUP"),
            _ => self.refuse(rng),
        }
    }

    /// Silences random replicas in the same instant, some of them for their streams only.
    fn silence(&mut self, rng: &mut SmallRng) {
        let share = rng.random_range(0.2..1.0);
        for (engine, silent_until) in self.engines.iter().zip(&mut self.silent_until) {
            let time = Duration::from_millis(rng.random_range(SILENCE_MS));
            let (is_chosen, is_mute) = (rng.random_bool(share), rng.random_bool(0.5));
            let now = Instant::now();
            if !is_chosen || now < *silent_until + MIN_REST {
                continue;
            }
            *silent_until = now + time;
            if is_mute { engine.mute(time) } else { engine.pause(time) }
        }
    }

    /// Stops a daemon process for a while.
    fn stop(&mut self, daemon: usize, rng: &mut SmallRng) {
        let time = Duration::from_millis(rng.random_range(STOP_MS));
        let fleet = self.fleet.clone();
        fleet.signal(daemon, "-STOP");
        self.stops.spawn(async move {
            sleep(time).await;
            fleet.signal(daemon, "-CONT");
        });
    }

    /// Lets random replicas, from none to all, refuse new requests until the next such move.
    fn refuse(&self, rng: &mut SmallRng) {
        let share = [0.0, 0.5, 1.0][rng.random_range(0..3)];
        for engine in &self.engines {
            engine.set_refusal(rng.random_bool(share).then_some(Refusal::All));
        }
    }
}

/// Sends streams to a daemon over a kept connection until `stopped`.
async fn call(
    fleet: Arc<Fleet>,
    daemon: usize,
    name: String,
    stopped: watch::Receiver<bool>,
) -> Report {
    let mut report = Report::default();
    let mut kept = None;
    for count in 0.. {
        if *stopped.borrow() {
            break;
        }
        let id = format!("{name}-{count}");
        if kept.is_none() {
            kept = fleet.caller(daemon).await;
        }
        let Some(mut caller) = kept.take() else {
            sleep(INTERVAL).await;
            continue;
        };
        let request = Request::stream(&id).body(&id);
        let mut last = 0;
        let end = read_events(&fleet, &mut caller, request, &mut last, &mut report).await;
        let is_whole = end == End::Complete && last == EVENTS;
        report.served += u64::from(is_whole);
        let has_begun = !matches!(end, End::NotBegun | End::NoReply);
        if !is_whole && has_begun {
            let text = format!("stream {id} of daemon {daemon} was cut after event {last}");
            report.violations.push(format!("{text} of {EVENTS}"));
        }
        if caller.connection.is_reusable() {
            kept = Some(caller);
        }
        if !has_begun {
            sleep(INTERVAL).await;
        }
    }
    report
}
