//! Keeps what is refused because it crashes replicas in the platform's table: parts of prompts and
//! whole requests.
//!
//! So it outlasts the loss of all daemons at once, and reaches daemons that reach the store but no
//! other daemon. Those that read the store write and read the rows; their followers are told as of
//! any strike. The row of parts stays until a request with one of them survives, that of a request
//! until its strikes no longer count.

use std::{
    collections::{HashMap, HashSet},
    time::SystemTime,
};

use serde::{Deserialize, Serialize};
use tokio::time::timeout_at;
use winch_platform::table::{Error, Row, Table, Transaction};
use winch_route::{
    hash,
    quarantine::Part,
    suspect::{Crash, Disposition, Fingerprint},
};

use crate::{
    counter,
    node::Node,
    prelude::*,
    strikes::{Strike, Strikes},
};

/// Interval at which the rows are read.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
/// Age of this daemon's state above which the rows are not read: the store is slow or unreachable.
const MAX_AGE_MS: u64 = 2_000;
/// Largest number of rows that one scan reads.
const MAX_ROWS: usize = 500;
/// Largest number of scans, should rows of other writers lie between those of daemons.
const MAX_SCANS: usize = 10;
/// Largest number of requests that have a row. Their rows come last, so that these leave the other
/// rows in sight.
const MAX_REQUESTS: usize = 200;
/// Largest number of rows that one transaction changes.
const MAX_WRITES: usize = 80;
/// Prefix of the keys of all rows.
const PREFIX: &str = "quarantine/";
/// Text before the fingerprint in the keys of requests. No daemon of an earlier release takes such
/// a key for that of a part, which is hexadecimal.
const REQUEST_PREFIX: &str = "request-";
/// Text before the hash in the keys of several parts, which earlier releases pass over, too.
const GROUP_PREFIX: &str = "group-";
/// Topic in the metrics of calls to the store.
const TOPIC: &str = "quarantine";

/// A row: the strikes for which something is refused.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct QuarantineRow {
    /// Fingerprint of the request and hash of the crash of each strike.
    strikes: Vec<(u64, u64)>,
    /// When the newest strike was observed, in Unix milliseconds; zero in rows of earlier releases.
    #[serde(default)]
    struck_at_ms: u64,
    /// The parts, if the row is that of several.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    parts: Vec<u64>,
}

impl QuarantineRow {
    /// Whether the request of the row ran to its end since its newest strike.
    fn is_completed(&self, request: Fingerprint, strikes: &Strikes, now_ms: u64) -> bool {
        strikes.is_completed(request, self.struck_at(now_ms))
    }

    /// Whether a strike of the row was retracted, so that the others were not enough.
    fn is_retracted(&self, strikes: &Strikes, now_ms: u64) -> bool {
        let struck_at = self.struck_at(now_ms);
        self.strikes.iter().any(|(_, crash)| strikes.is_retracted(Crash(*crash), struck_at))
    }

    /// When the newest strike was observed, by the clock of this process.
    fn struck_at(&self, now_ms: u64) -> Instant {
        let now = Instant::now();
        now.checked_sub(self.age(now_ms)).unwrap_or(now)
    }

    /// Time since the newest strike. A clock that was set back gives zero.
    fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.struck_at_ms))
    }
}

/// What a row refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Subject {
    /// All requests whose prompts have this part.
    Part(Part),
    /// All requests whose prompts have all the parts with this hash, which the row names.
    Group(u64),
    /// One request.
    Request(Fingerprint),
}

impl Subject {
    fn encode_key(self) -> String {
        match self {
            Self::Part(part) => format!("{PREFIX}{:016x}", part.0),
            Self::Group(hash) => format!("{PREFIX}{GROUP_PREFIX}{hash:016x}"),
            Self::Request(request) => format!("{PREFIX}{REQUEST_PREFIX}{:016x}", request.0),
        }
    }

    fn decode_key(key: &str) -> Option<Self> {
        let name = key.strip_prefix(PREFIX)?;
        let decode = |text| u64::from_str_radix(text, 16).ok();
        if let Some(request) = name.strip_prefix(REQUEST_PREFIX) {
            return decode(request).map(|hash| Self::Request(Fingerprint(hash)));
        }
        match name.strip_prefix(GROUP_PREFIX) {
            Some(group) => decode(group).map(Self::Group),
            None => decode(name).map(|hash| Self::Part(Part(hash))),
        }
    }

