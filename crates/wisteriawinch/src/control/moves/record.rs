//! Records of version moves in the table.

use winch_move::{
    evidence,
    machine::{Machine, Window},
    verdict::{Record, Verdict},
};
use winch_platform::table::{Commit, Row, Table, Transaction};

use super::{Controller, record_key, unix_now_f64};
use crate::{emit, prelude::*, rollout};

/// What became of a record that was to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Write {
    /// It is in the table.
    Done,
    /// The stored record does not allow it, or another daemon has changed that one.
    Refused,
    /// The table has not answered; it may or may not have been written.
    Unknown,
}

impl Controller {
    /// Continues from the record of the previous holder. If the record cannot be read, the next
    /// renewal of the lease tries again.
    pub(super) async fn take_over(&mut self, name: &Name) {
        let Ok(row) = self.fleet.platform.read(&record_key(name)).await else {
            self.state_mut(name).fencing_token = 0;
            return;
        };
        let record = parse_record(row.as_ref());
        let mut rollouts = self.fleet.rollouts();
        let Some(rollout) = rollouts.get_mut(name) else {
            return;
        };
        let window =
            Window { start: rollout.spec.start as f64, deadline: rollout.spec.deadline as f64 };
        let options = evidence::Options::default();
        rollout.machine = Some(Machine::new(window, options, record.stage, unix_now_f64()));
        rollout.observer.collector.reset();
        rollout.reports.clear();
        rollout.record = record.clone();
        drop(rollouts);
        if record.verdict.is_some() {
            self.fleet.publish(rollout::verdict_fact(name, &record));
        }
    }

    /// Ends the move with a verdict. A move that is taken back is first published as faulty, which
    /// does not need the table.
    pub(super) async fn end(&mut self, name: &Name, stage: u32, verdict: Verdict, reason: &str) {
        if verdict == Verdict::TakenBack {
            self.fleet.publish(rollout::fault_fact(name));
        }
        let record = Record { stage, verdict: Some(verdict), reason: reason.to_owned(), fence: 0 };
        if self.write_record(name, record).await == Write::Done {
            emit!(
                Event::MoveVerdict,
                name = name,
                verdict = format!("{verdict:?}"),
                reason = reason
            );
        }
    }

    /// Writes the record `next` to the table if it may replace the stored one.
    ///
    /// A verdict that is recorded, by this daemon or another, is published.
    pub(super) async fn write_record(&mut self, name: &Name, mut next: Record) -> Write {
        next.fence = self.state_mut(name).fencing_token;
        let key = record_key(name);
        let Ok(row) = self.fleet.platform.read(&key).await else {
            return Write::Unknown;
        };
        let current = parse_record(row.as_ref());
        if current.verdict.is_some() {
            self.fleet.publish(rollout::verdict_fact(name, &current));
            return Write::Refused;
        }
        let Some(next) = current.updated_with(&next) else {
            return Write::Refused;
        };
        let value = serde_json::to_string(&next).expect("a record serialises to JSON");
        let txn =
            Transaction::default().expect(&*key, row.map(|row| row.version)).put(&*key, value);
        // If the response is lost, the next read of the row shows whether the record was written.
        match self.fleet.platform.commit(txn).await {
            Ok(Commit::Committed) => {}
            Ok(Commit::Conflict { .. }) => return Write::Refused,
            Err(_) => return Write::Unknown,
        }
        if next.verdict.is_some() {
            self.fleet.publish(rollout::verdict_fact(name, &next));
        }
        Write::Done
    }
}

/// The record in a row; the default if the row is absent or unreadable.
pub(super) fn parse_record(row: Option<&Row>) -> Record {
    row.and_then(|row| serde_json::from_str(&row.value).ok()).unwrap_or_default()
}
