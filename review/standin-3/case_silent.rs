//! Sound replicas fall silent for a second and go on.

use std::{
    collections::HashMap,
    sync::{
        Arc,
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
const KEY: &str = "key-of-one-tenant";
const REPLICAS: u8 = 12;
const CONSUMERS: usize = 8;
const PLAYED: Duration = Duration::from_secs(50);
/// Length of a silence, and time between the starts of two.
const SILENCE: Duration = Duration::from_millis(1_000);
const SILENCE_PAUSE: Duration = Duration::from_millis(1_500);
/// Time for which two replicas may work on a request that goes on at the second.
const OVERLAP: Duration = Duration::from_millis(400);

pub fn run(setup: &Setup) -> Verdict {
    let (net, record) = (Net::draw(), &setup.record);
    let store = Store::start(net.store());
    let work = Arc::new(Work {
        is_engine: true,
        slots: 64,
        // A prompt of 8,000 tokens, 8 of which are read in a millisecond.
        first: Duration::from_millis(1_000),
        events: 20,
        gap: Duration::from_millis(30),
        poison: None,
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
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for consumer in 0..CONSUMERS {
            let front = daemons[consumer % daemons.len()].front;
            let is_over = &is_over;
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(137) * u32::try_from(consumer).unwrap_or(0));
                while !is_over.load(Ordering::Relaxed) {
                    let prefix = format!("aaaa0001:200,{}:8000", client::attempt_id());
                    let call = Call {
                        method: "POST",
                        host: HOST,
                        path: "/draft/new",
                        key: KEY,
                        deadline_ms: 25_000,
                        prompt: Some((&prefix, "8200,120")),
                        body: &prefix,
                    };
                    let outcome = client::send(front, &call);
                    record.add(format!("stream at {front}: {}", outcome.label()));
                }
            });
        }
        let started = Instant::now();
        let mut turn = 0;
        while started.elapsed() < PLAYED {
            thread::sleep(SILENCE_PAUSE);
            if setup.trouble {
                replicas[turn * 5 % replicas.len()].fall_silent(SILENCE);
                turn += 1;
            }
        }
        is_over.store(true, Ordering::Relaxed);
    });
    thread::sleep(Duration::from_millis(500));
    daemons.iter_mut().for_each(Daemon::kill);
    judge(&replicas, record)
}

fn judge(replicas: &[Arc<Replica>], record: &Record) -> Verdict {
    let mut runs: HashMap<String, Vec<(String, Instant, Instant)>> = HashMap::new();
    for replica in replicas {
        for (attempt, from, until) in replica.spans.lock().unwrap().iter() {
            runs.entry(attempt.clone()).or_default().push((replica.id(), *from, *until));
        }
    }
    let (all, mut twice, mut longest) = (runs.len(), 0, Duration::ZERO);
    for (attempt, mut spans) in runs {
        spans.sort_by_key(|(_, from, _)| *from);
        for pair in spans.windows(2) {
            let ((first, _, first_end), (second, second_start, second_end)) = (&pair[0], &pair[1]);
            let end = (*first_end).min(*second_end);
            let overlap = end.saturating_duration_since(*second_start);
            longest = longest.max(overlap);
            if overlap > OVERLAP {
                twice += 1;
                record.add(format!(
                    "request {attempt} went on at {second} while {first} worked on it for {} ms more",
                    overlap.as_millis()
                ));
            }
        }
    }
    record.add(format!(
        "{twice} of {all} requests were worked on by two replicas for more than {} ms, at most {} ms",
        OVERLAP.as_millis(),
        longest.as_millis()
    ));
    if all < 50 {
        return Verdict::NotRun("too few requests".to_owned());
    }
    if twice > 0 { Verdict::Broken } else { Verdict::Held }
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"drafts\",\"hostname\":\"{HOST}\",\
         \"prefix\":\"/draft/\",\"route-type\":\"streaming\",\"timeout-ms\":25000,\
         \"target-latency-ms\":4500,\"priority\":1,\"service\":\"drafter\",\"max-attempts\":5,\
         \"public\":false,\"session-affinity\":true,\"stream-resume\":true,\"gap-aim-ms\":700}}],\
         \"services\":[{{\"name\":\"drafter\",\"health-path\":\"/health\",\"max-conns\":720,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv-capacity\":88000,\
         \"kv-token-bytes\":18432,\"link-mbps\":88000.0,\"moves\":false,\"backups\":false,\
         \"stride\":6,\"most\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle-s\":4.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api-keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}
