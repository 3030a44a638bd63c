//! Replicas of a service: model engines and plain servers, as PROTOCOL.md describes them.

use std::{
    collections::HashMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use crate::{
    http::{Channel, Message},
    record::Record,
    store::Store,
};

/// Interval of the entries that a replica writes.
pub const BEAT: Duration = Duration::from_millis(1_200);
/// Time without an entry after which the store removes it: three intervals.
const LAPSE: Duration = Duration::from_millis(3_600);

static NEXT: AtomicU64 = AtomicU64::new(1);

/// What a replica does with the requests of one service.
pub struct Work {
    pub is_engine: bool,
    /// Requests at once.
    pub slots: u32,
    /// Time until an answer begins.
    pub first: Duration,
    /// Number of events of a stream.
    pub events: u64,
    /// Time between two events.
    pub gap: Duration,
    /// Part of a prompt on which a replica crashes as it begins to write an answer.
    pub poison: Option<String>,
    /// Time after which a crashed replica is back.
    pub down: Duration,
    /// The version of the software.
    pub version: &'static str,
    /// One request in this many fails with status 500; none if zero.
    pub fails_every: u64,
    /// Path of the one route on which every request fails with status 500.
    pub fails_path: Option<&'static str>,
    /// Whether its streams have neither a length nor chunks, and end with the channel.
    pub is_unframed: bool,
}

struct Life {
    id: String,
    born: u128,
    is_up: bool,
    /// Number of the lifetime.
    number: u64,
    is_draining: bool,
    channels: Vec<TcpStream>,
    /// Events that each request under way has made.
    runs: HashMap<String, u64>,
}

pub struct Replica {
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    work: Arc<Work>,
    store: Arc<Store>,
    record: Record,
    life: Mutex<Life>,
    seq: AtomicU64,
    /// Requests that it has begun to work on.
    pub ran: AtomicU64,
    pub crashes: AtomicU64,
    /// Requests that it has answered with status 500.
    pub failed: AtomicU64,
    /// Until when it sends nothing, on no channel. Its work goes on.
    silent_until: Mutex<Option<Instant>>,
    /// The requests that it has worked on, each with its start and end.
    pub spans: Mutex<Vec<(String, Instant, Instant)>>,
    is_ended: AtomicBool,
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis()
}

pub fn new_id() -> String {
    format!("i-{:08x}", NEXT.fetch_add(1, Ordering::Relaxed) * 2_654_435_761 % 0xffff_fff1)
}

impl Replica {
    pub fn start(
        address: SocketAddr,
        service: &str,
        zone: &str,
        work: Arc<Work>,
        store: Arc<Store>,
        record: Record,
    ) -> Arc<Self> {
        Self::start_as(new_id(), unix_ms(), address, service, zone, work, store, record)
    }

    /// Starts a replica under this id.
    #[allow(clippy::too_many_arguments)]
    pub fn start_as(
        id: String,
        born: u128,
        address: SocketAddr,
        service: &str,
        zone: &str,
        work: Arc<Work>,
        store: Arc<Store>,
        record: Record,
    ) -> Arc<Self> {
        let life = Life {
            id,
            born,
            is_up: true,
            number: 1,
            is_draining: false,
            channels: Vec::new(),
            runs: HashMap::new(),
        };
        let replica = Arc::new(Self {
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            work,
            store,
            record,
            life: Mutex::new(life),
            seq: AtomicU64::new(0),
            ran: AtomicU64::new(0),
            crashes: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            silent_until: Mutex::default(),
            spans: Mutex::default(),
            is_ended: AtomicBool::new(false),
        });
        replica.listen();
        let beating = replica.clone();
        thread::spawn(move || {
            while !beating.is_ended.load(Ordering::Relaxed) {
                beating.beat();
                thread::sleep(BEAT);
            }
        });
        replica
    }

    pub fn id(&self) -> String {
        self.life.lock().unwrap().id.clone()
    }

    fn beat(&self) {
        let life = self.life.lock().unwrap();
        if !life.is_up {
            return;
        }
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"{}\",\"cold-left-ms\":0,\"stage\":\"colocated\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{seq},\
             \"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.work.version,
            self.work.slots,
            if life.is_draining { "draining" } else { "ready" },
            life.born
        );
        self.store.put("servers", &life.id, &entry);
    }

    /// Reports that the replica drains; it ends after `serves_for`, and its entry is removed.
    pub fn drain(self: &Arc<Self>, serves_for: Duration) {
        self.life.lock().unwrap().is_draining = true;
        self.beat();
        self.record.add(format!("replica {} ({}) drains", self.id(), self.work.version));
        let replica = self.clone();
        thread::spawn(move || {
            thread::sleep(serves_for);
            replica.stop();
        });
    }

    /// Sends nothing for `time`, and goes on then with what it has made.
    pub fn fall_silent(&self, time: Duration) {
        *self.silent_until.lock().unwrap() = Some(Instant::now() + time);
        self.record.add(format!("replica {} is silent for {} ms", self.id(), time.as_millis()));
    }

    fn is_silent(&self) -> bool {
        self.silent_until.lock().unwrap().is_some_and(|until| Instant::now() < until)
    }

    /// Works for `time`, and goes on until a silence is over; `None` as soon as the channel closes.
    fn work_for(&self, channel: &Channel, time: Duration) -> Option<()> {
        let until = Instant::now() + time;
        while Instant::now() < until || self.is_silent() {
            channel.check_open()?;
        }
        Some(())
    }

    /// Ends the replica for good, and removes its entry.
    pub fn stop(&self) {
        self.is_ended.store(true, Ordering::Relaxed);
        let mut life = self.life.lock().unwrap();
        life.is_up = false;
        for channel in life.channels.drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        self.store.drop_row("servers", &life.id);
        self.record.add(format!("replica {} ({}) has ended", life.id, self.work.version));
    }

    /// Accepts connections for the present lifetime.
    fn listen(self: &Arc<Self>) {
        let number = self.life.lock().unwrap().number;
        let listener = TcpListener::bind(self.address).expect("bind a replica");
        listener.set_nonblocking(true).expect("a listener that does not block");
        let replica = self.clone();
        thread::spawn(move || {
            while replica.lives(number) {
                match listener.accept() {
                    Ok((io, _)) => {
                        let _ = io.set_nonblocking(false);
                        replica.accept(io, number);
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn lives(&self, number: u64) -> bool {
        let life = self.life.lock().unwrap();
        life.is_up && life.number == number
    }

    fn accept(self: &Arc<Self>, io: TcpStream, number: u64) {
        let Ok(kept) = io.try_clone() else { return };
        self.life.lock().unwrap().channels.push(kept);
        let replica = self.clone();
        thread::spawn(move || {
            let mut channel = Channel::new(io);
            while replica.lives(number) {
                let Ok(request) = channel.message() else { break };
                if replica.answer(&mut channel, &request, number).is_none() {
                    break;
                }
            }
            let _ = channel.io.shutdown(Shutdown::Both);
        });
    }

    /// Ends the lifetime as a crash does: all channels end, nobody listens, and nothing is said.
    fn crash(self: &Arc<Self>) {
        let (id, number) = {
            let mut life = self.life.lock().unwrap();
            if !life.is_up {
                return;
            }
            life.is_up = false;
            for channel in life.channels.drain(..) {
                let _ = channel.shutdown(Shutdown::Both);
            }
            life.runs.clear();
            (life.id.clone(), life.number)
        };
        self.crashes.fetch_add(1, Ordering::Relaxed);
        self.record.add(format!("replica {id} crashes"));
        let replica = self.clone();
        let lapsed = (self.store.clone(), id);
        thread::spawn(move || {
            thread::sleep(LAPSE);
            lapsed.0.drop_row("servers", &lapsed.1);
        });
        thread::spawn(move || {
            thread::sleep(replica.work.down);
            {
                let mut life = replica.life.lock().unwrap();
                life.id = new_id();
                life.born = unix_ms();
                life.number = number + 1;
                life.is_up = true;
            }
            replica.listen();
            replica.beat();
            replica.record.add(format!("replica {} is back", replica.id()));
        });
    }

    /// Answers one request; `None` if the channel is to be closed.
    fn answer(
        self: &Arc<Self>,
        channel: &mut Channel,
        request: &Message,
        number: u64,
    ) -> Option<()> {
        let (id, born) = {
            let life = self.life.lock().unwrap();
            (life.id.clone(), life.born)
        };
        while self.is_silent() {
            thread::sleep(Duration::from_millis(5));
        }
        match request.path() {
            "/wisteriawinch/report" if self.work.is_engine => {
                let runs: Vec<String> = {
                    let life = self.life.lock().unwrap();
                    let begun = life.runs.iter().filter(|(_, events)| **events > 0);
                    begun.map(|(id, events)| format!("[\"{id}\",500,{events},5]")).collect()
                };
                let running = self.life.lock().unwrap().runs.len();
                let body = format!(
                    "{{\"stage\":\"colocated\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                     \"adapters\":[]}}],\"busy\":false,\"seq\":0,\"waiting\":0,\
                     \"running\":{running},\"kv-used\":{},\"kv-total\":88000,\"handles\":0,\
                     \"state\":\"ready\",\"next\":null,\"runs\":[{}],\"born\":{born}}}",
                    running * 500,
                    runs.join(",")
                );
                let headers = "Content-Type: application/json\r\n";
                return channel.reply(200, headers, body.as_bytes()).ok();
            }
            "/wisteriawinch/kv-list" if self.work.is_engine => {
                let body = b"{\"epoch\":1,\"next\":0,\"held\":[]}";
                return channel.reply(200, "Content-Type: application/json\r\n", body).ok();
            }
            "/health" => {
                return channel.reply(200, &format!("Replica-Id: {id}\r\n"), b"").ok();
            }
            path if path.starts_with("/wisteriawinch/") => return channel.reply(404, "", b"").ok(),
            _ => {}
        }
        let Some(attempt) = request.header("attempt-id").map(str::to_owned) else {
            return channel.reply(400, "Not-Executed: 1\r\n", b"").ok();
        };
        let echo = format!("Attempt-Id: {attempt}\r\n");
        if request.header("expect-replica").is_some_and(|expected| expected != id) {
            let headers = format!("{echo}Replica-Id: {id}\r\n");
            return channel.reply(421, &headers, b"").ok();
        }
        {
            let mut life = self.life.lock().unwrap();
            if life.runs.len() >= self.work.slots as usize {
                drop(life);
                return channel.reply(503, &format!("{echo}Not-Executed: 1\r\n"), b"").ok();
            }
            life.runs.insert(attempt.clone(), 0);
        }
        let ran = self.ran.fetch_add(1, Ordering::Relaxed) + 1;
        self.record.add(format!("replica {id} ({}) runs {attempt}", self.work.version));
        let is_failing_route = self.work.fails_path.is_some_and(|path| request.path() == path);
        let is_failing_turn =
            self.work.fails_every > 0 && ran.is_multiple_of(self.work.fails_every);
        if is_failing_route || is_failing_turn {
            thread::sleep(self.work.first);
            self.failed.fetch_add(1, Ordering::Relaxed);
            self.record.add(format!("replica {id} ({}) fails {attempt}", self.work.version));
            self.life.lock().unwrap().runs.remove(&attempt);
            let headers = format!("{echo}Replica-Signature: s.{attempt}\r\n");
            return channel.reply(500, &headers, b"failed").ok();
        }
        let started = Instant::now();
        let done = self.run(channel, request, &attempt, &echo, number);
        self.spans.lock().unwrap().push((attempt.clone(), started, Instant::now()));
        let mut life = self.life.lock().unwrap();
        if life.number == number {
            life.runs.remove(&attempt);
        }
        done
    }

    fn run(
        self: &Arc<Self>,
        channel: &mut Channel,
        request: &Message,
        attempt: &str,
        echo: &str,
        number: u64,
    ) -> Option<()> {
        self.work_for(channel, self.work.first)?;
        let prompt = request.header("prompt-prefix").unwrap_or_default();
        let is_poisoned = self.work.poison.as_ref().is_some_and(|poison| {
            prompt.split(',').any(|part| part.split(':').next() == Some(poison))
        });
        if is_poisoned {
            self.crash();
            return None;
        }
        let signed = format!("{echo}Replica-Signature: s.{attempt}\r\n");
        if !self.work.is_engine {
            let body = format!("done {attempt}");
            if !self.work.is_unframed {
                return channel.reply(200, &signed, body.as_bytes()).ok();
            }
            let head = format!("HTTP/1.1 200 OK\r\n{signed}Connection: close\r\n\r\n");
            let (begin, rest) = body.split_at(body.len() / 2);
            channel.send(format!("{head}{begin}").as_bytes()).ok()?;
            self.work_for(channel, self.work.gap)?;
            channel.send(rest.as_bytes()).ok()?;
            // The end of the channel is that of the body.
            return None;
        }
        let is_unframed = self.work.is_unframed;
        let framing = if is_unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
        );
        channel.send(head.as_bytes()).ok()?;
        let after = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let started = Instant::now();
        for event in after + 1..=self.work.events {
            let data = format!("id: {event}\ndata: {attempt}.{event}\n\n");
            let chunk = match is_unframed {
                true => data,
                false => format!("{:x}\r\n{data}\r\n", data.len()),
            };
            channel.send(chunk.as_bytes()).ok()?;
            if let Some(events) = self.life.lock().unwrap().runs.get_mut(attempt) {
                *events = event;
            }
            let due = self.work.gap * u32::try_from(event - after).unwrap_or(1);
            self.work_for(channel, due.saturating_sub(started.elapsed()))?;
            if !self.lives(number) {
                return None;
            }
        }
        if is_unframed {
            // The end of the channel is that of the stream.
            return None;
        }
        channel.send(b"0\r\n\r\n").ok()
    }
}
