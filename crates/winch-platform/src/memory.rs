//! In-process implementation of all platform services, with fault injection.

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

/// The faults to inject; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Every request is rejected as unavailable.
    pub outage: bool,
    /// Number of next commits that take effect but lose their responses.
    pub lose_answers: u32,
    /// Number of next commits that are lost before they take effect.
    pub lose_requests: u32,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Arc<str>, (u64, Arc<str>)>,
    objects: BTreeMap<Arc<str>, Bytes>,
    vms: Vec<Vm>,
    fault: Fault,
    /// Version given to the rows of the last commit.
    last_version: u64,
    commits: u64,
}

/// Platform services kept in memory. Clones share their content.
#[derive(Clone, Debug, Default)]
pub struct Memory(Arc<Mutex<State>>);

impl Memory {
    /// Replaces the injected faults.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Returns the number of transactions that took effect.
    pub fn commits(&self) -> u64 {
        self.lock().commits
    }

    /// Replaces the membership list.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.lock().vms = vms;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no thread panics while it holds this lock")
    }

    /// Locks the state unless an outage is injected.
    fn available(&self) -> Result<MutexGuard<'_, State>, Error> {
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
        self.last_version += 1;
        self.commits += 1;
        for write in &txn.writes {
            match &write.value {
                Some(value) => {
                    self.rows.insert(write.key.clone(), (self.last_version, value.clone()))
                }
                None => self.rows.remove(&write.key),
            };
        }
        Commit::Committed
    }
}

impl Table for Memory {
    async fn commit(&self, txn: Transaction) -> Result<Commit, Error> {
        let mut state = self.available()?;
        if state.fault.lose_requests > 0 {
            state.fault.lose_requests -= 1;
            return LostSnafu { reason: "request lost" }.fail();
        }
        let commit = state.apply(&txn);
        if state.fault.lose_answers > 0 {
            state.fault.lose_answers -= 1;
            return LostSnafu { reason: "response lost" }.fail();
        }
        Ok(commit)
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        let state = self.available()?;
        Ok(state.rows.get_key_value(key).map(|(key, (version, value))| Row {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        }))
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Error> {
        let state = self.available()?;
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
        self.available()?.objects.insert(name.into(), body);
        Ok(())
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, Error> {
        Ok(self.available()?.objects.get(name).cloned())
    }
}

impl Membership for Memory {
    async fn list(&self) -> Result<Vec<Vm>, Error> {
        Ok(self.available()?.vms.clone())
    }

    async fn register(&self, vm: Vm) -> Result<(), Error> {
        let mut state = self.available()?;
        state.vms.retain(|known| known.name != vm.name);
        state.vms.push(vm);
        Ok(())
    }
}

impl Weights for Memory {
    async fn permit(&self, _version: &str) -> Result<Permit, Error> {
        drop(self.available()?);
        Ok(Permit::Granted)
    }
}
