//! One replica: a model engine, or a plain service that runs orders and lookups.
//!
//! Every event of an engine names the request whose prompt is in the memory from which it was made,
//! as the text of a real engine follows from its memory. All runs are written to the log file.

use std::{
    collections::HashMap,
    fs::OpenOptions,
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime},
};

use crate::{
    http::{Channel, Message, call},
    json,
};

/// Bytes of memory of one token, and what a link carries in a millisecond (88,000 Mbit/s).
const TOKEN_BYTES: u64 = 18_432;
const LINK_BYTES_PER_MS: u64 = 11_000_000;
const MOVE_SETUP: Duration = Duration::from_millis(8);
/// Prompt tokens that are read in a millisecond, and tokens of one event.
const PREFILL_TOKENS_PER_MS: u64 = 8;
const EVENT_TOKENS: u64 = 6;
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub struct Options {
    pub id: String,
    pub listen: SocketAddr,
    pub zone: String,
    pub service: String,
    pub is_engine: bool,
    pub store: SocketAddr,
    pub log: String,
    /// Time between two events, and the time that an order takes.
    pub pace: Duration,
}

struct Run {
    memory: String,
    tokens: u64,
    events: u64,
}

/// The memory of a run, held for another replica.
struct Copy {
    memory: String,
    tokens: u64,
}

struct Replica {
    options: Options,
    born: u128,
    runs: Mutex<HashMap<String, Run>>,
    copies: Mutex<HashMap<String, Copy>>,
    handles: AtomicU64,
    /// The two directions of the replica's link.
    outgoing: Mutex<()>,
    incoming: Mutex<()>,
    answers: AtomicU64,
    spoiled: AtomicU64,
    /// Second answers that were sent.
    extras: AtomicU64,
    /// Whether the next whole stream is answered twice.
    spoil_next: AtomicBool,
    listed: AtomicBool,
    draining: AtomicBool,
    /// Whether all answers say that the replica leaves.
    leaving: AtomicBool,
    /// Until when the replica neither reads nor sends anything, in Unix milliseconds. Its runs go on.
    silent_until: AtomicU64,
}

pub fn now_ms() -> u128 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis()
}

pub fn run(options: Options) {
    let listener = TcpListener::bind(options.listen).expect("the replica's address is free");
    let replica = Arc::new(Replica {
        options,
        born: now_ms(),
        runs: Mutex::default(),
        copies: Mutex::default(),
        handles: AtomicU64::new(0),
        outgoing: Mutex::new(()),
        incoming: Mutex::new(()),
        answers: AtomicU64::new(0),
        spoiled: AtomicU64::new(0),
        extras: AtomicU64::new(0),
        spoil_next: AtomicBool::new(false),
        listed: AtomicBool::new(true),
        draining: AtomicBool::new(false),
        leaving: AtomicBool::new(false),
        silent_until: AtomicU64::new(0),
    });
    let registered = replica.clone();
    thread::spawn(move || {
        let mut seq = 0;
        loop {
            if registered.listed.load(Ordering::SeqCst) {
                seq += 1;
                registered.register(seq);
            }
            thread::sleep(HEARTBEAT);
        }
    });
    for stream in listener.incoming().flatten() {
        let replica = replica.clone();
        thread::spawn(move || replica.serve(Channel::new(stream)));
    }
}

