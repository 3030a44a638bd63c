//! A replica leaves and says so in all its answers, while one machine is cut off from the store and
//! from the other machines.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

use super::config;
use crate::fleet::{self, Ask, Fleet, Proxy, SIGKILL, Seen, ZONES};

/// Time that an order takes, and the pause of each consumer between two orders.
const ORDER_MS: u64 = 60;
const CONSUMERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(40);
/// `drain-ms` of the deployment.
const DRAIN_MS: u128 = 2_000;
/// How long the leaving replica goes on after its entry says that it drains: `drain-ms` and a
/// little longer.
const LEAVING: Duration = Duration::from_millis(3_500);

pub fn run(record: &str) -> io::Result<bool> {
    let fleet = Fleet::start()?;
    let note = fleet.record.clone();
    let replicas = [
        fleet.replica(21, ZONES[0], "order-desk", ORDER_MS)?,
        fleet.replica(22, ZONES[1], "order-desk", ORDER_MS)?,
    ];
    fleet.publish("op/config", &config(1))?;
    // What edge-1 uses of the store and of the other machines goes through proxies, and the other way
    // round.
    let store = Proxy::start(fleet.address(31, 8742), fleet.store.address)?;
    let to_other = Proxy::start(fleet.address(32, 8748), fleet.control_address(2))?;
    let to_first = Proxy::start(fleet.address(33, 8748), fleet.control_address(1))?;
    let own_seeds = [fleet.control_address(1), to_other.address];
    let seeds = [to_first.address, fleet.control_address(2)];
    let daemons = [
        fleet.daemon(1, ZONES[0], store.address, &own_seeds)?,
        fleet.daemon(2, ZONES[1], fleet.store.address, &seeds)?,
        fleet.daemon(3, ZONES[2], fleet.store.address, &seeds)?,
    ];
    for daemon in &daemons {
        fleet.wait_ready(daemon)?;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut consumers = Vec::new();
    for consumer in 0..CONSUMERS {
        let (mut channel, stop) = (fleet::open(&daemons[0])?, stop.clone());
        let front = daemons[0].address;
        consumers.push(thread::spawn(move || {
            let mut seen = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let order = Ask {
                    id: &format!("order-{consumer}-{}", seen.len()),
                    method: "POST",
                    path: "/order/1",
                    headers: "",
                    body: "reprint row 7",
                    deadline_ms: 1_000,
                };
                let answer = fleet::ask(&mut channel, &order);
                if !answer.is_whole() {
                    // A new channel follows one that has ended.
                    let opened = crate::http::Channel::open(front, Duration::from_secs(1));
                    let Ok(opened) = opened else { break };
                    channel = opened;
                }
                seen.push(answer);
                sleep(PAUSE);
            }
            seen
        }));
    }
    sleep(Duration::from_millis(2_000));
    if !fleet::is_calm() {
        note.note("edge-1 is cut off from the store and from the other machines");
        for proxy in [&store, &to_other, &to_first] {
            proxy.set_cut(true);
        }
    }
    sleep(Duration::from_millis(1_000));
    fleet::control(&replicas[0], "leave")?;
    sleep(LEAVING);
    note.note(format!("{} ends", replicas[0].name));
    replicas[0].signal(SIGKILL);
    sleep(Duration::from_millis(700));
    for proxy in [&store, &to_other, &to_first] {
        proxy.set_cut(false);
    }
    note.note("edge-1 is no longer cut off");
    sleep(Duration::from_millis(1_500));
    stop.store(true, Ordering::SeqCst);
    let seen: Vec<Seen> =
        consumers.into_iter().flat_map(|c| c.join().expect("the consumer ends")).collect();
    let is_broken = judge(&fleet, &seen);
    fleet.write_record(record)?;
    Ok(is_broken)
}

fn judge(fleet: &Fleet, seen: &[Seen]) -> bool {
    let note = &fleet.record;
    let says_leaving =
        |s: &&Seen| s.headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("server-leaving"));
    let Some(first) = seen.iter().filter(says_leaving).map(|s| s.ended_at).min() else {
        note.note("no answer said that its replica leaves");
        return false;
    };
    let lines = fleet.replica_lines();
    let reached =
        |id: &str| lines.iter().any(|(_, line)| line.starts_with(&format!("i-21 RUN {id} ")));
    let late = seen.iter().filter(|s| s.sent_at > first + DRAIN_MS && reached(&s.id)).count();
    let lost = seen.iter().filter(|s| s.sent_at > first && reached(&s.id) && s.status != 200);
    let lost: Vec<String> =
        lost.map(|s| format!("{} with status {} {}", s.id, s.status, s.body)).collect();
    note.note(format!(
        "DRAIN: {late} orders that consumers sent later than {DRAIN_MS} ms after edge-1 had passed on \
         an answer with Server-Leaving reached i-21 from edge-1"
    ));
    note.note(format!("orders that ran at i-21 after that and had no answer of it: {lost:?}"));
    late > 0
}
