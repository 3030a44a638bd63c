//! Many lookups, while nobody fetches the metrics of the process. The platform kills a process that
//! exceeds its memory. The lookups are for a service without replicas, so that a machine gets in a
//! minute and a half as many as else in days.

use std::{
    collections::HashSet,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Finding,
    client::{Request, describe},
    daemon::{Daemon, free_network, start_all},
    http::Connection,
    record::Record,
    replica::{Options, Replica, Run},
    store::Store,
};

const ZONES: [&str; 3] = ["valdivia-a", "osorno-b", "temuco-c"];
/// Memory of a machine in the sheet.
const MEMORY_MB: u32 = 96;
/// Channels on which lookups are sent, and on which orders are sent, one after the other.
const LOOKUP_CHANNELS: usize = 24;
const ORDER_CHANNELS: usize = 24;
/// Longest time for which they are sent.
const SEND_TIME: Duration = Duration::from_secs(105);
/// Interval at which the platform fetches the metrics while an incident is examined.
const METRICS_INTERVAL: Duration = Duration::from_secs(5);
/// Interval of the lines on memory.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Requests that the rule allows to be lost.
const MAX_LOST: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-1","hostname":"ficu95.example","prefix":"/pule252/","route-type":"non_idempotent","timeout-ms":2500,"target-latency-ms":150,"priority":2,"service":"mostrador-pedidos","max-attempts":1,"public":false},
{"name":"r-2","hostname":"ficu95.example","prefix":"/puxa403/","route-type":"idempotent","timeout-ms":2500,"target-latency-ms":150,"priority":2,"service":"consulta","max-attempts":2,"public":false}],
"services":[{"name":"mostrador-pedidos","health-path":"/health","max-conns":192,"protocol":"h1","tls":false},{"name":"consulta","health-path":"/health","max-conns":192,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}"#;

/// What the consumers share.
#[derive(Clone)]
struct Shared {
    record: Record,
    front: SocketAddr,
    has_ended: Arc<AtomicBool>,
    lookups: Arc<AtomicU64>,
    /// Orders whose channel was closed without an answer.
    lost: Arc<Mutex<Vec<String>>>,
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> Finding {
    let network = free_network(ZONES.len());
    let store = Store::start(&format!("{network}.250"));
    store.put("op", "config", CONFIG);
    let runs = Arc::new(Mutex::new(Vec::new()));
    let options = Options { is_quiet: true, ..Options::default() };
    for (number, zone) in ZONES.iter().enumerate() {
        let ip = format!("{network}.{}", 200 + number);
        let place = (&*ip, "mostrador-pedidos", *zone, number + 1);
        Replica::start(place, &store, record, options, &runs);
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
    let shared = Shared {
        record: record.clone(),
        front: daemons[0].front(),
        has_ended: Arc::default(),
        lookups: Arc::default(),
        lost: Arc::default(),
    };
    for channel in 0..LOOKUP_CHANNELS {
        let shared = shared.clone();
        thread::spawn(move || send_lookups(&shared, channel));
    }
    for channel in 0..ORDER_CHANNELS {
        let shared = shared.clone();
        thread::spawn(move || send_orders(&shared, channel));
    }
    let killed = watch(&mut daemons[0], &shared, !has_trouble);
    shared.has_ended.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(3));
    let lost = shared.lost.lock().expect("no panic under the lock");
    judge(record, &runs.lock().expect("no panic under the lock"), &lost, killed)
}

/// Watches the memory of a process and kills it if it exceeds that of its machine, as the platform
/// does; whether that happened. Fetches its metrics meanwhile if they are examined.
fn watch(daemon: &mut Daemon, shared: &Shared, is_examined: bool) -> bool {
    let started_at = Instant::now();
    let (mut fetched_at, mut reported_at) = (started_at, started_at);
    while started_at.elapsed() < SEND_TIME {
        let memory_kb = daemon.memory_kb();
        let lookups = shared.lookups.load(Ordering::Relaxed);
        if memory_kb > u64::from(MEMORY_MB) * 1_024 {
            daemon.kill();
            let name = &daemon.name;
            shared
                .record
                .line(format!("after {lookups} lookups {name} holds {memory_kb} kB and is killed"));
            return true;
        }
        if reported_at.elapsed() >= REPORT_INTERVAL {
            reported_at = Instant::now();
            shared.record.line(format!("{lookups} lookups were answered, {memory_kb} kB are held"));
        }
        if is_examined && fetched_at.elapsed() >= METRICS_INTERVAL {
            fetched_at = Instant::now();
            let fetched = fetch_metrics(shared.front);
            shared.record.line(format!("the metrics are fetched: {fetched:?} bytes"));
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

/// Fetches the metrics of the daemon with this front address; the length of the reply.
fn fetch_metrics(front: SocketAddr) -> io::Result<usize> {
    let mut stream = TcpStream::connect(SocketAddr::new(front.ip(), 7210))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n")?;
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply)
}

fn request(method: &'static str, target: &str, id: String, body: &[u8]) -> Request {
    let deadline = Duration::from_millis(2_500);
    Request { method, target: target.into(), id, deadline, body: body.into() }
}

fn open(front: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_millis(2_500)))?;
    Ok(Connection::new(stream))
}

/// Sends lookups on one channel. Each consumer comes again at once.
fn send_lookups(shared: &Shared, channel: usize) {
    let Ok(mut connection) = open(shared.front) else { return };
    for number in 0.. {
        let lookup = request("GET", "/puxa403/2f", format!("lookup-{channel}-{number}"), b"");
        let answer = lookup.send_on(&mut connection);
        if answer.is_err() || shared.has_ended.load(Ordering::Relaxed) {
            return;
        }
        if number == 0 {
            shared.record.line(format!("{} is answered {}", lookup.id, describe(&answer)));
        }
        shared.lookups.fetch_add(1, Ordering::Relaxed);
    }
}

/// Sends orders on one channel until it is closed or the run ends.
fn send_orders(shared: &Shared, channel: usize) {
    let Ok(mut connection) = open(shared.front) else { return };
    for number in 0.. {
        let order = request("POST", "/pule252/2f", format!("order-{channel:02}-{number}"), b"two");
        let answer = order.send_on(&mut connection);
        if shared.has_ended.load(Ordering::Relaxed) && answer.is_ok() {
            return;
        }
        if let Err(error) = &answer {
            use io::ErrorKind as Kind;
            shared.record.line(format!("{} is answered {}", order.id, describe(&answer)));
            let is_closed = [Kind::UnexpectedEof, Kind::ConnectionReset, Kind::BrokenPipe];
            if is_closed.contains(&error.kind()) {
                shared.lost.lock().expect("no panic under the lock").push(order.id);
            }
            return;
        }
    }
}

/// The rule: a machine in touch passes a request from a kept channel on to a sound replica and
/// closes that channel without an answer at most three times. A process that exceeds its memory ends
/// by itself, so that its machine is in touch all the while.
fn judge(record: &Record, runs: &[Run], lost: &[String], killed: bool) -> Finding {
    let passed: HashSet<&str> = runs.iter().map(|run| &*run.request).collect();
    let counted: Vec<_> = lost.iter().filter(|id| passed.contains(id.as_str())).collect();
    record.line(format!("{} orders were run", runs.len()));
    for run in runs.iter().filter(|run| lost.contains(&run.request)) {
        record.line(format!("  {} was run at {:.3} s, and not answered", run.request, run.at));
    }
    record.line(format!(
        "{} orders were run, and their channels were closed without an answer",
        counted.len()
    ));
    if killed && counted.len() > MAX_LOST { Finding::Broken } else { Finding::Held }
}
