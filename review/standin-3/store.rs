//! The platform's metadata store, as PROTOCOL.md describes it: rows, transactions and the feed.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Channel, Message},
    json::{self, Json},
};

/// Table, part and key.
type Address = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<Address, (Vec<u8>, u64)>,
    /// Changes with their versions; `None` if the row was dropped.
    log: Vec<(u64, Address, Option<Vec<u8>>)>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    /// A store that nobody can reach.
    pub fn unreachable() -> Arc<Self> {
        Arc::new(Self { state: Mutex::default(), changed: Condvar::new(), started: Instant::now() })
    }

    /// Starts the store on `address`.
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store = Self::unreachable();
        let listener = TcpListener::bind(address).expect("bind the store");
        let served = store.clone();
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Channel::new(io)));
            }
        });
        store
    }

    /// Writes a row as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let address = (table.to_owned(), String::new(), key.to_owned());
        self.apply(vec![(address, Some(value.as_bytes().to_vec()))]);
    }

    /// Drops a row.
    pub fn drop_row(&self, table: &str, key: &str) {
        let address = (table.to_owned(), String::new(), key.to_owned());
        self.apply(vec![(address, None)]);
    }

    /// The text of a row.
    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let address = (table.to_owned(), String::new(), key.to_owned());
        let state = self.state.lock().unwrap();
        state.rows.get(&address).map(|(value, _)| String::from_utf8_lossy(value).into_owned())
    }

    fn apply(&self, writes: Vec<(Address, Option<Vec<u8>>)>) -> u64 {
        let mut state = self.state.lock().unwrap();
        let version = Self::apply_to(&mut state, writes);
        self.changed.notify_all();
        version
    }

    fn apply_to(state: &mut State, writes: Vec<(Address, Option<Vec<u8>>)>) -> u64 {
        state.version += 1;
        let version = state.version;
        for (address, value) in writes {
            match &value {
                Some(bytes) => drop(state.rows.insert(address.clone(), (bytes.clone(), version))),
                None => drop(state.rows.remove(&address)),
            }
            state.log.push((version, address, value));
        }
        version
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(request) = channel.message() {
            let (status, body) = self.answer(&request);
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if channel.reply(status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        match request.path() {
            "/wisteriawinch/rows-tx" => self.transact(request),
            "/wisteriawinch/rows-get" => self.read(request),
            "/wisteriawinch/rows-feed" => self.feed(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn transact(&self, request: &Message) -> (u16, String) {
        let text = String::from_utf8_lossy(&request.body);
        let Some(body) = json::parse(&text) else { return (400, "{}".to_owned()) };
        let address = |entry: &Json| {
            let text = |name| entry.str(name).unwrap_or_default().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut writes = Vec::new();
        for entry in body.arr("writes") {
            let value = entry.str("value").and_then(json::unbase64).unwrap_or_default();
            writes.push((address(entry), Some(value)));
        }
        writes.extend(body.arr("remove").iter().map(|entry| (address(entry), None)));
        if writes.iter().any(|(row, _)| row.0 == "op" || row.0 == "servers") {
            return (403, "{}".to_owned());
        }
        let mut state = self.state.lock().unwrap();
        let holds = body.arr("expected-revision").iter().all(|entry| {
            let version = state.rows.get(&address(entry)).map_or(0, |(_, version)| *version);
            entry.num("ver") == Some(version as f64)
        });
        let now = self.now_ms();
        if !holds {
            return (412, format!("{{\"rows\":[],\"ver\":{},\"now-ms\":{now}}}", state.version));
        }
        let version = Self::apply_to(&mut state, writes);
        self.changed.notify_all();
        (200, format!("{{\"ver\":{version},\"now-ms\":{now}}}"))
    }

    fn read(&self, request: &Message) -> (u16, String) {
        let text = |name| request.parameter(name).unwrap_or_default();
        let (table, part, from) = (text("table"), text("part"), text("from"));
        let until = request.parameter("target");
        let limit = text("limit").parse::<usize>().unwrap_or(500).min(500);
        let state = self.state.lock().unwrap();
        let mut rows = Vec::new();
        let mut has_more = false;
        for ((row_table, row_part, key), (value, version)) in &state.rows {
            let is_in = *row_table == table
                && *row_part == part
                && *key >= from
                && until.as_ref().is_none_or(|until| key < until);
            if !is_in {
                continue;
            }
            if rows.len() == limit {
                has_more = true;
                break;
            }
            rows.push(encode_row(&table, &part, key, Some(value), *version));
        }
        let (rows, version, now) = (rows.join(","), state.version, self.now_ms());
        let body = format!(
            "{{\"rows\":[{rows}],\"has-more\":{has_more},\"ver\":{version},\"now-ms\":{now}}}"
        );
        (200, body)
    }

    fn feed(&self, request: &Message) -> (u16, String) {
        let table = request.parameter("table").unwrap_or_default();
        let number = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait-ms").unwrap_or(0).min(30_000));
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            // Of each row only the newest change.
            let mut newest = BTreeMap::new();
            for (version, address, value) in &state.log {
                if *version > after && address.0 == table {
                    newest.insert(address.clone(), (*version, value.clone()));
                }
            }
            let now = Instant::now();
            if !newest.is_empty() || now >= deadline {
                let mut rows: Vec<_> = newest.into_iter().collect();
                rows.sort_by_key(|(_, (version, _))| *version);
                let rows: Vec<String> = rows
                    .iter()
                    .map(|(row, (version, value))| {
                        encode_row(&row.0, &row.1, &row.2, value.as_ref(), *version)
                    })
                    .collect();
                let (rows, version, now) = (rows.join(","), state.version, self.now_ms());
                return (200, format!("{{\"rows\":[{rows}],\"ver\":{version},\"now-ms\":{now}}}"));
            }
            state = self.changed.wait_timeout(state, deadline - now).unwrap().0;
        }
    }
}

fn encode_row(table: &str, part: &str, key: &str, value: Option<&Vec<u8>>, version: u64) -> String {
    let content = match value {
        Some(value) => format!("\"value\":\"{}\"", json::base64(value)),
        None => "\"tombstone\":true".to_owned(),
    };
    let (table, part, key) = (json::quote(table), json::quote(part), json::quote(key));
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},{content},\"ver\":{version}}}")
}
