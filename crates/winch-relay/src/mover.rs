//! Carries version moves: evidence, stages and verdicts in the platform's store.
//!
//! Daemons that read the store look after the moves; all others tell them what
//! they have counted. One of them holds the move's lease and raises the stage. Any
//! of them may end a move whose new version shows a fault. The record of a move
//! changes by compare-and-set, so that it gets one verdict.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use winch_move::{
    evidence::{self, Tally},
    machine::{Decision, Input, Machine, Window},
    verdict::{Record, Verdict},
};
use winch_platform::{
    lease::{self, Lease},
    table::{Commit, Error, Row, Table, Transaction},
};

use crate::{
    counter,
    moves::{Counts, Order, Progress},
    node::Node,
    prelude::*,
};

/// Interval at which the record and the evidence are read and written.
const TICK: Duration = Duration::from_secs(1);
/// Term of the lease of a move.
const LEASE_TERM: Duration = Duration::from_secs(4);
/// Interval of the renewals of the lease.
const CONTEND_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time after which counts that another daemon has not written again are ignored.
const COUNTS_LIFE: Duration = Duration::from_secs(4);
/// What is read, in events.
const TOPIC: &str = "moves";
/// Most rows that are removed with the verdict.
const MAX_REMOVED: usize = 80;
/// Most rows of one move.
const MAX_ROWS: usize = 500;

/// State of a move as the operator reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Traffic is being moved.
    Running,
    /// All traffic has moved.
    Completed,
    /// All traffic is on the old version, for good.
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

/// The row that records a move.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Entry {
    revision: u64,
    /// Age of the move when the row was written, in seconds.
    age_s: f64,
    record: Record,
}

/// The row with the counts of one daemon and its followers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Pooled {
    revision: u64,
    stage: u32,
    new: Tally,
    old: Tally,
}

/// What this daemon keeps about one open move.
struct Care {
    order: Order,
    lease: Lease,
    contended: Option<Instant>,
    machine: Option<Machine>,
    written: Option<Pooled>,
    /// Versions of other daemons' counts, and when each was first seen.
    seen: HashMap<Name, (u64, Instant)>,
    started: Instant,
    told_late: bool,
}

impl Care {
    fn new(order: Order, holder: Name) -> Self {
        let key = format!("{}lease", prefix(&order.service)).into();
        Self {
            order,
            lease: Lease::new(lease::Options { key, holder, term: LEASE_TERM }),
            contended: None,
            machine: None,
            written: None,
            seen: HashMap::new(),
            started: Instant::now(),
            told_late: false,
        }
    }

    /// Seconds since the move was ordered, as far as is known.
    fn age(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    fn learn_age(&mut self, seconds: f64) {
        let age = Duration::try_from_secs_f64(seconds).unwrap_or_default();
        if let Some(started) = Instant::now().checked_sub(age) {
            self.started = self.started.min(started);
        }
    }
}

fn prefix(service: &str) -> String {
    format!("moves/{service}/")
}

fn record_key(service: &str) -> String {
    format!("{}record", prefix(service))
}

/// Looks after moves for as long as the daemon runs.
pub async fn run<D: Dialect, T: Table>(node: Arc<Node<D>>, table: T) {
    let mut learnt = node.learnt();
    let mut mover = Mover { node: node.clone(), table, cares: HashMap::new(), lost_at: None };
    loop {
        if node.trials().any_open() {
            mover.tick().await;
            sleep(TICK).await;
        } else {
            mover.cares.clear();
            // The sender lives as long as the node.
            let _ = learnt.changed().await;
        }
    }
}

struct Mover<D, T> {
    node: Arc<Node<D>>,
    table: T,
    cares: HashMap<Name, Care>,
    /// When the store was lost, while it is.
    lost_at: Option<Instant>,
}

impl<D: Dialect, T: Table> Mover<D, T> {
    async fn tick(&mut self) {
        if !self.node.reads_store() {
            return;
        }
        let orders: Vec<Order> = {
            let trials = self.node.trials();
            let open = trials.iter().filter(|trial| trial.is_open());
            open.map(|trial| trial.progress().order.clone()).collect()
        };
        for order in orders {
            match (self.look_after(order).await, self.lost_at) {
                (Err(error), None) => {
                    emit!(Event::StoreLost, topic = TOPIC, reason = error, age_ms = 0);
                    self.lost_at = Some(Instant::now());
                }
                (Ok(()), Some(at)) => {
                    let away = at.elapsed().as_millis();
                    emit!(Event::StoreBack, topic = TOPIC, away_ms = away);
                    self.lost_at = None;
                }
                (Err(_), Some(_)) | (Ok(()), None) => {}
            }
        }
    }

