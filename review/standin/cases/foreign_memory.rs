//! A second answer to an earlier request is taken for the answer to a copy of a run's memory, and
//! the next run gets the handle of this copy.
//!
//! Long streams run at four replicas. Two of these send a few of their answers a second time where
//! the next answer is due. Another replica leaves, so that runs need new copies, for which the
//! daemon asks the replicas that run them. Then the two are silent for a second, one after the
//! other, and their streams go on elsewhere from their copies.

use std::{
    io,
    thread::sleep,
    time::{Duration, Instant},
};

use super::config;
use crate::{
    fleet::{self, Fleet, Process, SIGCONT, SIGSTOP, Seen, ZONES},
    http::End,
    json,
};

const EVENT_MS: u64 = 30;
/// Long streams, and their events (about seven seconds).
const STREAMS: usize = 16;
const EVENTS: u64 = 230;
const PROMPT: u64 = 8_000;
/// Time between two long streams, so that their events do not come at the same moments.
const SPACING: Duration = Duration::from_millis(47);
/// Largest share of a replica's answers that are spoiled.
const MAX_SPOILED_SHARE: f64 = 0.03;
/// Short streams before the long ones, and while these run.
const EARLIER_STREAMS: usize = 40;
const MAX_LATE_STREAMS: usize = 10;
/// Indices of the replicas that spoil answers, and of the one that leaves.
const SPOILING: [usize; 2] = [0, 3];
const LEAVING: usize = 2;
const SILENCE: Duration = Duration::from_millis(1_000);

/// Whether a snapshot meets the second answer depends on the moments at which events arrive, so the
/// same is done up to this many times, each with a new deployment.
const MAX_ROUNDS: usize = 4;

pub fn run(record: &str) -> io::Result<bool> {
    for round in 1..=MAX_ROUNDS {
        if run_round(record, round)? {
            return Ok(true);
        }
    }
    Ok(false)
}

fn run_round(record: &str, round: usize) -> io::Result<bool> {
    let fleet = Fleet::start()?;
    let note = fleet.record.clone();
    note.note(format!("round {round} of {MAX_ROUNDS}"));
    let replicas = [
        fleet.replica(11, ZONES[0], "stub-model", EVENT_MS)?,
        fleet.replica(12, ZONES[1], "stub-model", EVENT_MS)?,
        fleet.replica(13, ZONES[1], "stub-model", EVENT_MS)?,
        fleet.replica(14, ZONES[0], "stub-model", EVENT_MS)?,
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
    for number in 0..EARLIER_STREAMS {
        let seen = short(&daemons[0], &format!("early-{number}"))?;
        if seen.status != 200 || !seen.is_whole() {
            return Err(io::Error::other(format!("no calm start: {seen:?}")));
        }
    }
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let id = format!("long-{number}");
        note.note(format!("consumer sends {id}"));
        let channel = fleet::open(&daemons[0])?;
        streams.push(fleet::stream(channel, &id, "/draft/2", PROMPT, EVENTS));
        sleep(SPACING);
    }
    sleep(Duration::from_millis(1_100));
    if !fleet::is_calm() {
        spoil(&daemons[0], &replicas)?;
    }
    note.note(format!("{} leaves: its entry is removed", replicas[LEAVING].name));
    fleet::control(&replicas[LEAVING], "unlist")?;
    wait_moves(&fleet);
    for index in SPOILING {
        let counts = counts(&replicas[index])?;
        let share = counts.spoiled as f64 / counts.answers as f64;
        note.note(format!(
            "{} has given {} answers and sent {} of them again: a share of {share:.3}",
            replicas[index].name, counts.answers, counts.spoiled
        ));
        if share > MAX_SPOILED_SHARE {
            return Err(io::Error::other("too many answers were spoiled"));
        }
    }
    if !fleet::is_calm() {
        for index in SPOILING {
            be_silent(&fleet, &replicas[index]);
        }
    }
    let mut foreign = 0;
    for stream in streams {
        let (seen, _) = stream.join().expect("the consumer ends");
        let other =
            seen.events.iter().find(|(id, data)| *data != format!("piece {id} of {}", seen.id));
        foreign += usize::from(other.is_some());
        let ending = if seen.end == End::Complete { "whole" } else { "broken off" };
        let finding = other.map_or("all of this request".to_owned(), |(id, data)| {
            format!("event {id} is FOREIGN: {data:?}")
        });
        note.note(format!(
            "consumer has {} with status {}: {} events, {ending}; {finding}",
            seen.id,
            seen.status,
            seen.events.len()
        ));
    }
    note.note(format!("MIXED: {foreign} of {STREAMS} streams went on from foreign memory"));
    fleet.write_record(record)?;
    Ok(foreign > 0)
}

fn short(daemon: &Process, id: &str) -> io::Result<Seen> {
    let stream = fleet::stream(fleet::open(daemon)?, id, "/draft/1", 400, 3);
    Ok(stream.join().expect("the consumer ends").0)
}

/// Sends short streams until both replicas are to send an answer again.
fn spoil(daemon: &Process, replicas: &[Process]) -> io::Result<()> {
    for number in 0..MAX_LATE_STREAMS {
        let mut pending = 0;
        for index in SPOILING {
            let counts = counts(&replicas[index])?;
            if counts.spoiled > counts.extras {
                pending += 1;
            } else if (counts.spoiled + 1) as f64 <= MAX_SPOILED_SHARE * counts.answers as f64 {
                fleet::control(&replicas[index], "spoil")?;
            }
        }
        if pending == SPOILING.len() || (pending > 0 && number > MAX_LATE_STREAMS / 2) {
            break;
        }
        short(daemon, &format!("late-{number}"))?;
        sleep(Duration::from_millis(40));
    }
    Ok(())
}

fn be_silent(fleet: &Fleet, replica: &Process) {
    fleet.record.note(format!("{} is silent for {SILENCE:?}", replica.name));
    replica.signal(SIGSTOP);
    sleep(SILENCE);
    replica.signal(SIGCONT);
    fleet.record.note(format!("{} goes on", replica.name));
}

struct Counts {
    answers: u64,
    spoiled: u64,
    /// Second answers that were sent.
    extras: u64,
}

fn counts(replica: &Process) -> io::Result<Counts> {
    let text = fleet::control(replica, "counts")?.text();
    let counts = json::parse(&text).unwrap_or(json::Json::Null);
    let number = |name| counts.get(name).number();
    Ok(Counts { answers: number("answers"), spoiled: number("spoiled"), extras: number("extras") })
}

/// Waits until runs have been copied, and no further copy has followed for a while.
fn wait_moves(fleet: &Fleet) {
    let deadline = Instant::now() + Duration::from_millis(2_500);
    let moves = || {
        let lines = fleet.replica_lines();
        lines.iter().filter(|(_, line)| line.contains(" MOVE ")).count()
    };
    let mut known = 0;
    while Instant::now() < deadline {
        sleep(Duration::from_millis(250));
        let count = moves();
        if count > 0 && count == known {
            return;
        }
        known = count;
    }
}
