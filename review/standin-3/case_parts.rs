//! Requests with one part that crashes replicas, and sound requests that share their other parts.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup, Verdict,
    client::{self, Call, Outcome},
    fleet::{Daemon, Net},
    record::Record,
    replica::{Replica, Work},
    store::Store,
};

const ZONES: [&str; 2] = ["zone-a", "zone-b"];
const HOST: &str = "drafts.example";
const KEY: &str = "key-of-one-tenant";
/// Parts that all requests of the tenant share: a house style and a form.
const STYLE: &str = "aaaa0001";
const FORM: &str = "bbbb0002";
/// The part that crashes replicas.
const POISON: &str = "dddd0003";
/// `contact-ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
const REPLICAS: u8 = 12;
/// Time in which sound requests are counted after the crashes.
const AFTER: Duration = Duration::from_secs(40);

/// A prompt with these shared parts and a last part of its own.
fn prompt(shared: &[&str]) -> String {
    let mut parts: Vec<String> = shared.iter().map(|part| format!("{part}:200")).collect();
    parts.push(format!("{}:100", client::attempt_id()));
    parts.join(",")
}

fn draft(daemon: &str, front: std::net::SocketAddr, shared: &[&str], record: &Record) -> Outcome {
    let prefix = prompt(shared);
    let call = Call {
        method: "POST",
        host: HOST,
        path: "/draft/new",
        key: KEY,
        deadline_ms: 8_000,
        prompt: Some((&prefix, "700,72")),
        body: &prefix,
    };
    let kind = if shared.contains(&POISON) { "crashing" } else { "sound" };
    let outcome = client::send(front, &call);
    record.add(format!("{kind} request at {daemon}: {} prompt {prefix}", outcome.label()));
    outcome
}

pub fn run(setup: &Setup) -> Verdict {
    let (net, record) = (Net::draw(), &setup.record);
    let store = Store::start(net.store());
    let work = Arc::new(Work {
        is_engine: true,
        slots: 32,
        first: Duration::from_millis(60),
        events: 12,
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
    let verdict = play(&daemons, &replicas, record);
    for daemon in &daemons {
        for line in daemon.log_lines("\"event\":1107") {
            record.add(format!("log of {}: {line}", daemon.name));
        }
    }
    daemons.iter_mut().for_each(Daemon::kill);
    verdict
}

fn play(daemons: &[Daemon], replicas: &[Arc<Replica>], record: &Record) -> Verdict {
    let crashes = || replicas.iter().map(|r| r.crashes.load(Ordering::Relaxed)).sum::<u64>();
    // The consumer whose channels the platform forwards to the last daemon sends sound requests
    // all the time.
    let is_over = AtomicBool::new(false);
    let steady = Mutex::new(Vec::new());
    thread::scope(|scope| {
        scope.spawn(|| {
            while !is_over.load(Ordering::Relaxed) {
                let outcome = draft("4", daemons[3].front, &[STYLE, FORM], record);
                steady.lock().unwrap().push(outcome.began());
                thread::sleep(Duration::from_millis(100));
            }
        });
        let verdict = consumers(daemons, record, &crashes, &steady, &is_over);
        is_over.store(true, Ordering::Relaxed);
        verdict
    })
}

fn consumers(
    daemons: &[Daemon],
    record: &Record,
    crashes: &dyn Fn() -> u64,
    steady: &Mutex<Vec<bool>>,
    is_over: &AtomicBool,
) -> Verdict {
    thread::sleep(Duration::from_secs(12));
    let before = steady.lock().unwrap().clone();
    // A consumer of the same tenant sends requests that all hold the part, no two alike.
    let crashing = |index: usize| {
        let daemon = &daemons[index % 3];
        draft(&(index % 3 + 1).to_string(), daemon.front, &[STYLE, POISON, FORM], record);
    };
    let started = Instant::now();
    let (mut sent, mut seen, mut last_crash) = (0, 0, Instant::now());
    while sent < 6 || last_crash.elapsed() < CONTACT * 2 {
        crashing(sent);
        sent += 1;
        if crashes() > seen {
            (seen, last_crash) = (crashes(), Instant::now());
        }
        thread::sleep(Duration::from_millis(1_000));
        if started.elapsed() > Duration::from_secs(40) {
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    record.add(format!("{} crashes; twice contact-ms have passed", crashes()));
    // Now consumers of the tenant open channels at three daemons, in turn; none of them comes to the
    // daemon that reads the store.
    let mut after = Vec::new();
    let (began_at, mut late) = (Instant::now(), 0);
    while began_at.elapsed() < AFTER {
        for (index, daemon) in daemons.iter().enumerate().skip(1) {
            let number = (index + 1).to_string();
            let began = draft(&number, daemon.front, &[STYLE, FORM], record).began();
            if !began && last_crash.elapsed() > Duration::from_secs(35) {
                late += 1;
            }
            after.push(began);
        }
        if after.len() % 9 == 0 {
            crashing(sent);
            sent += 1;
        }
        thread::sleep(Duration::from_millis(500));
    }
    record.add(format!("{late} sound requests were refused later than 35 s after the last crash"));
    let share = |began: &[bool]| {
        began.iter().filter(|began| **began).count() as f64 / began.len().max(1) as f64
    };
    let (first, then) = (share(&before), share(&after));
    record.add(format!(
        "sound requests that began at the first attempt: {first:.2} of {} before, {then:.2} of {} \
         from 2 x contact-ms after the crashes",
        before.len(),
        after.len()
    ));
    if before.len() < 20 || after.len() < 20 || first < 0.9 {
        return Verdict::NotRun("too few sound requests, or too few began before".to_owned());
    }
    if then < first / 2.0 { Verdict::Broken } else { Verdict::Held }
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"drafts\",\"hostname\":\"{HOST}\",\
         \"prefix\":\"/draft/\",\"route-type\":\"streaming\",\"timeout-ms\":25000,\
         \"target-latency-ms\":4500,\"priority\":1,\"service\":\"drafter\",\"max-attempts\":5,\
         \"public\":false,\"session-affinity\":true,\"stream-resume\":true,\"gap-aim-ms\":700}}],\
         \"services\":[{{\"name\":\"drafter\",\"health-path\":\"/health\",\"max-conns\":720,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":32,\"kv-capacity\":88000,\
         \"kv-token-bytes\":18432,\"link-mbps\":88000.0,\"moves\":false,\"backups\":false,\
         \"stride\":6,\"most\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle-s\":4.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api-keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}
