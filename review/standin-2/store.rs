//! The platform's store: rows in tables, transactions under conditions, and feeds of changes.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message},
    json::Json,
};

/// Time that a transaction takes.
const TX_TIME: Duration = Duration::from_millis(5);
/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// The last write or removal of a row.
struct Row {
    version: u64,
    /// Base64 text; `None` if the row was removed.
    value: Option<String>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

/// An address of the store for one machine.
pub struct Door {
    pub address: SocketAddr,
    is_closed: Arc<AtomicBool>,
}

impl Door {
    /// Sets whether the store turns this machine away, with 503, while it serves the others.
    pub fn set_closed(&self, is_closed: bool) {
        self.is_closed.store(is_closed, Ordering::SeqCst);
    }
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    started_at: Instant,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let address = listener.local_addr().expect("bound");
        let store = Self { address, shared: Arc::default(), started_at: Instant::now() };
        store.listen(listener, Arc::default());
        store
    }

    /// Opens another address of the store, at which it can turn its callers away.
    pub fn open_door(&self, ip: &str) -> Door {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let address = listener.local_addr().expect("bound");
        let door = Door { address, is_closed: Arc::default() };
        self.listen(listener, door.is_closed.clone());
        door
    }

    fn listen(&self, listener: TcpListener, is_closed: Arc<AtomicBool>) {
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, is_closed) = (store.clone(), is_closed.clone());
                thread::spawn(move || store.serve(Connection::new(stream), &is_closed));
            }
        });
    }

    fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }

    /// Writes a row as the operator or a replica does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64(value.as_bytes())));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no panic under the lock");
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.into(), key.into()), Row { version, value });
        changed.notify_all();
    }

    fn serve(&self, mut connection: Connection, is_closed: &AtomicBool) {
        while let Ok(request) = connection.read() {
            thread::sleep(ANSWER_TIME);
            let path = request.target().split('?').next().unwrap_or_default().to_owned();
            let (status, body) = match path.as_str() {
                _ if is_closed.load(Ordering::SeqCst) => (503, "{}".to_owned()),
                "/wisteriawinch/rows-get" => (200, self.get(&request)),
                "/wisteriawinch/rows-feed" => (200, self.feed(&request)),
                "/wisteriawinch/rows-tx" => self.commit(&request),
                _ => (404, "{}".to_owned()),
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if connection.write(&[head.as_bytes(), body.as_bytes()].concat()).is_err() {
                return;
            }
        }
    }

    fn get(&self, request: &Message) -> String {
        let (table, from, until) =
            (request.query("table"), request.query("from"), request.query("target"));
        let limit = request.query("limit").parse().unwrap_or(500).min(500);
        let state = self.shared.0.lock().expect("no panic under the lock");
        let rows = state.rows.iter().filter(|((of, key), row)| {
            *of == table
                && *key >= from
                && (until.is_empty() || *key < until)
                && row.value.is_some()
        });
        let rows: Vec<_> = rows.collect();
        let has_more = rows.len() > limit;
        let rows = rows.into_iter().take(limit);
        encode(rows.map(|((_, key), row)| (&*table, &**key, row)), has_more, &state, self.now_ms())
    }

    fn feed(&self, request: &Message) -> String {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("wait-ms").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no panic under the lock");
        loop {
            let is_new = |of: &String, row: &Row| *of == table && row.version > after;
            let has_new = state.rows.iter().any(|((of, _), row)| is_new(of, row));
            let left = deadline.saturating_duration_since(Instant::now());
            if has_new || left.is_zero() {
                let rows = state.rows.iter().filter(|((of, _), row)| is_new(of, row));
                let mut rows: Vec<_> = rows.map(|((_, key), row)| (&*table, &**key, row)).collect();
                rows.sort_by_key(|(_, _, row)| row.version);
                return encode(rows.into_iter(), false, &state, self.now_ms());
            }
            state = changed.wait_timeout(state, left).expect("no panic under the lock").0;
        }
    }

    fn commit(&self, request: &Message) -> (u16, String) {
        thread::sleep(TX_TIME);
        let text = String::from_utf8_lossy(&request.body);
        let Some(txn) = Json::parse(&text) else { return (400, "{}".to_owned()) };
        let key = |entry: &Json| {
            let field = |name| entry.text(name).unwrap_or_default().to_owned();
            (field("table"), field("key"))
        };
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no panic under the lock");
        for expected in txn.list("expected-revision") {
            let row = state.rows.get(&key(expected)).filter(|row| row.value.is_some());
            let version = expected.number("ver").unwrap_or(0.0) as u64;
            if row.map_or(0, |row| row.version) != version {
                return (412, encode([].into_iter(), false, &state, self.now_ms()));
            }
        }
        let all = txn.list("writes").iter().chain(txn.list("remove"));
        if all.map(key).any(|(table, _)| table == "op" || table == "servers") {
            return (403, "{}".to_owned());
        }
        state.version += 1;
        let version = state.version;
        for write in txn.list("writes") {
            let value = write.text("value").unwrap_or_default().to_owned();
            state.rows.insert(key(write), Row { version, value: Some(value) });
        }
        for removed in txn.list("remove") {
            state.rows.insert(key(removed), Row { version, value: None });
        }
        changed.notify_all();
        (200, format!("{{\"ver\":{version},\"now-ms\":{}}}", self.now_ms()))
    }
}

fn encode<'a>(
    rows: impl Iterator<Item = (&'a str, &'a str, &'a Row)>,
    has_more: bool,
    state: &State,
    now_ms: u128,
) -> String {
    let mut out = String::from("{\"rows\":[");
    for (index, (table, key, row)) in rows.enumerate() {
        let separator = if index == 0 { "" } else { "," };
        let _ = write!(
            out,
            "{separator}{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{},",
            row.version
        );
        let _ = match &row.value {
            Some(value) => write!(out, "\"value\":\"{value}\"}}"),
            None => write!(out, "\"tombstone\":true}}"),
        };
    }
    let version = state.version;
    let _ = write!(out, "],\"has-more\":{has_more},\"ver\":{version},\"now-ms\":{now_ms}}}");
    out
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(*chunk.get(index).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            out.push(if index <= chunk.len() { digit as char } else { '=' });
        }
    }
    out
}