    /// What is refused for a strike that names these sorted parts, or for one of the whole request.
    fn of_strike(strike: &Strike) -> Self {
        if strike.parts.is_empty() {
            return Self::Request(strike.request);
        }
        Self::of_parts(&strike.parts)
    }

    /// The requests that hold all these sorted parts.
    fn of_parts(parts: &[Part]) -> Self {
        match parts {
            [part] => Self::Part(*part),
            parts => Self::Group(parts.iter().fold(0, |seed, part| hash::score(seed, part.0))),
        }
    }

    fn part(self) -> Option<Part> {
        match self {
            Self::Part(part) => Some(part),
            Self::Group(_) | Self::Request(_) => None,
        }
    }

    /// The parts that the row of this subject refuses together; none if it refuses a request.
    fn parts(self, row: &QuarantineRow) -> Arc<[Part]> {
        match self {
            Self::Part(part) => [part].into(),
            Self::Group(_) => row.parts.iter().copied().map(Part).collect(),
            Self::Request(_) => Arc::default(),
        }
    }
}

/// The rows that were read, by what they refuse.
type Found = HashMap<Subject, Row>;

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
///
/// The rows are read as soon as the store can be read, and written as soon as something new is
/// refused.
pub async fn run<P: Protocol, T: Table>(node: Arc<Node<P>>, table: T) {
    let mut stored = Stored::default();
    let mut changes = node.subscribe();
    let (mut next_at, mut refused) = (Instant::now(), 0);
    loop {
        // A timeout is not an error: the rows are read at intervals without any change.
        let _ = timeout_at(next_at, changes.changed()).await;
        let now = Instant::now();
        let is_synced = node.strikes().is_synced();
        if now < next_at && is_synced && node.strikes().refused_count(now) == refused {
            continue;
        }
        if now >= next_at {
            next_at = now + SYNC_INTERVAL;
        }
        let is_current = node.state_age_ms().is_some_and(|age| age <= MAX_AGE_MS);
        if !node.reads_store() || !is_current {
            continue;
        }
        let synced = sync(&node, &table, &mut stored).await;
        refused = node.strikes().refused_count(now);
        // The next round repeats what failed.
        let outcome = if synced.is_ok() { "ok" } else { "unavailable" };
        counter::store_called(TOPIC, outcome, now.elapsed());
    }
}

fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Applies the rows, and writes what they lack.
async fn sync<P: Protocol, T: Table>(
    node: &Node<P>,
    table: &T,
    stored: &mut Stored,
) -> Result<(), Error> {
    let (found, sees_all) = read_rows(table).await?;
    let mut gone = stored.replace(found.keys().filter_map(|key| key.part()).collect(), table.era());
    // A missing row may only have moved out of sight.
    gone.retain(|_| sees_all);
    let is_first = !node.strikes().is_synced();
    if apply_rows(node, &found, &gone) || is_first {
        node.announce_strike();
    }
    let transaction = missing_writes(node, &found);
    if !transaction.writes.is_empty() {
        table.commit(transaction).await?;
    }
    Ok(())
}

/// Reads the rows, and whether these are all; passes over those of other writers.
async fn read_rows<T: Table>(table: &T) -> Result<(Found, bool), Error> {
    let (mut found, mut after) = (Found::new(), Name::from(""));
    for _ in 0..MAX_SCANS {
        let rows = table.scan(PREFIX, &after, MAX_ROWS).await?;
        let sees_all = rows.len() < MAX_ROWS;
        after = rows.last().map_or(after, |row| row.key.clone());
        let subjects =
            rows.into_iter().filter_map(|row| Some((Subject::decode_key(&row.key)?, row)));
        found.extend(subjects);
        if sees_all || found.len() >= MAX_ROWS {
            return Ok((found, sees_all));
        }
    }
    Ok((found, false))
}

