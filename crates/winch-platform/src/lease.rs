//! Leases stored in the table, with fencing tokens.
//!
//! Clocks of different VMs are never compared. A contender takes a lease over
//! once it has observed the row unchanged for a whole term by its own clock. The
//! holder counts its term from before it sent the renewal, so that its lease
//! expires before another contender can take it over.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::table::{Commit, Error, Row, Table, Transaction};

/// The value of a lease's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the holder.
    pub holder: Arc<str>,
    /// The fencing token; increases with each acquisition and is kept by renewals.
    pub fence: u64,
    /// Increases with each renewal.
    pub beat: u64,
}

/// Bits of a fencing token below those of the table's era.
const FENCE_BITS: u32 = 32;

/// Identifies one write of a lease's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sighting {
    era: u64,
    version: u64,
}

/// A lease that this contender holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    fence: u64,
    /// Era of the table in which it was acquired or renewed.
    era: u64,
    expires: Instant,
}

/// Parameters of a contender.
#[derive(Clone, Debug)]
pub struct Options {
    /// Key of the row.
    pub key: Arc<str>,
    /// Name of this contender.
    pub holder: Arc<str>,
    /// Time for which an acquisition or a renewal is valid.
    pub term: Duration,
}

/// The state of one contender for a lease.
#[derive(Debug)]
pub struct Lease {
    options: Options,
    /// Another holder's row, and when it was first seen.
    seen: Option<(Sighting, Instant)>,
    held: Option<Held>,
}

impl Lease {
    /// Makes a contender that does not hold the lease.
    pub fn new(options: Options) -> Self {
        Self { options, seen: None, held: None }
    }

    /// Returns the fencing token if the lease is certainly held at `now`.
    pub fn fencing_token(&self, now: Instant) -> Option<u64> {
        self.held.filter(|held| now < held.expires).map(|held| held.fence)
    }

    /// Renews the lease, or acquires it if it is free. Returns the fencing token if the
    /// lease is held afterwards.
    ///
    /// # Errors
    /// Returns the [`Error`] of the table. A held lease then expires unless a later call
    /// succeeds in time.
    pub async fn acquire<T: Table>(&mut self, table: &T) -> Result<Option<u64>, Error> {
        let started = Instant::now();
        let row = table.read(&self.options.key).await?;
        let era = table.era();
        let Some(next) = self.next_record(row.as_ref(), era, started) else {
            self.held = None;
            return Ok(None);
        };
        let value = serde_json::to_string(&next).expect("a record is plain data");
        let txn = Transaction::default()
            .expect(self.options.key.clone(), row.as_ref().map(|r| r.version))
            .put(self.options.key.clone(), value);
        match table.commit(txn).await? {
            Commit::Committed => {
                let expires = started + self.options.term;
                self.held = Some(Held { fence: next.fence, era, expires });
                Ok(Some(next.fence))
            }
            Commit::Conflict { .. } => {
                self.held = None;
                Ok(None)
            }
        }
    }

    /// Returns the record to write; `None` while another holder's lease may be valid.
    fn next_record(&mut self, row: Option<&Row>, era: u64, now: Instant) -> Option<Record> {
        let holder = self.options.holder.clone();
        // A table that came back from an older copy may have lost acquisitions, so that tokens of
        // a later era are above all of the earlier ones.
        let acquired = |fence: u64| fence.max((era << FENCE_BITS) + 1);
        let Some(row) = row else {
            return Some(Record { holder, fence: acquired(1), beat: 1 });
        };
        let Ok(current) = serde_json::from_str::<Record>(&row.value) else {
            // Every acquisition writes the row, so its version is above all earlier tokens.
            return Some(Record { holder, fence: acquired(row.version), beat: 1 });
        };
        if current.holder == holder {
            // A restarted VM of the same name must not reuse its old fencing token.
            let is_renewal =
                self.held.is_some_and(|held| (held.fence, held.era) == (current.fence, era));
            let fence = if is_renewal { current.fence } else { acquired(current.fence + 1) };
            return Some(Record { holder, fence, beat: current.beat + 1 });
        }
        let sighting = Sighting { era, version: row.version };
        let since = match self.seen {
            Some((seen, since)) if seen == sighting => since,
            _ => {
                self.seen = Some((sighting, now));
                now
            }
        };
        let expired = now.duration_since(since) >= self.options.term;
        expired.then(|| Record { holder, fence: acquired(current.fence + 1), beat: 1 })
    }
}
