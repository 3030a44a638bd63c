//! Three daemon processes with the stand-in store and replicas around them.
//!
//! All connections to the store and the replicas run through proxies, which the
//! faults act on.

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
/// Time a replica spends on an order or lookup, so that faults hit calls in progress.
const WORK_TIME: Duration = Duration::from_millis(60);
const DCS: [&str; 3] = ["a", "b", "c"];

/// A daemon process; its settings, log and addresses stay the same over restarts.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    /// Address for callers.
    pub(crate) callers: SocketAddr,
}

/// A replica and the proxy that daemons reach it through.
#[derive(Debug)]
pub(crate) struct ProxiedReplica {
    pub(crate) replica: Replica,
    pub(crate) proxy: Proxy,
}

/// All processes and stand-ins of one seed.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) store: Store,
    /// Proxy between the daemons and the store.
    pub(crate) store_proxy: Proxy,
    pub(crate) replicas: Vec<ProxiedReplica>,
    processes: Mutex<Vec<Process>>,
    /// Ids of orders and streams refused with a reply that says that they never run.
    refused: Mutex<HashSet<String>>,
    /// Settings and logs.
    folder: PathBuf,
}

/// An address that stays free while a daemon restarts: each test process takes a
/// loopback network of its own, and no port is returned twice.
fn unused_address() -> SocketAddr {
    static USED: Mutex<Option<HashSet<u16>>> = Mutex::new(None);
    let id = std::process::id();
    let network = [127, 1 + (id / 250 % 250) as u8, 1 + (id % 250) as u8, 1];
    loop {
        let listener = TcpListener::bind(SocketAddr::from((network, 0))).expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let mut used = USED.lock().expect("no thread panics while it holds this lock");
        if used.get_or_insert_default().insert(address.port()) {
            return address;
        }
    }
}

impl Process {
    fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.expect("the log file is opened");
        let errors = log.try_clone().expect("the log file is opened");
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
        sent.expect("the `kill` command runs");
    }
}

impl Fleet {
    /// Starts the store, six replicas for streams, three for orders and lookups, their proxies
    /// and the daemons.
    pub(crate) async fn start() -> Self {
        let mut replicas = Vec::new();
        for (number, dc) in (0..9).zip(DCS.into_iter().cycle()) {
            let (service, kind) = if number < 6 { ("model", "e") } else { ("desk", "d") };
            let replica = Replica::start(&format!("{kind}-{number}"), service, dc).await;
            replica.set_reply_delay(WORK_TIME);
            let proxy = Proxy::start(replica.address).await;
            replicas.push(ProxiedReplica { replica, proxy });
        }
        let store = Store::with_replicas(&[]).await;
        for ProxiedReplica { replica, proxy } in &replicas {
            let entry = replica.entry_at(proxy.address, "ready");
            store.put("servers", &replica.id(), &entry);
        }
        let store_proxy = Proxy::start(store.address).await;
        let folder = std::env::temp_dir().join(format!("winch-soak-{}", unused_address().port()));
        std::fs::create_dir_all(&folder).expect("the folder is created");
        let seeds: Vec<SocketAddr> = vec![unused_address(), unused_address()];
        let processes = (0..DAEMONS).map(|number| {
            let control = seeds.get(number).copied().unwrap_or_else(unused_address);
            let callers = unused_address();
            let text = settings(number, callers, control, &seeds, store_proxy.address);
            let settings = folder.join(format!("{number}.toml"));
            let log = folder.join(format!("{number}.log"));
            std::fs::write(&settings, text).expect("the settings are written");
            Process { child: Process::spawn(&settings, &log), settings, log, callers }
        });
        let processes = Mutex::new(processes.collect());
        let refused = Mutex::default();
        Self { store, store_proxy, replicas, processes, refused, folder }
    }

    fn with_process<T>(&self, number: usize, f: impl FnOnce(&mut Process) -> T) -> T {
        f(&mut self.processes.lock().expect("no thread panics while it holds this lock")
            [number % DAEMONS])
    }

    /// Sends a signal, given as an option of `kill` such as `-STOP`.
    pub(crate) fn signal(&self, number: usize, name: &str) {
        self.with_process(number, |process| process.signal(name));
    }

