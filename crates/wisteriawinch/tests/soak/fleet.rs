//! Daemon processes with the stand-in store and replicas around them.
//!
//! All connections to the store and the replicas run through proxies, which the
//! faults act on.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, ExitStatus, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{sync::MutexGuard, task::spawn_blocking, time::sleep};
use winch_http::client::Connection;

use super::{
    common::{Caller, Mode, Proxy, Replica, Request, Store, TIMEOUT, wait_until},
    entry::{self, Addresses, Process},
    excuse::Stops,
    ledger::Ledger,
    program,
    size::Size,
};

/// Replicas for orders and lookups.
const PLAIN: usize = 3;
/// Time a replica spends on an order or lookup, so that faults hit calls in progress.
const WORK_TIME: Duration = Duration::from_millis(60);
const DCS: [&str; 3] = ["a", "b", "c"];

/// A replica and the proxy that daemons reach it through.
#[derive(Debug)]
pub(crate) struct ProxiedReplica {
    pub(crate) replica: Replica,
    pub(crate) proxy: Proxy,
}

/// What is paused in the same instant.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Scope {
    Daemon(usize),
    Daemons,
    /// All daemons, and this process with the callers, the replicas and the store.
    Machine,
}

/// All processes and stand-ins of one seed.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) size: Size,
    pub(crate) store: Store,
    /// Proxy between the daemons and the store.
    pub(crate) store_proxy: Proxy,
    pub(crate) replicas: Vec<ProxiedReplica>,
    processes: Mutex<Vec<Process>>,
    /// Held by what ends a process, until it has started it again.
    turns: Vec<tokio::sync::Mutex<()>>,
    pub(crate) stops: Stops,
    /// Program of the build that the daemons start with.
    pub(crate) former: PathBuf,
    pub(crate) ledger: Ledger,
    /// Settings and logs.
    folder: PathBuf,
    keeps_logs: AtomicBool,
}

impl Fleet {
    /// Starts the store, the replicas for streams and those for orders and lookups, their proxies
    /// and the daemons, with the program `former`.
    pub(crate) async fn start(size: Size, former: PathBuf) -> Self {
        let mut replicas = Vec::new();
        for (number, dc) in (0..size.engines + PLAIN).zip(DCS.into_iter().cycle()) {
            let (service, kind) =
                if number < size.engines { ("model", "e") } else { ("desk", "d") };
            let replica = Replica::start(&format!("{kind}-{number}"), service, dc).await;
            replica.set_reply_delay(WORK_TIME);
            let proxy = Proxy::start(replica.address).await;
            replicas.push(ProxiedReplica { replica, proxy });
        }
        let store = Store::with_replicas::<Replica>(&[]).await;
        for ProxiedReplica { replica, proxy } in &replicas {
            let entry = replica.entry_at(proxy.address, "ready");
            store.put("servers", &replica.id(), &entry);
        }
        let store_proxy = Proxy::start(store.address).await;
        let folder = entry::folder();
        let addresses: Vec<Addresses> = (0..size.daemons).map(|_| Addresses::unused()).collect();
        let seeds = [addresses[0].control, addresses[1].control];
        let processes = (0..size.daemons).map(|number| {
            let (dc, store) = (DCS[number % DCS.len()], store_proxy.address);
            Process::start_build(&former, number, dc, addresses[number], &seeds, store, &folder)
        });
        let processes = Mutex::new(processes.collect());
        let turns = (0..size.daemons).map(|_| tokio::sync::Mutex::default()).collect();
        let (stops, ledger, keeps_logs) = Default::default();
        Self {
            size,
            store,
            store_proxy,
            replicas,
            processes,
            turns,
            stops,
            former,
            ledger,
            folder,
            keeps_logs,
        }
    }

    /// Starts a further daemon, with this program, which has the first two as seeds and a store of its
    /// own.
    pub(crate) fn start_reader(&mut self, program: &Path, store: SocketAddr) {
        let processes =
            self.processes.get_mut().expect("no thread panics while it holds this lock");
        let (number, addresses) = (processes.len(), Addresses::unused());
        let seeds = [processes[0].addresses.control, processes[1].addresses.control];
        let dc = DCS[number % DCS.len()];
        let folder = &self.folder;
        let process = Process::start_build(program, number, dc, addresses, &seeds, store, folder);
        processes.push(process);
        self.turns.push(tokio::sync::Mutex::default());
        self.size.daemons += 1;
    }

    /// The replicas for streams.
    pub(crate) fn engines(&self) -> impl Iterator<Item = &Replica> {
        self.replicas[..self.size.engines].iter().map(|other| &other.replica)
    }

    /// Whether the daemons started with another build than this one.
    pub(crate) fn has_former(&self) -> bool {
        self.former != program()
    }