    fn care(&mut self, order: &Order) -> &mut Care {
        let same = |care: &Care| care.order.revision == order.revision;
        if !self.cares.get(&order.service).is_some_and(same) {
            let care = Care::new(order.clone(), self.node.settings.name.clone());
            self.cares.insert(order.service.clone(), care);
        }
        self.cares.get_mut(&order.service).expect("inserted above if it was missing")
    }

    /// Reads what is recorded, adds this daemon's counts and decides the next step.
    async fn look_after(&mut self, order: Order) -> Result<(), Error> {
        let rows = self.table.scan(&prefix(&order.service), "", MAX_ROWS).await?;
        let key = record_key(&order.service);
        let row = rows.iter().find(|row| *row.key == *key);
        let entry: Entry = row.and_then(decode).unwrap_or_default();
        if entry.revision > order.revision {
            // A newer order is on its way to this daemon.
            return Ok(());
        }
        let entry = Some(entry).filter(|entry| entry.revision == order.revision);
        let entry = entry.unwrap_or_default();
        self.care(&order).learn_age(entry.age_s);
        self.learn(&order, &entry.record);
        if entry.record.verdict.is_some() {
            return Ok(());
        }
        let others = self.others(&order, &entry.record, &rows);
        self.write_counts(&order).await?;
        let held = self.contend(&order).await?;
        let Some((decision, late)) = self.decide(&order, &entry.record, others, held) else {
            return Ok(());
        };
        if late {
            emit!(Event::MoveLate, name = order.service, stage = entry.record.stage);
        }
        let (stage, verdict, reason) = match decision {
            Decision::Hold => return Ok(()),
            Decision::Advance(stage) => (stage, None, ""),
            Decision::End(verdict, reason) => (entry.record.stage, Some(verdict), reason),
        };
        let fence = held.unwrap_or(entry.record.fence);
        let next = Record { stage, fence, verdict, reason: reason.to_owned() };
        self.write_record(&order, &entry.record, next, &rows).await
    }

    fn learn(&self, order: &Order, record: &Record) {
        self.node.learn_move(Progress {
            order: order.clone(),
            stage: record.stage,
            heard: Some(Instant::now()),
            fault: record.verdict == Some(Verdict::TakenBack),
            verdict: record.verdict,
        });
    }

    /// Counts of other daemons that are still written.
    fn others(&mut self, order: &Order, record: &Record, rows: &[Row]) -> Counts {
        let own = tally_key(&order.service, &self.node.settings.name);
        let (now, care) = (Instant::now(), self.care(order));
        let mut sum = Counts::default();
        for row in rows.iter().filter(|row| *row.key != *own) {
            let Some(pooled) = decode::<Pooled>(row) else { continue };
            let seen = care.seen.entry(row.key.clone()).or_insert((row.version, now));
            if seen.0 != row.version {
                *seen = (row.version, now);
            }
            let current = (pooled.revision, pooled.stage) == (order.revision, record.stage);
            if current && now < seen.1 + COUNTS_LIFE {
                sum.new = sum.new.plus(pooled.new);
                sum.old = sum.old.plus(pooled.old);
            }
        }
        sum
    }

    async fn write_counts(&mut self, order: &Order) -> Result<(), Error> {
        let key = tally_key(&order.service, &self.node.settings.name);
        let pooled = {
            let trials = self.node.trials();
            let Some(trial) = trials.get(&order.service) else { return Ok(()) };
            let counts = trial.counts(Instant::now());
            let (revision, stage) = (order.revision, trial.progress().stage);
            Pooled { revision, stage, new: counts.new, old: counts.old }
        };
        let care = self.care(order);
        if care.written.as_ref() == Some(&pooled) || pooled.stage == 0 {
            return Ok(());
        }
        care.written = Some(pooled.clone());
        let txn = Transaction::default().put(&*key, encode(&pooled));
        self.table.commit(txn).await.map(drop)
    }

