//! What callers were told of their orders and streams.

use std::{
    collections::{HashMap, HashSet},
    sync::Mutex,
    time::Duration,
};

use http::StatusCode;
use tokio::time::Instant;

use super::common::{Replica, replica::Received};

/// Time within which an order that its daemon has given up may still begin.
const GIVE_UP_TIME: Duration = Duration::from_secs(1);

/// The end of an order at its caller.
#[derive(Clone, Copy, Debug)]
struct Told {
    at: Instant,
    /// `None` if there was no reply.
    status: Option<StatusCode>,
}

#[derive(Debug, Default)]
struct State {
    /// Ids of orders and streams refused with a reply that says that they never run.
    refused: HashSet<String>,
    told: HashMap<String, Told>,
}

/// What the callers of one seed were told.
#[derive(Debug, Default)]
pub(crate) struct Ledger(Mutex<State>);

impl Ledger {
    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.0.lock().expect("no thread panics while it holds this lock"))
    }

    /// Records that a daemon has stated that the order or stream with this id never runs.
    pub(crate) fn record_refusal(&self, id: &str) {
        self.with_state(|state| state.refused.insert(id.to_owned()));
    }

    /// Records that the caller of the order with this id has just got its last word, or stopped
    /// waiting.
    pub(crate) fn record_end(&self, id: &str, status: Option<StatusCode>) {
        let told = Told { at: Instant::now(), status };
        self.with_state(|state| state.told.insert(id.to_owned(), told));
    }

    /// Orders that ran more than once, and orders and streams that ran although they were
    /// refused.
    pub(crate) fn run_violations<'a>(
        &self,
        replicas: impl Iterator<Item = &'a Replica>,
    ) -> Vec<String> {
        let mut orders: HashMap<String, u32> = HashMap::new();
        let mut runs = HashSet::new();
        for request in replicas.flat_map(Replica::received).filter(|request| request.executed) {
            if is_order(&request) {
                *orders.entry(id(&request)).or_default() += 1;
            }
            runs.insert(id(&request));
        }
        let ran_twice = orders.iter().filter(|(_, count)| **count > 1);
        let ran_twice = ran_twice.map(|(id, count)| format!("order {id} ran {count} times"));
        self.with_state(|state| {
            let ran_after_refusal = state.refused.intersection(&runs);
            let ran_after_refusal = ran_after_refusal.map(|id| format!("{id} was refused and ran"));
            ran_twice.chain(ran_after_refusal).collect()
        })
    }

    /// Orders that began long after their callers were told their ends.
    pub(crate) fn late_violations<'a>(
        &self,
        replicas: impl Iterator<Item = &'a Replica>,
    ) -> Vec<String> {
        let orders = replicas.flat_map(Replica::received);
        let orders = orders.filter(|request| request.executed && is_order(request));
        let violation = |request: Received| {
            let id = id(&request);
            let told = self.with_state(|state| state.told.get(&id).copied())?;
            let late = request.at.checked_duration_since(told.at)?;
            let team = request.header("tenant-id").unwrap_or("no team");
            let end = told.status.map_or("no reply".into(), |status| status.to_string());
            let text = format!("order {id} of {team} began {late:?} after its end ({end})");
            (late > GIVE_UP_TIME).then_some(text)
        };
        orders.filter_map(violation).collect()
    }
}

fn id(request: &Received) -> String {
    request.header("attempt-id").unwrap_or("none").to_owned()
}

fn is_order(request: &Received) -> bool {
    request.target.starts_with("/o/")
}
