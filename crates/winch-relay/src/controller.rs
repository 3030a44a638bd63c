//! Move controller: drives version moves through rows in the platform's store.
//!
//! A move has a record with its stage and verdict, a lease, and the counts of each daemon
//! that reads the store. These daemons run the controller; all others report their counts
//! to them. The holder of the lease raises the stage. Any daemon that runs the controller
//! may end a move whose new version shows a fault. The record changes by compare-and-set, so
//! that it gets a single verdict.

mod record;
mod rows;

use std::collections::HashMap;

use tokio::time::sleep;
use winch_move::{
    evidence,
    machine::{Decision, Input, Machine, Window},
    verdict::{Record, Verdict},
};
use winch_platform::{
    lease::{self, Lease},
    table::{Error, Row, Table, Transaction},
};

use winch_roster::position::Position;

use self::rows::{
    CountsRow, RecordRow, counts_key, counts_prefix, decode, encode, prefix, record_key,
};
use crate::{
    moves::{Counts, Progress, Spec},
    node::Node,
    prelude::*,
};

/// Interval at which the record and the counts are read and written.
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Term of a move's lease.
const LEASE_TERM: Duration = Duration::from_secs(4);
/// Interval at which the lease is renewed or contended for.
const CONTEND_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time for which the counts of another daemon are used after it last wrote them.
const COUNTS_TTL: Duration = Duration::from_secs(4);
/// Topic of logged events about access to the store.
const TOPIC: &str = "moves";
/// Largest number of rows that the commit of a verdict deletes.
const MAX_DELETES: usize = 80;
/// Reason in the record of a verdict that was written again.
const LOST_RECORD_REASON: &str = "the store had lost the record";
/// Reason in the record of an instruction for the version that served already.
const ESTABLISHED_REASON: &str = "the version served already";
/// Largest number of rows that a scan of a move reads.
const MAX_ROWS: usize = 500;

/// State of a move in the status that the operator reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The move has no verdict yet.
    Running,
    /// All traffic goes to the new version.
    Completed,
    /// All traffic goes to the old version; the move has ended without success.
    TakenBack,
}

impl From<Verdict> for State {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Completed => Self::Completed,
            Verdict::TakenBack | Verdict::Expired | Verdict::Cancelled => Self::TakenBack,
        }
    }
}

/// The controller's state of one open move.
struct ActiveMove {
    spec: Spec,
    lease: Lease,
    /// When the lease was last contended for.
    contended_at: Option<Instant>,
    machine: Option<Machine>,
    /// The counts of the last write, which may have failed.
    written: Option<CountsRow>,
    /// Versions of the rows with other daemons' counts, by key, and when each was first seen.
    seen: HashMap<Name, (u64, Instant)>,
    /// Start of the move, as far as this daemon knows it.
    started_at: Instant,
    /// Whether it was already logged that the move is likely to be late.
    late_logged: bool,
}

impl ActiveMove {
    fn new(spec: Spec, holder: Name) -> Self {
        let key = format!("{}lease", prefix(&spec.service)).into();
        Self {
            spec,
            lease: Lease::new(lease::Options { key, holder, term: LEASE_TERM }),
            contended_at: None,
            machine: None,
            written: None,
            seen: HashMap::new(),
            started_at: Instant::now(),
            late_logged: false,
        }
    }