    /// Renews or takes the move's lease; the fencing number while it is held.
    async fn contend(&mut self, order: &Order) -> Result<Option<u64>, Error> {
        let table = self.table.clone();
        let care = self.care(order);
        if care.contended.is_none_or(|at| at.elapsed() >= CONTEND_INTERVAL) {
            care.contended = Some(Instant::now());
            care.lease.contend(&table).await?;
        }
        Ok(care.lease.fence(Instant::now()))
    }

    /// The next step, and whether the move has just become likely to be late.
    fn decide(
        &mut self,
        order: &Order,
        record: &Record,
        others: Counts,
        held: Option<u64>,
    ) -> Option<(Decision, bool)> {
        let (own, fault) = {
            let trials = self.node.trials();
            let trial = trials.get(&order.service)?;
            (trial.counts(Instant::now()), trial.progress().fault)
        };
        let care = self.care(order);
        let now = care.age();
        let plan = Window { start: 0.0, deadline: order.within.as_secs_f64() };
        let options = evidence::Options::default();
        let fresh = || Machine::new(plan, options, record.stage, now);
        let machine = care.machine.get_or_insert_with(fresh);
        if machine.stage() != record.stage {
            *machine = fresh();
        }
        let input = Input {
            now,
            new: own.new.plus(others.new),
            old: own.old.plus(others.old),
            fault,
            cancelled: false,
            lease_held: held.is_some(),
        };
        let decision = machine.step(&input);
        let late = machine.is_late(now) && !std::mem::replace(&mut care.told_late, true);
        if matches!(decision, Decision::End(Verdict::TakenBack, _)) && !fault {
            emit!(
                Event::VersionFaulty,
                name = order.service,
                finding = order.to,
                good = input.new.good,
                failed = input.new.failed,
                slow = input.new.slow
            );
            // Holds here and at the followers also while the store is away.
            let progress = Progress {
                order: order.clone(),
                stage: record.stage,
                heard: None,
                fault: true,
                verdict: None,
            };
            self.node.learn_move(progress);
        }
        Some((decision, late))
    }

    /// Writes the record and the operator's status together, if nobody was faster.
    async fn write_record(
        &mut self,
        order: &Order,
        present: &Record,
        next: Record,
        rows: &[Row],
    ) -> Result<(), Error> {
        let Some(next) = present.updated_with(&next) else { return Ok(()) };
        let entry =
            Entry { revision: order.revision, age_s: self.care(order).age(), record: next.clone() };
        let state = next.verdict.map_or(State::Running, State::from);
        let status = self.node.dialect.move_status(&order.service, &order.to, state);
        let key = record_key(&order.service);
        let version = rows.iter().find(|row| *row.key == *key).map(|row| row.version);
        let txn = Transaction::default().expect(&*key, version).put(&*key, encode(&entry));
        let mut txn = txn.put(status.key, status.value);
        if next.verdict.is_some() {
            // The counts have served; daemons that are replaced leave theirs behind.
            let tallies = tally_prefix(&order.service);
            let counted = rows.iter().filter(|row| row.key.starts_with(&tallies));
            txn = counted.take(MAX_REMOVED).fold(txn, |txn, row| txn.delete(row.key.clone()));
        }
        // After a lost answer or a conflict the next look finds what was written.
        if self.table.commit(txn).await? != Commit::Committed {
            return Ok(());
        }
        match next.verdict {
            None => emit!(Event::MoveRaised, name = order.service, stage = next.stage),
            Some(verdict) => {
                counter::move_ended(State::from(verdict));
                emit!(
                    Event::MoveVerdict,
                    name = order.service,
                    verdict = format!("{verdict:?}"),
                    reason = next.reason
                );
            }
        }
        self.learn(order, &next);
        Ok(())
    }
}

/// Before the name of the daemon in the key of its counts. The lease and the record
/// sort before it, so that they are read however many daemons have written.
fn tally_prefix(service: &str) -> String {
    format!("{}tally/", prefix(service))
}

fn tally_key(service: &str, daemon: &str) -> String {
    format!("{}{daemon}", tally_prefix(service))
}

fn decode<V: for<'a> Deserialize<'a>>(row: &Row) -> Option<V> {
    // Rows of other kinds stand beside it, and are not of this type.
    serde_json::from_str(&row.value).ok()
}

fn encode<V: Serialize>(value: &V) -> String {
    serde_json::to_string(value).expect("plain data")
}
