//! A machine gets SIGTERM while streams that may run once run; one sound replica is silent for a
//! second meanwhile.

use std::{io, thread::sleep, time::Duration};

use super::config;
use crate::fleet::{self, Fleet, SIGCONT, SIGSTOP, SIGTERM, ZONES};

const STREAMS: usize = 6;
/// Each stream takes about four seconds.
const EVENTS: u64 = 100;
const EVENT_MS: u64 = 40;
const SILENCE: Duration = Duration::from_millis(1_000);

pub fn run(record: &str) -> io::Result<bool> {
    let fleet = Fleet::start()?;
    let note = fleet.record.clone();
    let replicas = [
        fleet.replica(11, ZONES[0], "stub-model", EVENT_MS)?,
        fleet.replica(12, ZONES[1], "stub-model", EVENT_MS)?,
    ];
    fleet.publish("op/config", &config(1))?;
    let seeds = [fleet.control_address(1), fleet.control_address(2)];
    let daemons = [
        fleet.daemon(1, ZONES[0], fleet.store.address, &seeds)?,
        fleet.daemon(2, ZONES[1], fleet.store.address, &seeds)?,
    ];
    for daemon in &daemons {
        fleet.wait_ready(daemon)?;
    }
    // Kept channels: each has carried a short stream before.
    let mut channels = Vec::new();
    for number in 0..STREAMS {
        let channel = fleet::open(&daemons[0])?;
        let first = fleet::stream(channel, &format!("first-{number}"), "/once/1", 400, 3);
        let (seen, channel) = first.join().expect("the consumer ends");
        if seen.status != 200 || !seen.is_whole() {
            return Err(io::Error::other(format!("no calm start: {seen:?}")));
        }
        channels.push(channel);
    }
    sleep(Duration::from_secs(4));
    let streams: Vec<_> = channels
        .into_iter()
        .enumerate()
        .map(|(number, channel)| {
            let id = format!("once-{number}");
            note.note(format!("consumer sends {id}"));
            fleet::stream(channel, &id, "/once/2", 800, EVENTS)
        })
        .collect();
    sleep(Duration::from_millis(900));
    note.note("SIGTERM to edge-1");
    daemons[0].signal(SIGTERM);
    sleep(Duration::from_millis(500));
    let counts = replicas.iter().map(|replica| {
        let reply = fleet::control(replica, "counts").map(|reply| reply.text());
        reply.map_or(0, |text| text.matches("once-").count())
    });
    let counts: Vec<usize> = counts.collect();
    let silent = usize::from(counts[1] > counts[0]);
    note.note(format!("runs at i-11: {}, at i-12: {}", counts[0], counts[1]));
    if !fleet::is_calm() {
        note.note(format!("{} is silent for {SILENCE:?}", replicas[silent].name));
        replicas[silent].signal(SIGSTOP);
        sleep(SILENCE);
        replicas[silent].signal(SIGCONT);
        note.note(format!("{} goes on", replicas[silent].name));
    }
    let mut lost = 0;
    for stream in streams {
        let (seen, _) = stream.join().expect("the consumer ends");
        let is_lost = !seen.is_whole();
        lost += usize::from(is_lost);
        note.note(format!(
            "consumer has {} with status {}: {} of {EVENTS} events, {:?}, ended after {} ms",
            seen.id,
            seen.status,
            seen.events.len(),
            seen.end,
            seen.ended_at - seen.sent_at
        ));
    }
    note.note(format!("LOST: {lost} of {STREAMS} channels ended without a complete answer"));
    fleet.write_record(record)?;
    Ok(lost > 0)
}