    /// Kills a process and waits for its exit.
    pub(crate) fn kill(&self, number: usize) {
        self.with_process(number, |process| {
            // Killing fails if the process has already exited; `wait` succeeds either way.
            let _ = process.child.kill();
            process.child.wait().expect("the process is a child of this test");
        });
    }

    /// Starts the process again after its exit.
    pub(crate) fn restart(&self, number: usize) {
        self.with_process(number, |process| {
            process.child = Process::spawn(&process.settings, &process.log);
        });
    }

    /// Exit status of a process; `None` while it runs.
    pub(crate) fn exit_status(&self, number: usize) -> Option<ExitStatus> {
        self.with_process(number, |process| {
            process.child.try_wait().expect("the process is a child of this test")
        })
    }

    /// A caller connected to one daemon; `None` if the connection cannot be opened.
    pub(crate) async fn caller(&self, number: usize) -> Option<Caller> {
        let address = self.with_process(number, |process| process.callers);
        let opened = Connection::open(address, Duration::from_millis(500)).await;
        opened.ok().map(|connection| Caller { connection })
    }

    /// Waits until every daemon has served a request of each kind.
    pub(crate) async fn wait_serving(&self) {
        for number in 0..DAEMONS {
            for kind in [Request::stream, Request::order, Request::lookup] {
                let serves = async {
                    for attempt in 0.. {
                        let id = format!("check-{number}-{attempt}-{:x}", rand::random::<u64>());
                        if let Some(mut caller) = self.caller(number).await {
                            let response = caller.send(kind(&id)).await;
                            if response.is_ok_and(|response| response.status.is_success()) {
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

    /// Records that a daemon has stated that the order or stream with this id never runs.
    pub(crate) fn record_refusal(&self, id: &str) {
        self.refused
            .lock()
            .expect("no thread panics while it holds this lock")
            .insert(id.to_owned());
    }

    /// Orders that ran more than once, and orders and streams that ran although they were
    /// refused.
    pub(crate) fn run_violations(&self) -> Vec<String> {
        let mut orders: HashMap<String, u32> = HashMap::new();
        let mut runs = HashSet::new();
        for request in self.replicas.iter().flat_map(|proxied| proxied.replica.received()) {
            if request.executed {
                let id = request.header("attempt-id").unwrap_or("none").to_owned();
                if request.target.starts_with("/o/") {
                    *orders.entry(id.clone()).or_default() += 1;
                }
                runs.insert(id);
            }
        }
        let refused = self.refused.lock().expect("no thread panics while it holds this lock");
        let ran_twice = orders.iter().filter(|(_, count)| **count > 1);
        let ran_twice = ran_twice.map(|(id, count)| format!("order {id} ran {count} times"));
        let ran_after_refusal = refused.intersection(&runs);
        ran_twice.chain(ran_after_refusal.map(|id| format!("{id} was refused and ran"))).collect()
    }

    /// Lists a replica as another incarnation with the same id.
    pub(crate) fn renew(&self, target: &ProxiedReplica) {
        let ProxiedReplica { replica, proxy } = target;
        let id = replica.id();
        let born = self.store.version() + 1_000_000;
        replica.restart_as(&id, born);
        let mut entry = replica.entry_at(proxy.address, "ready");
        entry["born"] = born.into();
        self.store.put("servers", &id, &entry);
    }

    /// Ends all faults of the proxies and the store.
    pub(crate) fn clear_faults(&self) {
        let proxies = self.replicas.iter().map(|proxied| &proxied.proxy).chain([&self.store_proxy]);
        for proxy in proxies {
            proxy.set_mode(Mode::Open);
            proxy.set_delay(Duration::ZERO);
        }
        self.store.set_fault(None);
    }

    /// Waits for the exit of a process that is stopping.
    pub(crate) async fn wait_exited(&self, number: usize) {
        wait_until("the process has exited", || self.exit_status(number).is_some()).await;
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for number in 0..DAEMONS {
            self.signal(number, "-CONT");
            self.kill(number);
        }
        if !std::thread::panicking() {
            // Files left over after a failed removal do no harm.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Settings file of one daemon. The replacements quote the seed addresses, as TOML requires.
fn settings(
    number: usize,
    callers: SocketAddr,
    control: SocketAddr,
    seeds: &[SocketAddr],
    store: SocketAddr,
) -> String {
    let (ready, dc) = (unused_address(), DCS[number]);
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
