//! Daemons of the project, started as the deploy file says, and signals to them.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// Program and arguments of the deploy file.
const RUN: [&str; 4] = ["target/release/wisteriawinch", "entry", "--metrics-port", "7210"];
/// Ports of each daemon, as in the example of the pages.
const PORTS: [u16; 4] = [7210, 8740, 8748, 8749];

/// Option of `prctl` that sets the signal which a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, signal: u64) -> i32;
}

pub struct Daemon {
    pub name: String,
    ip: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The first three octets of loopback addresses at which the ports of the daemons are free.
pub fn free_network(count: usize) -> String {
    let seed = std::process::id();
    for attempt in 0..200 {
        let mixed = seed.wrapping_mul(2_654_435_761).wrapping_add(attempt * 7_919);
        let network = format!("127.{}.{}", 20 + mixed % 200, (mixed >> 8) % 250);
        let is_free = |ip: &str, port: u16| TcpListener::bind((ip, port)).is_ok();
        let all_free = (1..=count).all(|number| {
            let ip = format!("{network}.{number}");
            PORTS.iter().all(|port| is_free(&ip, *port))
        });
        if all_free {
            return network;
        }
    }
    panic!("no loopback network with free ports");
}

impl Daemon {
    /// A daemon that is not started yet.
    pub fn new(
        network: &str,
        number: usize,
        zone: &str,
        memory_mb: u32,
        store: SocketAddr,
        folder: &Path,
    ) -> Self {
        let (name, ip) = (format!("edge-{zone}-{number}"), format!("{network}.{number}"));
        let seeds: Vec<String> = (1..=3).map(|seed| format!("\"{network}.{seed}:8748\"")).collect();
        let text = format!(
            r#"node-name = "{name}"
role = "entry"
machine-class = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
internal-ports = [7200,7215]
seed-nodes = [{seeds}]
first-start = true
loss-counts = false
discovery = "platform"
entry-mode = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","rollout","platform"]
[listen-addrs]
front = "{ip}:8740"
ready = "{ip}:8749"
control = "{ip}:8748"
[limits]
cpu-share = 0.17
cpu-cores = 1
memory-mb = {memory_mb}
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
            seeds = seeds.join(","),
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the temporary folder can be written");
        let log = folder.join(format!("{name}.log"));
        Self { name, ip, settings, log, child: None }
    }

    pub fn front(&self) -> SocketAddr {
        format!("{}:8740", self.ip).parse().expect("an address")
    }

    pub fn start(&mut self) {
        let log = fs::File::create(&self.log).expect("the temporary folder can be written");
        let errors = log.try_clone().expect("a second handle");
        let mut command = Command::new(RUN[0]);
        // SAFETY: the call only takes numbers, and is allowed between fork and exec. No daemon outlives
        // the script, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let started = command
            .args(&RUN[1..])
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("WISTERIAWINCH_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(started.expect("the product is built"));
    }

    /// Whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let address: SocketAddr = format!("{}:8749", self.ip).parse().expect("an address");
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let request = format!("GET /wisteriawinch/ready HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let mut bytes = [0; 12];
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_exact(&mut bytes).is_ok()
            && bytes.ends_with(b"200")
    }

    /// Kills the process, as a loss of its machine does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process runs.
    pub fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Resident memory of the process, in kB.
    pub fn memory_kb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts all daemons and waits until they are ready; false if they are not.
pub fn start_all(daemons: &mut [Daemon]) -> bool {
    daemons.iter_mut().for_each(Daemon::start);
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        if daemons.iter().all(Daemon::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
