//! A bad version that was rolled back, and the next version, which is ordered before the replicas of
//! the bad one have gone.

use std::{
    env,
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
const HOST: &str = "drafts.example";
const KEY: &str = "key-of-one-tenant";
const SERVICE: &str = "drafter";
/// `duration-s` of the orders.
const DURATION_S: u64 = 12;
/// `expose-share` and `expose-slack` of the settings.
const EXPOSE_SHARE: f64 = 0.1;
const EXPOSE_SLACK: f64 = 50.0;
/// Time after `rolled_back` at which the replicas of the version drain.
const DRAIN_AFTER: Duration = Duration::from_secs(6);
/// Time after an order at which the replicas of its version start.
const START_AFTER: Duration = Duration::from_millis(500);
/// Consumers, each of which sends an order every 100 ms.
const CONSUMERS: usize = 10;

struct Fleet {
    net: Net,
    store: Arc<Store>,
    record: Record,
}

impl Fleet {
    /// Starts the replicas of a version.
    fn version(
        &self,
        version: &'static str,
        first_host: u8,
        fails_every: u64,
    ) -> Vec<Arc<Replica>> {
        let work = Arc::new(Work {
            is_engine: true,
            slots: 32,
            first: Duration::from_millis(30),
            events: 5,
            gap: Duration::from_millis(10),
            poison: None,
            down: Duration::from_secs(3),
            version,
            fails_every,
            fails_path: None,
            is_unframed: false,
        });
        let start = |i: u8| {
            let zone = ZONES[usize::from(i) % ZONES.len()];
            let address = self.net.address(first_host + i, 8_080);
            let (store, record) = (self.store.clone(), self.record.clone());
            Replica::start(address, SERVICE, zone, work.clone(), store, record)
        };
        (0..4).map(start).collect()
    }

    fn order(&self, target: &str) {
        let text = format!(
            "{{\"service\":\"{SERVICE}\",\"target\":\"{target}\",\"duration-s\":{DURATION_S}}}"
        );
        self.store.put("op", &format!("rollout/{SERVICE}"), &text);
        self.record.add(format!("operator orders {text}"));
    }

    /// Waits until the status of the move to `target` is one of `states`.
    fn wait_state(&self, target: &str, states: &[&str], limit: Duration) -> Option<String> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            let text = self.store.get("status", &format!("rollout/{SERVICE}"));
            let status = text.as_deref().and_then(json::parse);
            let state = status.as_ref().and_then(|status| {
                (status.str("target") == Some(target)).then(|| status.str("state")).flatten()
            });
            if let Some(state) = state.filter(|state| states.contains(state)) {
                self.record.add(format!("status of {target}: {state}"));
                return Some(state.to_owned());
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

fn sum(replicas: &[Arc<Replica>], count: impl Fn(&Replica) -> u64) -> u64 {
    replicas.iter().map(|replica| count(replica)).sum()
}

pub fn run(setup: &Setup) -> Verdict {
    let net = Net::draw();
    let store = Store::start(net.store());
    let fleet = Fleet { net, store, record: setup.record.clone() };
    let old = fleet.version("v1", 100, 0);
    fleet.store.put("op", "config", &config());
    let mut daemons: Vec<Daemon> = (1..=4)
        .map(|n| Daemon::new(net, &setup.dir, n, ZONES[usize::from(n) % 2], &ZONES, &[1, 2, 3]))
        .collect();
    daemons.iter_mut().for_each(Daemon::start);
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(10))) {
        return Verdict::NotRun("a daemon was not ready in time".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let is_over = AtomicBool::new(false);
    let statuses = Mutex::new(std::collections::BTreeMap::<u16, u64>::new());
    let verdict = thread::scope(|scope| {
        for consumer in 0..CONSUMERS {
            let front = daemons[consumer % daemons.len()].front;
            let (is_over, statuses, record) = (&is_over, &statuses, &fleet.record);
            scope.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let next = Instant::now() + Duration::from_millis(100);
                    let prefix = format!("aaaa0001:200,{}:100", client::attempt_id());
                    let call = Call {
                        method: "POST",
                        host: HOST,
                        path: "/draft/new",
                        key: KEY,
                        deadline_ms: 8_000,
                        prompt: Some((&prefix, "300,30")),
                        body: &prefix,
                    };
                    let outcome = client::send(front, &call);
                    record.add(format!("request at {front}: {}", outcome.label()));
                    *statuses.lock().unwrap().entry(outcome.status).or_default() += 1;
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            });
        }
        let verdict = play(&fleet, setup.trouble, &old);
        is_over.store(true, Ordering::Relaxed);
        verdict
    });
    fleet.record.add(format!("answers by status: {:?}", statuses.lock().unwrap()));
    daemons.iter_mut().for_each(Daemon::kill);
    verdict
}

fn play(fleet: &Fleet, trouble: bool, old: &[Arc<Replica>]) -> Verdict {
    let record = &fleet.record;
    thread::sleep(Duration::from_secs(5));
    let ran = |replicas: &[Arc<Replica>]| sum(replicas, |r| r.ran.load(Ordering::Relaxed));
    let old_before = ran(old);
    fleet.order("v2");
    let ordered_at = Instant::now();
    thread::sleep(START_AFTER);
    let next = fleet.version("v2", 110, if trouble { 2 } else { 0 });
    let (third, at_order) = if env::var_os("BACK").is_some() {
        // The operator calls the move off, by an order for the version that serves.
        thread::sleep(Duration::from_millis(1_500));
        let at_order = ran(&next);
        fleet.order("v1");
        (Vec::new(), at_order)
    } else {
        let limit = Duration::from_secs(DURATION_S + 4);
        let Some(state) = fleet.wait_state("v2", &["completed", "rolled_back"], limit) else {
            return Verdict::NotRun("the move to v2 did not end".to_owned());
        };
        let ended_at = Instant::now();
        record.add(format!("v2 has run {} requests until then", ran(&next)));
        match (trouble, state.as_str()) {
            (true, "completed") => return Verdict::NotRun("v2 was not found bad".to_owned()),
            (false, "completed") => old.iter().for_each(|replica| replica.stop()),
            _ => {}
        }
        // The operator orders the next version.
        thread::sleep(Duration::from_millis(500));
        let at_order = ran(&next);
        fleet.order("v3");
        thread::sleep(START_AFTER);
        let third = fleet.version("v3", 120, 0);
        if state == "rolled_back" {
            thread::sleep(DRAIN_AFTER.saturating_sub(ended_at.elapsed()));
            next.iter().for_each(|replica| replica.drain(Duration::from_millis(2_500)));
        }
        (third, at_order)
    };
    let budget = Duration::from_secs(DURATION_S);
    thread::sleep(budget.saturating_sub(ordered_at.elapsed()));
    let exposed = ran(&next);
    let all = exposed + (ran(old) - old_before) + ran(&third);
    let bad = sum(&next, |r| r.failed.load(Ordering::Relaxed));
    let most = EXPOSE_SHARE * all as f64 + EXPOSE_SLACK;
    record.add(format!(
        "between the order of v2 and its time budget, v2 got {exposed} of {all} requests, {} of them \
         after the next order, and answered {bad} badly; {most:.0} are the most for a bad version",
        exposed - at_order
    ));
    // The rule is about bad versions.
    if trouble && exposed as f64 > most { Verdict::Broken } else { Verdict::Held }
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"drafts\",\"hostname\":\"{HOST}\",\
         \"prefix\":\"/draft/\",\"route-type\":\"streaming\",\"timeout-ms\":25000,\
         \"target-latency-ms\":4500,\"priority\":1,\"service\":\"{SERVICE}\",\"max-attempts\":5,\
         \"public\":false,\"session-affinity\":true,\"stream-resume\":false,\"gap-aim-ms\":700}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health-path\":\"/health\",\"max-conns\":720,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":32,\"kv-capacity\":88000,\
         \"kv-token-bytes\":18432,\"link-mbps\":88000.0,\"moves\":false,\"backups\":false,\
         \"stride\":6,\"most\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle-s\":4.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api-keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}
