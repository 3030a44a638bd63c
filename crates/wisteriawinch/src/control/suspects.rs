//! Keeps refused requests in the table, so that they outlast the loss of all daemons.
//!
//! The rows are read once after the start of each daemon; later strikes arrive as facts. The
//! daemon whose strike makes a request refused writes its row.

use serde::{Deserialize, Serialize};
use tokio::time::{MissedTickBehavior, interval};
use winch_platform::table::{Error, Row, Table, Transaction};
use winch_route::suspect::{Crash, Fingerprint};

use super::supervisor::Child;
use crate::prelude::*;

/// Interval at which refusals are written, and reading is tried again.
const TICK: Duration = Duration::from_millis(200);
/// Prefix of the keys of the rows, which end with the request's fingerprint.
const PREFIX: &str = "suspects/";
/// Largest number of rows that are read.
const MAX_ROWS: usize = 500;

/// Supervised task that reads and writes the rows.
#[derive(Clone, Debug)]
pub struct SuspectsTask(pub Arc<Fleet>);

/// A row: the crashes for which a request is refused.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct SuspectRow {
    crashes: Vec<u64>,
    /// When the last of them was observed, in Unix seconds.
    struck_at_s: u64,
}

impl SuspectRow {
    /// Time since the last crash. A clock that was set back gives zero.
    fn age(&self) -> Duration {
        Duration::from_secs(unix_now().saturating_sub(self.struck_at_s))
    }
}

fn encode_key(request: Fingerprint) -> String {
    format!("{PREFIX}{:016x}", request.0)
}

fn decode_key(key: &str) -> Option<Fingerprint> {
    u64::from_str_radix(key.strip_prefix(PREFIX)?, 16).ok().map(Fingerprint)
}

impl Child for SuspectsTask {
    fn name(&self) -> &'static str {
        "suspects"
    }

    async fn run(self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut is_read = false;
        loop {
            ticks.tick().await;
            if !is_read {
                is_read = self.read().await.is_ok();
                self.0.suspects_read.send_replace(is_read);
            }
            self.write().await;
        }
    }
}

impl SuspectsTask {
    /// Applies the rows, and deletes those whose strikes no longer count.
    async fn read(&self) -> Result<(), Error> {
        let rows = self.0.platform.scan(PREFIX, "", MAX_ROWS).await?;
        let mut outdated = Transaction::default();
        for row in rows {
            if !self.apply(&row) {
                outdated = outdated.delete(row.key);
            }
        }
        if !outdated.writes.is_empty() {
            // A row that stays is deleted after the next start of a daemon.
            let _ = self.0.platform.commit(outdated).await;
        }
        Ok(())
    }

    /// Applies one row; returns whether it still counts. One that cannot be decoded does not.
    fn apply(&self, row: &Row) -> bool {
        let decoded = serde_json::from_str::<SuspectRow>(&row.value).ok();
        let Some((request, row)) = decode_key(&row.key).zip(decoded) else { return false };
        let mut suspects = self.0.suspects();
        if row.age() >= suspects.lifetime() {
            return false;
        }
        let at = self.0.now().saturating_sub(row.age());
        for crash in row.crashes {
            suspects.record_strike(request, Crash(crash), at);
        }
        true
    }

    /// Writes the rows of requests that this daemon's strikes have made refused; those that cannot
    /// be written are tried again.
    async fn write(&self) {
        let refused = self.0.take_refused();
        if refused.is_empty() {
            return;
        }
        let mut transaction = Transaction::default();
        for request in &refused {
            let row = SuspectRow { crashes: self.crashes(*request), struck_at_s: unix_now() };
            let value = serde_json::to_string(&row).expect("numbers are valid JSON");
            transaction = transaction.put(encode_key(*request), value);
        }
        if self.0.platform.commit(transaction).await.is_err() {
            self.0.add_refused(refused);
        }
    }

    fn crashes(&self, request: Fingerprint) -> Vec<u64> {
        let suspects = self.0.suspects();
        let refused = suspects.refused(self.0.now()).find(|(refused, _)| *refused == request);
        refused
            .map_or(Vec::new(), |(_, strikes)| strikes.iter().map(|(crash, _)| crash.0).collect())
    }
}
