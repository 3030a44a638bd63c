//! Replicas are replaced one after the other. While one leaves, the store turns the three machines
//! that read the list for others away for a second.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Finding,
    client::{Request, describe},
    daemon::{Daemon, free_network, start_all},
    record::Record,
    replica::{Options, Replica, Run},
    store::{Door, Store},
};

/// Machines of the system; the first three are the seeds.
const MACHINES: usize = 12;
const SEEDS: usize = 3;
const ZONES: [&str; 4] = ["wien-nord", "wien-sued", "linz-werk", "graz-werk"];
/// Replicas of the service, and how many are replaced.
const REPLICAS: usize = 4;
const REPLACED: usize = 7;
const REPLACE_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which the store turns the seeds away, and from its start until a replica leaves.
const TURNED_AWAY_TIME: Duration = Duration::from_millis(1_000);
const LEAVE_DELAY: Duration = Duration::from_millis(700);
/// Time from the start of a new replica until the old one leaves.
const OVERLAP: Duration = Duration::from_secs(4);
/// Time for which a replica serves after its entry was removed.
const SERVE_TIME: Duration = Duration::from_millis(5_500);
/// Interval of the orders.
const ORDER_INTERVAL: Duration = Duration::from_millis(25);
/// `drain-ms` of the settings, in seconds.
const DRAIN_S: f64 = 2.0;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-1","hostname":"ficu95.example","prefix":"/pule252/","route-type":"non_idempotent","timeout-ms":1000,"target-latency-ms":100,"priority":2,"service":"order-desk","max-attempts":1,"public":false}],
"services":[{"name":"order-desk","health-path":"/health","max-conns":192,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}"#;

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Finding {
    let network = free_network(MACHINES);
    let store = Store::start(&format!("{network}.250"));
    store.put("op", "config", CONFIG);
    let runs = Arc::new(Mutex::new(Vec::new()));
    let start_replica = |number: usize| {
        let ip = format!("{network}.{}", 200 + number);
        let place = (&*ip, "order-desk", ZONES[number % ZONES.len()], number + 1);
        Replica::start(place, &store, record, Options::default(), &runs)
    };
    let mut replicas: Vec<Replica> = (0..REPLICAS).map(start_replica).collect();
    // One of the seeds reads the list for the others.
    let doors: Vec<Door> = (0..SEEDS).map(|_| store.open_door(&format!("{network}.251"))).collect();
    let daemon = |number: usize| {
        let address = doors.get(number - 1).map_or(store.address, |door| door.address);
        let zone = ZONES[number % ZONES.len()];
        Daemon::new(&network, number, zone, 182, address, folder)
    };
    let mut daemons: Vec<Daemon> = (1..=MACHINES).map(daemon).collect();
    if !start_all(&mut daemons) {
        return Finding::NotRun("the daemons did not become ready".into());
    }
    record.line("all daemons are ready");
    thread::sleep(Duration::from_secs(6));
    // The consumers use only machines that the store serves all the while.
    let fronts: Vec<SocketAddr> = daemons[SEEDS..].iter().map(Daemon::front).collect();
    let has_ended = Arc::new(AtomicBool::new(false));
    let sending = {
        let (has_ended, record) = (has_ended.clone(), record.clone());
        thread::spawn(move || send_orders(&fronts, &has_ended, &record))
    };
    let mut left = Vec::new();
    for number in 0..REPLACED {
        replicas.push(start_replica(REPLICAS + number));
        thread::sleep(OVERLAP);
        if has_trouble {
            doors.iter().for_each(|door| door.set_closed(true));
            record.line("the store turns the three seeds away");
        }
        thread::sleep(LEAVE_DELAY);
        left.push(replicas.remove(0).leave(SERVE_TIME));
        thread::sleep(TURNED_AWAY_TIME - LEAVE_DELAY);
        if has_trouble {
            doors.iter().for_each(|door| door.set_closed(false));
            record.line("the store serves the three seeds again");
        }
        thread::sleep(REPLACE_INTERVAL - OVERLAP - TURNED_AWAY_TIME);
    }
    has_ended.store(true, Ordering::SeqCst);
    let _ = sending.join();
    if !daemons.iter_mut().all(Daemon::runs) {
        return Finding::NotRun("a daemon has ended".into());
    }
    judge(record, &runs.lock().expect("no panic under the lock"), &left)
}

/// Sends orders, each on a thread of its own, until the run ends.
fn send_orders(fronts: &[SocketAddr], has_ended: &AtomicBool, record: &Record) {
    let mut number = 0;
    while !has_ended.load(Ordering::SeqCst) {
        let front = fronts[number % fronts.len()];
        let id = format!("order-{number:05}-{}", front.ip());
        let (target, body) = ("/pule252/2f".to_owned(), b"stubs".to_vec());
        let deadline = Duration::from_millis(1_000);
        let request = Request { method: "POST", target, id, deadline, body };
        let record = record.clone();
        thread::spawn(move || {
            let sent_at = record.now();
            let answer = describe(&request.send(front));
            record.line(format!(
                "order {} was sent at {sent_at:.3} s and is answered {answer}",
                request.id
            ));
        });
        number += 1;
        thread::sleep(ORDER_INTERVAL);
    }
    thread::sleep(Duration::from_secs(2));
}

/// The rule: no request reaches a replica later than `drain-ms` after the store has accepted that it
/// is gone.
fn judge(record: &Record, runs: &[Run], left: &[(String, f64)]) -> Finding {
    let mut late = 0;
    for (id, at) in left {
        let runs = runs.iter().filter(|run| run.replica == *id && run.at > at + DRAIN_S);
        let times: Vec<f64> = runs.map(|run| run.at - at).collect();
        let last = times.iter().copied().fold(0.0, f64::max);
        record.line(format!(
            "replica {id} left at {at:.3} s; {} requests reached it later than {DRAIN_S} s after that, the last one {last:.3} s",
            times.len()
        ));
        late += times.len();
    }
    if late > 0 { Finding::Broken } else { Finding::Held }
}
