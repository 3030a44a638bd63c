//! Keeps the quarantined parts of prompts in the platform's table.
//!
//! So they outlast the loss of all daemons at once, and reach daemons that reach the store but no
//! other daemon. Those that read the store write and read the rows; their followers are told as of
//! any strike. A row stays until a request with its part survives.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use winch_platform::table::{Error, Row, Table, Transaction};
use winch_route::{
    quarantine::Part,
    suspect::{Crash, Fingerprint},
};

use crate::{counter, node::Node, prelude::*, strikes::Strike};

/// Interval at which the rows are read.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
/// Age of this daemon's state above which the rows are not read: the store is slow or unreachable.
const MAX_AGE_MS: u64 = 2_000;
/// Largest number of rows that are read.
const MAX_ROWS: usize = 500;
/// Largest number of rows that one transaction changes.
const MAX_WRITES: usize = 80;
/// Prefix of the keys of the rows.
const PREFIX: &str = "quarantine/";
/// Topic in the metrics of calls to the store.
const TOPIC: &str = "quarantine";

/// A row: the strikes for which a part is quarantined.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct QuarantineRow {
    /// Fingerprint of the request and hash of the crash of each strike.
    strikes: Vec<(u64, u64)>,
}

fn encode_key(part: Part) -> String {
    format!("{PREFIX}{:016x}", part.0)
}

fn decode_key(key: &str) -> Option<Part> {
    u64::from_str_radix(key.strip_prefix(PREFIX)?, 16).ok().map(Part)
}

/// The parts that had a row when the rows were last read.
#[derive(Debug, Default)]
struct Stored {
    parts: HashSet<Part>,
    /// Era of the table in which they were read.
    era: u64,
}

impl Stored {
    /// Replaces the parts by those that have a row in `era`, and returns those whose rows have been
    /// deleted. A table that came back from an older copy has lost rows that nobody deleted.
    fn replace(&mut self, parts: HashSet<Part>, era: u64) -> Vec<Part> {
        let is_same_era = std::mem::replace(&mut self.era, era) == era;
        let former = std::mem::replace(&mut self.parts, parts);
        let deleted = former.difference(&self.parts);
        if is_same_era { deleted.copied().collect() } else { Vec::new() }
    }
}

/// Keeps the rows and this daemon's strikes in sync for as long as the daemon runs.
pub async fn run<P: Protocol, T: Table>(node: Arc<Node<P>>, table: T) {
    let mut stored = Stored::default();
    loop {
        sleep(SYNC_INTERVAL).await;
        let is_current = node.state_age_ms().is_some_and(|age| age <= MAX_AGE_MS);
        if !node.reads_store() || !is_current {
            continue;
        }
        let started_at = Instant::now();
        let synced = sync(&node, &table, &mut stored).await;
        // The next round repeats what failed.
        let outcome = if synced.is_ok() { "ok" } else { "unavailable" };
        counter::store_called(TOPIC, outcome, started_at.elapsed());
    }
}

/// Applies the rows, and writes what they lack.
async fn sync<P: Protocol, T: Table>(
    node: &Node<P>,
    table: &T,
    stored: &mut Stored,
) -> Result<(), Error> {
    let rows = table.scan(PREFIX, "", MAX_ROWS).await?;
    let found: HashMap<Part, &Row> =
        rows.iter().filter_map(|row| Some((decode_key(&row.key)?, row))).collect();
    // With more rows than are read, a missing one may only have moved out of sight.
    let sees_all = rows.len() < MAX_ROWS;
    let mut gone = stored.replace(found.keys().copied().collect(), table.era());
    gone.retain(|_| sees_all);
    if apply_rows(node, &found, &gone) {
        node.announce_strike();
    }
    let transaction = missing_writes(node, &found);
    if !transaction.writes.is_empty() {
        table.commit(transaction).await?;
    }
    Ok(())
}

/// Applies the rows that are new to this daemon, and clears the parts whose rows another daemon has
/// deleted; returns whether anything has changed.
fn apply_rows<P: Protocol>(node: &Node<P>, found: &HashMap<Part, &Row>, gone: &[Part]) -> bool {
    let (now, mut strikes) = (Instant::now(), node.strikes());
    let mut has_changed = !strikes.clear(gone, now).is_empty();
    for (part, row) in found {
        if strikes.is_cleared(*part, now) || strikes.quarantined_part(&[*part], now).is_some() {
            continue;
        }
        // A row of another writer quarantines nothing.
        let row: QuarantineRow = serde_json::from_str(&row.value).unwrap_or_default();
        for (request, crash) in row.strikes {
            let (request, crash) = (Fingerprint(request), Crash(crash));
            has_changed |= strikes.apply(Strike { request, crash, parts: [*part].into(), at: now });
        }
    }
    has_changed
}

/// The writes that bring the rows up to date: parts that are quarantined here get one, and those
/// that were cleared lose it.
fn missing_writes<P: Protocol>(node: &Node<P>, found: &HashMap<Part, &Row>) -> Transaction {
    let (now, strikes) = (Instant::now(), node.strikes());
    let mut missing: HashMap<Part, QuarantineRow> = HashMap::new();
    for strike in strikes.decisive(now) {
        for part in strike.parts.iter().filter(|part| !found.contains_key(part)) {
            let row = missing.entry(*part).or_default();
            row.strikes.push((strike.request.0, strike.crash.0));
        }
    }
    let cleared = found.iter().filter(|(part, _)| strikes.is_cleared(**part, now));
    let deletes = cleared.map(|(_, row)| (row.key.clone(), None));
    let encode = |row| serde_json::to_string(row).expect("numbers are valid JSON");
    let puts = missing.iter().map(|(part, row)| (encode_key(*part).into(), Some(encode(row))));
    deletes.chain(puts).take(MAX_WRITES).fold(Transaction::default(), |txn, write| match write {
        (key, None) => txn.delete(key),
        (key, Some(value)) => txn.put(key, value),
    })
}