    /// Age of the move in seconds, as far as this daemon knows it.
    fn age(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Adopts the age that the record of the move states, if it is higher than the known one.
    fn apply_age(&mut self, seconds: f64) {
        let age = Duration::try_from_secs_f64(seconds).unwrap_or_default();
        if let Some(started_at) = Instant::now().checked_sub(age) {
            self.started_at = self.started_at.min(started_at);
        }
    }
}

/// Drives all open moves for as long as the daemon runs.
pub async fn run<P: Protocol, T: Table>(node: Arc<Node<P>>, table: T) {
    let mut changes = node.subscribe();
    let mut controller =
        Controller { node: node.clone(), table, active: HashMap::new(), unreachable_since: None };
    loop {
        if !node.rollouts().unfinished().is_empty() {
            controller.tick().await;
            sleep(TICK_INTERVAL).await;
        } else {
            controller.active.clear();
            // Cannot fail: the node owns the sender.
            let _ = changes.changed().await;
        }
    }
}

struct Controller<P, T> {
    node: Arc<Node<P>>,
    table: T,
    /// Open moves by service.
    active: HashMap<Name, ActiveMove>,
    /// When the store became unreachable; `None` while it is reachable.
    unreachable_since: Option<Instant>,
}

impl<P: Protocol, T: Table> Controller<P, T> {
    /// Advances all open moves, if this daemon reads the store.
    async fn tick(&mut self) {
        if !self.node.reads_store() {
            return;
        }
        let specs = self.node.rollouts().unfinished();
        for spec in specs {
            match (self.advance(spec).await, self.unreachable_since) {
                (Err(error), None) => {
                    emit!(Event::StoreUnreachable, topic = TOPIC, reason = error, age_ms = 0);
                    self.unreachable_since = Some(Instant::now());
                }
                (Ok(()), Some(at)) => {
                    let outage_ms = at.elapsed().as_millis();
                    emit!(Event::StoreReachable, topic = TOPIC, away_ms = outage_ms);
                    self.unreachable_since = None;
                }
                (Err(_), Some(_)) | (Ok(()), None) => {}
            }
        }
    }

    /// The state of a move; created if it is missing, and replaced if it belongs to another
    /// move of the service.
    fn active_move(&mut self, spec: &Spec) -> &mut ActiveMove {
        let is_current = |active: &ActiveMove| active.spec.revision == spec.revision;
        if !self.active.get(&spec.service).is_some_and(is_current) {
            let mut active = ActiveMove::new(spec.clone(), self.node.settings.name.clone());
            let former = self.active.get(&spec.service).filter(|a| spec.repeats(&a.spec));
            active.started_at = former.map_or(active.started_at, |former| former.started_at);
            self.active.insert(spec.service.clone(), active);
        }
        self.active.get_mut(&spec.service).expect("inserted above if it was missing")
    }

    /// Reads the record of a move, writes this daemon's counts, and decides and writes the
    /// next step.
    async fn advance(&mut self, spec: Spec) -> Result<(), Error> {
        let rows = self.read_rows(&spec.service).await?;
        let key = record_key(&spec.service);
        let row = rows.iter().find(|row| *row.key == *key);
        let stored: RecordRow = row.and_then(decode).unwrap_or_default();
        if stored.position() > spec.revision {
            // A later move of the service has replaced this one; its spec has not arrived yet.
            return Ok(());
        }
        self.learn_history(&spec, &stored);
        let stored = Some(stored).filter(|stored| stored.position() == spec.revision);
        let stored = stored.unwrap_or_default();
        self.active_move(&spec).apply_age(stored.age_s);
        if let Some(verdict) = self.lost_verdict(&spec) {
            return self.record_again(&spec, &stored.record, verdict, &rows).await;
        }
        self.apply_record(&spec, &stored.record);
        if stored.record.verdict.is_some() {
            return Ok(());
        }
        let others = self.counts_of_others(&spec, &stored.record, &rows);
        self.write_counts(&spec).await?;
        let fencing_token = self.contend(&spec).await?;
        let Some((decision, newly_late)) =
            self.decide(&spec, &stored.record, others, fencing_token)
        else {
            return Ok(());
        };
        if newly_late {
            emit!(Event::MoveLate, name = spec.service, stage = stored.record.stage);
        }
        let (stage, verdict, reason) = match decision {
            Decision::Hold => return Ok(()),
            Decision::Advance(stage) => (stage, None, ""),
            Decision::End(verdict, reason) => (stored.record.stage, Some(verdict), reason),
        };
        let fence = fencing_token.unwrap_or(stored.record.fence);
        let next = Record { stage, fence, verdict, reason: reason.to_owned() };
        self.write_record(&spec, &stored.record, next, &rows).await
    }

    /// Reads the record and the counts of a move. Rows of other writers may sort before them, and
    /// fill a scan of all its rows.
    async fn read_rows(&self, service: &str) -> Result<Vec<Row>, Error> {
        let rows = self.table.scan(&prefix(service), "", MAX_ROWS).await?;
        if rows.len() < MAX_ROWS {
            return Ok(rows);
        }
        let mut rows = self.table.scan(&counts_prefix(service), "", MAX_ROWS).await?;
        rows.extend(self.table.read(&record_key(service)).await?);
        Ok(rows)
    }

