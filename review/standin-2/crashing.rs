//! A request that crashes the replicas that run it comes again at any machine, after the three
//! machines that the settings name as seeds were lost for good.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
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
const SEEDS: usize = 3;
const ZONES: [&str; 4] = ["wien-nord", "wien-sued", "linz-werk", "graz-werk"];
/// Time from the loss of the seeds to the first crashing request; longer than `contact-ms`.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// The crashing request is sent so often, at one machine after the other.
const CRASHING_COUNT: usize = 30;
const CRASHING_INTERVAL: Duration = Duration::from_millis(1_500);
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
    let options = Options { poison: Some(POISON), ..Options::default() };
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
    if has_trouble {
        daemons[..SEEDS].iter_mut().for_each(Daemon::kill);
        record.line("the three machines that `seed-nodes` names are lost for good");
    }
    thread::sleep(SETTLE_TIME);
    // The consumers use the other machines in both cases.
    let fronts: Vec<_> = daemons[SEEDS..].iter().map(Daemon::front).collect();
    let lost = Arc::new(Mutex::new((0, 0)));
    let time = CRASHING_INTERVAL * CRASHING_COUNT as u32;
    let sound = {
        let (record, fronts, lost) = (record.clone(), fronts.clone(), lost.clone());
        thread::spawn(move || send_orders(&record, &fronts, &lost, time))
    };
    for number in 0..CRASHING_COUNT {
        let front = fronts[number % fronts.len()];
        let request = order(format!("crashing-{number:02}"), POISON);
        record.line(format!("{front} is sent {}", request.id));
        let answer = request.send(front);
        record.line(format!("{} is answered {}", request.id, describe(&answer)));
        thread::sleep(CRASHING_INTERVAL);
    }
    let _ = sound.join();
    if !daemons[SEEDS..].iter_mut().all(Daemon::runs) {
        return Finding::NotRun("a daemon has ended".into());
    }
    let (sent, without) = *lost.lock().expect("no panic under the lock");
    record.line(format!("{sent} sound orders were sent, {without} of them got no success"));
    judge(record, &runs.lock().expect("no panic under the lock"))
}

/// Sends sound orders, each on a thread of its own.
fn send_orders(
    record: &Record,
    fronts: &[std::net::SocketAddr],
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
/// than `contact-ms` after it has crashed the third.
fn judge(record: &Record, runs: &[Run]) -> Finding {
    let crashes: Vec<&Run> = runs.iter().filter(|run| run.crashed).collect();
    record.line(format!("the request crashed {} replicas", crashes.len()));
    let Some(third) = crashes.get(2) else {
        return Finding::NotRun("the request did not crash three replicas".into());
    };
    let late: Vec<_> = crashes.iter().filter(|run| run.at > third.at + CONTACT_S).collect();
    record.line(format!(
        "third crash at {:.3} s; {} retries reached replicas later than {CONTACT_S} s after it",
        third.at,
        late.len()
    ));
    for run in &late {
        record.line(format!("  {} at {} at {:.3} s", run.request, run.replica, run.at));
    }
    if late.len() > MAX_RETRIES { Finding::Broken } else { Finding::Held }
}
