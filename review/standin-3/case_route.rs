//! A version that is bad on one route only, which has a small part of its service's requests.

use std::{
    collections::BTreeMap,
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
    json,
    record::Record,
    replica::{Replica, Work},
    store::Store,
};

const ZONES: [&str; 2] = ["zone-a", "zone-b"];
const HOST: &str = "orders.example";
const KEY: &str = "key-of-one-tenant";
const SERVICE: &str = "order-desk";
/// The route on which the new version fails.
const BAD_PATH: &str = "/reprint/new";
/// `duration-s` of the order.
const DURATION: Duration = Duration::from_secs(40);
/// `expose-share` and `expose-slack` of the settings.
const EXPOSE_SHARE: f64 = 0.1;
const EXPOSE_SLACK: f64 = 50.0;
/// Path, method, and time between two requests of one consumer.
const KINDS: [(&str, &str, Duration); 3] = [
    ("/order/new", "POST", Duration::from_millis(90)),
    ("/status/one", "GET", Duration::from_millis(220)),
    (BAD_PATH, "POST", Duration::from_millis(6_000)),
];
/// Consumers of each kind.
const CONSUMERS: usize = 4;

fn version(
    net: Net,
    store: &Arc<Store>,
    record: &Record,
    version: &'static str,
    first_host: u8,
    fails_path: Option<&'static str>,
) -> Vec<Arc<Replica>> {
    let work = Arc::new(Work {
        is_engine: false,
        slots: 6,
        first: Duration::from_millis(15),
        events: 0,
        gap: Duration::ZERO,
        poison: None,
        down: Duration::from_secs(3),
        version,
        fails_every: 0,
        fails_path,
        is_unframed: false,
    });
    let start = |i: u8| {
        let zone = ZONES[usize::from(i) % ZONES.len()];
        let address = net.address(first_host + i, 8_080);
        Replica::start(address, SERVICE, zone, work.clone(), store.clone(), record.clone())
    };
    (0..4).map(start).collect()
}

pub fn run(setup: &Setup) -> Verdict {
    let (net, record) = (Net::draw(), &setup.record);
    let store = Store::start(net.store());
    let old = version(net, &store, record, "v1", 100, None);
    store.put("op", "config", &config());
    let mut daemons: Vec<Daemon> = (1..=4)
        .map(|n| Daemon::new(net, &setup.dir, n, ZONES[usize::from(n) % 2], &ZONES, &[1, 2, 3]))
        .collect();
    daemons.iter_mut().for_each(Daemon::start);
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10))) {
        return Verdict::NotRun("a daemon was not ready in time".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let (is_over, statuses) = (AtomicBool::new(false), Mutex::new(BTreeMap::new()));
    let verdict = thread::scope(|scope| {
        for (number, (path, method, pause)) in
            KINDS.iter().cycle().take(KINDS.len() * CONSUMERS).enumerate()
        {
            let front = daemons[number % daemons.len()].front;
            let (is_over, statuses) = (&is_over, &statuses);
            scope.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let next = Instant::now() + *pause;
                    let call = Call {
                        method,
                        host: HOST,
                        path,
                        key: KEY,
                        deadline_ms: 1_000,
                        prompt: None,
                        body: if *method == "GET" { "" } else { "one ticket" },
                    };
                    let outcome = client::send(front, &call);
                    record.add(format!("{method} {path} at {front}: {}", outcome.label()));
                    let count = (path.to_owned(), outcome.status);
                    *statuses.lock().unwrap().entry(count).or_insert(0_u64) += 1;
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            });
        }
        let verdict = play(net, &store, setup, &old);
        is_over.store(true, Ordering::Relaxed);
        verdict
    });
    record.add(format!("answers by path and status: {:?}", statuses.lock().unwrap()));
    daemons.iter_mut().for_each(Daemon::kill);
    verdict
}

fn play(net: Net, store: &Arc<Store>, setup: &Setup, old: &[Arc<Replica>]) -> Verdict {
    let record = &setup.record;
    thread::sleep(Duration::from_secs(5));
    let fails = setup.trouble.then_some(BAD_PATH);
    let ran = |replicas: &[Arc<Replica>]| -> u64 {
        replicas.iter().map(|replica| replica.ran.load(Ordering::Relaxed)).sum()
    };
    let old_before = ran(old);
    let order = format!(
        "{{\"service\":\"{SERVICE}\",\"target\":\"v2\",\"duration-s\":{}}}",
        DURATION.as_secs()
    );
    store.put("op", &format!("rollout/{SERVICE}"), &order);
    record.add(format!("operator orders {order}"));
    let ordered_at = Instant::now();
    thread::sleep(Duration::from_millis(500));
    let next = version(net, store, record, "v2", 110, fails);
    let mut state = String::new();
    while ordered_at.elapsed() < DURATION {
        let status = store.get("status", &format!("rollout/{SERVICE}"));
        let status = status.as_deref().and_then(json::parse);
        let now = status.as_ref().and_then(|status| status.str("state")).unwrap_or("none");
        if now != state {
            record.add(format!("status of v2: {now}, v2 has run {}", ran(&next)));
            state = now.to_owned();
            if state == "completed" {
                old.iter().for_each(|replica| replica.stop());
            }
            if state == "rolled_back" {
                let leaving = next.clone();
                thread::spawn(move || {
                    thread::sleep(Duration::from_secs(3));
                    leaving.iter().for_each(|replica| replica.drain(Duration::from_millis(2_500)));
                });
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    let exposed = ran(&next);
    let all = exposed + ran(old) - old_before;
    let bad: u64 = next.iter().map(|replica| replica.failed.load(Ordering::Relaxed)).sum();
    let most = EXPOSE_SHARE * all as f64 + EXPOSE_SLACK;
    record.add(format!(
        "between the order and its time budget, v2 got {exposed} of {all} requests and answered {bad} \
         badly; {most:.0} are the most for a bad version; state {state}"
    ));
    // The rule is about bad versions.
    if setup.trouble && exposed as f64 > most { Verdict::Broken } else { Verdict::Held }
}

fn config() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"prefix\":\"/{name}/\",\
             \"route-type\":\"{kind}\",\"timeout-ms\":1000,\"target-latency-ms\":100,\"priority\":2,\
             \"service\":\"{SERVICE}\",\"max-attempts\":{attempts},\"public\":false}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{},{}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health-path\":\"/health\",\"max-conns\":192,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api-keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("order", "non_idempotent", 1),
        route("status", "idempotent", 2),
        route("reprint", "non_idempotent", 1),
    )
}
