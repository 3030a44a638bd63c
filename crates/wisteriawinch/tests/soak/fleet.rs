//! The processes under test, and what stands around them.

use std::{
    collections::{HashMap, HashSet},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::Mutex,
    time::Duration,
};

use winch_http::client::Connection;

use super::common::{Caller, Mode, Proxy, Replica, Request, Store, TIMEOUT, wait_until};

const DAEMONS: usize = 3;
/// Time of an order, in which faults meet it.
const WORK: Duration = Duration::from_millis(60);
const DCS: [&str; 3] = ["a", "b", "c"];

/// One daemon process and its addresses, which outlive a restart.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    pub(crate) callers: SocketAddr,
}

/// A replica behind its proxy.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) replica: Replica,
    pub(crate) proxy: Proxy,
}

/// Everything of one seed.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) store: Store,
    /// Between the daemons and the store.
    pub(crate) store_proxy: Proxy,
    pub(crate) servers: Vec<Server>,
    processes: Mutex<Vec<Process>>,
    /// Answers that promised that an order has not run and never will.
    pub(crate) promised: Mutex<HashSet<String>>,
    folder: PathBuf,
}

/// An address that stays free: each test process has a loopback network of its own,
/// and no port is given out twice.
fn free() -> SocketAddr {
    static GIVEN: Mutex<Option<HashSet<u16>>> = Mutex::new(None);
    let id = std::process::id();
    let network = [127, 1 + (id / 250 % 250) as u8, 1 + (id % 250) as u8, 1];
    loop {
        let listener = TcpListener::bind(SocketAddr::from((network, 0))).expect("a port");
        let address = listener.local_addr().expect("bound");
        let mut given = GIVEN.lock().expect("no panic under the lock");
        if given.get_or_insert_default().insert(address.port()) {
            return address;
        }
    }
}

impl Process {
    fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.expect("a log file");
        let errors = log.try_clone().expect("a log file");
        Command::new(env!("CARGO_BIN_EXE_wisteriawinch"))
            .arg("entry")
            .env("WISTERIAWINCH_SETTINGS", settings)
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program starts")
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &pid]).stderr(Stdio::null()).status();
        sent.expect("the command kill is there");
    }
}

impl Fleet {
    pub(crate) async fn start() -> Self {
        let mut servers = Vec::new();
        for (number, dc) in (0..9).zip(DCS.into_iter().cycle()) {
            let (service, kind) = if number < 6 { ("model", "e") } else { ("desk", "d") };
            let replica = Replica::start(&format!("{kind}-{number}"), service, dc).await;
            replica.set_reply_delay(WORK);
            let proxy = Proxy::start(replica.address).await;
            servers.push(Server { replica, proxy });
        }
        let store = Store::with_replicas(&[]).await;
        for server in &servers {
            let entry = server.replica.entry_at(server.proxy.address, "ready");
            store.put("servers", &server.replica.id(), &entry);
        }
        let store_proxy = Proxy::start(store.address).await;
        let folder = std::env::temp_dir().join(format!("winch-soak-{}", free().port()));
        std::fs::create_dir_all(&folder).expect("a folder for settings and logs");
        let seeds: Vec<SocketAddr> = vec![free(), free()];
        let processes = (0..DAEMONS).map(|number| {
            let control = seeds.get(number).copied().unwrap_or_else(free);
            let callers = free();
            let text = settings(number, callers, control, &seeds, store_proxy.address);
            let settings = folder.join(format!("{number}.toml"));
            let log = folder.join(format!("{number}.log"));
            std::fs::write(&settings, text).expect("settings written");
            Process { child: Process::spawn(&settings, &log), settings, log, callers }
        });
        let processes = Mutex::new(processes.collect());
        let promised = Mutex::default();
        Self { store, store_proxy, servers, processes, promised, folder }
    }

    fn with<T>(&self, number: usize, act: impl FnOnce(&mut Process) -> T) -> T {
        act(&mut self.processes.lock().expect("no panic under the lock")[number % DAEMONS])
    }

    pub(crate) fn signal(&self, number: usize, name: &str) {
        self.with(number, |process| process.signal(name));
    }

