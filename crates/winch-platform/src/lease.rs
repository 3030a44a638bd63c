//! Leases in the table, with fencing numbers.
//!
//! No clocks are compared between VMs. A contender takes a lease over once it
//! has itself seen the row unchanged for the whole term; the holder counts its
//! term from before it sent the renewal. So the holder always stops first.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::table::{Commit, Error, Row, Table, Transaction};

/// The row behind a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the holder.
    pub holder: Arc<str>,
    /// Rises whenever the holder changes.
    pub fence: u64,
    /// Rises with each renewal.
    pub beat: u64,
}

/// How a lease is held.
#[derive(Clone, Debug)]
pub struct Options {
    /// Key of the row.
    pub key: Arc<str>,
    /// Name of this contender.
    pub holder: Arc<str>,
    /// How long a renewal lasts.
    pub term: Duration,
}

/// One contender's view of a lease.
#[derive(Debug)]
pub struct Lease {
    options: Options,
    seen: Option<(u64, Instant)>,
    held: Option<(u64, Instant)>,
}

impl Lease {
    /// A contender that holds nothing yet.
    pub fn new(options: Options) -> Self {
        Self { options, seen: None, held: None }
    }

    /// The fencing number, while the lease is certainly held at `now`.
    pub fn fencing_token(&self, now: Instant) -> Option<u64> {
        self.held.filter(|(_, until)| now < *until).map(|(fence, _)| fence)
    }

    /// Renews the lease, or takes it when it is free; returns the fencing number if held.
    ///
    /// # Errors
    /// Any table [`Error`]; the lease then runs out unless a later call succeeds.
    pub async fn acquire<T: Table>(&mut self, table: &T) -> Result<Option<u64>, Error> {
        let started = Instant::now();
        let row = table.read(&self.options.key).await?;
        let Some(next) = self.next(row.as_ref(), started) else {
            self.held = None;
            return Ok(None);
        };
        let value = serde_json::to_string(&next).expect("a record is plain data");
        let txn = Transaction::default()
            .expect(self.options.key.clone(), row.as_ref().map(|r| r.version))
            .put(self.options.key.clone(), value);
        match table.commit(txn).await? {
            Commit::Committed => {
                self.held = Some((next.fence, started + self.options.term));
                Ok(Some(next.fence))
            }
            Commit::Conflict { .. } => {
                self.held = None;
                Ok(None)
            }
        }
    }

    /// The record to write, or `None` while another holder may be alive.
    fn next(&mut self, row: Option<&Row>, now: Instant) -> Option<Record> {
        let holder = self.options.holder.clone();
        let Some(row) = row else {
            return Some(Record { holder, fence: 1, beat: 1 });
        };
        let Ok(current) = serde_json::from_str::<Record>(&row.value) else {
            return Some(Record { holder, fence: row.version, beat: 1 });
        };
        if current.holder == holder {
            // A restarted VM of the same name must not reuse its old fence.
            let continued = self.held.is_some_and(|(fence, _)| fence == current.fence);
            let fence = if continued { current.fence } else { current.fence + 1 };
            return Some(Record { holder, fence, beat: current.beat + 1 });
        }
        let since = match self.seen {
            Some((version, since)) if version == row.version => since,
            _ => {
                self.seen = Some((row.version, now));
                now
            }
        };
        let expired = now.duration_since(since) >= self.options.term;
        expired.then(|| Record { holder, fence: current.fence + 1, beat: 1 })
    }
}