    /// The sum of the counts in the current stage that other daemons have written recently.
    fn counts_of_others(&mut self, spec: &Spec, record: &Record, rows: &[Row]) -> Counts {
        let own_key = counts_key(&spec.service, &self.node.settings.name);
        let (now, active) = (Instant::now(), self.active_move(spec));
        let mut sum = Counts::default();
        for row in rows.iter().filter(|row| *row.key != *own_key) {
            let Some(counts_row) = decode::<CountsRow>(row) else { continue };
            let seen = active.seen.entry(row.key.clone()).or_insert((row.version, now));
            if seen.0 != row.version {
                *seen = (row.version, now);
            }
            let is_current =
                (counts_row.position(), counts_row.stage) == (spec.revision, record.stage);
            if is_current && now < seen.1 + COUNTS_TTL {
                sum.new = sum.new.plus(counts_row.new);
                sum.old = sum.old.plus(counts_row.old);
            }
        }
        sum
    }

    /// Writes the counts of this daemon and its followers, if they have changed and the move has
    /// left stage 0.
    async fn write_counts(&mut self, spec: &Spec) -> Result<(), Error> {
        let key = counts_key(&spec.service, &self.node.settings.name);
        let counts_row = {
            let rollouts = self.node.rollouts();
            let Some(rollout) = rollouts.get(&spec.service) else { return Ok(()) };
            let counts = rollout.counts(Instant::now());
            let (Position { era, version }, stage) = (spec.revision, rollout.progress().stage);
            CountsRow { era, revision: version, stage, new: counts.new, old: counts.old }
        };
        let active = self.active_move(spec);
        if active.written.as_ref() == Some(&counts_row) || counts_row.stage == 0 {
            return Ok(());
        }
        active.written = Some(counts_row.clone());
        let txn = Transaction::default().put(&*key, encode(&counts_row));
        self.table.commit(txn).await.map(drop)
    }

    /// Renews the move's lease or tries to acquire it; returns the fencing token while this
    /// daemon holds it.
    async fn contend(&mut self, spec: &Spec) -> Result<Option<u64>, Error> {
        let table = self.table.clone();
        let active = self.active_move(spec);
        if active.contended_at.is_none_or(|at| at.elapsed() >= CONTEND_INTERVAL) {
            active.contended_at = Some(Instant::now());
            active.lease.acquire(&table).await?;
        }
        Ok(active.lease.fencing_token(Instant::now()))
    }

    /// Decides the next step, and whether the move is now for the first time likely to be
    /// late; `None` if the move is not known.
    fn decide(
        &mut self,
        spec: &Spec,
        record: &Record,
        others: Counts,
        fencing_token: Option<u64>,
    ) -> Option<(Decision, bool)> {
        let (own, fault, is_established) = {
            let rollouts = self.node.rollouts();
            let rollout = rollouts.get(&spec.service)?;
            (rollout.counts(Instant::now()), rollout.progress().fault, rollout.is_established())
        };
        if is_established && !fault {
            let end = Decision::End(Verdict::Completed, ESTABLISHED_REASON);
            return Some((if fencing_token.is_some() { end } else { Decision::Hold }, false));
        }
        let active = self.active_move(spec);
        let now = active.age();
        let window = Window { start: 0.0, deadline: spec.within.as_secs_f64() };
        let options = evidence::Options::default();
        let new_machine = || Machine::new(window, options, record.stage, now);
        let machine = active.machine.get_or_insert_with(new_machine);
        if machine.stage() != record.stage {
            *machine = new_machine();
        }
        let input = Input {
            now,
            new: own.new.plus(others.new),
            old: own.old.plus(others.old),
            fault_found: fault,
            cancelled: false,
            lease_held: fencing_token.is_some(),
        };
        let decision = machine.step(&input);
        let newly_late = machine.is_late(now) && !std::mem::replace(&mut active.late_logged, true);
        if matches!(decision, Decision::End(Verdict::TakenBack, _)) && !fault {
            emit!(
                Event::VersionFaulty,
                name = spec.service,
                finding = spec.to,
                good = input.new.good,
                failed = input.new.failed,
                slow = input.new.slow
            );
            // Stops requests to the new version here and at the followers even while the store
            // is unreachable.
            let progress = Progress {
                spec: spec.clone(),
                stage: record.stage,
                confirmed_at: None,
                fault: true,
                verdict: None,
            };
            self.node.apply_progress(progress);
        }
        Some((decision, newly_late))
    }
}
