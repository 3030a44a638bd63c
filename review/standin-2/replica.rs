//! Replicas of a plain service: they run requests, crash and come back.

use std::{
    io::ErrorKind,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use crate::{
    http::{Connection, Message},
    record::Record,
    store::Store,
};

/// Interval at which a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time after a crash until the replica is back.
const RESTART_TIME: Duration = Duration::from_millis(2_500);
/// Requests that run at once, and those that wait.
const SLOTS: u32 = 6;
const QUEUE: u32 = 24;
/// Time that a request takes.
const WORK_TIME: Duration = Duration::from_millis(15);

/// What happened to a request at a replica.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub request: String,
    pub replica: String,
    /// Whether it crashed the replica.
    pub crashed: bool,
}

struct Life {
    id: String,
    /// Whether its entry was removed because it leaves; it serves for some time yet.
    leaves: bool,
    /// `None` once the replica has crashed.
    listener: Option<TcpListener>,
    connections: Vec<TcpStream>,
}

/// How a replica differs from an ordinary one.
#[derive(Clone, Copy, Default)]
pub struct Options {
    /// Text in the body of requests that crash the replica.
    pub poison: Option<&'static str>,
    /// Time from the beginning of such a request to the crash. A request whose channel is closed
    /// meanwhile is dropped and crashes nothing.
    pub crash_time: Duration,
    /// Whether the runs have no lines in the record, because they are too many.
    pub is_quiet: bool,
}