impl Replica {
    fn register(&self, seq: u64) {
        let Options { id, listen, zone, service, store, .. } = &self.options;
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{listen}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"{state}\",\"cold-left-ms\":0,\
             \"seq\":{seq},\"born\":{}}}",
            self.born
        );
        // Without an answer the next report says the same.
        let _ = call(*store, "PUT", &format!("/standin/row/servers/{id}"), &entry);
    }

    fn log(&self, text: &str) {
        let file = OpenOptions::new().append(true).create(true).open(&self.options.log);
        if let Ok(mut file) = file {
            let _ = file.write_all(format!("{} {} {text}\n", now_ms(), self.options.id).as_bytes());
        }
    }

    fn serve(&self, mut channel: Channel) {
        // The second answer to an earlier request, which is sent where the next answer is due.
        let mut extra: Option<String> = None;
        while let Ok(Some(request)) = channel.message() {
            while self.is_silent() {
                thread::sleep(Duration::from_millis(2));
            }
            if let Some(extra) = extra.take() {
                self.extras.fetch_add(1, Ordering::SeqCst);
                self.log(&format!("EXTRA sent before the answer to {}", request.first));
                if channel.send(&extra).is_err() {
                    return;
                }
            }
            if !request.word(1).starts_with("/standin/") {
                self.answers.fetch_add(1, Ordering::SeqCst);
            }
            match self.answer(&mut channel, &request) {
                Ok(next) => extra = next,
                Err(_) => return,
            }
        }
    }

    fn answer(&self, channel: &mut Channel, request: &Message) -> io::Result<Option<String>> {
        let target = request.word(1).to_owned();
        let leaving =
            if self.leaving.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" };
        let json = format!("{leaving}Content-Type: application/json\r\n");
        match target.as_str() {
            "/wisteriawinch/report" => channel.reply(200, &json, &self.report())?,
            "/wisteriawinch/kv-list" => {
                channel.reply(200, &json, "{\"epoch\":1,\"next\":1,\"held\":[]}")?;
            }
            "/health" => {
                let id = &self.options.id;
                channel.reply(200, &format!("{leaving}Replica-Id: {id}\r\n"), "")?;
            }
            "/wisteriawinch/kv-move" => {
                let (status, body) = self.move_memory(&request.text());
                channel.reply(status, &json, &body)?;
            }
            _ if target.starts_with("/wisteriawinch/kv-handle/") => {
                channel.reply(200, &json, "{}")?;
            }
            _ if target.starts_with("/standin/") => {
                let body = self.control(&target, &request.text());
                channel.reply(200, "", &body)?;
            }
            _ => return self.execute(channel, request, leaving),
        }
        Ok(None)
    }

    fn is_silent(&self) -> bool {
        (now_ms() as u64) < self.silent_until.load(Ordering::SeqCst)
    }

    fn control(&self, target: &str, body: &str) -> String {
        let set = |flag: &AtomicBool, value| flag.store(value, Ordering::SeqCst);
        match target {
            "/standin/copy" | "/standin/move" => {
                let copy = json::parse(body).unwrap_or(json::Json::Null);
                let field = |name| copy.get(name).text().to_owned();
                let held = Copy { memory: field("memory"), tokens: copy.get("tokens").number() };
                if target == "/standin/move" {
                    let _incoming = self.incoming.lock().unwrap();
                    // Twice as long between zones.
                    let transfer = 2 * held.tokens * TOKEN_BYTES / LINK_BYTES_PER_MS;
                    thread::sleep(MOVE_SETUP + Duration::from_millis(transfer));
                }
                self.copies.lock().unwrap().insert(field("key"), held);
            }
            "/standin/drop" => drop(self.copies.lock().unwrap().remove(body)),
            "/standin/spoil" => set(&self.spoil_next, true),
            "/standin/silent" => {
                let until = now_ms() as u64 + body.parse::<u64>().unwrap_or(0);
                self.silent_until.store(until, Ordering::SeqCst);
                self.log(&format!("SILENT for {body} ms, its runs go on"));
            }
            "/standin/unlist" => {
                set(&self.listed, false);
                let name = format!("/standin/row/servers/{}", self.options.id);
                let _ = call(self.options.store, "DELETE", &name, "");
                self.log("LEAVES its entry is removed, it goes on serving");
            }
            "/standin/leave" => {
                set(&self.leaving, true);
                set(&self.draining, true);
                self.register(1_000_000);
                self.log("LEAVES its entry says draining, its answers Server-Leaving");
            }
            "/standin/counts" => {
                let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
                let runs = self.runs.lock().unwrap();
                let names: Vec<String> = runs.keys().map(|id| json::quote(id)).collect();
                let copies = self.copies.lock().unwrap();
                let copies: Vec<String> =
                    copies.values().map(|copy| json::quote(&copy.memory)).collect();
                return format!(
                    "{{\"answers\":{},\"spoiled\":{},\"extras\":{},\"runs\":[{}],\"copies\":[{}]}}",
                    count(&self.answers),
                    count(&self.spoiled),
                    count(&self.extras),
                    names.join(","),
                    copies.join(",")
                );
            }
            _ => {}
        }
        "{}".to_owned()
    }

    fn report(&self) -> String {
        let runs = self.runs.lock().unwrap();
        let copies = self.copies.lock().unwrap();
        let copied: u64 = copies.values().map(|copy| copy.tokens).sum();
        let used = copied + runs.values().map(|run| run.tokens).sum::<u64>();
        let begun = runs.iter().filter(|(_, run)| run.events > 0);
        let list = begun.map(|(id, run)| format!("[\"{id}\",{},{},5]", run.tokens, run.events));
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        format!(
            "{{\"stage\":\"colocated\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"seq\":0,\"waiting\":0,\"running\":{},\"kv-used\":{used},\
             \"kv-total\":88000,\"handles\":{},\"state\":\"{state}\",\"born\":{},\"runs\":[{}]}}",
            runs.len(),
            copies.len(),
            self.born,
            list.collect::<Vec<_>>().join(",")
        )
    }

    /// Copies the memory of a run to another replica; moves queue on the link.
    fn move_memory(&self, body: &str) -> (u16, String) {
        let request = json::parse(body).unwrap_or(json::Json::Null);
        let id = request.get("id").text();
        let found = self
            .runs
            .lock()
            .unwrap()
            .get(id)
            .map(|run| (run.memory.clone(), run.tokens, run.events));
        let Some((memory, tokens, events)) = found else { return (404, "{}".to_owned()) };
        let handle = self.handles.fetch_add(1, Ordering::SeqCst) + 1;
        let key = format!("{}/{handle}", self.options.listen);
        let target = request.get("target").text();
        let outgoing = self.outgoing.lock().unwrap();
        if !send_copy("move", target, &key, &memory, tokens) {
            return (503, "{}".to_owned());
        }
        drop(outgoing);
        self.log(&format!("MOVE handle {handle} holds the memory of {id}, copied to {target}"));
        (200, format!("{{\"handle\":{handle},\"create-rev\":{events}}}"))
    }

    /// Runs a consumer's request; returns the second answer that follows later, if there is one.
    fn execute(
        &self,
        channel: &mut Channel,
        request: &Message,
        leaving: &str,
    ) -> io::Result<Option<String>> {
        let own = &self.options.id;
        let Some(id) = request.header("attempt-id") else {
            return channel.reply(400, "Not-Executed: 1\r\n", "").map(|()| None);
        };
        let named = format!("{leaving}Attempt-Id: {id}\r\n");
        if request.header("expect-replica").is_some_and(|expected| expected != own) {
            let headers = format!("{named}Replica-Id: {own}\r\n");
            return channel.reply(421, &headers, "").map(|()| None);
        }
        let signed = format!("{named}Replica-Signature: s.{own}.{id}\r\n");
        if !self.options.is_engine {
            self.log(&format!("RUN {id} {} from {}", request.word(0), peer(channel)));
            if request.word(1).ends_with("/poison") {
                self.log(&format!("CRASHES as it runs {id}"));
                std::process::exit(1);
            }
            thread::sleep(self.options.pace);
            let body = format!("done {id}");
            if request.word(0) == "HEAD" {
                let length = body.len();
                let head = format!("HTTP/1.1 200 X\r\n{signed}Content-Length: {length}\r\n\r\n");
                return channel.send(&head).map(|()| None);
            }
            return channel.reply(200, &signed, &body).map(|()| None);
        }
        let sizes = request.header("token-usage").unwrap_or("1000,60").to_owned();
        let (prompt, answer) = sizes.split_once(',').unwrap_or(("1000", "60"));
        let prompt: u64 = prompt.parse().unwrap_or(1_000);
        let last = answer.parse::<u64>().unwrap_or(60) / EVENT_TOKENS;
        let from = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut memory = id.to_owned();
        if let Some(key) = request.header("kv-from") {
            let Some(copy) = self.copies.lock().unwrap().remove(key) else {
                let headers = format!("{named}Not-Executed: 1\r\n");
                return channel.reply(503, &headers, "").map(|()| None);
            };
            self.log(&format!(
                "RUN {id} after event {from} from copy {key}: memory of {}, {} tokens",
                copy.memory, copy.tokens
            ));
            memory = copy.memory;
        } else {
            self.log(&format!("RUN {id} after event {from} from its prompt"));
            thread::sleep(Duration::from_millis(
                (prompt + from * EVENT_TOKENS) / PREFILL_TOKENS_PER_MS,
            ));
        }
        let backup = request.header("kv-backup").map(str::to_owned);
        if let Some(target) = &backup {
            send_copy("copy", target, &format!("{target}/{id}"), &memory, prompt);
        }
        let run = Run { memory: memory.clone(), tokens: prompt, events: 0 };
        self.runs.lock().unwrap().insert(id.to_owned(), run);
        let result = self.stream(channel, id, &signed, &memory, from, last);
        self.runs.lock().unwrap().remove(id);
        if let (Some(target), true) = (&backup, result.is_ok()) {
            let address: Option<SocketAddr> = target.parse().ok();
            let _ = address.map(|a| call(a, "POST", "/standin/drop", &format!("{target}/{id}")));
        }
        let sent = result?;
        let spoils = self.spoil_next.swap(false, Ordering::SeqCst);
        if spoils {
            self.spoiled.fetch_add(1, Ordering::SeqCst);
            self.log(&format!("SPOILED the answer to {id}: a second one follows later"));
        }
        Ok(spoils.then_some(sent))
    }

    /// Sends the events after `from`; returns the whole answer as it was sent.
    fn stream(
        &self,
        channel: &mut Channel,
        id: &str,
        signed: &str,
        memory: &str,
        from: u64,
        last: u64,
    ) -> io::Result<String> {
        let mut sent = format!(
            "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        channel.send(&sent)?;
        let mut unsent = String::new();
        for number in from + 1..=last {
            let event = format!("id: {number}\ndata: piece {number} of {memory}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            unsent += &chunk;
            sent += &chunk;
            if let Some(run) = self.runs.lock().unwrap().get_mut(id) {
                run.events = number;
            }
            if self.is_silent() {
                thread::sleep(self.options.pace);
                continue;
            }
            let is_sent = channel.send(&std::mem::take(&mut unsent));
            // A run ends when its channel is closed.
            if is_sent.is_err() || is_closed(channel)? {
                self.log(&format!("DROPPED {id} after event {number}: its channel was closed"));
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            thread::sleep(self.options.pace);
        }
        channel.send(&format!("{unsent}0\r\n\r\n"))?;
        sent += "0\r\n\r\n";
        self.log(&format!("ENDED {id} after event {last}"));
        Ok(sent)
    }
}

fn peer(channel: &Channel) -> String {
    channel.io.peer_addr().map_or("-".to_owned(), |address| address.ip().to_string())
}

fn is_closed(channel: &Channel) -> io::Result<bool> {
    channel.io.set_nonblocking(true)?;
    let peeked = channel.io.peek(&mut [0]);
    channel.io.set_nonblocking(false)?;
    Ok(match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    })
}

fn send_copy(kind: &str, target: &str, key: &str, memory: &str, tokens: u64) -> bool {
    let Ok(address) = target.parse() else { return false };
    let body = format!("{{\"key\":\"{key}\",\"memory\":\"{memory}\",\"tokens\":{tokens}}}");
    call(address, "POST", &format!("/standin/{kind}"), &body)
        .is_ok_and(|reply| reply.status() == 200)
}
