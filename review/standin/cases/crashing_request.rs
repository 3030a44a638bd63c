//! A lookup that crashes the replicas that run it comes again and again; all machines are killed
//! meanwhile.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use super::config;
use crate::{
    fleet::{self, Ask, Fleet, Process, SIGKILL, Seen, ZONES},
    replica::now_ms,
};

const REPLICAS: usize = 4;
const DAEMONS: usize = 2;
/// Time that an order takes.
const ORDER_MS: u64 = 30;
/// Time after which a crashed replica is back.
const BACK: Duration = Duration::from_secs(2);
/// `contact-ms` of the deployment, and some more.
const CONTACT: Duration = Duration::from_millis(3_500);
/// How often all machines are killed, and for how long they are down.
const KILLS: usize = 2;
const DOWN: Duration = Duration::from_millis(500);
/// How often the request comes in a row, and the time between.
const RETRIES: usize = 4;
const INTERVAL: Duration = Duration::from_millis(1_200);
/// Retries that may reach replicas after the request has crashed the third.
const ALLOWED: usize = 3;

/// The processes that may end and start again meanwhile.
struct Deployment {
    fleet: Fleet,
    replicas: Vec<(Process, Option<Instant>)>,
    daemons: Vec<Process>,
}

impl Deployment {
    fn start_replica(fleet: &Fleet, index: usize) -> io::Result<Process> {
        fleet.replica(21 + index as u8, ZONES[index], "order-desk", ORDER_MS)
    }

    fn start_daemons(fleet: &Fleet) -> io::Result<Vec<Process>> {
        let seeds = [fleet.control_address(1), fleet.control_address(2)];
        let start =
            |index| fleet.daemon(index as u8 + 1, ZONES[index], fleet.store.address, &seeds);
        let daemons: Vec<Process> = (0..DAEMONS).map(start).collect::<io::Result<_>>()?;
        daemons.iter().try_for_each(|daemon| fleet.wait_ready(daemon))?;
        Ok(daemons)
    }

    /// Waits for this time; replicas that have crashed are started again when they are due.
    fn wait(&mut self, time: Duration) -> io::Result<()> {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            for (index, (process, due)) in self.replicas.iter_mut().enumerate() {
                if process.is_running() {
                    continue;
                }
                let due_at = *due.get_or_insert(Instant::now() + BACK);
                if Instant::now() >= due_at {
                    *process = Self::start_replica(&self.fleet, index)?;
                    *due = None;
                }
            }
            sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Sends the crashing request some times, to one machine after the other.
    fn retry(&mut self, round: usize) -> io::Result<()> {
        for number in 0..RETRIES {
            let daemon = &self.daemons[number % DAEMONS];
            let id = format!("poison-{round}-{number}");
            let request = Ask {
                id: &id,
                method: "GET",
                path: "/status/poison",
                headers: "",
                body: "",
                deadline_ms: 1_000,
            };
            let seen = fleet::ask(&mut fleet::open(daemon)?, &request);
            let note = &self.fleet.record;
            note.note(format!("consumer has for {id} at {}: {}", daemon.name, seen.status));
            self.wait(INTERVAL)?;
        }
        Ok(())
    }
}

pub fn run(record: &str) -> io::Result<bool> {
    let fleet = Fleet::start()?;
    let replicas = (0..REPLICAS).map(|index| Deployment::start_replica(&fleet, index));
    let replicas = replicas.map(|replica| Ok((replica?, None))).collect::<io::Result<_>>()?;
    fleet.publish("op/config", &config(1))?;
    let daemons = Deployment::start_daemons(&fleet)?;
    let mut deployment = Deployment { fleet, replicas, daemons };
    let note = deployment.fleet.record.clone();
    deployment.wait(CONTACT)?;
    let (stop, orders) = send_orders(&deployment);
    // The request crashes its first replicas, and is then refused.
    deployment.retry(0)?;
    deployment.wait(CONTACT)?;
    let known_at = now_ms();
    for round in 1..=KILLS {
        if !fleet::is_calm() {
            note.note("all machines are killed");
            deployment.daemons.iter().for_each(|daemon| daemon.signal(SIGKILL));
            deployment.daemons.clear();
            sleep(DOWN);
            deployment.daemons = Deployment::start_daemons(&deployment.fleet)?;
            note.note("all machines are ready again");
        }
        deployment.wait(CONTACT)?;
        deployment.retry(round)?;
    }
    stop.store(true, Ordering::SeqCst);
    let orders: Vec<Seen> =
        orders.into_iter().flat_map(|o| o.join().expect("the consumer ends")).collect();
    let is_broken = judge(&deployment.fleet, known_at, &orders);
    deployment.fleet.write_record(record)?;
    Ok(is_broken)
}

type Orders = Vec<thread::JoinHandle<Vec<Seen>>>;

/// Starts consumers that send sound orders, each on a kept channel, to both machines.
fn send_orders(deployment: &Deployment) -> (Arc<AtomicBool>, Orders) {
    let stop = Arc::new(AtomicBool::new(false));
    let consumers = (0..2 * DAEMONS).map(|consumer| {
        let (front, stop) = (deployment.daemons[consumer % DAEMONS].address, stop.clone());
        thread::spawn(move || {
            let (mut seen, mut channel) = (Vec::new(), None);
            while !stop.load(Ordering::SeqCst) {
                let open = || crate::http::Channel::open(front, Duration::from_secs(1));
                let Some(mut opened) = channel.take().or_else(|| open().ok()) else {
                    sleep(Duration::from_millis(50));
                    continue;
                };
                let order = Ask {
                    id: &format!("order-{consumer}-{}", seen.len()),
                    method: "POST",
                    path: "/order/1",
                    headers: "",
                    body: "reprint row 7",
                    deadline_ms: 1_000,
                };
                let answer = fleet::ask(&mut opened, &order);
                channel = answer.is_whole().then_some(opened);
                seen.push(answer);
                sleep(Duration::from_millis(10));
            }
            seen
        })
    });
    (stop.clone(), consumers.collect())
}

fn judge(fleet: &Fleet, known_at: u128, orders: &[Seen]) -> bool {
    let lines = fleet.replica_lines();
    let after = || lines.iter().filter(|(at, _)| *at > known_at);
    let mut retries: Vec<&str> = after()
        .filter(|(_, line)| line.contains(" RUN poison-"))
        .filter_map(|(_, line)| line.split(' ').nth(2))
        .collect();
    retries.dedup();
    let crashes: Vec<u128> =
        after().filter(|(_, line)| line.contains(" CRASHES ")).map(|(at, _)| *at).collect();
    // Orders that ran at a replica when it crashed, and have no answer of it.
    let lost = orders.iter().filter(|order| {
        let is_hit = |at: &u128| (order.sent_at..order.ended_at + 1).contains(at);
        let has_run = lines.iter().any(|(_, line)| line.contains(&format!(" RUN {} ", order.id)));
        order.status == 502 && has_run && crashes.iter().any(is_hit)
    });
    fleet.record.note(format!(
        "BUDGET: {} retries of the request reached replicas later than contact-ms after it had \
         crashed the third, sent by machines in touch ({ALLOWED} may): {retries:?}; {} replicas \
         crashed, and {} sound orders that ran there have no answer",
        retries.len(),
        crashes.len(),
        lost.count()
    ));
    retries.len() > ALLOWED
}
