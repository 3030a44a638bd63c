//! Starts the processes of a small deployment on loopback addresses, and ends them.

use std::{
    fs::{self, File},
    io::{self, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::raw::c_int,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Channel, End, Message, call},
    replica::now_ms,
};

unsafe extern "C" {
    fn kill(pid: c_int, signal: c_int) -> c_int;
}

pub const SIGKILL: c_int = 9;
pub const SIGTERM: c_int = 15;
pub const SIGCONT: c_int = 18;
pub const SIGSTOP: c_int = 19;

/// The command of the deploy file.
const DAEMON: [&str; 4] = ["target/release/wisteriawinch", "entry", "--metrics-port", "7210"];
pub const ZONES: [&str; 4] = ["wien-nord", "wien-sued", "linz-werk", "graz-werk"];
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";
pub const HOST: &str = "ficu95.example";

pub struct Process {
    pub name: String,
    pub address: SocketAddr,
    child: Child,
}

impl Process {
    pub fn signal(&self, signal: c_int) {
        // The process was started here and is not waited for before the end.
        unsafe { kill(self.child.id() as c_int, signal) };
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What is written to `record.txt`.
#[derive(Clone)]
pub struct Record(Arc<Mutex<Vec<(u128, String)>>>);

impl Record {
    pub fn note(&self, text: impl Into<String>) {
        self.0.lock().unwrap().push((now_ms(), text.into()));
    }
}

pub struct Fleet {
    pub dir: PathBuf,
    pub record: Record,
    pub store: Process,
    net: [u8; 2],
}

impl Fleet {
    /// Starts the store.
    pub fn start() -> io::Result<Self> {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("winch-review-{pid}"));
        fs::create_dir_all(&dir)?;
        let net = [(pid % 200 + 20) as u8, (pid / 200 % 250) as u8];
        let address = SocketAddr::new(ip(net, 1), 8742);
        let store = spawn("store", address, &own(&["store", &address.to_string()]), &dir, &[])?;
        wait_open(address)?;
        Ok(Self { dir, record: Record(Arc::default()), store, net })
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(ip(self.net, host), port)
    }

    /// Starts an entry daemon that finds the store at `store` and the other daemons at `seeds`.
    pub fn daemon(
        &self,
        number: u8,
        zone: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
    ) -> io::Result<Process> {
        let host = 100 + number;
        let (front, own_ip) = (self.address(host, 8740), ip(self.net, host));
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let settings = format!(
            r#"node-name = "edge-{number}"
role = "entry"
machine-class = "edge"
serves = ["edge","control_plane"]
ip = "{own_ip}"
zone = "{zone}"
region = "at-ost"
internal-ports = [7200,7215]
seed-nodes = [{}]
first-start = true
loss-counts = false
discovery = "platform"
entry-mode = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","rollout","platform"]
[listen-addrs]
front = "{front}"
ready = "{own_ip}:8749"
control = "{own_ip}:8748"
[limits]
cpu-share = 0.17
cpu-cores = 1
memory-mb = 182
max-fds = 2870
link-mbps = 700.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
contact-ms = 3000
ack-ms = 4000
sync-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
strict-revoke = false
revoke-ms = 5000
retry-budget-ratio = 0.8
retry-window-s = 10
retry-slack = 300
expose-share = 0.1
expose-slack = 50
rollback-ms = 5000
recovery-s = 12
pass-ms = 120
again-s = 10
[platform-config]
address = "{store}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
tx-ms = 5.0
partition-writes-s = 200
row-bytes = 65536
across = false
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-s = 80.0
"#,
            seeds.join(",")
        );
        let path = self.dir.join(format!("settings-{number}.toml"));
        fs::write(&path, settings)?;
        let environment = [("WISTERIAWINCH_SETTINGS", path.display().to_string())];
        let words: Vec<String> = DAEMON.iter().map(|word| (*word).to_owned()).collect();
        spawn(&format!("edge-{number}"), front, &words, &self.dir, &environment)
    }

    pub fn control_address(&self, number: u8) -> SocketAddr {
        self.address(100 + number, 8748)
    }

    /// Starts a replica; `pace_ms` is the time between two events, or that of an order.
    pub fn replica(
        &self,
        number: u8,
        zone: &str,
        service: &str,
        pace_ms: u64,
    ) -> io::Result<Process> {
        let kind = if service == "stub-model" { "engine" } else { "plain" };
        let (address, id) = (self.address(number, 8080), format!("i-{number}"));
        let log = self.dir.join("replicas.log").display().to_string();
        let (store, pace) = (self.store.address.to_string(), pace_ms.to_string());
        let listen = address.to_string();
        let words = own(&["replica", &id, &listen, zone, service, kind, &store, &log, &pace]);
        let process = spawn(&id, address, &words, &self.dir, &[])?;
        wait_open(address)?;
        Ok(process)
    }

    /// Writes a row as the operator.
    pub fn publish(&self, key: &str, value: &str) -> io::Result<()> {
        call(self.store.address, "PUT", &format!("/standin/row/{key}"), value).map(drop)
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_ready(&self, daemon: &Process) -> io::Result<()> {
        let ready = SocketAddr::new(daemon.address.ip(), 8749);
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            let reply = call(ready, "GET", "/wisteriawinch/ready", "");
            if reply.is_ok_and(|reply| reply.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("{} is not ready", daemon.name)))
    }

    /// Writes what was noted here and by the replicas, in the order of time.
    pub fn write_record(&self, path: &str) -> io::Result<()> {
        let mut lines = self.record.0.lock().unwrap().clone();
        let log = fs::read_to_string(self.dir.join("replicas.log")).unwrap_or_default();
        for line in log.lines() {
            if let Some((at, text)) = line.split_once(' ') {
                lines.push((at.parse().unwrap_or(0), format!("replica {text}")));
            }
        }
        lines.sort_by_key(|(at, _)| *at);
        let start = lines.first().map_or(0, |(at, _)| *at);
        let mut file = File::create(path)?;
        for (at, text) in lines {
            let seconds = (at - start) as f64 / 1_000.0;
            writeln!(file, "{seconds:8.3} {}", self.hide_net(&text))?;
        }
        Ok(())
    }

    fn hide_net(&self, text: &str) -> String {
        text.replace(&format!("127.{}.{}.", self.net[0], self.net[1]), "127.x.y.")
    }

    /// The lines that the replicas have written so far, without their times.
    pub fn replica_lines(&self) -> Vec<(u128, String)> {
        let log = fs::read_to_string(self.dir.join("replicas.log")).unwrap_or_default();
        let lines = log.lines().filter_map(|line| line.split_once(' '));
        lines.map(|(at, text)| (at.parse().unwrap_or(0), text.to_owned())).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn ip(net: [u8; 2], host: u8) -> IpAddr {
    Ipv4Addr::new(127, net[0], net[1], host).into()
}

/// The command of this program with these words.
fn own(words: &[&str]) -> Vec<String> {
    let program = std::env::current_exe().expect("the program has a path");
    let program = program.display().to_string();
    std::iter::once(program).chain(words.iter().map(|word| (*word).to_owned())).collect()
}

fn spawn(
    name: &str,
    address: SocketAddr,
    words: &[String],
    dir: &std::path::Path,
    environment: &[(&str, String)],
) -> io::Result<Process> {
    let output = File::create(dir.join(format!("{name}.out")))?;
    let child = Command::new(&words[0])
        .args(&words[1..])
        .envs(environment.iter().map(|(key, value)| (*key, value.as_str())))
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()?;
    Ok(Process { name: name.to_owned(), address, child })
}

fn wait_open(address: SocketAddr) -> io::Result<()> {
    let deadline = Instant::now() + Duration::from_secs(5);
    while TcpStream::connect_timeout(&address, Duration::from_millis(200)).is_err() {
        if Instant::now() > deadline {
            return Err(io::Error::other(format!("nothing listens on {address}")));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// A proxy that can be cut: bytes then go nowhere and new channels hang, without a reset.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let proxy = Self { address: listen, cut: Arc::default() };
        let cut = proxy.cut.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let cut = cut.clone();
                thread::spawn(move || {
                    hold(&cut);
                    let Ok(server) = TcpStream::connect(target) else { return };
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else {
                        return;
                    };
                    let other = cut.clone();
                    thread::spawn(move || pump(from, to, &other));
                    pump(server, client, &cut);
                });
            }
        });
        Ok(proxy)
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn hold(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut block = [0; 16 * 1024];
    while let Ok(count) = io::Read::read(&mut from, &mut block) {
        hold(cut);
        if count == 0 || to.write_all(&block[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}

/// What a consumer has seen of an answer.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    /// Status; zero if no head arrived.
    pub status: u16,
    pub signed: bool,
    pub end: End,
    pub body: String,
    pub events: Vec<(u64, String)>,
    pub headers: Vec<(String, String)>,
    pub sent_at: u128,
    pub ended_at: u128,
}

impl Seen {
    pub fn is_whole(&self) -> bool {
        self.status != 0 && self.end == End::Complete
    }
}

/// A consumer's request.
pub struct Ask<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub headers: &'a str,
    pub body: &'a str,
    pub deadline_ms: u64,
}

/// Sends a request on an open channel and reads the answer to its end.
pub fn ask(channel: &mut Channel, ask: &Ask<'_>) -> Seen {
    let Ask { id, method, path, headers, body, deadline_ms } = ask;
    let mut seen = Seen {
        id: (*id).to_owned(),
        status: 0,
        signed: false,
        end: End::Broken,
        body: String::new(),
        events: Vec::new(),
        headers: Vec::new(),
        sent_at: now_ms(),
        ended_at: 0,
    };
    let timeout = Duration::from_millis(*deadline_ms + 1_000);
    let _ = channel.io.set_read_timeout(Some(timeout));
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n{headers}\
         Deadline-Ms: {deadline_ms}\r\nCredential: {KEY}\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    if channel.send(&request).is_ok()
        && let Ok(Some(head)) = channel.head()
    {
        seen.status = head.status();
        seen.signed = head.header("replica-signature").is_some();
        seen.headers = head.headers.clone();
        let mut body = Vec::new();
        let end = channel.body(&head, |data| body.extend_from_slice(data));
        seen.end = end.unwrap_or(End::Broken);
        seen.body = String::from_utf8_lossy(&body).into_owned();
        seen.events = events(&seen.body);
    }
    seen.ended_at = now_ms();
    seen
}

fn events(body: &str) -> Vec<(u64, String)> {
    let whole = body.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n"));
    let decoded = whole.filter_map(|event| {
        let mut lines = event.lines();
        let id = lines.find_map(|line| line.strip_prefix("id: "))?.parse().ok()?;
        let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
        Some((id, data.to_owned()))
    });
    decoded.collect()
}

pub fn open(daemon: &Process) -> io::Result<Channel> {
    Channel::open(daemon.address, Duration::from_secs(1))
}

/// Runs a stream on a kept channel in a thread of its own.
pub fn stream(
    mut channel: Channel,
    id: &str,
    path: &'static str,
    prompt: u64,
    events: u64,
) -> thread::JoinHandle<(Seen, Channel)> {
    let id = id.to_owned();
    thread::spawn(move || {
        let tokens = events * 6;
        let headers = format!(
            "Model-Id: m\r\nToken-Usage: {prompt},{tokens}\r\n\
             Prompt-Prefix: 5c1e07a2:200,{:x}:{}\r\n",
            id.bytes().fold(7_u32, |hash, byte| hash.wrapping_mul(31) ^ u32::from(byte)),
            prompt - 200
        );
        let request = Ask {
            id: &id,
            method: "POST",
            path,
            headers: &headers,
            body: &format!("prompt of {id}"),
            deadline_ms: 25_000,
        };
        let seen = ask(&mut channel, &request);
        (seen, channel)
    })
}

pub fn control(replica: &Process, action: &str) -> io::Result<Message> {
    control_with(replica, action, "")
}

pub fn control_with(replica: &Process, action: &str, body: &str) -> io::Result<Message> {
    call(replica.address, "POST", &format!("/standin/{action}"), body)
}

/// Whether the disruption is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}
