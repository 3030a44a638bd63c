//! The platform's metadata store, as far as entry daemons use it: rows, feeds and transactions.
//!
//! Replicas and the operator write through `PUT /standin/row/TABLE/KEY`, `DELETE` of the same path
//! removes a row.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    base64,
    http::{Channel, Message},
    json::{self, Json, quote},
};

#[derive(Clone)]
struct Row {
    /// `None` after the row was dropped.
    value: Option<String>,
    ver: u64,
}

/// Table, part and key.
type Address = (String, String, String);

struct State {
    rows: BTreeMap<Address, Row>,
    ver: u64,
    started_at: Instant,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

pub fn run(listen: SocketAddr) {
    let listener = TcpListener::bind(listen).expect("the store's address is free");
    let state = State { rows: BTreeMap::new(), ver: 1, started_at: Instant::now() };
    let shared: Shared = Arc::new((Mutex::new(state), Condvar::new()));
    for stream in listener.incoming().flatten() {
        let shared = shared.clone();
        thread::spawn(move || {
            let mut channel = Channel::new(stream);
            while let Ok(Some(request)) = channel.message() {
                let (status, body) = answer(&shared, &request);
                if channel.reply(status, "Content-Type: application/json\r\n", &body).is_err() {
                    break;
                }
            }
        });
    }
}

fn query(target: &str) -> BTreeMap<String, String> {
    let pairs = target.split_once('?').map_or("", |(_, query)| query).split('&');
    let pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.map(|(key, value)| (key.to_owned(), decode(value))).collect()
}

fn decode(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn encode_row((table, part, key): &Address, row: &Row) -> String {
    let (table, part, key, ver) = (quote(table), quote(part), quote(key), row.ver);
    match &row.value {
        Some(value) => format!(
            "{{\"table\":{table},\"part\":{part},\"key\":{key},\"value\":{},\"ver\":{ver}}}",
            quote(value)
        ),
        None => format!(
            "{{\"table\":{table},\"part\":{part},\"key\":{key},\"ver\":{ver},\"tombstone\":true}}"
        ),
    }
}

fn answer((mutex, changed): &(Mutex<State>, Condvar), request: &Message) -> (u16, String) {
    let (method, target) = (request.word(0), request.word(1).to_owned());
    let path = target.split('?').next().unwrap_or_default();
    if let Some(name) = path.strip_prefix("/standin/row/") {
        let (table, key) = name.split_once('/').unwrap_or((name, ""));
        let value = (method == "PUT").then(|| base64::encode(&request.body));
        let mut state = mutex.lock().unwrap();
        state.ver += 1;
        let row = Row { value, ver: state.ver };
        state.rows.insert((table.to_owned(), String::new(), key.to_owned()), row);
        changed.notify_all();
        return (200, format!("{{\"ver\":{}}}", state.ver));
    }
    match path {
        "/wisteriawinch/rows-get" => get(&mutex.lock().unwrap(), &query(&target)),
        "/wisteriawinch/rows-feed" => feed(mutex, changed, &query(&target)),
        "/wisteriawinch/rows-tx" => {
            thread::sleep(Duration::from_millis(5));
            let reply = transact(&mut mutex.lock().unwrap(), &request.text());
            changed.notify_all();
            reply
        }
        _ => (404, "{}".to_owned()),
    }
}

fn tail(state: &State) -> String {
    format!("\"ver\":{},\"now-ms\":{}", state.ver, state.started_at.elapsed().as_millis())
}

fn get(state: &State, query: &BTreeMap<String, String>) -> (u16, String) {
    let field = |name: &str| query.get(name).cloned().unwrap_or_default();
    let limit = field("limit").parse().unwrap_or(500_usize).min(500);
    let (table, part, from, target) =
        (field("table"), field("part"), field("from"), field("target"));
    let mut rows = state.rows.iter().filter(|(address, row)| {
        let is_within = address.2 >= from && (target.is_empty() || address.2 < target);
        row.value.is_some() && address.0 == table && address.1 == part && is_within
    });
    let found: Vec<String> = rows.by_ref().take(limit).map(|(a, row)| encode_row(a, row)).collect();
    let more = rows.next().is_some();
    (200, format!("{{\"rows\":[{}],\"has-more\":{more},{}}}", found.join(","), tail(state)))
}

fn feed(
    mutex: &Mutex<State>,
    changed: &Condvar,
    query: &BTreeMap<String, String>,
) -> (u16, String) {
    let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0_u64);
    let table = query.get("table").cloned().unwrap_or_default();
    let deadline = Instant::now() + Duration::from_millis(number("wait-ms").min(30_000));
    let mut state = mutex.lock().unwrap();
    loop {
        let rows = state.rows.iter();
        let rows = rows.filter(|(address, row)| address.0 == table && row.ver > number("after"));
        let mut rows: Vec<_> = rows.collect();
        rows.sort_by_key(|(_, row)| row.ver);
        let now = Instant::now();
        if !rows.is_empty() || now >= deadline {
            let rows: Vec<String> = rows.into_iter().map(|(a, row)| encode_row(a, row)).collect();
            let body = format!("{{\"rows\":[{}],{}}}", rows.join(","), tail(&state));
            return (200, body);
        }
        state = changed.wait_timeout(state, deadline - now).unwrap().0;
    }
}

fn transact(state: &mut State, body: &str) -> (u16, String) {
    let Some(body) = json::parse(body) else { return (400, "{}".to_owned()) };
    let address = |entry: &Json| {
        let field = |name| entry.get(name).text().to_owned();
        (field("table"), field("part"), field("key"))
    };
    let entries = |name: &str| body.get(name).list().to_vec();
    if entries("writes")
        .iter()
        .chain(&entries("remove"))
        .any(|entry| ["op", "servers"].contains(&entry.get("table").text()))
    {
        return (403, "{}".to_owned());
    }
    let holds = |entry: &Json| {
        let row = state.rows.get(&address(entry)).filter(|row| row.value.is_some());
        row.map_or(0, |row| row.ver) == entry.get("ver").number()
    };
    if !entries("expected-revision").iter().all(holds) {
        let rows = entries("expected-revision");
        let rows = rows.iter().map(address);
        let rows: Vec<String> = rows
            .filter_map(|a| state.rows.get(&a).filter(|r| r.value.is_some()).map(|r| (a, r)))
            .map(|(a, row)| encode_row(&a, row))
            .collect();
        return (412, format!("{{\"rows\":[{}],{}}}", rows.join(","), tail(state)));
    }
    state.ver += 1;
    for entry in entries("writes") {
        let row = Row { value: Some(entry.get("value").text().to_owned()), ver: state.ver };
        state.rows.insert(address(&entry), row);
    }
    for entry in entries("remove") {
        state.rows.insert(address(&entry), Row { value: None, ver: state.ver });
    }
    (200, format!("{{{}}}", tail(state)))
}