    /// Ends a process at once.
    pub(crate) fn kill(&self, number: usize) {
        self.with(number, |process| {
            // It may have ended by itself; waiting tells.
            let _ = process.child.kill();
            process.child.wait().expect("a child of this test");
        });
    }

    /// Starts a process again that has ended.
    pub(crate) fn restart(&self, number: usize) {
        self.with(number, |process| {
            process.child = Process::spawn(&process.settings, &process.log);
        });
    }

    /// How a process has ended, if it has.
    pub(crate) fn ended(&self, number: usize) -> Option<ExitStatus> {
        self.with(number, |process| process.child.try_wait().expect("a child of this test"))
    }

    /// A connection to one daemon, if it takes one.
    pub(crate) async fn caller(&self, number: usize) -> Option<Caller> {
        let address = self.with(number, |process| process.callers);
        let opened = Connection::open(address, Duration::from_millis(500)).await;
        opened.ok().map(|connection| Caller { connection })
    }

    /// Waits until every daemon serves a request of each kind.
    pub(crate) async fn all_serve(&self) {
        for number in 0..DAEMONS {
            for kind in [Request::stream, Request::order, Request::lookup] {
                let serves = async {
                    for attempt in 0.. {
                        let id = format!("check-{number}-{attempt}-{:x}", rand::random::<u64>());
                        if let Some(mut caller) = self.caller(number).await {
                            let got = caller.send(kind(&id)).await;
                            if got.is_ok_and(|got| got.status.is_success()) {
                                return;
                            }
                        }
                        tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                };
                let served = tokio::time::timeout(TIMEOUT, serves).await;
                assert!(served.is_ok(), "daemon {number} does not serve; logs: {:?}", self.folder);
            }
        }
    }

    /// Orders that ran more than once, or ran although a refusal said otherwise.
    pub(crate) fn orders_ran_twice(&self) -> Vec<String> {
        let mut runs: HashMap<String, u32> = HashMap::new();
        let desks = self.servers.iter().filter(|server| server.replica.service == "desk");
        for seen in desks.flat_map(|server| server.replica.received()) {
            if seen.executed && seen.target.starts_with("/o/") {
                let id = seen.header("attempt-id").unwrap_or("none").to_owned();
                *runs.entry(id).or_default() += 1;
            }
        }
        let promised = self.promised.lock().expect("no panic under the lock");
        let twice = runs.iter().filter(|(_, count)| **count > 1);
        let twice = twice.map(|(id, count)| format!("order {id} ran {count} times"));
        let false_promises = promised.iter().filter(|id| runs.contains_key(*id));
        twice.chain(false_promises.map(|id| format!("order {id} was refused and ran"))).collect()
    }

    /// Opens all ways again.
    pub(crate) fn open_ways(&self) {
        let proxies = self.servers.iter().map(|server| &server.proxy).chain([&self.store_proxy]);
        for proxy in proxies {
            proxy.set_mode(Mode::Open);
            proxy.set_delay(Duration::ZERO);
        }
        self.store.set_fault(None);
    }

    /// Waits until a process that was told to stop has ended.
    pub(crate) async fn wait_ended(&self, number: usize) {
        wait_until("the process has ended", || self.ended(number).is_some()).await;
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for number in 0..DAEMONS {
            self.signal(number, "-CONT");
            self.kill(number);
        }
        if !std::thread::panicking() {
            // Left-over files of a finished seed do no harm.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn settings(
    number: usize,
    callers: SocketAddr,
    control: SocketAddr,
    seeds: &[SocketAddr],
    store: SocketAddr,
) -> String {
    let (ready, dc) = (free(), DCS[number]);
    format!(
        "node-name = \"daemon-{number}\"\nzone = \"{dc}\"\nseed-nodes = {seeds:?}\n\
         [listen-addrs]\nfront = \"{callers}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
         [bounds]\ndrain-ms = 2000\ngrace-s = 8\nretry-budget-ratio = 0.8\n\
         [platform-config]\naddress = \"{store}\"\n"
    )
    .replace("seed-nodes = [127", "seed-nodes = [\"127")
    .replace(", 127", "\", \"127")
    .replace("]\n[listen", "\"]\n[listen")
}