/// One machine of a service, on which one replica after the other runs.
#[derive(Clone)]
pub struct Replica {
    pub address: SocketAddr,
    service: &'static str,
    zone: String,
    number: usize,
    life: Arc<Mutex<Life>>,
    lives: Arc<AtomicU32>,
    running: Arc<AtomicU32>,
    store: Store,
    record: Record,
    options: Options,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Replica {
    pub fn start(
        (ip, service, zone, number): (&str, &'static str, &str, usize),
        store: &Store,
        record: &Record,
        options: Options,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for a replica");
        let address = listener.local_addr().expect("bound");
        let life =
            Life { id: String::new(), leaves: false, listener: None, connections: Vec::new() };
        let replica = Self {
            address,
            service,
            zone: zone.to_owned(),
            number,
            life: Arc::new(Mutex::new(life)),
            lives: Arc::default(),
            running: Arc::default(),
            store: store.clone(),
            record: record.clone(),
            options,
            runs: runs.clone(),
        };
        replica.begin_life(listener);
        replica
    }

    /// Begins a new lifetime, with a new id.
    fn begin_life(&self, listener: TcpListener) {
        let life = self.lives.fetch_add(1, Ordering::SeqCst) + 1;
        let id = format!("i-{:02x}{life:04x}", self.number);
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        listener.set_nonblocking(true).expect("a listener");
        *self.life.lock().expect("no panic under the lock") = Life {
            id: id.clone(),
            leaves: false,
            listener: Some(listener),
            connections: Vec::new(),
        };
        let beating = (self.clone(), id.clone());
        thread::spawn(move || beating.0.beat(&beating.1, born.as_millis()));
        let accepting = self.clone();
        thread::spawn(move || accepting.accept(&id));
    }

    fn is_alive(&self, id: &str) -> bool {
        let life = self.life.lock().expect("no panic under the lock");
        life.listener.is_some() && life.id == id
    }

    /// Keeps the entry in the store, which removes it after three intervals of silence.
    fn beat(&self, id: &str, born: u128) {
        let mut seq = 0;
        while self.is_alive(id) && !self.leaves() {
            let Self { service, address, zone, .. } = self;
            seq += 1;
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"cold-left-ms\":0,\
                 \"seq\":{seq},\"born\":{born}}}"
            );
            self.store.put("servers", id, &entry);
            thread::sleep(HEARTBEAT);
        }
        if !self.leaves() {
            thread::sleep(HEARTBEAT * 3);
            self.store.remove("servers", id);
        }
    }

    fn leaves(&self) -> bool {
        self.life.lock().expect("no panic under the lock").leaves
    }

    /// Leaves without a word: the entry is removed, and the replica serves for `time` yet. Returns
    /// its id and when the store has accepted the removal.
    pub fn leave(&self, time: Duration) -> (String, f64) {
        let id = {
            let mut life = self.life.lock().expect("no panic under the lock");
            life.leaves = true;
            life.id.clone()
        };
        self.store.remove("servers", &id);
        let at = self.record.line(format!("the entry of replica {id} is removed: it leaves"));
        let (replica, left) = (self.clone(), id.clone());
        thread::spawn(move || {
            thread::sleep(time);
            replica.end(&left);
            replica.record.line(format!("replica {left} has ended"));
        });
        (id, at)
    }

    fn accept(&self, id: &str) {
        while self.is_alive(id) {
            let accepted = self.accept_one(id);
            let Some(stream) = accepted else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let (replica, id) = (self.clone(), id.to_owned());
            thread::spawn(move || replica.serve(Connection::new(stream), &id));
        }
    }

    fn accept_one(&self, id: &str) -> Option<TcpStream> {
        let mut life = self.life.lock().expect("no panic under the lock");
        let listener = life.listener.as_ref().filter(|_| life.id == id)?;
        let (stream, _) = listener.accept().ok()?;
        stream.set_nonblocking(false).ok()?;
        life.connections.push(stream.try_clone().ok()?);
        Some(stream)
    }

    /// Ends the lifetime at once: new connections are refused, all others close, and nothing is
    /// answered. A new lifetime begins some seconds later.
    fn crash(&self, id: &str) {
        if !self.end(id) {
            return;
        }
        let replica = self.clone();
        thread::spawn(move || {
            thread::sleep(RESTART_TIME);
            let listener = TcpListener::bind(replica.address).expect("the port of before");
            replica.begin_life(listener);
        });
    }

    /// Ends the lifetime `id`; false if it has ended before.
    fn end(&self, id: &str) -> bool {
        let mut life = self.life.lock().expect("no panic under the lock");
        if life.id != id || life.listener.take().is_none() {
            return false;
        }
        for connection in life.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        true
    }

    fn serve(&self, mut connection: Connection, id: &str) {
        while let Ok(request) = connection.read() {
            if !self.is_alive(id) {
                return;
            }
            let Some(answer) = self.answer(&request, id, &connection.stream) else { return };
            if !self.is_alive(id) || connection.write(&answer).is_err() {
                return;
            }
        }
    }

    /// The answer to a request that came over `stream`; `None` if the replica crashes.
    fn answer(&self, request: &Message, id: &str, stream: &TcpStream) -> Option<Vec<u8>> {
        let path = request.target().split('?').next().unwrap_or_default();
        if path == "/health" {
            return Some(encode("200 OK", &[("Replica-Id", id)], b""));
        }
        if path.starts_with("/wisteriawinch/") {
            return Some(encode("404 Not Found", &[], b""));
        }
        let label = request.header("attempt-id").unwrap_or_default().to_owned();
        if request.header("expect-replica").is_some_and(|expected| expected != id) {
            return Some(encode(
                "421 Misdirected Request",
                &[("Replica-Id", id), ("Attempt-Id", &label)],
                b"",
            ));
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let headers = [("Not-Executed", "1"), ("Attempt-Id", &*label)];
            return Some(encode("503 Service Unavailable", &headers, b""));
        }
        let crashed = self.options.poison.is_some_and(|poison| {
            request.body.windows(poison.len()).any(|part| part == poison.as_bytes())
        });
        let what = if crashed { "runs and crashes" } else { "runs" };
        let at = if self.options.is_quiet {
            self.record.now()
        } else {
            self.record.line(format!("replica {id} ({}) {what} {label}", self.service))
        };
        let is_dropped = crashed && closes_within(stream, self.options.crash_time);
        let crashed = crashed && !is_dropped;
        let run = Run { at, request: label.clone(), replica: id.to_owned(), crashed };
        self.runs.lock().expect("no panic under the lock").push(run);
        if is_dropped {
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.record.line(format!("replica {id} drops {label}: its channel is closed"));
            return None;
        }
        if crashed {
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.crash(id);
            return None;
        }
        thread::sleep(WORK_TIME);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let headers =
            [("Attempt-Id", &*label), ("Replica-Signature", id), ("Keep-Alive", "timeout=15")];
        Some(encode("200 OK", &headers, &[b'x'; 800]))
    }
}

/// Whether the other end closes the channel within this time.
fn closes_within(stream: &TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    while Instant::now() < until {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
        match stream.peek(&mut [0]) {
            Ok(0) => return true,
            Err(error) if !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return true;
            }
            _ => thread::sleep(Duration::from_millis(1)),
        }
    }
    let _ = stream.set_read_timeout(None);
    false
}

fn encode(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    [out.as_bytes(), body].concat()
}
