//! Records of moves in the store, as the controller writes and applies them.

use winch_move::verdict::{Record, Verdict};
use winch_platform::table::{Commit, Error, Row, Table, Transaction};

use super::{
    Controller, LOST_RECORD_REASON, MAX_DELETES, State,
    rows::{HistoryRow, RecordRow, counts_prefix, encode, record_key},
};
use crate::{
    counter,
    moves::{
        Progress, Spec,
        history::{Former, History},
    },
    prelude::*,
};

impl<P: Protocol, T: Table> Controller<P, T> {
    /// The verdict of the move if the store may have lost it.
    pub(super) fn lost_verdict(&self, spec: &Spec) -> Option<Verdict> {
        let rollouts = self.node.rollouts();
        let rollout = rollouts.get(&spec.service).filter(|rollout| rollout.is_unrecorded())?;
        rollout.progress().verdict
    }

    /// Writes a verdict that the store has lost, unless another daemon has done so.
    pub(super) async fn record_again(
        &mut self,
        spec: &Spec,
        stored: &Record,
        verdict: Verdict,
        rows: &[Row],
    ) -> Result<(), Error> {
        if stored.verdict.is_none() {
            let reason = LOST_RECORD_REASON.to_owned();
            let next = Record { verdict: Some(verdict), reason, ..stored.clone() };
            // The next tick reads what was written.
            return self.write_record(spec, stored, next, rows).await;
        }
        self.node.rollouts().mark_recorded(spec);
        Ok(())
    }

    /// Learns of the instructions before a move, from its own record or from that of the instruction before it,
    /// which is there until the first record of the move is written.
    pub(super) fn learn_history(&self, spec: &Spec, stored: &RecordRow) {
        self.node.learn_initial(&spec.service);
        let mut history = stored.history.clone().map(History::from).unwrap_or_default();
        if stored.position() != spec.revision {
            history.is_recorded = false;
            if let Some(to) = self.requested_version(spec, stored) {
                let (revision, verdict) = (stored.position(), stored.record.verdict);
                history.insert(Former { to, revision, verdict });
            }
        }
        self.node.apply_history(&spec.service, spec.revision, &history);
    }

    /// The version of the instruction to which a record belongs. Earlier releases do not state it.
    fn requested_version(&self, spec: &Spec, stored: &RecordRow) -> Option<Name> {
        if !stored.to.is_empty() {
            return Some(stored.to.as_str().into());
        }
        let rollouts = self.node.rollouts();
        let former = &rollouts.get(&spec.service)?.history().former;
        let known = former.iter().find(|former| former.revision == stored.position());
        known.map(|former| former.to.clone())
    }

    /// The instructions before a move, as its record states them.
    fn history_row(&self, spec: &Spec) -> Option<HistoryRow> {
        let rollouts = self.node.rollouts();
        rollouts.get(&spec.service).map(|rollout| rollout.history().into())
    }

    /// Applies the record of a move to the progress that this daemon keeps.
    pub(super) fn apply_record(&self, spec: &Spec, record: &Record) {
        self.node.apply_progress(Progress {
            spec: spec.clone(),
            stage: record.stage,
            confirmed_at: Some(Instant::now()),
            fault: record.verdict == Some(Verdict::TakenBack),
            verdict: record.verdict,
        });
    }

    /// Writes the record and the operator's status in one transaction, unless another
    /// daemon has changed the record in the meantime.
    pub(super) async fn write_record(
        &mut self,
        spec: &Spec,
        current: &Record,
        next: Record,
        rows: &[Row],
    ) -> Result<(), Error> {
        let Some(next) = current.updated_with(&next) else { return Ok(()) };
        let row = RecordRow {
            era: spec.revision.era,
            revision: spec.revision.version,
            age_s: self.active_move(spec).age(),
            record: next.clone(),
            to: spec.to.to_string(),
            history: self.history_row(spec),
        };
        let state = next.verdict.map_or(State::Running, State::from);
        let status = self.node.protocol.encode_move_status(&spec.service, &spec.to, state);
        let key = record_key(&spec.service);
        let version = rows.iter().find(|row| *row.key == *key).map(|row| row.version);
        let txn = Transaction::default().expect(&*key, version).put(&*key, encode(&row));
        let mut txn = txn.put(status.key, status.value);
        if next.verdict.is_some() {
            // The counts are no longer needed. Rows of daemons that have stopped are deleted
            // too, as nobody else deletes them.
            let prefix = counts_prefix(&spec.service);
            let counts_rows = rows.iter().filter(|row| row.key.starts_with(&prefix));
            txn = counts_rows.take(MAX_DELETES).fold(txn, |txn, row| txn.delete(row.key.clone()));
        }
        // After a conflict or a lost answer, the next tick reads what was written.
        if self.table.commit(txn).await? != Commit::Committed {
            return Ok(());
        }
        match next.verdict {
            None => emit!(Event::MoveAdvanced, name = spec.service, stage = next.stage),
            Some(verdict) => {
                counter::move_ended(State::from(verdict));
                emit!(
                    Event::MoveVerdict,
                    name = spec.service,
                    verdict = format!("{verdict:?}"),
                    reason = next.reason
                );
            }
        }
        self.apply_record(spec, &next);
        Ok(())
    }
}
