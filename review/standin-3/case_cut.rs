//! A replica whose answers end with their channels crashes in the middle of them.

use std::{
    env,
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Setup, Verdict,
    client::{self, Call, Outcome},
    fleet::{Daemon, Net},
    record::Record,
    replica::{self, Replica, Work},
    store::Store,
};

const ZONES: [&str; 2] = ["zone-a", "zone-b"];
const HOST: &str = "drafts.example";
const KEY: &str = "key-of-one-tenant";
/// Replicas of each service.
const REPLICAS: u8 = 6;
const EVENTS: u64 = 60;
const GAP: Duration = Duration::from_millis(50);
/// Streams, and orders, at the same time.
const CONSUMERS: usize = 12;

#[derive(Clone, Copy, PartialEq)]
enum Service {
    Drafter,
    Desk,
}

impl Service {
    fn name(self) -> &'static str {
        match self {
            Self::Drafter => "drafter",
            Self::Desk => "desk",
        }
    }

    fn first_host(self) -> u8 {
        match self {
            Self::Drafter => 100,
            Self::Desk => 120,
        }
    }
}

/// A replica as a process of its own.
struct Process {
    id: String,
    service: Service,
    address: SocketAddr,
    zone: &'static str,
    child: Child,
}

impl Process {
    fn start(net: Net, service: Service, number: u8, born: u128) -> Self {
        let id = replica::new_id();
        let address = net.address(service.first_host() + number, 8_080);
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let argument = format!("{id},{born},{address},{zone},{}", service.name());
        let program = env::current_exe().expect("this program");
        let mut command = Command::new(program);
        let child = command.args(["replica", &argument]).stdin(Stdio::piped()).spawn();
        Self { id, service, address, zone, child: child.expect("start a replica") }
    }

    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Serves as one replica until the process that has started this one ends it, or ends.
pub fn serve_replica(argument: &str) {
    let mut words = argument.split(',');
    let mut next = || words.next().expect("an argument").to_owned();
    let (id, born, address, zone, service) = (next(), next(), next(), next(), next());
    let born = born.parse().expect("a time");
    let address = address.parse().expect("an address");
    let work = work(service == Service::Drafter.name());
    let (store, record) = (Store::unreachable(), Record::new());
    let _replica = Replica::start_as(id, born, address, &service, &zone, work, store, record);
    let mut line = String::new();
    let _ = std::io::stdin().read_line(&mut line);
}

fn work(is_engine: bool) -> Arc<Work> {
    Arc::new(Work {
        is_engine,
        slots: 32,
        first: Duration::from_millis(60),
        events: EVENTS,
        gap: if is_engine { GAP } else { Duration::from_millis(500) },
        poison: None,
        down: Duration::from_secs(3),
        version: "v1",
        fails_every: 0,
        fails_path: None,
        is_unframed: true,
    })
}

pub fn run(setup: &Setup) -> Verdict {
    let (net, record) = (Net::draw(), &setup.record);
    let store = Store::start(net.store());
    let born = replica::unix_ms();
    let start = |service| (0..REPLICAS).map(move |n| Process::start(net, service, n, born));
    let processes: Vec<Process> = start(Service::Drafter).chain(start(Service::Desk)).collect();
    let processes = Arc::new(Mutex::new(processes));
    thread::spawn({
        let (store, processes) = (store.clone(), processes.clone());
        move || {
            for seq in 1.. {
                for process in processes.lock().unwrap().iter_mut() {
                    // A replica that has crashed writes nothing more.
                    if matches!(process.child.try_wait(), Ok(None)) {
                        let Process { id, service, address, zone, .. } = &*process;
                        let entry = format!(
                            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                             \"version\":\"v1\",\"slots\":32,\"state\":\"ready\",\
                             \"cold-left-ms\":0,\"seq\":{seq},\"born\":{born}}}",
                            service.name()
                        );
                        store.put("servers", id, &entry);
                    }
                }
                thread::sleep(replica::BEAT);
            }
        }
    });
    store.put("op", "config", &config());
    let mut daemons: Vec<Daemon> = (1..=3)
        .map(|n| Daemon::new(net, &setup.dir, n, ZONES[usize::from(n) % 2], &ZONES, &[1, 2, 3]))
        .collect();
    daemons.iter_mut().for_each(Daemon::start);
    let verdict = if daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10))) {
        thread::sleep(Duration::from_secs(2));
        play(&daemons, &processes, setup.trouble, record)
    } else {
        Verdict::NotRun("a daemon was not ready in time".to_owned())
    };
    daemons.iter_mut().for_each(Daemon::kill);
    processes.lock().unwrap().iter_mut().for_each(Process::end);
    verdict
}

