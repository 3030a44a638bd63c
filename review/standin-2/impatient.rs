//! A request that crashes the replicas that run it comes again and again at one machine, and some of
//! the consumers that send it leave before there is an answer.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Finding,
    client::{Request, describe},
    daemon::{Daemon, free_network, start_all},
    record::Record,
    replica::{Options, Replica, Run},
    store::Store,
};

/// Machines of the system; the first three are the seeds.
const MACHINES: usize = 12;
const ZONES: [&str; 4] = ["wien-nord", "wien-sued", "linz-werk", "graz-werk"];
/// The machine at which the crashing request comes; not a seed.
const MACHINE: usize = 8;
/// Time from the beginning of the crashing request to the crash.
const CRASH_TIME: Duration = Duration::from_millis(100);
/// Time after which a consumer leaves that does: half of the route's objective.
const PATIENCE: Duration = Duration::from_millis(50);
/// The crashing request comes so often.
const CRASHING_COUNT: usize = 24;
const CRASHING_INTERVAL: Duration = Duration::from_millis(850);
/// Of this many consumers that send it one after the other the last one leaves, ...
const LEAVING_CYCLE: usize = 3;
/// ... from so long after the first one, and for so long.
const LEAVING_START: Duration = Duration::from_secs(1);
const LEAVING_TIME: Duration = Duration::from_secs(9);
/// Interval of the sound orders.
const ORDER_INTERVAL: Duration = Duration::from_millis(25);
/// `contact-ms` of the settings, in seconds.
const CONTACT_S: f64 = 3.0;
/// Retries that the rule allows after that.
const MAX_RETRIES: usize = 3;
/// Text of the crashing request's body.
const POISON: &str = "reprint of block 7";

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-1","hostname":"ficu95.example","prefix":"/pule252/","route-type":"non_idempotent","timeout-ms":1000,"target-latency-ms":100,"priority":2,"service":"order-desk","max-attempts":1,"public":false}],
"services":[{"name":"order-desk","health-path":"/health","max-conns":192,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}"#;

fn order(id: String, body: &str) -> Request {
    let deadline = Duration::from_millis(1_000);
    Request { method: "POST", target: "/pule252/2f".into(), id, deadline, body: body.into() }
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Finding {
    let network = free_network(MACHINES);
    let store = Store::start(&format!("{network}.250"));
    store.put("op", "config", CONFIG);
    let runs = Arc::new(Mutex::new(Vec::new()));
    let options = Options { poison: Some(POISON), crash_time: CRASH_TIME, ..Options::default() };
    for (number, zone) in ZONES.iter().enumerate() {
        let ip = format!("{network}.{}", 200 + number);
        let place = (&*ip, "order-desk", *zone, number + 1);
        Replica::start(place, &store, record, options, &runs);
    }
    let zone = |number: usize| ZONES[number % ZONES.len()];
    let mut daemons: Vec<Daemon> = (1..=MACHINES)
        .map(|number| Daemon::new(&network, number, zone(number), 182, store.address, folder))
        .collect();
    if !start_all(&mut daemons) {
        return Finding::NotRun("the daemons did not become ready".into());
    }
    record.line("all daemons are ready");
    thread::sleep(Duration::from_secs(5));
    let fronts: Vec<_> = daemons.iter().map(Daemon::front).collect();
    let front = fronts[MACHINE - 1];
    record.line(format!("the crashing request comes at {}", daemons[MACHINE - 1].name));
    let lost = Arc::new(Mutex::new((0, 0)));
    let sound = {
        let (record, lost) = (record.clone(), lost.clone());
        let time = CRASHING_INTERVAL * CRASHING_COUNT as u32;
        thread::spawn(move || send_orders(&record, &fronts, &lost, time))
    };
    send_crashing(record, front, has_trouble);
    let _ = sound.join();
    if !daemons.iter_mut().all(Daemon::runs) {
        return Finding::NotRun("a daemon has ended".into());
    }
    let (sent, without) = *lost.lock().expect("no panic under the lock");
    record.line(format!("{sent} sound orders were sent, {without} of them got no success"));
    judge(record, &runs.lock().expect("no panic under the lock"))
}

/// Sends the crashing request again and again. Some of its consumers leave, if `leave`.
fn send_crashing(record: &Record, front: SocketAddr, leave: bool) {
    let started_at = Instant::now();
    for number in 0..CRASHING_COUNT {
        let due = CRASHING_INTERVAL * number as u32;
        thread::sleep(due.saturating_sub(started_at.elapsed()));
        let request = order(format!("crashing-{number:02}"), POISON);
        let is_last = number % LEAVING_CYCLE == LEAVING_CYCLE - 1;
        let is_time = due >= LEAVING_START && due + PATIENCE < LEAVING_START + LEAVING_TIME;
        let leaves = leave && is_last && is_time;
        record.line(format!("{} is sent", request.id));
        let answer =
            if leaves { request.send_and_leave(front, PATIENCE) } else { request.send(front) };
        match answer {
            Err(_) if leaves => record.line(format!("the consumer of {} leaves", request.id)),
            answer => record.line(format!("{} is answered {}", request.id, describe(&answer))),
        };
    }
}

/// Sends sound orders, each on a thread of its own.
fn send_orders(
    record: &Record,
    fronts: &[SocketAddr],
    lost: &Arc<Mutex<(u32, u32)>>,
    time: Duration,
) {
    let mut senders = Vec::new();
    let count = (time.as_millis() / ORDER_INTERVAL.as_millis()) as usize;
    for number in 0..count {
        let front = fronts[number * 7 % fronts.len()];
        let (record, lost) = (record.clone(), lost.clone());
        senders.push(thread::spawn(move || {
            let request = order(format!("sound-{number:04}"), &format!("stubs {number}"));
            let answer = request.send(front);
            let is_served = answer.as_ref().is_ok_and(|answer| answer.status() == 200);
            let mut lost = lost.lock().expect("no panic under the lock");
            lost.0 += 1;
            if !is_served {
                lost.1 += 1;
                record.line(format!("{} is answered {}", request.id, describe(&answer)));
            }
        }));
        thread::sleep(ORDER_INTERVAL);
    }
    for sender in senders {
        let _ = sender.join();
    }
}

/// The rule: the crashing request reaches replicas in at most three retries that are sent later
/// than `contact-ms` after it has crashed the third. Runs that were dropped are not counted.
fn judge(record: &Record, runs: &[Run]) -> Finding {
    let mut crashes: Vec<&Run> = runs.iter().filter(|run| run.crashed).collect();
    crashes.sort_by(|one, other| one.at.total_cmp(&other.at));
    record.line(format!("the request crashed {} replicas", crashes.len()));
    let Some(third) = crashes.get(2) else {
        return Finding::NotRun("the request did not crash three replicas".into());
    };
    let third_at = third.at + CRASH_TIME.as_secs_f64();
    let late: Vec<_> = crashes.iter().filter(|run| run.at > third_at + CONTACT_S).collect();
    record.line(format!(
        "third crash at {third_at:.3} s; {} retries reached and crashed replicas later than \
         {CONTACT_S} s after it",
        late.len()
    ));
    for run in &late {
        record.line(format!("  {} at {} at {:.3} s", run.request, run.replica, run.at));
    }
    if late.len() > MAX_RETRIES { Finding::Broken } else { Finding::Held }
}
