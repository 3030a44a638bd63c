//! All platform services in one process, with faults for tests.

use std::{
    collections::BTreeMap,
    ops::Bound,
    sync::{Arc, Mutex, MutexGuard},
};

use bytes::Bytes;
use snafu::ensure;

use crate::{
    membership::{Membership, Vm},
    object::Objects,
    table::{Commit, Error, LostSnafu, Row, Table, Transaction, UnavailableSnafu},
    weight::{Permit, Weights},
};

/// Faults of the in-process platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Every request is refused.
    pub outage: bool,
    /// This many of the next commits take effect and lose their answers.
    pub lose_answers: u32,
    /// This many of the next commits are lost before they take effect.
    pub lose_requests: u32,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Arc<str>, (u64, Arc<str>)>,
    objects: BTreeMap<Arc<str>, Bytes>,
    vms: Vec<Vm>,
    fault: Fault,
    clock: u64,
    commits: u64,
}

/// Platform services kept in memory; clones share their content.
#[derive(Clone, Debug, Default)]
pub struct Memory(Arc<Mutex<State>>);

impl Memory {
    /// Sets the faults from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Number of transactions that took effect.
    pub fn commits(&self) -> u64 {
        self.lock().commits
    }

    /// Replaces the membership list.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.lock().vms = vms;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder of this lock panics")
    }

    fn ready(&self) -> Result<MutexGuard<'_, State>, Error> {
        let state = self.lock();
        ensure!(!state.fault.outage, UnavailableSnafu { reason: "outage" });
        Ok(state)
    }
}

impl State {
    fn apply(&mut self, txn: &Transaction) -> Commit {
        let failed = txn
            .conditions
            .iter()
            .find(|c| self.rows.get(&c.key).map(|(version, _)| *version) != c.version);
        if let Some(condition) = failed {
            return Commit::Conflict { key: condition.key.clone() };
        }
        self.clock += 1;
        self.commits += 1;
        for write in &txn.writes {
            match &write.value {
                Some(value) => self.rows.insert(write.key.clone(), (self.clock, value.clone())),
                None => self.rows.remove(&write.key),
            };
        }
        Commit::Committed
    }
}

impl Table for Memory {
    async fn commit(&self, txn: Transaction) -> Result<Commit, Error> {
        let mut state = self.ready()?;
        if state.fault.lose_requests > 0 {
            state.fault.lose_requests -= 1;
            return LostSnafu { reason: "request lost" }.fail();
        }
        let commit = state.apply(&txn);
        if state.fault.lose_answers > 0 {
            state.fault.lose_answers -= 1;
            return LostSnafu { reason: "answer lost" }.fail();
        }
        Ok(commit)
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        let state = self.ready()?;
        Ok(state.rows.get_key_value(key).map(|(key, (version, value))| Row {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        }))
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Error> {
        let state = self.ready()?;
        let start = if after > prefix { after } else { prefix };
        let rows = state
            .rows
            .range::<str, _>((Bound::Included(start), Bound::Unbounded))
            .filter(|(key, _)| &***key > after)
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(key, (version, value))| Row {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            });
        Ok(rows.collect())
    }
}

impl Objects for Memory {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), Error> {
        self.ready()?.objects.insert(name.into(), body);
        Ok(())
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, Error> {
        Ok(self.ready()?.objects.get(name).cloned())
    }
}

impl Membership for Memory {
    async fn list(&self) -> Result<Vec<Vm>, Error> {
        Ok(self.ready()?.vms.clone())
    }

    async fn register(&self, vm: Vm) -> Result<(), Error> {
        let mut state = self.ready()?;
        state.vms.retain(|known| known.name != vm.name);
        state.vms.push(vm);
        Ok(())
    }
}

impl Weights for Memory {
    async fn permit(&self, _version: &str) -> Result<Permit, Error> {
        drop(self.ready()?);
        Ok(Permit::Granted)
    }
}