    /// Names the daemon with this number and the build that it runs.
    pub(crate) fn describe(&self, number: usize) -> String {
        let program = self.with_process(number, |process| process.program.clone());
        let build = if program == self::program() { "this build" } else { "the former build" };
        format!("daemon {number} of {build}")
    }

    fn with_process<T>(&self, number: usize, f: impl FnOnce(&mut Process) -> T) -> T {
        f(&mut self.processes.lock().expect("no thread panics while it holds this lock")[number])
    }

    /// Sends a signal, given as an option of `kill` such as `-STOP`, if the process runs.
    pub(crate) fn signal(&self, number: usize, name: &str) {
        self.with_process(number, |process| {
            if process.exit_status().is_none() {
                process.signal(name);
            }
        });
    }

    /// Begins a graceful stop, as the platform does.
    pub(crate) fn terminate(&self, number: usize) {
        self.stops.begin(number);
        self.signal(number, "-TERM");
    }

    /// Pauses processes for this time, also if the future is dropped.
    pub(crate) async fn pause(&self, scope: Scope, time: Duration) {
        let daemons = match scope {
            Scope::Daemon(number) => number..number + 1,
            Scope::Daemons | Scope::Machine => 0..self.size.daemons,
        };
        // This process first, so that it starts none meanwhile.
        let own = matches!(scope, Scope::Machine).then(std::process::id);
        let running = daemons.filter(|number| self.exit_status(*number).is_none());
        let ids = running.map(|number| self.with_process(number, |process| process.id()));
        let ids = own.into_iter().chain(ids).map(|id| id.to_string());
        let script = format!("kill -STOP $*; sleep {}; kill -CONT $*", time.as_secs_f64());
        let mut command = Command::new("sh");
        command.args(["-c", &script, "sh"]).args(ids).stderr(Stdio::null());
        let paused = spawn_blocking(move || command.status().expect("the `sh` command runs"));
        paused.await.expect("no panic");
    }

    /// Waits until nothing else ends this process or has yet to start it again.
    pub(crate) async fn turn(&self, number: usize) -> MutexGuard<'_, ()> {
        self.turns[number].lock().await
    }

    /// The same for all processes.
    pub(crate) async fn all_turns(&self) -> Vec<MutexGuard<'_, ()>> {
        let mut guards = Vec::new();
        for number in 0..self.size.daemons {
            guards.push(self.turn(number).await);
        }
        guards
    }

    /// Kills a process and waits for its exit.
    pub(crate) fn kill(&self, number: usize) {
        self.with_process(number, Process::kill);
    }

    /// Starts the process again after its exit.
    pub(crate) fn restart(&self, number: usize) {
        self.with_process(number, Process::restart);
    }

    /// Starts the program of another build after the exit of the process.
    pub(crate) fn replace(&self, number: usize, program: &Path) {
        self.with_process(number, |process| process.replace(program));
    }

    /// Exit status of a process; `None` while it runs.
    pub(crate) fn exit_status(&self, number: usize) -> Option<ExitStatus> {
        self.with_process(number, Process::exit_status)
    }

    /// A caller connected to one daemon; `None` if the connection cannot be opened.
    pub(crate) async fn caller(&self, number: usize) -> Option<Caller> {
        let address = self.with_process(number, |process| process.addresses.callers);
        let opened = Connection::open(address, Duration::from_millis(500)).await;
        opened.ok().map(|connection| Caller { connection })
    }

    /// Waits until a daemon takes connections.
    pub(crate) async fn wait_listening(&self, number: usize) {
        let listens = async {
            while self.caller(number).await.is_none() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        let listened = tokio::time::timeout(TIMEOUT, listens).await;
        assert!(listened.is_ok(), "daemon {number} does not listen; logs: {:?}", self.folder);
    }

    /// Waits until every daemon has served a request of each kind.
    pub(crate) async fn wait_serving(&self) {
        for number in 0..self.size.daemons {
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
                        sleep(Duration::from_millis(50)).await;
                    }
                };
                let served = tokio::time::timeout(TIMEOUT, serves).await;
                assert!(served.is_ok(), "daemon {number} does not serve; logs: {:?}", self.folder);
            }
        }
    }

    /// Orders that ran more than once, and orders and streams that ran although they were
    /// refused.
    pub(crate) fn run_violations(&self) -> Vec<String> {
        self.ledger.run_violations(self.replicas.iter().map(|proxied| &proxied.replica))
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

    /// Keeps the logs after the end of the seed, and prints where they are.
    pub(crate) fn keep_logs(&self) {
        eprintln!("logs: {}", self.folder.display());
        self.keeps_logs.store(true, Ordering::Relaxed);
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
        self.stops.end(number);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for number in 0..self.size.daemons {
            self.signal(number, "-CONT");
            self.kill(number);
        }
        if !std::thread::panicking() && !self.keeps_logs.load(Ordering::Relaxed) {
            // Files left over after a failed removal do no harm.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
