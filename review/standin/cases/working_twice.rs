//! A sound replica is silent for a second while its runs go on.

use std::{io, thread::sleep, time::Duration};

use super::config;
use crate::fleet::{self, Fleet, ZONES};

const STREAMS: usize = 6;
/// Each stream takes about four seconds.
const EVENTS: u64 = 100;
const EVENT_MS: u64 = 40;
const SILENCE_MS: u64 = 1_000;
/// How long a replica may still work on a request that goes on at another one.
const ALLOWED_MS: u128 = 400;

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
    sleep(Duration::from_secs(4));
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let id = format!("draft-{number}");
        let channel = fleet::open(&daemons[0])?;
        streams.push(fleet::stream(channel, &id, "/draft/1", 800, EVENTS));
    }
    sleep(Duration::from_millis(1_400));
    if !fleet::is_calm() {
        fleet::control_with(&replicas[0], "silent", &SILENCE_MS.to_string())?;
    }
    for stream in streams {
        let (seen, _) = stream.join().expect("the consumer ends");
        note.note(format!(
            "consumer has {} with status {}: {} of {EVENTS} events, {:?}",
            seen.id,
            seen.status,
            seen.events.len(),
            seen.end
        ));
    }
    let twice = judge(&fleet);
    fleet.write_record(record)?;
    Ok(twice > 0)
}

/// Number of requests that went on at another replica while the replica before still worked on them.
fn judge(fleet: &Fleet) -> usize {
    let lines = fleet.replica_lines();
    let mut twice = 0;
    for number in 0..STREAMS {
        let id = format!("draft-{number}");
        let at = |what: &str, is_first: bool| {
            let mut found = lines.iter().filter(|(_, line)| {
                line.contains(&format!(" {what} {id} ")) && line.starts_with("i-11") == is_first
            });
            found.next().map(|(at, _)| *at)
        };
        let first = lines.iter().find(|(_, line)| line.contains(&format!(" RUN {id} ")));
        if !first.is_some_and(|(_, line)| line.starts_with("i-11")) {
            continue;
        }
        let (Some(again), Some(left)) = (at("RUN", false), at("DROPPED", true)) else { continue };
        let overlap = left.saturating_sub(again);
        if overlap > ALLOWED_MS {
            twice += 1;
            fleet.record.note(format!(
                "TWICE: {id} went on at i-12, and i-11 still worked on it {overlap} ms later"
            ));
        }
    }
    fleet.record.note(format!("TWICE: {twice} requests"));
    twice
}
