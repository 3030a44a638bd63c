//! Consumers send orders of the largest size that the configuration allows, at the same time, to one
//! machine that has the memory of the sheet. The platform kills a process that exceeds its memory,
//! and starts it again.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Finding,
    client::{Request, describe},
    daemon::{Daemon, free_network, start_all},
    record::Record,
    replica::{Options, Replica},
    store::Store,
};

const ZONES: [&str; 3] = ["valdivia-a", "osorno-b", "temuco-c"];
/// Memory of a machine in the sheet.
const MEMORY_MB: u32 = 96;
/// Largest body that the configuration allows, and that of an ordinary order.
const MAX_BODY_BYTES: usize = 4_194_304;
const USUAL_BODY_BYTES: usize = 600;
/// Consumers that send an order at the same time.
const CONSUMERS: usize = 16;
/// Bandwidth of each of them; together they have that of the machine's link in the sheet.
const CONSUMER_MBIT_S: f64 = 700.0 / CONSUMERS as f64;
/// Machines to which they send, and how often.
const MACHINES: usize = 2;
const ROUNDS: usize = 3;
/// Time in which the orders of one round are answered.
const ROUND_TIME: Duration = Duration::from_secs(4);
/// Time until the platform starts a process again.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// The rule: so many ends of processes on so many machines.
const MAX_ENDS: usize = 3;
const MAX_MACHINES: usize = 2;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-1","hostname":"ficu95.example","prefix":"/pule252/","route-type":"non_idempotent","timeout-ms":2500,"target-latency-ms":150,"priority":2,"service":"mostrador-pedidos","max-attempts":1,"public":false}],
"services":[{"name":"mostrador-pedidos","health-path":"/health","max-conns":192,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}"#;

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Finding {
    let network = free_network(ZONES.len());
    let store = Store::start(&format!("{network}.250"));
    store.put("op", "config", CONFIG);
    let runs = Arc::new(Mutex::new(Vec::new()));
    for (number, zone) in ZONES.iter().enumerate() {
        let ip = format!("{network}.{}", 200 + number);
        let place = (&*ip, "mostrador-pedidos", *zone, number + 1);
        Replica::start(place, &store, record, Options::default(), &runs);
    }
    let numbered = ZONES.iter().enumerate();
    let mut daemons: Vec<Daemon> = numbered
        .map(|(number, zone)| {
            Daemon::new(&network, number + 1, zone, MEMORY_MB, store.address, folder)
        })
        .collect();
    if !start_all(&mut daemons) {
        return Finding::NotRun("the daemons did not become ready".into());
    }
    record.line("all daemons are ready");
    thread::sleep(Duration::from_secs(5));
    let length = if has_trouble { MAX_BODY_BYTES } else { USUAL_BODY_BYTES };
    let (unanswered, mut ends) = (Arc::new(AtomicUsize::new(0)), [0; MACHINES]);
    for round in 0..ROUNDS {
        for machine in 0..MACHINES {
            let daemon = &mut daemons[machine];
            let front = daemon.front();
            record.line(format!(
                "{CONSUMERS} consumers send an order of {length} bytes each to {}, which holds {} kB",
                daemon.name,
                daemon.memory_kb()
            ));
            for number in 0..CONSUMERS {
                let id = format!("order-{round}-{machine}-{number:02}");
                let (record, unanswered) = (record.clone(), unanswered.clone());
                thread::spawn(move || send(front, id, length, &record, &unanswered));
            }
            ends[machine] += usize::from(watch(daemon, record));
        }
    }
    let unanswered = unanswered.load(Ordering::SeqCst);
    record.line(format!("{unanswered} orders got no answer"));
    judge(record, &ends)
}

fn send(front: SocketAddr, id: String, length: usize, record: &Record, unanswered: &AtomicUsize) {
    let deadline = Duration::from_millis(2_500);
    let target = "/pule252/2f".to_owned();
    let request = Request { method: "POST", target, id, deadline, body: vec![b'a'; length] };
    let answer = request.send_over(front, CONSUMER_MBIT_S);
    record.line(format!("{} is answered {}", request.id, describe(&answer)));
    if answer.is_err() {
        unanswered.fetch_add(1, Ordering::SeqCst);
    }
}

/// Watches the memory of a process for the time of a round. Kills it if it exceeds that of its
/// machine, as the platform does, and starts it again; whether that happened.
fn watch(daemon: &mut Daemon, record: &Record) -> bool {
    let (deadline, mut peak) = (Instant::now() + ROUND_TIME, 0);
    while Instant::now() < deadline {
        let memory_kb = daemon.memory_kb();
        peak = peak.max(memory_kb);
        if memory_kb > u64::from(MEMORY_MB) * 1_024 {
            daemon.kill();
            record.line(format!("{} holds {memory_kb} kB and is killed", daemon.name));
            thread::sleep(RESTART_TIME);
            daemon.start();
            while !daemon.is_ready() && Instant::now() < deadline {
                thread::sleep(Duration::from_millis(50));
            }
            thread::sleep(deadline.saturating_duration_since(Instant::now()));
            return true;
        }
        thread::sleep(Duration::from_millis(1));
    }
    record.line(format!("{} held {peak} kB at most", daemon.name));
    false
}

/// The rule: processes end by themselves three times on a tenth of the machines in use, two at
/// least; memory over the limit counts.
fn judge(record: &Record, ends: &[usize]) -> Finding {
    record.line(format!("processes exceeded their memory so often, by machine: {ends:?}"));
    let machines = ends.iter().filter(|ends| **ends >= MAX_ENDS).count();
    if machines >= MAX_MACHINES { Finding::Broken } else { Finding::Held }
}
