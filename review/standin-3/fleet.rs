//! Daemons of the project as processes, with the command of the deploy file.

use std::{
    env, fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http::Channel;

pub const FRONT: u16 = 8740;
const CONTROL: u16 = 8748;
const READY: u16 = 8749;
/// Port of the store, on its own address.
pub const STORE: u16 = 8742;

/// Loopback addresses of one run, 127.A.B.1 to 127.A.B.254, on which nobody listens.
#[derive(Clone, Copy)]
pub struct Net {
    a: u8,
    b: u8,
}

impl Net {
    /// Draws addresses that are free.
    pub fn draw() -> Self {
        let pid = std::process::id();
        for i in 0..200 {
            let number = pid.wrapping_mul(7_919).wrapping_add(i * 104_729);
            let net = Self { a: 16 + (number % 200) as u8, b: (number / 200 % 250) as u8 };
            if TcpListener::bind(net.address(250, STORE)).is_ok()
                && TcpListener::bind(net.address(1, FRONT)).is_ok()
            {
                return net;
            }
        }
        panic!("no free loopback address");
    }

    pub fn ip(self, host: u8) -> IpAddr {
        Ipv4Addr::new(127, self.a, self.b, host).into()
    }

    pub fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }

    /// Address of the store.
    pub fn store(self) -> SocketAddr {
        self.address(250, STORE)
    }
}

/// One daemon.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
}

impl Daemon {
    /// Prepares daemon `number` (from 1) of `zone`; `seeds` are the numbers of the seed daemons.
    pub fn new(net: Net, dir: &Path, number: u8, zone: &str, zones: &[&str], seeds: &[u8]) -> Self {
        let name = format!("edge-{zone}-{number}");
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("\"{}\"", net.address(*seed, CONTROL))).collect();
        let zone_lines: String =
            zones.iter().map(|zone| format!("{zone} = \"region\"\n")).collect();
        let text = format!(
            "node-name = \"{name}\"\nrole = \"entry\"\nmachine-class = \"edge\"\n\
             serves = [\"edge\",\"control_plane\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"region\"\ninternal-ports = [7200,7215]\nseed-nodes = [{seeds}]\n\
             first-start = true\nloss-counts = false\ndiscovery = \"platform\"\n\
             entry-mode = \"vip\"\nheartbeat-ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
             \"stream\",\"tenants\",\"rollout\",\"platform\"]\n\
             [zones]\n{zone_lines}\
             [listen-addrs]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [limits]\ncpu-share = 0.17\ncpu-cores = 1\nmemory-mb = 96\nmax-fds = 2870\n\
             link-mbps = 700.0\ndisk-mb = 0\n\
             [fault-tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseed-lag-s = 3\naddr-reuse-s = 2\ncontact-ms = 3000\nack-ms = 4000\n\
             sync-s = 4\ndrain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\n\
             config-apply-ms = 2000\nrollback-slack-ms = 250\nmax-stretch-ms = 5000\n\
             strict-revoke = false\nrevoke-ms = 5000\nretry-budget-ratio = 0.8\n\
             retry-window-s = 10\nretry-slack = 300\nexpose-share = 0.1\nexpose-slack = 50\n\
             rollback-ms = 5000\nrecovery-s = 12\npass-ms = 120\nagain-s = 10\n\
             [platform-config]\naddress = \"{store}\"\nform = \"table\"\nwrites-per-s = 400\n\
             reads-per-s = 2000\ntx-ms = 5.0\npartition-writes-s = 200\nrow-bytes = 65536\n\
             across = false\nhistory-s = 20\nblob-bytes = 8388608\nblob-ms = 25.0\n\
             blob-mb-s = 80.0\n",
            ip = net.ip(number),
            seeds = seeds.join(","),
            front = net.address(number, FRONT),
            ready = net.address(number, READY),
            control = net.address(number, CONTROL),
            store = net.store(),
        );
        let settings = dir.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("write the settings");
        Self {
            front: net.address(number, FRONT),
            ready: net.address(number, READY),
            child: None,
            log: dir.join(format!("{name}.log")),
            settings,
            name,
        }
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let log = fs::File::options().create(true).append(true).open(&self.log).expect("a log");
        let deploy = fs::read_to_string("deploy/system.toml").expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.expect("the command of the deploy file").trim().trim_matches('"');
        let mut words = run.split(' ');
        let mut command = Command::new(words.next().expect("a program"));
        command.args(words).env_clear().env("WISTERIAWINCH_SETTINGS", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = env::var_os(name) {
                command.env(name, value);
            }
        }
        let error = log.try_clone().expect("a log");
        command.stdin(Stdio::null()).stdout(Stdio::from(log)).stderr(Stdio::from(error));
        self.child = Some(command.spawn().expect("start a daemon"));
    }

    /// Waits until the daemon says that it is ready; false if it does not in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let Ok(mut channel) = Channel::open(self.ready, limit) else { return false };
        let _ = channel.io.set_read_timeout(Some(limit));
        let request = "GET /wisteriawinch/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        channel.send(request.as_bytes()).is_ok()
            && channel.message().is_ok_and(|reply| reply.status() == 200)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Lines of the log that hold `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