/// Sends requests of a service from all consumers, and kills one of its replicas after `kill_after`.
fn send_all(
    service: Service,
    daemons: &[Daemon],
    processes: &Mutex<Vec<Process>>,
    kill_after: Option<Duration>,
    record: &Record,
) -> Vec<Outcome> {
    thread::scope(|scope| {
        let consumers: Vec<_> = (0..CONSUMERS)
            .map(|number| {
                scope.spawn(move || {
                    let prefix = format!("aaaa0001:200,{}:100", client::attempt_id());
                    let is_stream = service == Service::Drafter;
                    let call = Call {
                        method: "POST",
                        host: HOST,
                        path: if is_stream { "/draft/new" } else { "/order/new" },
                        key: KEY,
                        deadline_ms: if is_stream { 20_000 } else { 2_500 },
                        prompt: is_stream.then_some((prefix.as_str(), "300,360")),
                        body: &prefix,
                    };
                    let outcome = client::send(daemons[number % daemons.len()].front, &call);
                    record.add(format!("{}: {}", service.name(), outcome.label()));
                    outcome
                })
            })
            .collect();
        if let Some(time) = kill_after {
            thread::sleep(time);
            let mut processes = processes.lock().unwrap();
            let process = processes.iter_mut().find(|process| process.service == service);
            let process = process.expect("a replica");
            process.end();
            record.add(format!("replica {} of {} was killed", process.id, service.name()));
        }
        consumers.into_iter().map(|consumer| consumer.join().expect("a consumer")).collect()
    })
}

fn play(
    daemons: &[Daemon],
    processes: &Mutex<Vec<Process>>,
    trouble: bool,
    record: &Record,
) -> Verdict {
    let kill_after = |time| trouble.then_some(time);
    let half = GAP * u32::try_from(EVENTS / 2).unwrap_or(1);
    let streams = send_all(Service::Drafter, daemons, processes, kill_after(half), record);
    let has_succeeded = |o: &&Outcome| o.status == 200 && o.is_signed && o.is_complete;
    let is_whole = |o: &&Outcome| o.events as u64 == EVENTS;
    let (whole, short): (Vec<_>, Vec<_>) = streams.iter().filter(has_succeeded).partition(is_whole);
    record.add(format!(
        "{} of {CONSUMERS} streams came whole with {EVENTS} events; {} ended as complete before their \
         last event",
        whole.len(),
        short.len()
    ));
    let time = Duration::from_millis(300);
    let orders = send_all(Service::Desk, daemons, processes, kill_after(time), record);
    let is_whole_body = |o: &&Outcome| o.code == format!("done {}", o.id);
    let (whole_bodies, short_bodies): (Vec<_>, Vec<_>) =
        orders.iter().filter(has_succeeded).partition(is_whole_body);
    record.add(format!(
        "{} of {CONSUMERS} orders got the replica's whole body; {} got a part of it as a whole success",
        whole_bodies.len(),
        short_bodies.len()
    ));
    if whole.is_empty() || whole_bodies.is_empty() {
        return Verdict::NotRun("nothing came whole".to_owned());
    }
    if short.is_empty() && short_bodies.is_empty() { Verdict::Held } else { Verdict::Broken }
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"drafts\",\"hostname\":\"{HOST}\",\
         \"prefix\":\"/draft/\",\"route-type\":\"streaming\",\"timeout-ms\":25000,\
         \"target-latency-ms\":4500,\"priority\":1,\"service\":\"drafter\",\"max-attempts\":5,\
         \"public\":false,\"session-affinity\":true,\"stream-resume\":true,\"gap-aim-ms\":700}},\
         {{\"name\":\"orders\",\"hostname\":\"{HOST}\",\"prefix\":\"/order/\",\
         \"route-type\":\"non_idempotent\",\"timeout-ms\":1200,\"target-latency-ms\":1000,\
         \"priority\":2,\"service\":\"desk\",\"max-attempts\":1,\"public\":false}}],\
         \"services\":[{{\"name\":\"desk\",\"health-path\":\"/health\",\"max-conns\":192,\
         \"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"drafter\",\"health-path\":\"/health\",\"max-conns\":720,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":32,\"kv-capacity\":88000,\
         \"kv-token-bytes\":18432,\"link-mbps\":88000.0,\"moves\":false,\"backups\":false,\
         \"stride\":6,\"most\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle-s\":4.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api-keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}