/// Applies the rows that are new to this daemon, and clears the parts whose rows another daemon has
/// deleted; returns whether anything has changed.
fn apply_rows<P: Protocol>(node: &Node<P>, found: &Found, gone: &[Part]) -> bool {
    let (now, now_ms, mut strikes) = (Instant::now(), now_ms(), node.strikes());
    let mut has_changed = !strikes.clear(gone, now).is_empty();
    for (subject, row) in found {
        // A row of another writer refuses nothing.
        let row: QuarantineRow = serde_json::from_str(&row.value).unwrap_or_default();
        if is_settled(&strikes, *subject, &row, now) {
            continue;
        }
        let struck_at = row.struck_at(now_ms);
        let parts = subject.parts(&row);
        let at = if parts.is_empty() { struck_at } else { now };
        for (request, crash) in row.strikes {
            let (request, crash, parts) = (Fingerprint(request), Crash(crash), parts.clone());
            if !strikes.is_retracted(crash, struck_at) {
                has_changed |= strikes.apply(Strike { request, crash, parts, at });
            }
        }
    }
    strikes.mark_synced();
    has_changed
}

/// Whether the row of `subject` can add nothing to what this daemon knows.
fn is_settled(strikes: &Strikes, subject: Subject, row: &QuarantineRow, now: Instant) -> bool {
    let parts = subject.parts(row);
    match subject {
        // A row of another writer.
        Subject::Group(_) if parts.is_empty() => true,
        Subject::Part(_) | Subject::Group(_) => {
            has_survivor(strikes, &parts, now) || strikes.find_quarantined(&parts, now).is_some()
        }
        Subject::Request(request) => strikes.disposition(request, &[], now) == Disposition::Refused,
    }
}

/// Whether a request with one of the parts has survived lately.
fn has_survivor(strikes: &Strikes, parts: &[Part], now: Instant) -> bool {
    parts.iter().any(|part| strikes.is_cleared(*part, now))
}

/// The writes that bring the rows up to date: what is refused here gets one; parts that were
/// cleared, requests whose strikes no longer count, and what is refused no longer because a strike
/// was retracted lose it.
fn missing_writes<P: Protocol>(node: &Node<P>, found: &Found) -> Transaction {
    let (now, now_ms, strikes) = (Instant::now(), now_ms(), node.strikes());
    let mut missing: HashMap<Subject, QuarantineRow> = HashMap::new();
    let is_request = |subject: &Subject| matches!(subject, Subject::Request(_));
    let mut requests = found.keys().filter(|subject| is_request(subject)).count();
    for strike in strikes.decisive(now) {
        let subject = Subject::of_strike(&strike);
        if found.contains_key(&subject) {
            continue;
        }
        if is_request(&subject) && !missing.contains_key(&subject) {
            requests += 1;
            if requests > MAX_REQUESTS {
                continue;
            }
        }
        let row = missing.entry(subject).or_default();
        row.strikes.push((strike.request.0, strike.crash.0));
        if matches!(subject, Subject::Group(_)) {
            row.parts = strike.parts.iter().map(|part| part.0).collect();
        }
        let age = now.saturating_duration_since(strike.at);
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        row.struck_at_ms = row.struck_at_ms.max(now_ms.saturating_sub(age_ms));
    }
    // Fewer parts are refused by now, and have a row.
    let is_narrowed = |parts: &[Part]| {
        let group = strikes.find_quarantined(parts, now);
        group.is_some_and(|g| *g != *parts && found.contains_key(&Subject::of_parts(&g)))
    };
    let is_over = |subject: Subject, row: &Row| {
        let row: QuarantineRow = serde_json::from_str(&row.value).unwrap_or_default();
        let is_outdated = match subject {
            Subject::Part(_) | Subject::Group(_) => {
                let parts = subject.parts(&row);
                has_survivor(&strikes, &parts, now) || is_narrowed(&parts)
            }
            Subject::Request(request) => {
                row.age(now_ms) >= strikes.lifetime() || row.is_completed(request, &strikes, now_ms)
            }
        };
        is_outdated
            || (!is_settled(&strikes, subject, &row, now) && row.is_retracted(&strikes, now_ms))
    };
    let over = found.iter().filter(|(subject, row)| is_over(**subject, row));
    let deletes = over.map(|(_, row)| (row.key.clone(), None));
    let encode = |row| serde_json::to_string(row).expect("numbers are valid JSON");
    let puts = missing.iter().map(|(key, row)| (key.encode_key().into(), Some(encode(row))));
    deletes.chain(puts).take(MAX_WRITES).fold(Transaction::default(), |txn, write| match write {
        (key, None) => txn.delete(key),
        (key, Some(value)) => txn.put(key, value),
    })
}
