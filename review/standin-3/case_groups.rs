//! A part that crashes replicas comes with one tenant's requests after the other.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup, Verdict,
    client::{self, Call},
    fleet::{Daemon, Net},
    record::Record,
    replica::{Replica, Work},
    store::Store,
};

const ZONES: [&str; 2] = ["zone-a", "zone-b"];
const HOST: &str = "drafts.example";
/// The part that crashes replicas: a template that all tenants take up.
const POISON: &str = "dddd0003";
const TENANTS: usize = 5;
/// Consumers of another tenant, which send sound requests all the time.
const SOUND: usize = 8;
/// Requests of each tenant, one after the other.
const REQUESTS: usize = 5;
const PAUSE: Duration = Duration::from_millis(900);
/// Time between the first requests of two tenants.
const TENANT_PAUSE: Duration = Duration::from_secs(9);
/// `contact-ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
const REPLICAS: u8 = 12;
/// Requests that may reach replicas later than `contact-ms` after the fifth crash.
const MOST: usize = 3;

fn key(tenant: usize) -> String {
    format!("key-of-tenant-{tenant}")
}

pub fn run(setup: &Setup) -> Verdict {
    let (net, record) = (Net::draw(), &setup.record);
    let store = Store::start(net.store());
    let work = Arc::new(Work {
        is_engine: true,
        slots: 32,
        first: Duration::from_millis(60),
        events: 50,
        gap: Duration::from_millis(30),
        poison: setup.trouble.then(|| POISON.to_owned()),
        down: Duration::from_secs(3),
        version: "v1",
        fails_every: 0,
        fails_path: None,
        is_unframed: false,
    });
    let replicas: Vec<Arc<Replica>> = (0..REPLICAS)
        .map(|i| {
            let zone = ZONES[usize::from(i) % ZONES.len()];
            let address = net.address(100 + i, 8_080);
            Replica::start(address, "drafter", zone, work.clone(), store.clone(), record.clone())
        })
        .collect();
    store.put("op", "config", &config());
    let mut daemons: Vec<Daemon> = (1..=4)
        .map(|n| Daemon::new(net, &setup.dir, n, ZONES[usize::from(n) % 2], &ZONES, &[1, 2, 3]))
        .collect();
    daemons.iter_mut().for_each(Daemon::start);
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10))) {
        return Verdict::NotRun("a daemon was not ready in time".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let (is_over, lost) = (AtomicBool::new(false), Mutex::new((0, 0)));
    let verdict = thread::scope(|scope| {
        for consumer in 0..SOUND {
            let front = daemons[consumer % daemons.len()].front;
            let (is_over, lost) = (&is_over, &lost);
            scope.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let is_whole = sound(front, record);
                    let mut lost = lost.lock().unwrap();
                    lost.0 += 1;
                    lost.1 += usize::from(!is_whole);
                }
            });
        }
        let verdict = play(&daemons, &replicas, record);
        is_over.store(true, Ordering::Relaxed);
        verdict
    });
    let (all, lost) = *lost.lock().unwrap();
    record.add(format!("{lost} of {all} streams of a tenant without the part were lost"));
    for daemon in &daemons {
        for line in daemon.log_lines("\"event\":1107") {
            record.add(format!("log of {}: {line}", daemon.name));
        }
    }
    daemons.iter_mut().for_each(Daemon::kill);
    verdict
}

/// A stream of a tenant whose prompts share nothing with the others; whether it came whole.
fn sound(front: SocketAddr, record: &Record) -> bool {
    let prefix = format!("cccc0009:200,{}:100", client::attempt_id());
    let call = Call {
        method: "POST",
        host: HOST,
        path: "/draft/new",
        key: &key(TENANTS + 1),
        deadline_ms: 8_000,
        prompt: Some((&prefix, "300,300")),
        body: &prefix,
    };
    let outcome = client::send(front, &call);
    record.add(format!("sound stream: {}", outcome.label()));
    outcome.is_complete && outcome.status == 200
}

fn play(daemons: &[Daemon], replicas: &[Arc<Replica>], record: &Record) -> Verdict {
    let count = |get: fn(&Replica) -> u64| replicas.iter().map(|r| get(r)).sum::<u64>();
    let crashes = || count(|replica| replica.crashes.load(Ordering::Relaxed));
    let (mut fifth_at, mut late, mut turn) = (None, 0, 0);
    for tenant in 1..=TENANTS {
        let began_at = Instant::now();
        for _ in 0..REQUESTS {
            let prefix = format!(
                "aaaa0001:200,{POISON}:200,bbbb00{tenant:02}:200,{}:100",
                client::attempt_id()
            );
            let key = key(tenant);
            let call = Call {
                method: "POST",
                host: HOST,
                path: "/draft/new",
                key: &key,
                deadline_ms: 8_000,
                prompt: Some((&prefix, "700,72")),
                body: &prefix,
            };
            let daemon = turn % daemons.len();
            turn += 1;
            let (sent_at, before) = (Instant::now(), crashes());
            let outcome = client::send(daemons[daemon].front, &call);
            let has_reached = crashes() > before;
            record.add(format!(
                "request of tenant {tenant} at {}: {} reached a replica: {has_reached}, prompt {prefix}",
                daemon + 1,
                outcome.label()
            ));
            if fifth_at.is_some_and(|at| sent_at > at + CONTACT) && has_reached {
                late += 1;
            }
            if crashes() >= 5 && fifth_at.is_none() {
                fifth_at = Some(Instant::now());
                record.add("the fifth crash");
            }
            thread::sleep(PAUSE);
        }
        thread::sleep(TENANT_PAUSE.saturating_sub(began_at.elapsed()));
    }
    record.add(format!(
        "{} crashes; {late} requests with the part reached replicas later than contact-ms after the \
         fifth, {MOST} are the most",
        crashes()
    ));
    if late > MOST && fifth_at.is_some() { Verdict::Broken } else { Verdict::Held }
}

fn config() -> String {
    let tenants: Vec<String> = (1..=TENANTS + 1)
        .map(|tenant| {
            let key = key(tenant);
            format!("{{\"name\":\"tenant-{tenant}\",\"api-keys\":[\"{key}\"],\"priority\":1}}")
        })
        .collect();
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"drafts\",\"hostname\":\"{HOST}\",\
         \"prefix\":\"/draft/\",\"route-type\":\"streaming\",\"timeout-ms\":25000,\
         \"target-latency-ms\":4500,\"priority\":1,\"service\":\"drafter\",\"max-attempts\":5,\
         \"public\":false,\"session-affinity\":true,\"stream-resume\":false,\"gap-aim-ms\":700}}],\
         \"services\":[{{\"name\":\"drafter\",\"health-path\":\"/health\",\"max-conns\":720,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":32,\"kv-capacity\":88000,\
         \"kv-token-bytes\":18432,\"link-mbps\":88000.0,\"moves\":false,\"backups\":false,\
         \"stride\":6,\"most\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle-s\":4.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{}]}}",
        tenants.join(",")
    )
}
