//! Bytes by which the list of replicas spreads, by the sizes of the fleet and the list.
//!
//! The frames of [`winch_roster`] are encoded for every follower of one server. Beside them stand
//! two other ways: the whole list in compact frames, and each daemon reading it from the store.

use std::collections::BTreeSet;

use prost::Message;
use winch_roster::{
    cursor::Cursor,
    frame,
    interest::Interest,
    replica::Replica,
    roster::{Change, Roster},
};

use crate::table::Table;

/// Settings of the measurement.
#[derive(Clone, Debug)]
pub struct Config {
    /// Sizes of the fleet, in daemons.
    pub daemons: Vec<usize>,
    /// Replicas for each daemon.
    pub replicas_per_daemon: usize,
    /// Data centres, between which daemons and replicas are shared evenly.
    pub dcs: usize,
}

/// How a daemon learns the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Its subset, from a server.
    Subset,
    /// The whole list, from a server.
    Whole,
    /// The whole list, from the store.
    Store,
}

/// Daemons that pass the list on.
const SERVERS: usize = 3;
/// Bytes of an entry in a reply of the store.
const STORE_ENTRY_BYTES: usize = 330;
/// Interval at which a replica renews its entry, in seconds.
const RENEWAL_S: f64 = 1.2;
/// Heartbeats to a follower in a second.
const HEARTBEATS_PER_S: f64 = 1.0 / 0.3;
/// Bytes of headers of a frame: its length, TCP and IP.
const HEADER_BYTES: usize = 44;
/// Share of the replicas of a data centre that are lost and return.
const LOST_SHARE: f64 = 0.95;

/// Measures all sizes, and returns one row for each size and way.
pub fn run(config: &Config) -> Table {
    let columns = [
        "daemons",
        "replicas",
        "way",
        "start_store_kb",
        "start_server_kb",
        "start_daemon_kb",
        "known_replicas",
        "loss_server_kb",
        "idle_server_kb_s",
        "idle_store_kb_s",
    ];
    let mut table = Table::new("spread", &columns);
    for daemons in &config.daemons {
        for way in [Way::Subset, Way::Whole, Way::Store] {
            table.row(&measure(config, *daemons, way));
        }
    }
    table
}

fn dc(config: &Config, number: usize) -> String {
    format!("dc-{}", number % config.dcs)
}

fn replica(config: &Config, number: usize, restarted: bool) -> Replica {
    let [.., a, b, c] = (number as u64).to_be_bytes();
    Replica {
        id: format!("i-{:010x}", number * 2 + usize::from(restarted)).into(),
        service: "model".into(),
        address: ([10, a, b, c], 8_080).into(),
        dc: dc(config, number).into(),
        version: "v1".into(),
        slots: 32,
        draining: false,
        started_at_ms: Some(1_796_000_000_000),
    }
}

/// The bytes that a server sends to all its followers for what they lack, headers included.
fn send(roster: &Roster, followers: &mut [Cursor]) -> usize {
    let no_moves = BTreeSet::new();
    let deltas = followers.iter_mut().map(|cursor| cursor.advance(roster, &no_moves));
    let sent = deltas.filter(|delta| !delta.is_empty());
    sent.map(|delta| frame::Delta::from(&delta).encoded_len() + HEADER_BYTES).sum()
}

fn kb(bytes: usize) -> f64 {
    bytes as f64 / 1_000.0
}

/// Measures one size and way, and returns its row.
fn measure(config: &Config, daemons: usize, way: Way) -> Vec<String> {
    let replicas = daemons * config.replicas_per_daemon;
    let mut roster = Roster::default();
    for number in 0..replicas {
        roster.apply(Change::Put(replica(config, number, false).into()));
    }
    let interest = |number: usize| match way {
        Way::Subset => Interest::subset(&format!("daemon-{number}"), dc(config, number).into()),
        Way::Whole | Way::Store => Interest::whole(dc(config, number).into()),
    };
    let follower_count = if way == Way::Store { 0 } else { daemons.saturating_sub(SERVERS) };
    let mut followers: Vec<Cursor> =
        (0..follower_count).step_by(SERVERS).map(|number| Cursor::new(interest(number))).collect();
    let known = Cursor::new(interest(0)).advance(&roster, &BTreeSet::new()).put.len();
    let start_bytes = send(&roster, &mut followers);
    let lost = (replicas as f64 / config.dcs as f64 * LOST_SHARE) as usize;
    let lost: Vec<usize> = (0..replicas).step_by(config.dcs).take(lost).collect();
    for number in &lost {
        roster.apply(Change::Removed(replica(config, *number, false).id));
    }
    let mut loss_bytes = send(&roster, &mut followers);
    for number in &lost {
        roster.apply(Change::Put(replica(config, *number, true).into()));
    }
    loss_bytes += send(&roster, &mut followers);
    let readers = if way == Way::Store { daemons } else { SERVERS };
    let idle_readers = if way == Way::Store { daemons } else { 1 };
    let list_bytes = replicas * STORE_ENTRY_BYTES;
    let heartbeat = frame::Delta { format: frame::FORMAT, ..frame::Delta::default() };
    let heartbeat_bytes = heartbeat.encoded_len() + HEADER_BYTES;
    let idle_server = (followers.len() * heartbeat_bytes) as f64 * HEARTBEATS_PER_S / 1_000.0;
    let daemon_bytes = match way {
        Way::Store => list_bytes,
        Way::Subset | Way::Whole => start_bytes / followers.len().max(1),
    };
    vec![
        daemons.to_string(),
        replicas.to_string(),
        format!("{way:?}").to_lowercase(),
        format!("{:.0}", kb(readers * list_bytes)),
        format!("{:.0}", kb(start_bytes)),
        format!("{:.1}", kb(daemon_bytes)),
        known.to_string(),
        format!("{:.0}", kb(loss_bytes)),
        format!("{idle_server:.1}"),
        format!("{:.0}", kb(idle_readers * list_bytes) / RENEWAL_S),
    ]
}
