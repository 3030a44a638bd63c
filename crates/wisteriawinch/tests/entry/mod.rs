//! Daemons of `entry` as processes of their own.

// Each test target uses only a part of this module.
#![allow(dead_code, unreachable_pub)]

use std::{
    collections::HashSet,
    fs::OpenOptions,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::Mutex,
};

/// Addresses of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    /// Address for other daemons.
    pub control: SocketAddr,
}

impl Addresses {
    pub fn unused() -> Self {
        Self { callers: unused_address(), ready: unused_address(), control: unused_address() }
    }
}

/// An address that stays free while a daemon restarts: each test process takes a
/// loopback network of its own, and no port is returned twice.
pub fn unused_address() -> SocketAddr {
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

/// A folder for the files of one test.
pub fn folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("winch-test-{}", unused_address().port()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    folder
}

/// Settings file of the daemon with this number.
pub fn settings(
    number: usize,
    dc: &str,
    addresses: Addresses,
    seeds: &[SocketAddr],
    store: SocketAddr,
) -> String {
    let Addresses { callers, ready, control } = addresses;
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let seeds = seeds.join(", ");
    format!(
        "node-name = \"daemon-{number}\"\nzone = \"{dc}\"\nseed-nodes = [{seeds}]\n\
         heartbeat-ms = 1200\n\
         [listen-addrs]\nfront = \"{callers}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
         [bounds]\npass-ms = 300\ndrain-ms = 2000\ngrace-s = 8\nretry-budget-ratio = 0.8\n\
         [platform-config]\naddress = \"{store}\"\n"
    )
}

/// The program of this build.
pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_wisteriawinch"))
}

/// A daemon process; its settings, log and addresses stay the same over restarts.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Program of the build that runs.
    pub program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    pub addresses: Addresses,
}

impl Process {
    /// Starts the daemon with this number; its files are in `folder`.
    pub fn start(
        number: usize,
        dc: &str,
        addresses: Addresses,
        seeds: &[SocketAddr],
        store: SocketAddr,
        folder: &Path,
    ) -> Self {
        Self::start_build(program(), number, dc, addresses, seeds, store, folder)
    }

    /// Starts the same daemon with the program of any build.
    pub fn start_build(
        program: &Path,
        number: usize,
        dc: &str,
        addresses: Addresses,
        seeds: &[SocketAddr],
        store: SocketAddr,
        folder: &Path,
    ) -> Self {
        let text = settings(number, dc, addresses, seeds, store);
        let (settings, log) =
            (folder.join(format!("{number}.toml")), folder.join(format!("{number}.log")));
        std::fs::write(&settings, text).expect("the settings are written");
        let child = spawn(command(program), &settings, &log);
        Self { child, program: program.into(), settings, log, addresses }
    }

    /// Starts a single daemon with at most this many open files.
    pub fn start_limited(store: SocketAddr, open_files: u32, folder: &Path) -> Self {
        let addresses = Addresses::unused();
        let (settings_file, log) = (folder.join("0.toml"), folder.join("0.log"));
        let text = settings(0, "a", addresses, &[addresses.control], store);
        std::fs::write(&settings_file, text).expect("the settings are written");
        let mut limited = Command::new("sh");
        let script = format!("ulimit -n {open_files}; exec \"$0\" entry");
        limited.arg("-c").arg(&script).arg(program());
        let child = spawn(limited, &settings_file, &log);
        Self { child, program: program().into(), settings: settings_file, log, addresses }
    }

    /// Starts the process again after its exit.
    pub fn restart(&mut self) {
        self.child = spawn(command(&self.program), &self.settings, &self.log);
    }

    /// Starts the program of another build after the exit of the process.
    pub fn replace(&mut self, program: &Path) {
        self.program = program.into();
        self.restart();
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, given as an option of `kill` such as `-STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.id().to_string();
        let sent = Command::new("kill").args([name, &pid]).stderr(Stdio::null()).status();
        sent.expect("the `kill` command runs");
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        // Killing fails if the process has already exited; `wait` succeeds either way.
        let _ = self.child.kill();
        self.child.wait().expect("the process is a child of this test");
    }

    /// Exit status; `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the process is a child of this test")
    }

    /// A field of the process's status file, such as `VmHWM`; `None` if the process has ended.
    pub fn status(&self, field: &str) -> Option<String> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix(field)?.strip_prefix(':'));
        line.map(|value| value.trim().to_owned())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal("-CONT");
        self.kill();
    }
}

fn command(program: &Path) -> Command {
    let mut command = Command::new(program);
    command.arg("entry");
    command
}

fn spawn(mut command: Command, settings: &Path, log: &Path) -> Child {
    let log = OpenOptions::new().create(true).append(true).open(log).expect("the log is opened");
    let errors = log.try_clone().expect("the log is opened");
    let command = command.env("WISTERIAWINCH_SETTINGS", settings).stdout(log).stderr(errors);
    command.spawn().expect("the program starts")
}
